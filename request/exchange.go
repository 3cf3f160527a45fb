// Package request decides for one request of a caller: whether it may be sent again, how long its confirmation is
// held back, and which outcome follows from what was sent and received.
package request

import (
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Event is what happens to a request. It is one of Sent, Completed, Committed, Relayed, Refused, Finished and Settled. A
// request that gets no Finished any more has lost its server connection.
type Event interface{ event() }

// Sent says that the first byte of the request may have reached the server.
type Sent struct{}

// Completed says that the server reported the end of a command. Synchronised is true when the server will report
// Finished without any further message of the caller.
type Completed struct {
	Tag          string
	Synchronised bool
}

// Committed says that the server committed a write at a position.
type Committed struct{ Position group.Position }

// ResponseStarted says that the first byte of the answer may have reached the caller.
type ResponseStarted struct{}

// Refused says that the server refused a write because it is not the primary.
type Refused struct{}

// Finished says that the server has answered the whole request.
type Finished struct{}

// AcknowledgmentEnded says how the wait for the acknowledgment of a committed write ended.
type AcknowledgmentEnded struct{ Err error }

func (Sent) event()                {}
func (Completed) event()           {}
func (Committed) event()           {}
func (ResponseStarted) event()     {}
func (Refused) event()             {}
func (Finished) event()            {}
func (AcknowledgmentEnded) event() {}

// Exchange is what is known of one request. An Exchange is never changed in place. The zero value is a
// non-idempotent write that starts a transaction and has not been sent.
type Exchange struct {
	// Read is true when the server was told to run the request read-only.
	Read bool
	// Idempotent requests may run twice.
	Idempotent bool
	// InTransaction is true when the request belongs to a transaction that earlier requests started.
	InTransaction bool

	sent     bool
	holding  bool
	relayed  bool
	refused  bool
	finished bool
	settled  bool
	// repeated is true when an earlier attempt may have run.
	repeated bool
	err      error
	position group.Position
}

// WithEvent returns the exchange after an event.
func (e Exchange) WithEvent(event Event) Exchange {
	switch event := event.(type) {
	case Sent:
		e.sent = true
	case Completed:
		e.holding = e.holding || !e.Read && (event.Synchronised || commits(event.Tag))
	case Committed:
		e.position = event.Position
	case ResponseStarted:
		e.relayed = true
	case Finished:
		e.finished = true
	case AcknowledgmentEnded:
		e.settled = true
		e.err = event.Err
	case Refused:
		e.refused = !e.Read
	}
	return e
}

// ForRetry returns the exchange of the same request before it was sent, for another attempt.
func (e Exchange) ForRetry() Exchange {
	return Exchange{
		Read: e.Read, Idempotent: e.Idempotent, InTransaction: e.InTransaction,
		repeated: e.repeated || e.sent && !e.Read && !e.IsRefused(),
	}
}

// HoldsResponse reports whether the messages of the answer from here on are held back. A command's end may confirm a write
// of which the position is only reported at the end of the answer.
func (e Exchange) HoldsResponse() bool { return e.holding }

// PendingAcknowledgment returns the position that has to be acknowledged before the answer is confirmed.
func (e Exchange) PendingAcknowledgment() (group.Position, bool) {
	return e.position, e.finished && !e.settled && !e.position.IsZero()
}

// IsRefused reports whether the request ended without an effect because the server is not the primary.
func (e Exchange) IsRefused() bool { return e.refused && e.finished && e.position.IsZero() }

// MayRetry reports whether the request may be sent to a server again.
func (e Exchange) MayRetry() bool {
	switch {
	case e.InTransaction || e.relayed:
		return false
	case e.finished:
		return e.IsRefused()
	}
	return !e.sent || e.Read || e.Idempotent
}

// Outcome returns what is known about the request.
func (e Exchange) Outcome() port.Outcome {
	switch {
	case !e.sent && !e.repeated:
		return port.NotRun
	case !e.finished:
		return port.Unknown
	case e.position.IsZero() || e.settled && e.err == nil:
		return port.Done
	case e.settled && port.KindOf(e.err).Codes().Outcome == port.Discarded:
		return port.Discarded
	}
	return port.Unknown
}

// HadNoEffect reports whether the request certainly changed nothing. ended is true when the server reported that no
// transaction is open.
func (e Exchange) HadNoEffect(ended bool) bool {
	return !e.sent || e.Read || ended && e.finished && e.position.IsZero()
}

// commits reports whether a command with the tag may end a transaction by itself.
func commits(tag string) bool {
	return tag == "COMMIT" || tag == "CALL" || tag == "DO" || tag == "COMMIT PREPARED"
}
