// Package admission orders the statements that are queued for a server, and refuses those that would be admitted too
// late.
//
// It handles four patterns of load. Under overload, a statement is refused at once if the statements ahead of it take
// longer than it may wait, because a queue that only grows would make all of them late. Statements of more urgent
// priority go first. When one organisation sends many times what the others do, the organisations are admitted in turn,
// so that only its own statements wait longer. Under light load nothing is refused.
package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// decayTime is the time constant with which past admissions decay. It is a few times the usual waiting time.
	decayTime = 500 * time.Millisecond
	// turnTolerance is by how many admissions organisations may differ before the one with fewer goes first. Smaller
	// differences are random, and the order of arrival decides.
	turnTolerance = 6
)

// QueuedStatement is a statement that is queued for a server.
type QueuedStatement struct {
	Organisation string
	// Priority is zero for the most urgent statements.
	Priority int
	Arrived  time.Duration
}

// RecentAdmissions counts the recent admissions of each organisation, with exponential decay. It is immutable; the zero
// value is empty.
type RecentAdmissions struct {
	counts    map[string]float64
	updatedAt time.Duration
}

// WithAdmission returns the counts after a statement of the organisation was admitted at now.
func (r RecentAdmissions) WithAdmission(organisation string, now time.Duration) RecentAdmissions {
	// Decayed counts below this are dropped.
	const minCount = 0.05
	kept := math.Exp(-float64(now-r.updatedAt) / float64(decayTime))
	next := RecentAdmissions{counts: make(map[string]float64, len(r.counts)+1), updatedAt: now}
	for name, n := range r.counts {
		if n*kept >= minCount {
			next.counts[name] = n * kept
		}
	}
	next.counts[organisation]++
	return next
}

// Order returns the indices of the waiting statements in the order of admission: by priority, then by the number of
// recent admissions and earlier waiting statements of their organisation, then by arrival.
func Order(waiting []QueuedStatement, recent RecentAdmissions) []int {
	order := make([]int, len(waiting))
	for i := range order {
		order[i] = i
	}
	if len(waiting) < 2 {
		return order
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(waiting[a].Arrived, waiting[b].Arrived) })
	before := make(map[string]float64, len(waiting))
	turn := make([]float64, len(waiting))
	for _, i := range order {
		name := waiting[i].Organisation
		turn[i] = math.Floor((recent.counts[name] + before[name]) / turnTolerance)
		before[name]++
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(waiting[a].Priority, waiting[b].Priority), cmp.Compare(turn[a], turn[b]))
	})
	return order
}

// Server holds what is needed to estimate the waiting time for a server.
type Server struct {
	// Slots is the number of statements that the server runs concurrently; zero means unknown.
	Slots int
	// ServiceTime is the mean time that a statement runs.
	ServiceTime time.Duration
}

// Decision is the decision about a statement that cannot be admitted yet. It is one of Queued and Refused.
type Decision interface{ decision() }

// Queued means that the statement stays in the queue.
type Queued struct{}

// Refused means that the statement would be admitted later than it may wait.
type Refused struct {
	// Expected is the estimated time until admission.
	Expected time.Duration
}

func (Queued) decision()  {}
func (Refused) decision() {}

// Decide decides about a statement that has waited for some time, may wait up to limit, and has a number of statements
// ahead of it.
func Decide(s Server, ahead int, waited, limit time.Duration) Decision {
	expected := time.Duration(0)
	if s.Slots > 0 {
		expected = s.ServiceTime * time.Duration(ahead) / time.Duration(s.Slots)
	}
	if waited >= limit || waited+expected > limit {
		return Refused{Expected: expected}
	}
	return Queued{}
}
