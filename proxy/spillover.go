package proxy

import (
	"errors"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// SpillRoute says how a read may be routed between data centres: SpillOffer, SpillAway or SpillReturned. It is nil for a
// statement that spill-over does not affect. A read starts as an offer, and goes away and returns at most once.
type SpillRoute interface{ spillRoute() }

// SpillOffer is a read that the owner of a pool in its data centre may send away. Bytes is the expected size of the read
// and its answer.
type SpillOffer struct{ Bytes int }

// SpillAway is a read that is sent to a server in another data centre. The owner of the server's pool refuses it if the
// expected wait is above MaxWait.
type SpillAway struct {
	Server  string
	MaxWait time.Duration
}

// SpillReturned is a read that stays in its data centre. If it was refused elsewhere, Server is the server there and Load
// what the owner of its pool stated. Lost is true if that owner could not be reached.
type SpillReturned struct {
	Server string
	Load   dispatch.PoolLoad
	Lost   bool
}

func (SpillOffer) spillRoute()    {}
func (SpillAway) spillRoute()     {}
func (SpillReturned) spillRoute() {}

// SpillRefusal is the error of a read that the owner of a pool refused because of its load. Nothing was sent to a server.
type SpillRefusal struct {
	Err error
	// Load is what the owner knows about its server.
	Load dispatch.PoolLoad
	// Advice is where the read should be sent; it has no server if the read should return.
	Advice SpillAway
}

// Error describes the refusal.
func (r *SpillRefusal) Error() string { return r.Err.Error() }

// Unwrap returns the cause, which is of kind Busy.
func (r *SpillRefusal) Unwrap() error { return r.Err }

// nextSpillRoute returns the route of a read's next attempt. used is the route of the attempt before it, whose error is nil
// if a server refused the read.
func nextSpillRoute(used SpillRoute, err error) SpillRoute {
	refusal := spillRefusalOf(err)
	switch used := used.(type) {
	case SpillOffer:
		switch {
		case refusal != nil && refusal.Advice.Server != "":
			return refusal.Advice
		case err != nil && port.KindOf(err) == port.Busy:
			// The owner of the local pool has decided that the read stays, and that it would be late there.
			return SpillReturned{}
		default:
			return used
		}
	case SpillAway:
		returned := SpillReturned{Server: used.Server}
		if refusal != nil {
			returned.Load = refusal.Load
		}
		var notSent *NotSentError
		returned.Lost = errors.As(err, &notSent) && notSent.OwnerUnavailable
		return returned
	default:
		return used
	}
}

// spillRefusalOf returns the refusal that caused the error, or nil.
func spillRefusalOf(err error) *SpillRefusal {
	var refusal *SpillRefusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return nil
}

// NotSent returns the refusal as the borrower's error.
func (r LoanRefusal) NotSent() *NotSentError {
	err := port.Errorf(r.Kind, "%s", r.Text)
	if r.Spill != nil {
		err = &SpillRefusal{Err: err, Load: r.Spill.Load, Advice: r.Spill.Advice}
	}
	return &NotSentError{Err: err, OwnerUnavailable: r.OwnerUnavailable}
}
