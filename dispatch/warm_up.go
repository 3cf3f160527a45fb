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

// preference orders the candidates that can run a statement.
type preference struct {
	isEjected bool
	warmUp    WarmUp
	cost      time.Duration
}

// isBefore reports whether a candidate is better than another one. Servers that are ejected are used only if there is no
// other. Statements go to warm servers first: a cold one answers slowly, and each statement there is taken from a small
// budget. This handles the load of a group after the restart of one of its servers, whose short queue would otherwise
// attract all reads.
func (p preference) isBefore(other preference) bool {
	if p.isEjected != other.isEjected {
		return other.isEjected
	}
	if p.warmUp != other.warmUp {
		return p.warmUp < other.warmUp
	}
	return p.cost < other.cost
}

// isUnwanted reports whether a statement rather waits until a connection to another server is open.
func (p preference) isUnwanted() bool { return p.isEjected || p.warmUp != Warm }

func (c Candidate) preference(cost time.Duration) preference {
	return preference{isEjected: c.Ejected, warmUp: c.WarmUp, cost: cost}
}
