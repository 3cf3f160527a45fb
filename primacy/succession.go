package primacy

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

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
	// Unlisted is true for a server that the platform does not list. Clients cannot be sent to it until it is listed.
	Unlisted bool
	// Ineligible is true for a server that may not become primary, because its data centre is in maintenance.
	Ineligible bool
}

// String returns the server and the end of its log, as in "s1 at 1:76 as replica in term 1".
func (s Status) String() string {
	role := "replica"
	if s.IsPrimary {
		role = "primary"
	}
	return fmt.Sprintf("%s at %s as %s in term %d", s.Server, s.Received, role, s.Term)
}

// isPreferred reports whether the server can be used as it is.
func (s Status) isPreferred() bool { return !s.Draining && !s.Unlisted }

// Answer is the answer of a server of the group to a promoter. Status has the server's name and what the platform lists
// about it also if HasAnswered is false.
type Answer struct {
	Status      Status
	HasAnswered bool
}

// Succession is the input for the choice of a successor. A Succession is immutable.
type Succession struct {
	// Candidates are the replicas that have answered and may be promoted. The old primary is one after it stepped down.
	Candidates []Status
	// Ineligible are the replicas that have answered but may not become primary. Restricted is true if any server of the
	// group may not, whether or not it has answered.
	Ineligible []Status
	Restricted bool
	// Diverged are the servers that have answered and whose logs are not part of the group's history. They may not become
	// primary before they have followed one.
	Diverged []Status
	// Replicas is the number of replicas in the group, including those that did not answer.
	Replicas int
	// Synchronous is the number of replicas that had to receive a write before it was confirmed.
	Synchronous int
	// OldPrimary is the answer of the primary that is being replaced.
	OldPrimary Answer
	record     Record
}

// String returns the logs that the decision depends on.
func (s Succession) String() string {
	known := []string{"the old primary does not answer"}
	if s.OldPrimary.HasAnswered {
		known[0] = "old primary " + s.OldPrimary.Status.String()
	}
	for _, c := range s.Candidates {
		if c.Server != s.OldPrimary.Status.Server {
			known = append(known, c.String())
		}
	}
	for _, c := range s.Ineligible {
		known = append(known, c.String()+" (ineligible)")
	}
	for _, d := range s.Diverged {
		known = append(known, d.String()+" (not in the history of the group's log)")
	}
	return strings.Join(known, ", ")
}

// NewSuccession returns the succession for the announced replacement of the record. answers has one element for each
// known server of the group, synchronous is the number of replicas that receive a write before it is confirmed.
func NewSuccession(r Record, synchronous int, answers []Answer) Succession {
	s := Succession{Synchronous: synchronous, record: r}
	isPlanned := r.Replacement != nil && r.Replacement.Planned
	for _, a := range answers {
		s.Restricted = s.Restricted || a.Status.Ineligible
		switch {
		case a.HasAnswered && a.Status.Term <= r.Term && !r.Terms.Contains(a.Status.Received):
			// A server in a later term than the record's leads, or follows a primary that the record does not name yet.
			s.Diverged = append(s.Diverged, a.Status)
			continue
		case a.Status.Server == r.Primary:
			s.OldPrimary = a
			if a.HasAnswered && !a.Status.IsPrimary && !a.Status.Draining && !a.Status.Ineligible && a.Status.Term <= r.Term {
				// It has stepped down and followed no later primary, so no server holds more.
				s.Candidates = append(s.Candidates, a.Status)
				s.Replicas++
			}
			continue
		case synchronous == 0 && a.Status.Draining && (isPlanned || !a.HasAnswered):
			// In a planned replacement the others receive everything that it has. One that does not answer is not
			// waited for, unless it may hold the only other copy of a confirmed write.
			continue
		case a.HasAnswered && a.Status.Ineligible:
			s.Ineligible = append(s.Ineligible, a.Status)
		case a.HasAnswered:
			s.Candidates = append(s.Candidates, a.Status)
		}
		s.Replicas++
	}
	if synchronous > 0 {
		return s.withOnlyCopies()
	}
	return s
}

// withOnlyCopies returns the succession of a group with synchronous replicas, in which diverged servers that hold more of the
// group's history than any candidate may become primary. What was rolled back in such a group was never confirmed, but the rest of
// their logs may have the only other copies of confirmed writes.
func (s Succession) withOnlyCopies() Succession {
	held := uint64(0)
	for _, c := range s.Candidates {
		held = max(held, s.record.Terms.Common(c.Received))
	}
	diverged := s.Diverged
	s.Diverged = nil
	for _, d := range diverged {
		switch {
		case s.record.Terms.Common(d.Received) <= held:
			s.Diverged = append(s.Diverged, d)
			continue
		case d.Ineligible:
			s.Ineligible = append(s.Ineligible, d)
		default:
			s.Candidates = append(s.Candidates, d)
		}
		s.Replicas++
	}
	return s
}

// Leader returns the server that an earlier promoter has already made the primary, or the old primary under another name.
func (s Succession) Leader() (Status, bool) {
	var newest Status
	for _, c := range slices.Concat(s.Candidates, s.Ineligible, []Status{s.OldPrimary.Status}) {
		if s.record.IsSuccessor(c) && (newest.Server == "" || c.Term > newest.Term) {
			newest = c
		}
	}
	return newest, newest.Server != ""
}

// Order returns the candidates in order of preference: the one with the most advanced log first, and among equal ones
// those that are listed and do not leave. A draining server that alone holds confirmed writes passes them on to its
// successor. It reports false while a confirmed write may exist only on replicas that did not answer.
func (s Succession) Order() ([]Status, bool) {
	ordered := slices.Clone(s.Candidates)
	slices.SortFunc(ordered, func(a, b Status) int {
		if a.Received == b.Received && a.isPreferred() != b.isPreferred() {
			if b.isPreferred() {
				return 1
			}
			return -1
		}
		return cmp.Or(b.Received.Compare(a.Received), cmp.Compare(a.Server, b.Server))
	})
	unanswered := s.Replicas - len(s.Candidates) - len(s.Ineligible)
	isComplete := len(ordered) > 0 && (s.Synchronous == 0 || unanswered < s.Synchronous)
	return ordered, isComplete
}

// IntactPrimary returns the old primary if it has answered and has followed no later one. Its log has every confirmed
// write, so it can lead the group again when the replicas that answered are not enough.
func (s Succession) IntactPrimary() (Status, bool) {
	return s.OldPrimary.Status, s.OldPrimary.HasAnswered && s.OldPrimary.Status.Term <= s.record.Term
}

// IsBehind reports whether the old primary holds more than the candidate.
func (s Succession) IsBehind(candidate Status) bool {
	return s.OldPrimary.HasAnswered && s.OldPrimary.Status.Received.Compare(candidate.Received) > 0
}
