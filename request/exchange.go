// Package request tracks the state of client requests. It decides whether a request may be retried, how long its
// confirmation is held back, and which outcome is reported when it fails.
package request

import (
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Event is something that happens to a request. It is one of Sent, Completed, Committed, ResponseStarted, Refused,
// Finished and AcknowledgmentEnded. A request whose server connection is lost gets no Finished event.
type Event interface{ event() }

// Sent means that the first byte of the request may have reached the server.
type Sent struct{}

// Completed means that the server reported the completion of a command with its command tag. Synchronised is true if
// the server will finish the request without another message from the client.
type Completed struct {
	Tag          string
	Synchronised bool
}

// Committed means that the server committed a write at a log position.
type Committed struct{ Position group.Position }

// ResponseStarted means that the first byte of the response may have reached the client.
type ResponseStarted struct{}

// Refused means that the server rejected a write because it is not the primary.
type Refused struct{}

// Finished means that the server has sent the complete response.
type Finished struct{}

// AcknowledgmentEnded is the result of the wait for the replicas' acknowledgment of a committed write.
type AcknowledgmentEnded struct{ Err error }

func (Sent) event()                {}
func (Completed) event()           {}
func (Committed) event()           {}
func (ResponseStarted) event()     {}
func (Refused) event()             {}
func (Finished) event()            {}
func (AcknowledgmentEnded) event() {}

// Exchange is the state of one request and its response. It is immutable. The zero value is a non-idempotent write that
// has not been sent and is not part of an open transaction.
type Exchange struct {
	// Read is true if the server was told to run the request read-only.
	Read bool
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// InTransaction is true if the request belongs to a transaction that an earlier request started.
	InTransaction bool

	sent                bool
	holdsResponse       bool
	responseStarted     bool
	rejected            bool
	finished            bool
	acknowledgmentEnded bool
	// earlierAttemptSent is true if an earlier attempt may have run.
	earlierAttemptSent bool
	acknowledgmentErr  error
	position           group.Position
}

// WithEvent returns the exchange after an event.
func (e Exchange) WithEvent(event Event) Exchange {
	switch event := event.(type) {
	case Sent:
		e.sent = true
	case Completed:
		e.holdsResponse = e.holdsResponse || !e.Read && (event.Synchronised || mayEndTransaction(event.Tag))
	case Committed:
		e.position = event.Position
	case ResponseStarted:
		e.responseStarted = true
	case Finished:
		e.finished = true
	case AcknowledgmentEnded:
		e.acknowledgmentEnded = true
		e.acknowledgmentErr = event.Err
	case Refused:
		e.rejected = !e.Read
	}
	return e
}

// ForRetry returns the initial state of another attempt at the same request.
func (e Exchange) ForRetry() Exchange {
	return Exchange{
		Read: e.Read, Idempotent: e.Idempotent, InTransaction: e.InTransaction,
		earlierAttemptSent: e.earlierAttemptSent || e.sent && !e.Read && !e.IsRefused(),
	}
}

// HoldsResponse reports whether the remaining messages of the response must be held back. The completion of a command
// confirms a write to the client, but its position is reported only at the end of the response.
func (e Exchange) HoldsResponse() bool { return e.holdsResponse }

// PendingAcknowledgment returns the position that replicas have to acknowledge before the response is released. It
// returns false if the request does not wait for an acknowledgment.
func (e Exchange) PendingAcknowledgment() (group.Position, bool) {
	return e.position, e.finished && !e.acknowledgmentEnded && !e.position.IsZero()
}

// IsRefused reports whether the request had no effect because the server is not the primary.
func (e Exchange) IsRefused() bool { return e.rejected && e.finished && e.position.IsZero() }

// MayRetry reports whether the request may be sent to a server again. A request whose response has started is not
// retried, because the client would see two responses.
func (e Exchange) MayRetry() bool {
	switch {
	case e.InTransaction || e.responseStarted:
		return false
	case e.finished:
		return e.IsRefused()
	}
	return !e.sent || e.Read || e.Idempotent
}

// Outcome returns what is known about the request's effect.
func (e Exchange) Outcome() port.Outcome {
	switch {
	case !e.sent && !e.earlierAttemptSent:
		return port.NotRun
	case !e.finished:
		return port.Unknown
	case e.position.IsZero() || e.acknowledgmentEnded && e.acknowledgmentErr == nil:
		return port.Done
	case e.acknowledgmentEnded && port.KindOf(e.acknowledgmentErr).Codes().Outcome == port.Discarded:
		return port.Discarded
	}
	return port.Unknown
}

// HadNoEffect reports whether the request is known to have changed nothing. idle is true if the server reported that no
// transaction is open.
func (e Exchange) HadNoEffect(idle bool) bool {
	return !e.sent || e.Read || idle && e.finished && e.position.IsZero()
}

// mayEndTransaction reports whether a command with the tag may have ended a transaction by itself.
func mayEndTransaction(tag string) bool {
	return tag == "COMMIT" || tag == "CALL" || tag == "DO" || tag == "COMMIT PREPARED"
}
