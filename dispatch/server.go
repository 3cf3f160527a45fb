// Package dispatch decides at which server of a group a statement runs, and which statements wait or are refused when
// there are more than the servers can take.
package dispatch

import (
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
)

const (
	// initialLatency is what a statement is assumed to take at a server that has not answered yet.
	initialLatency = 20 * time.Millisecond
	// latencyWeight is the weight of a new answer time in the running mean, as a divisor.
	latencyWeight = 8
	// lagPause is how long a replica that lacked a position is not asked for that position again. The pause doubles up
	// to maxLagPause while the replica goes on lacking it.
	lagPause    = 80 * time.Millisecond
	maxLagPause = time.Second
	// failurePause is how long a server is passed over after it could not be reached; it doubles up to maxFailurePause.
	failurePause    = 200 * time.Millisecond
	maxFailurePause = time.Second
	// overdueShare is how many times the mean time an answer takes until it counts as lost, and overdueLeast the least such
	// time: statements differ by more than an order of magnitude.
	overdueShare = 10
	overdueLeast = 250 * time.Millisecond
	// busyPause is how long a server is passed over after it refused a statement because its queue was full.
	busyPause = 25 * time.Millisecond
)

// Role is how a server sees itself.
type Role int

// The roles of a server.
const (
	Replica Role = iota
	Primary
)

// Listing is what the platform says of a server.
type Listing struct {
	Name       string
	Group      string
	Address    string
	DataCentre string
	Role       Role
	// Slots is the number of statements that the server runs at the same time.
	Slots int
	// Departing servers get no new work.
	Departing bool
	// Incarnation tells the starts of a server of one name apart.
	Incarnation int64
}

// Server is what an instance knows of a server. A Server is never changed in place.
type Server struct {
	Listing Listing
	// Outstanding is the number of statements of this instance that the server has not answered.
	Outstanding int
	latency     time.Duration
	// applied is the last position that the server is known to have applied.
	applied group.Position
	// lacked is the position that the server last lacked, until lackedUntil.
	lacked      group.Position
	lackedUntil time.Duration
	lagPause    time.Duration
	// pausedUntil is when the server may be asked again after a failure, and refusingUntil after a refusal.
	pausedUntil   time.Duration
	refusingUntil time.Duration
	failurePause  time.Duration
}

// NewServer returns a server of which only the listing is known.
func NewServer(l Listing) Server { return Server{Listing: l, latency: initialLatency} }

// WithListing returns the server with a newer listing. What was learnt of an earlier start no longer holds.
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

// WithAnswer returns the server after it answered a statement that took the time. A position of zero tells nothing.
func (s Server) WithAnswer(p group.Position, took time.Duration) Server {
	s.latency += (took - s.latency) / latencyWeight
	return s.WithConnected(p)
}

// WithConnected returns the server after it accepted a connection, which takes longer than a statement.
func (s Server) WithConnected(p group.Position) Server {
	s.failurePause = 0
	if p.Compare(s.applied) > 0 || p.Term > s.applied.Term {
		s.applied = p
	}
	if s.applied.Compare(s.lacked) >= 0 {
		s.lackedUntil, s.lagPause = 0, 0
	}
	return s
}

// WithMissingPosition returns the server after it refused a read at now because its log lacked the position.
func (s Server) WithMissingPosition(p group.Position, now time.Duration) Server {
	s.lagPause = min(max(2*s.lagPause, lagPause), maxLagPause)
	s.lacked, s.lackedUntil = p, now+s.lagPause
	return s
}

// WithRefusal returns the server after it refused a statement at now because it had too much work.
func (s Server) WithRefusal(now time.Duration) Server {
	s.refusingUntil = max(s.refusingUntil, now+busyPause)
	return s
}

// Latency returns the mean time of an answer.
func (s Server) Latency() time.Duration { return s.latency }

// OverdueAfter returns how long an answer takes at most, as far as the answers before it tell.
func (s Server) OverdueAfter() time.Duration { return max(overdueShare*s.latency, overdueLeast) }

// IsUp reports whether the server is not passed over at now because of a failure.
func (s Server) IsUp(now time.Duration) bool { return now >= s.pausedUntil }

// IsRefusing reports whether the server refused a statement just before now because it had too much work.
func (s Server) IsRefusing(now time.Duration) bool { return now < s.refusingUntil }

// WithFailure returns the server after it could not be reached, or did not answer, at now.
func (s Server) WithFailure(now time.Duration) Server {
	s.failurePause = min(max(2*s.failurePause, failurePause), maxFailurePause)
	s.pausedUntil = now + s.failurePause
	return s
}

// holds reports whether the server may be expected to have applied the position at now. What a replica has applied grows
// all the time, so only a recent refusal speaks against it.
func (s Server) holds(p group.Position, now time.Duration) bool {
	if s.applied.Compare(p) >= 0 {
		return true
	}
	return now >= s.lackedUntil || p.Compare(s.lacked) < 0
}
