package request

import "maps"

// SessionEvent is an event of a forwarded session. It is one of Asked, Written, Prepared, Closed, Failed, Answered and Renewed.
type SessionEvent interface{ sessionEvent() }

// Received means that the client sent the first byte of a message that must be forwarded to the serving instance.
type Received struct{}

// Written means that bytes of the message may have been written to the serving instance. Synchronised is true if the
// serving instance responds to the message with one Answered.
type Written struct{ Synchronised bool }

// StatementPrepared means that the client created a prepared statement.
type StatementPrepared struct{ Name string }

// StatementClosed means that the client closed a prepared statement.
type StatementClosed struct{ Name string }

// ErrorReported means that the serving instance reported an error.
type ErrorReported struct{}

// Answered means that the response to a request is complete. InTransaction is true if a transaction is open now.
type Answered struct{ InTransaction bool }

// TokenRenewed means that the client received a newer session token.
type TokenRenewed struct{ Token string }

func (Received) sessionEvent()          {}
func (Written) sessionEvent()           {}
func (StatementPrepared) sessionEvent() {}
func (StatementClosed) sessionEvent()   {}
func (ErrorReported) sessionEvent()     {}
func (Answered) sessionEvent()          {}
func (TokenRenewed) sessionEvent()      {}

// Recovery is how a session continues after its serving instance was lost. It is one of Move, Resend, RefuseNotRun
// and EndUnknown.
type Recovery interface{ recovery() }

// Reconnect continues the session at another serving instance without an error for the client.
type Reconnect struct{}

// Resend continues the session at another serving instance and sends the waiting request there. No part of it was
// written to the lost instance.
type Resend struct{}

// CloseNotRun closes the client's connection with an error. Open work did not run or is rolled back.
type CloseNotRun struct{ Reason string }

// CloseUnknown closes the client's connection because a request may have run. The request must not be sent again.
type CloseUnknown struct{}

func (Reconnect) recovery()    {}
func (Resend) recovery()       {}
func (CloseNotRun) recovery()  {}
func (CloseUnknown) recovery() {}

// ForwardedSession is the state of a session at the instance that forwards it to a serving instance. It is immutable. The zero
// value is an idle session without a token.
type ForwardedSession struct {
	token    string
	received bool
	// pending counts the synchronised requests without a complete response. unsynchronised is true after a message that
	// was not synchronised, until a synchronised one follows.
	pending        int
	unsynchronised bool
	failed         bool
	inTransaction  bool
	// prepared holds the prepared statements that the serving instance may have. closing holds those that pending requests
	// close; if such a request fails, it may have closed none of them.
	prepared map[string]struct{}
	closing  []string
}

// NewForwardedSession returns the state of a new session with the given token.
func NewForwardedSession(token string) ForwardedSession { return ForwardedSession{token: token} }

// WithEvent returns the state after the event.
func (p ForwardedSession) WithEvent(step SessionEvent) ForwardedSession {
	switch step := step.(type) {
	case Received:
		p.received = true
	case Written:
		p.received, p.unsynchronised = false, !step.Synchronised
		if step.Synchronised {
			p.pending++
		}
	case StatementPrepared:
		return p.withPrepared(step.Name)
	case StatementClosed:
		if _, known := p.prepared[step.Name]; known {
			p.closing = append(p.closing[:len(p.closing):len(p.closing)], step.Name)
		}
	case ErrorReported:
		p.failed = true
	case Answered:
		p.pending = max(p.pending-1, 0)
		p.inTransaction = step.InTransaction
		if !p.HasPendingRequests() {
			p = p.withoutClosed()
		}
	case TokenRenewed:
		p.token = step.Token
	}
	return p
}

func (p ForwardedSession) withPrepared(name string) ForwardedSession {
	if _, known := p.prepared[name]; known || name == "" {
		return p
	}
	named := make(map[string]struct{}, len(p.prepared)+1)
	maps.Copy(named, p.prepared)
	named[name] = struct{}{}
	p.prepared = named
	return p
}

// withoutClosed removes the statements that were closed, unless a request failed since.
func (p ForwardedSession) withoutClosed() ForwardedSession {
	if len(p.closing) > 0 && !p.failed {
		p.prepared = maps.Clone(p.prepared)
		for _, name := range p.closing {
			delete(p.prepared, name)
		}
	}
	p.closing, p.failed = nil, false
	return p
}

// Token returns the latest session token.
func (p ForwardedSession) Token() string { return p.token }

// HasPendingRequests reports whether a written request still lacks its complete response.
func (p ForwardedSession) HasPendingRequests() bool { return p.pending > 0 || p.unsynchronised }

// InTransaction reports whether a transaction is open.
func (p ForwardedSession) InTransaction() bool { return p.inTransaction }

// IsIdle reports whether there is no request, received or written, and no open transaction.
func (p ForwardedSession) IsIdle() bool {
	return !p.HasPendingRequests() && !p.received && !p.inTransaction
}

// AfterLoss returns how the session continues if the serving instance is lost now.
func (p ForwardedSession) AfterLoss() Recovery {
	switch {
	case p.HasPendingRequests():
		return CloseUnknown{}
	case p.inTransaction:
		return CloseNotRun{Reason: "the transaction was rolled back"}
	case len(p.prepared) > 0:
		return CloseNotRun{Reason: "its prepared statements were lost"}
	case p.received:
		return Resend{}
	}
	return Reconnect{}
}
