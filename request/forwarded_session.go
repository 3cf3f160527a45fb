package request

import "maps"

// Step is an event of a forwarded session. It is one of Asked, Written, Prepared, Closed, Failed, Answered and Renewed.
type Step interface{ sessionEvent() }

// Asked means that the client sent the first byte of a message that must be forwarded to the serving instance.
type Asked struct{}

// Written means that bytes of the message may have been written to the serving instance. Synchronised is true if the
// serving instance responds to the message with one Answered.
type Written struct{ Synchronised bool }

// Prepared means that the client created a prepared statement.
type Prepared struct{ Name string }

// Closed means that the client closed a prepared statement.
type Closed struct{ Name string }

// Failed means that the serving instance reported an error.
type Failed struct{}

// Answered means that the response to a request is complete. InTransaction is true if a transaction is open now.
type Answered struct{ InTransaction bool }

// Renewed means that the client received a newer session token.
type Renewed struct{ Token string }

func (Asked) sessionEvent()    {}
func (Written) sessionEvent()  {}
func (Prepared) sessionEvent() {}
func (Closed) sessionEvent()   {}
func (Failed) sessionEvent()   {}
func (Answered) sessionEvent() {}
func (Renewed) sessionEvent()  {}

// Consequence is how a session continues after its serving instance was lost. It is one of Move, Resend, RefuseNotRun
// and EndUnknown.
type Consequence interface{ recovery() }

// Move continues the session at another serving instance without an error for the client.
type Move struct{}

// Resend continues the session at another serving instance and sends the waiting request there. No part of it was
// written to the lost instance.
type Resend struct{}

// RefuseNotRun closes the client's connection with an error. Open work did not run or is rolled back.
type RefuseNotRun struct{ Reason string }

// EndUnknown closes the client's connection because a request may have run. The request must not be sent again.
type EndUnknown struct{}

func (Move) recovery()         {}
func (Resend) recovery()       {}
func (RefuseNotRun) recovery() {}
func (EndUnknown) recovery()   {}

// Passage is the state of a session at the instance that forwards it to a serving instance. It is immutable. The zero
// value is an idle session without a token.
type Passage struct {
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

// NewPassage returns the state of a new session with the given token.
func NewPassage(token string) Passage { return Passage{token: token} }

// WithStep returns the state after the event.
func (p Passage) WithStep(step Step) Passage {
	switch step := step.(type) {
	case Asked:
		p.received = true
	case Written:
		p.received, p.unsynchronised = false, !step.Synchronised
		if step.Synchronised {
			p.pending++
		}
	case Prepared:
		return p.withPrepared(step.Name)
	case Closed:
		if _, known := p.prepared[step.Name]; known {
			p.closing = append(p.closing[:len(p.closing):len(p.closing)], step.Name)
		}
	case Failed:
		p.failed = true
	case Answered:
		p.pending = max(p.pending-1, 0)
		p.inTransaction = step.InTransaction
		if !p.IsOpen() {
			p = p.withoutClosed()
		}
	case Renewed:
		p.token = step.Token
	}
	return p
}

func (p Passage) withPrepared(name string) Passage {
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
func (p Passage) withoutClosed() Passage {
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
func (p Passage) Token() string { return p.token }

// IsOpen reports whether a written request still lacks its complete response.
func (p Passage) IsOpen() bool { return p.pending > 0 || p.unsynchronised }

// InTransaction reports whether a transaction is open.
func (p Passage) InTransaction() bool { return p.inTransaction }

// IsIdle reports whether there is no request, received or written, and no open transaction.
func (p Passage) IsIdle() bool { return !p.IsOpen() && !p.received && !p.inTransaction }

// AfterLoss returns how the session continues if the serving instance is lost now.
func (p Passage) AfterLoss() Consequence {
	switch {
	case p.IsOpen():
		return EndUnknown{}
	case p.inTransaction:
		return RefuseNotRun{Reason: "the transaction was rolled back"}
	case len(p.prepared) > 0:
		return RefuseNotRun{Reason: "its prepared statements were lost"}
	case p.received:
		return Resend{}
	}
	return Move{}
}
