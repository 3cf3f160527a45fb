package dispatch

import "time"

// WarmUp states whether a server is limited because it may have started recently.
type WarmUp int

// The states of a server, the most preferred first.
const (
	// Warm servers are not limited.
	Warm WarmUp = iota
	// Cold servers are limited, and are expected to serve the statement.
	Cold
	// ColdExhausted servers are limited, and this instance may not send another statement to them now.
	ColdExhausted
)

// isPreferred reports whether the candidate is better than another one with the given state and cost. Statements go to
// warm servers first: a cold one answers slowly, and each statement there is taken from a small budget. This handles the
// load of a group after the restart of one of its servers, whose short queue would otherwise attract all reads.
func (c Candidate) isPreferred(cost time.Duration, other WarmUp, otherCost time.Duration) bool {
	if c.WarmUp != other {
		return c.WarmUp < other
	}
	return cost < otherCost
}
