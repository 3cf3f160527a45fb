package request

import "maps"

// SessionEvent is an event of a forwarded session. It is one of Received, Written, StatementPrepared, StatementClosed,
// ErrorReported, Answered and TokenRenewed.
type SessionEvent interface{ sessionEvent() }

// Received means that the client sent the first byte of a message that must be forwarded to the serving instance.
type Received struct{}

// Written means that bytes of the message may have been written to the serving instance. Synchronised is true if the
// serving instance responds to the message with one Answered.
type Written struct{ Synchronised bool }

// StatementPrepared means that the client asked to create a prepared statement.
type StatementPrepared struct{ Name string }

// StatementClosed means that the client asked to close a prepared statement.
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

// Recovery is how a session continues after its serving instance was lost. It is one of Reconnect, Resend,
// CloseNotRun and CloseUnknown.
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

// ForwardedSession is the state of a session at the instance that forwards it to a serving instance. It is immutable.
// The zero value is an idle session without a token.
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
func (s ForwardedSession) WithEvent(event SessionEvent) ForwardedSession {
	switch event := event.(type) {
	case Received:
		s.received = true
	case Written:
		s.received, s.unsynchronised = false, !event.Synchronised
		if event.Synchronised {
			s.pending++
		}
	case StatementPrepared:
		return s.withPrepared(event.Name)
	case StatementClosed:
		if _, known := s.prepared[event.Name]; known {
			s.closing = append(s.closing[:len(s.closing):len(s.closing)], event.Name)
		}
	case ErrorReported:
		s.failed = true
	case Answered:
		s.pending = max(s.pending-1, 0)
		s.inTransaction = event.InTransaction
		if !s.HasPendingRequests() {
			s = s.withoutClosed()
		}
	case TokenRenewed:
		s.token = event.Token
	}
	return s
}

func (s ForwardedSession) withPrepared(name string) ForwardedSession {
	if _, known := s.prepared[name]; known || name == "" {
		return s
	}
	prepared := make(map[string]struct{}, len(s.prepared)+1)
	maps.Copy(prepared, s.prepared)
	prepared[name] = struct{}{}
	s.prepared = prepared
	return s
}

// withoutClosed removes the statements that were closed, unless a request failed since.
func (s ForwardedSession) withoutClosed() ForwardedSession {
	if len(s.closing) > 0 && !s.failed {
		s.prepared = maps.Clone(s.prepared)
		for _, name := range s.closing {
			delete(s.prepared, name)
		}
	}
	s.closing, s.failed = nil, false
	return s
}

// Token returns the latest session token.
func (s ForwardedSession) Token() string { return s.token }

// HasPendingRequests reports whether a written request still lacks its complete response.
func (s ForwardedSession) HasPendingRequests() bool { return s.pending > 0 || s.unsynchronised }

// InTransaction reports whether a transaction is open.
func (s ForwardedSession) InTransaction() bool { return s.inTransaction }

// IsIdle reports whether there is no request, received or written, and no open transaction.
func (s ForwardedSession) IsIdle() bool {
	return !s.HasPendingRequests() && !s.received && !s.inTransaction
}

// AfterLoss returns how the session continues if the serving instance is lost now.
func (s ForwardedSession) AfterLoss() Recovery {
	switch {
	case s.HasPendingRequests():
		return CloseUnknown{}
	case s.inTransaction:
		return CloseNotRun{Reason: "the transaction was rolled back"}
	case len(s.prepared) > 0:
		return CloseNotRun{Reason: "its prepared statements were lost"}
	case s.received:
		return Resend{}
	}
	return Reconnect{}
}
