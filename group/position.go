// Package group decides for one database group: which log contains which write, when a write may be
// acknowledged, and which server becomes primary after a failure.
package group

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// Term numbers the successive primaries of a group. A greater term replaces every smaller one.
type Term uint64

// Position is a place in a group's log: the term in which the entry was written and its offset. The zero
// value lies before every entry.
type Position struct {
	Term   Term
	Offset uint64
}

// ParsePosition reads the text form "term:offset".
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

// TermStart is the part of a log that was written in one term.
type TermStart struct {
	Term  Term
	First uint64
}

// History lists the eras of a log in order of their terms, and the offset of its last entry. The zero value
// is the history of an empty log. Offsets start at one.
type History struct {
	eras []TermStart
	last uint64
}

// NewHistory returns the history of a log that ends at offset last. It copies eras.
func NewHistory(last uint64, eras ...TermStart) History {
	return History{eras: append([]TermStart(nil), eras...), last: last}
}

// ParseHistory reads the text form "last;term@first,term@first".
func ParseHistory(s string) (History, error) {
	lastText, erasText, found := strings.Cut(s, ";")
	if !found {
		return History{}, fmt.Errorf("history %q has no last offset", s)
	}
	last, err := strconv.ParseUint(lastText, 10, 64)
	if err != nil {
		return History{}, fmt.Errorf("history %q has an invalid last offset: %w", s, err)
	}
	h := History{last: last}
	if erasText == "" {
		return h, nil
	}
	for _, text := range strings.Split(erasText, ",") {
		era, err := parseEra(text)
		if err != nil {
			return History{}, fmt.Errorf("history %q: %w", s, err)
		}
		if n := len(h.eras); n > 0 && (era.Term <= h.eras[n-1].Term || era.First <= h.eras[n-1].First) {
			return History{}, fmt.Errorf("history %q has era %q out of order", s, text)
		}
		h.eras = append(h.eras, era)
	}
	if final := h.eras[len(h.eras)-1]; final.First > h.last+1 {
		return History{}, fmt.Errorf("history %q ends before its term %d starts", s, final.Term)
	}
	return h, nil
}

func parseEra(s string) (TermStart, error) {
	// An era has the text form of a position with another separator.
	first, err := ParsePosition(strings.Replace(s, "@", ":", 1))
	if err != nil || !strings.Contains(s, "@") || first.Term == 0 || first.Offset == 0 {
		return TermStart{}, fmt.Errorf("era %q is not of the form term@first", s)
	}
	return TermStart{Term: first.Term, First: first.Offset}, nil
}

// String returns the text form "last;term@first,term@first".
func (h History) String() string {
	var b strings.Builder
	b.WriteString(strconv.FormatUint(h.last, 10))
	b.WriteByte(';')
	for i, era := range h.eras {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%d@%d", era.Term, era.First)
	}
	return b.String()
}

// WithTerm returns the history with a new era that starts after the last entry.
func (h History) WithTerm(term Term) History {
	eras := append(append([]TermStart(nil), h.eras...), TermStart{Term: term, First: h.last + 1})
	return History{eras: eras, last: h.last}
}

// WithLast returns the history of the same log when it ends at offset last.
func (h History) WithLast(last uint64) History {
	eras := h.eras
	for len(eras) > 0 && eras[len(eras)-1].First > last {
		eras = eras[:len(eras)-1]
	}
	return History{eras: append([]TermStart(nil), eras...), last: last}
}

// TermStarts returns a copy of the eras.
func (h History) TermStarts() []TermStart { return append([]TermStart(nil), h.eras...) }

// Last returns the position of the last entry.
func (h History) Last() Position {
	if h.last == 0 {
		return Position{}
	}
	return Position{Term: h.termAt(h.last), Offset: h.last}
}

// Contains reports whether the log holds the entry at p. Every log contains the zero position.
func (h History) Contains(p Position) bool {
	if p.IsZero() {
		return true
	}
	return p.Term > 0 && p.Offset > 0 && p.Offset <= h.last && h.termAt(p.Offset) == p.Term
}

// FirstOf returns the position of the first entry of a term. It reports false when the log holds none.
func (h History) FirstOf(term Term) (Position, bool) {
	for _, era := range h.eras {
		if era.Term == term && era.First <= h.last {
			return Position{Term: term, Offset: era.First}, true
		}
	}
	return Position{}, false
}

func (h History) termAt(offset uint64) Term {
	var term Term
	for _, era := range h.eras {
		if era.First > offset {
			break
		}
		term = era.Term
	}
	return term
}
