package request

import "maps"

// SessionEvent is what happens to a forwarded session. It is one of Asked, Written, Prepared, Closed, Failed, Answered and
// Renewed.
type SessionEvent interface{ step() }

// Received says that the caller sent the first byte of a message that the serving instance has to get.
type Received struct{}

// Written says that bytes of what was asked may have been written to the forwarding connection. Synchronised is true
// when the serving instance answers the message with one Answered.
type Written struct{ Synchronised bool }

// StatementPrepared says that the caller asked for a prepared statement of the name.
type StatementPrepared struct{ Name string }

// StatementClosed says that the caller gave up the prepared statement of the name.
type StatementClosed struct{ Name string }

// ErrorReported says that the serving instance reported an error.
type ErrorReported struct{}

// Answered says that a request was answered whole, and whether a transaction is open now.
type Answered struct{ InTransaction bool }

// TokenRenewed says that the caller was given a newer session token.
type TokenRenewed struct{ Token string }

func (Received) step()          {}
func (Written) step()           {}
func (StatementPrepared) step() {}
func (StatementClosed) step()   {}
func (ErrorReported) step()     {}
func (Answered) step()          {}
func (TokenRenewed) step()      {}

// Recovery is what follows from the loss of the serving instance. It is one of Move, Resend, RefuseNotRun and
// EndUnknown.
type Recovery interface{ consequence() }

// Reconnect carries the session on at another serving instance. The caller notices nothing.
type Reconnect struct{}

// Resend carries the session on at another serving instance, which gets the request that waits. Nothing of it was
// written before.
type Resend struct{}

// CloseNotRun ends the caller's connection. Whatever was open has not run or is rolled back.
type CloseNotRun struct{ Reason string }

// CloseUnknown ends the caller's connection, because a request may have run. It is never sent again.
type CloseUnknown struct{}

func (Reconnect) consequence()    {}
func (Resend) consequence()       {}
func (CloseNotRun) consequence()  {}
func (CloseUnknown) consequence() {}

// ForwardedSession is what the instance that forwards a session knows of it. A Passage is never changed in place. The zero value
// is a session without a token that has asked for nothing.
type ForwardedSession struct {
	token string
	asked bool
	// open counts the synchronised requests that were not answered. partial is true while messages were written that no
	// synchronised one has followed.
	open          int
	partial       bool
	failed        bool
	inTransaction bool
	// named holds the prepared statements that the serving instance may have; closing those that the open requests give
	// up. A request that fails may give up none of them.
	named   map[string]struct{}
	closing []string
}

// NewForwardedSession returns the passage of a session that brought a token.
func NewForwardedSession(token string) ForwardedSession { return ForwardedSession{token: token} }

// WithEvent returns the passage after a step.
func (p ForwardedSession) WithEvent(step SessionEvent) ForwardedSession {
	switch step := step.(type) {
	case Received:
		p.asked = true
	case Written:
		p.asked, p.partial = false, !step.Synchronised
		if step.Synchronised {
			p.open++
		}
	case StatementPrepared:
		return p.withNamed(step.Name)
	case StatementClosed:
		if _, known := p.named[step.Name]; known {
			p.closing = append(p.closing[:len(p.closing):len(p.closing)], step.Name)
		}
	case ErrorReported:
		p.failed = true
	case Answered:
		p.open = max(p.open-1, 0)
		p.inTransaction = step.InTransaction
		if !p.HasPendingRequests() {
			p = p.settled()
		}
	case TokenRenewed:
		p.token = step.Token
	}
	return p
}

func (p ForwardedSession) withNamed(name string) ForwardedSession {
	if _, known := p.named[name]; known || name == "" {
		return p
	}
	named := make(map[string]struct{}, len(p.named)+1)
	maps.Copy(named, p.named)
	named[name] = struct{}{}
	p.named = named
	return p
}

// settled forgets the statements that were given up without an error.
func (p ForwardedSession) settled() ForwardedSession {
	if len(p.closing) > 0 && !p.failed {
		p.named = maps.Clone(p.named)
		for _, name := range p.closing {
			delete(p.named, name)
		}
	}
	p.closing, p.failed = nil, false
	return p
}

// Token returns the newest session token.
func (p ForwardedSession) Token() string { return p.token }

// HasPendingRequests reports whether a request was written and not answered.
func (p ForwardedSession) HasPendingRequests() bool { return p.open > 0 || p.partial }

// InTransaction reports whether a transaction is open.
func (p ForwardedSession) InTransaction() bool { return p.inTransaction }

// IsIdle reports whether nothing was asked and no transaction is open.
func (p ForwardedSession) IsIdle() bool {
	return !p.HasPendingRequests() && !p.asked && !p.inTransaction
}

// AfterLoss returns what follows when the serving instance is lost now.
func (p ForwardedSession) AfterLoss() Recovery {
	switch {
	case p.HasPendingRequests():
		return CloseUnknown{}
	case p.inTransaction:
		return CloseNotRun{Reason: "the transaction was rolled back"}
	case len(p.named) > 0:
		return CloseNotRun{Reason: "its prepared statements were lost"}
	case p.asked:
		return Resend{}
	}
	return Reconnect{}
}
