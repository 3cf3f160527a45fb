// Package group decides for one database group which log contains which write, when a write may be acknowledged, and
// which server becomes primary after a failure.
package group

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// Term numbers the successive primaries of a group. A higher term supersedes all lower ones.
type Term uint64

// Position identifies an entry of a group's log by the term in which it was written and its offset. The zero value lies
// before every entry.
type Position struct {
	Term   Term
	Offset uint64
}

// ParsePosition parses the text form "term:offset".
func ParsePosition(s string) (Position, error) {
	term, offset, found := strings.Cut(s, ":")
	if !found {
		return Position{}, fmt.Errorf("position %q is not of the form term:offset", s)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("position %q has an invalid term: %w", s, err)
	}
	o, err := strconv.ParseUint(offset, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("position %q has an invalid offset: %w", s, err)
	}
	return Position{Term: Term(t), Offset: o}, nil
}

// String returns the text form "term:offset".
func (p Position) String() string {
	return strconv.FormatUint(uint64(p.Term), 10) + ":" + strconv.FormatUint(p.Offset, 10)
}

// IsZero reports whether p lies before every entry.
func (p Position) IsZero() bool { return p == Position{} }

// Compare orders positions by term, then by offset.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Term, other.Term), cmp.Compare(p.Offset, other.Offset))
}

// TermStart is a term of a log and the offset of its first entry.
type TermStart struct {
	Term  Term   `json:"term"`
	First uint64 `json:"first"`
}

// History lists the terms of a log in ascending order with their first offsets, and the offset of its last entry. The
// zero value is the history of an empty log. Offsets start at one.
type History struct {
	starts     []TermStart
	lastOffset uint64
}

// NewHistory returns the history of a log that ends at offset last. It copies starts.
func NewHistory(last uint64, starts ...TermStart) History {
	return History{starts: append([]TermStart(nil), starts...), lastOffset: last}
}

// ParseHistory parses the text form "last;term@first,term@first".
func ParseHistory(s string) (History, error) {
	lastText, startsText, found := strings.Cut(s, ";")
	if !found {
		return History{}, fmt.Errorf("history %q has no last offset", s)
	}
	last, err := strconv.ParseUint(lastText, 10, 64)
	if err != nil {
		return History{}, fmt.Errorf("history %q has an invalid last offset: %w", s, err)
	}
	h := History{lastOffset: last}
	if startsText == "" {
		return h, nil
	}
	for _, text := range strings.Split(startsText, ",") {
		start, err := parseTermStart(text)
		if err != nil {
			return History{}, fmt.Errorf("history %q: %w", s, err)
		}
		if n := len(h.starts); n > 0 && (start.Term <= h.starts[n-1].Term || start.First <= h.starts[n-1].First) {
			return History{}, fmt.Errorf("history %q has term start %q out of order", s, text)
		}
		h.starts = append(h.starts, start)
	}
	if final := h.starts[len(h.starts)-1]; final.First > h.lastOffset+1 {
		return History{}, fmt.Errorf("history %q ends before its term %d starts", s, final.Term)
	}
	return h, nil
}

func parseTermStart(s string) (TermStart, error) {
	// The text form is that of a position with another separator.
	first, err := ParsePosition(strings.Replace(s, "@", ":", 1))
	if err != nil || !strings.Contains(s, "@") || first.Term == 0 || first.Offset == 0 {
		return TermStart{}, fmt.Errorf("term start %q is not of the form term@first", s)
	}
	return TermStart{Term: first.Term, First: first.Offset}, nil
}

// String returns the text form "last;term@first,term@first".
func (h History) String() string {
	var b strings.Builder
	b.WriteString(strconv.FormatUint(h.lastOffset, 10))
	b.WriteByte(';')
	for i, start := range h.starts {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%d@%d", start.Term, start.First)
	}
	return b.String()
}

// WithTerm returns the history with a new term that starts after the last entry.
func (h History) WithTerm(term Term) History {
	starts := append(append([]TermStart(nil), h.starts...), TermStart{Term: term, First: h.lastOffset + 1})
	return History{starts: starts, lastOffset: h.lastOffset}
}

// WithLast returns the history of the log cut off or extended to end at offset last.
func (h History) WithLast(last uint64) History {
	starts := h.starts
	for len(starts) > 0 && starts[len(starts)-1].First > last {
		starts = starts[:len(starts)-1]
	}
	return History{starts: append([]TermStart(nil), starts...), lastOffset: last}
}

// TermStarts returns a copy of the first offsets of the terms.
func (h History) TermStarts() []TermStart { return append([]TermStart(nil), h.starts...) }

// Last returns the position of the last entry.
func (h History) Last() Position {
	if h.lastOffset == 0 {
		return Position{}
	}
	return Position{Term: h.termAt(h.lastOffset), Offset: h.lastOffset}
}

// Contains reports whether the log holds the entry at p. Every log contains the zero position.
func (h History) Contains(p Position) bool {
	if p.IsZero() {
		return true
	}
	return p.Term > 0 && p.Offset > 0 && p.Offset <= h.lastOffset && h.termAt(p.Offset) == p.Term
}

// FirstInTerm returns the position of the first entry of the term. It reports false when the log has none.
func (h History) FirstInTerm(term Term) (Position, bool) {
	for _, start := range h.starts {
		if start.Term == term && start.First <= h.lastOffset {
			return Position{Term: term, Offset: start.First}, true
		}
	}
	return Position{}, false
}

func (h History) termAt(offset uint64) Term {
	var term Term
	for _, start := range h.starts {
		if start.First > offset {
			break
		}
		term = start.Term
	}
	return term
}
