package primacy

import (
	"cmp"
	"slices"

	"github.com/rhubarbwick/rhubarbwick/group"
)

// Status is what a server reports about itself.
type Status struct {
	Server string
	// IsPrimary is true when the server regards itself as the primary of Term.
	IsPrimary bool
	Term      group.Term
	// Received is the last position in the server's log.
	Received group.Position
	// Draining is true for a server that is about to leave.
	Draining bool
}

// Succession is the input for the choice of a successor. A Succession is immutable.
type Succession struct {
	// Candidates are the replicas that have answered and may be promoted.
	Candidates []Status
	// Replicas is the number of replicas in the group, including those that did not answer.
	Replicas int
	// Synchronous is the number of replicas that had to receive a write before it was confirmed.
	Synchronous int
}

// Order returns the candidates in order of preference: the one with the most advanced log first, and among equal ones
// those that do not leave. A draining server that alone holds confirmed writes passes them on to its successor. It
// reports false while
// a confirmed write may exist only on replicas that did not answer.
func (s Succession) Order() ([]Status, bool) {
	ordered := slices.Clone(s.Candidates)
	slices.SortFunc(ordered, func(a, b Status) int {
		if a.Received == b.Received && a.Draining != b.Draining {
			if a.Draining {
				return 1
			}
			return -1
		}
		return cmp.Or(b.Received.Compare(a.Received), cmp.Compare(a.Server, b.Server))
	})
	unanswered := s.Replicas - len(s.Candidates)
	isComplete := len(ordered) > 0 && (s.Synchronous == 0 || unanswered < s.Synchronous)
	return ordered, isComplete
}
