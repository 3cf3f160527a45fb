package primacy

import (
	"fmt"
	"slices"

	"github.com/rhubarbwick/rhubarbwick/group"
)

// maxTermStarts limits how many terms a record lists. The logs of a group's servers rarely differ by more than a few terms. A log
// that ends in a term before the listed ones may be taken for a diverged one, but never the other way round.
const maxTermStarts = 16

// TermHistory lists the terms of a group's history in ascending order, each with the offset of its first entry. Terms whose
// entries were all rolled back are not listed, nor are those before the first known promotion. A TermHistory is immutable; the zero
// value is the history of a group without a known promotion.
//
// Replication is asynchronous, so the log of a former primary may have entries that its successor never received. Once the
// successor has been used, these entries must not be in force again, although they may have higher offsets than any other log.
type TermHistory []group.TermStart

// WithTerm returns the history after a server whose log ended at the position became the primary of the term.
func (h TermHistory) WithTerm(term group.Term, last group.Position) TermHistory {
	// The new primary's log has no entry of a term that starts after it, or that is later than its last one.
	next := slices.DeleteFunc(slices.Clone(h), func(s group.TermStart) bool { return s.First > last.Offset || s.Term > last.Term })
	next = append(next, group.TermStart{Term: term, First: last.Offset + 1})
	if len(next) > maxTermStarts {
		// The oldest term starts where the one before it did, so that no log of the dropped term counts as contained.
		next[1].First = next[0].First
		next = next[1:]
	}
	return next
}

// Contains reports whether a log that ends at the position is part of the history: it may lack entries but has none that
// were rolled back.
func (h TermHistory) Contains(last group.Position) bool { return h.Common(last) == last.Offset }

// Common returns the offset up to which a log that ends at the position is part of the history.
func (h TermHistory) Common(last group.Position) uint64 {
	for _, s := range h {
		if s.Term > last.Term {
			return min(last.Offset, s.First-1)
		}
	}
	return last.Offset
}

// validate checks that terms and offsets ascend.
func (h TermHistory) validate() error {
	for i := 1; i < len(h); i++ {
		if h[i].Term <= h[i-1].Term || h[i].First <= h[i-1].First {
			return fmt.Errorf("term %d at offset %d does not follow term %d at offset %d", h[i].Term, h[i].First, h[i-1].Term, h[i-1].First)
		}
	}
	return nil
}
