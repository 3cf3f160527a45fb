// Package dispatch decides on which server of a group a statement runs, and which instances own the connection pool of
// a server.
package dispatch

import (
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
)

const (
	// initialLatency is the assumed latency of a server that has not answered yet.
	initialLatency = 20 * time.Millisecond
	// latencyWeight is the divisor of a new sample in the moving average of the latency.
	latencyWeight = 8
	// lagPause is how long a replica that lacked a position is not asked for that position again. The pause doubles up
	// to maxLagPause while the replica still lacks it.
	lagPause    = 80 * time.Millisecond
	maxLagPause = time.Second
	// failurePause is how long a server is skipped after it was unreachable. It doubles up to maxFailurePause.
	failurePause    = 200 * time.Millisecond
	maxFailurePause = time.Second
	// An answer counts as lost after overdueFactor times the mean latency, but not before minOverdue. The factor is
	// large because statements differ by more than an order of magnitude.
	overdueFactor = 10
	minOverdue    = 250 * time.Millisecond
	// busyPause is how long a server is skipped after it refused a statement because its queue was full.
	busyPause = 25 * time.Millisecond
)

// Role is the role that a server reports for itself.
type Role int

// The roles of a server.
const (
	Replica Role = iota
	Primary
)

// Listing is what the platform publishes about a server.
type Listing struct {
	Name       string
	Group      string
	Address    string
	DataCentre string
	Role       Role
	// Slots is the number of statements that the server runs concurrently.
	Slots int
	// Draining is true for a server that gets no new statements.
	Draining bool
	// Incarnation distinguishes the successive processes of a server with the same name.
	Incarnation int64
	// Cold is true for a server that has started recently and is still slow.
	Cold bool
}

// Server is what an instance knows about a server. A Server is immutable.
type Server struct {
	Listing Listing
	// Outstanding is the number of statements from this instance that the server has not answered.
	Outstanding int
	latency     time.Duration
	// applied is the last position that the server is known to have applied.
	applied group.Position
	// missing is the position that the server last lacked. It is not asked for that position before missingUntil.
	missing      group.Position
	missingUntil time.Duration
	lagPause     time.Duration
	// pausedUntil is when the server may be used again after a failure, and refusingUntil after a refusal.
	pausedUntil   time.Duration
	refusingUntil time.Duration
	failurePause  time.Duration
}

// NewServer returns a server about which nothing else is known.
func NewServer(l Listing) Server { return Server{Listing: l, latency: initialLatency} }

// WithListing returns the server with newer information. Observations of an earlier process or of another address are
// dropped.
func (s Server) WithListing(l Listing) Server {
	if l.Incarnation != s.Listing.Incarnation || l.Address != s.Listing.Address {
		outstanding := s.Outstanding
		s = NewServer(l)
		s.Outstanding = outstanding
		return s
	}
	s.Listing = l
	return s
}

// WithOutstanding returns the server with n more statements outstanding.
func (s Server) WithOutstanding(n int) Server {
	s.Outstanding = max(s.Outstanding+n, 0)
	return s
}

// WithAnswer returns the server after it answered a statement in the given time. A zero position means unknown.
func (s Server) WithAnswer(p group.Position, took time.Duration) Server {
	s.latency += (took - s.latency) / latencyWeight
	return s.WithConnected(p)
}

// WithConnected returns the server after it accepted a connection. The handshake takes longer than a statement, so it
// does not count towards the latency.
func (s Server) WithConnected(p group.Position) Server {
	s.failurePause = 0
	if p.Compare(s.applied) > 0 || p.Term > s.applied.Term {
		s.applied = p
	}
	if s.applied.Compare(s.missing) >= 0 {
		s.missingUntil, s.lagPause = 0, 0
	}
	return s
}

// WithMissingPosition returns the server after it refused a read at now because it had not applied the position.
func (s Server) WithMissingPosition(p group.Position, now time.Duration) Server {
	s.lagPause = min(max(2*s.lagPause, lagPause), maxLagPause)
	s.missing, s.missingUntil = p, now+s.lagPause
	return s
}

// WithRefusal returns the server after it refused a statement at now because it was overloaded.
func (s Server) WithRefusal(now time.Duration) Server {
	s.refusingUntil = max(s.refusingUntil, now+busyPause)
	return s
}

// Latency returns the moving average of the time until an answer.
func (s Server) Latency() time.Duration { return s.latency }

// OverdueAfter returns the time after which an outstanding answer counts as lost.
func (s Server) OverdueAfter() time.Duration { return max(overdueFactor*s.latency, minOverdue) }

// IsUp reports whether the server may be used at now, that is, it is not skipped because of a recent failure.
func (s Server) IsUp(now time.Duration) bool { return now >= s.pausedUntil }

// IsRefusing reports whether the server is skipped at now because it recently refused a statement as overloaded.
func (s Server) IsRefusing(now time.Duration) bool { return now < s.refusingUntil }

// WithFailure returns the server after it was unreachable or did not answer at now.
func (s Server) WithFailure(now time.Duration) Server {
	s.failurePause = min(max(2*s.failurePause, failurePause), maxFailurePause)
	s.pausedUntil = now + s.failurePause
	return s
}

// mayHold reports whether the server can be expected to have applied the position at now. Replicas apply the log
// continuously, so a position is ruled out only for a time after a refusal.
func (s Server) mayHold(p group.Position, now time.Duration) bool {
	if s.applied.Compare(p) >= 0 {
		return true
	}
	return now >= s.missingUntil || p.Compare(s.missing) < 0
}
