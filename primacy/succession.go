package primacy

import (
	"cmp"
	"slices"

	"github.com/rhubarbwick/rhubarbwick/group"
)

// Status is what a server says of itself.
type Status struct {
	Server string
	// Leads is true when the server sees itself as primary of Term.
	Leads bool
	Term  group.Term
	// Received is the last position that the server's log holds.
	Received group.Position
}

// Succession is what a promoter knows when it chooses a successor. A Succession is never changed in place.
type Succession struct {
	// Candidates have answered and may be promoted.
	Candidates []Status
	// Replicas is the number of the group's replicas, those that did not answer included.
	Replicas int
	// Synchronous is the number of replicas that held a write before it was confirmed.
	Synchronous int
}

// Order returns the candidates in the order in which they are to be promoted: the one that received most first. It
// reports false while a confirmed write may be held only by replicas that did not answer.
func (s Succession) Order() ([]Status, bool) {
	ordered := slices.Clone(s.Candidates)
	slices.SortFunc(ordered, func(a, b Status) int {
		return cmp.Or(b.Received.Compare(a.Received), cmp.Compare(a.Server, b.Server))
	})
	unanswered := s.Replicas - len(s.Candidates)
	isComplete := len(ordered) > 0 && (s.Synchronous == 0 || unanswered < s.Synchronous)
	return ordered, isComplete
}
