// Package admission decides which of the statements that wait for a server gets its turn, and which are refused because
// their turn would come too late.
//
// It answers four patterns of load. When more arrives than a server can run, a statement is refused at once if those ahead
// of it already fill its time: a queue that only grows would make all of them late. When statements of several priorities
// wait, the more urgent ones go first. When one organisation sends many times what the others do, the organisations take
// turns, so that only its own statements wait longer. When load is light, nothing is refused.
package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// sharesSpan is the time over which the turns of an organisation are remembered. It is a few times what statements wait.
	sharesSpan = 500 * time.Millisecond
	// evenTurns is how many turns organisations may differ by before the one with fewer goes first. Smaller differences come
	// by chance, and arrival decides.
	evenTurns = 6
)

// QueuedStatement is a statement that waits for a server.
type QueuedStatement struct {
	Organisation string
	// Priority zero comes first.
	Priority int
	Arrived  time.Duration
}

// RecentAdmissions counts the turns that organisations had of late. A Shares is never changed in place; the zero value has seen none.
type RecentAdmissions struct {
	turns map[string]float64
	at    time.Duration
}

// WithAdmission returns the shares after the organisation had a turn at now.
func (s RecentAdmissions) WithAdmission(organisation string, now time.Duration) RecentAdmissions {
	// Turns below this are over.
	const least = 0.05
	kept := math.Exp(-float64(now-s.at) / float64(sharesSpan))
	next := RecentAdmissions{turns: make(map[string]float64, len(s.turns)+1), at: now}
	for name, n := range s.turns {
		if n*kept >= least {
			next.turns[name] = n * kept
		}
	}
	next.turns[organisation]++
	return next
}

// Order returns the positions of the waiting statements in the order of their turns: by priority, then by how many turns
// their organisation had and has to come before, then by arrival.
func Order(waiting []QueuedStatement, s RecentAdmissions) []int {
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
		turn[i] = math.Floor((s.turns[name] + before[name]) / evenTurns)
		before[name]++
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(waiting[a].Priority, waiting[b].Priority), cmp.Compare(turn[a], turn[b]))
	})
	return order
}

// Server is what a forecast needs of a server.
type Server struct {
	// Slots is the number of statements that it runs at the same time; zero is not known.
	Slots int
	// ServiceTime is how long a statement runs in the mean.
	ServiceTime time.Duration
}

// Decision is what becomes of a statement whose turn has not come. It is one of Waits and Refused.
type Decision interface{ verdict() }

// Queued lets the statement wait.
type Queued struct{}

// Refused says that the turn would come later than the statement may wait.
type Refused struct {
	// Expected is when the turn would come.
	Expected time.Duration
}

func (Queued) verdict()  {}
func (Refused) verdict() {}

// Decide decides about a statement that has waited, and may wait up to limit, behind others that have their turn before it.
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
