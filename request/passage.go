package request

import "maps"

// Step is what happens to a forwarded session. It is one of Asked, Written, Prepared, Closed, Failed, Answered and
// Renewed.
type Step interface{ step() }

// Asked says that the caller sent the first byte of a message that the serving instance has to get.
type Asked struct{}

// Written says that bytes of what was asked may have been written to the forwarding connection. Synchronised is true
// when the serving instance answers the message with one Answered.
type Written struct{ Synchronised bool }

// Prepared says that the caller asked for a prepared statement of the name.
type Prepared struct{ Name string }

// Closed says that the caller gave up the prepared statement of the name.
type Closed struct{ Name string }

// Failed says that the serving instance reported an error.
type Failed struct{}

// Answered says that a request was answered whole, and whether a transaction is open now.
type Answered struct{ InTransaction bool }

// Renewed says that the caller was given a newer session token.
type Renewed struct{ Token string }

func (Asked) step()    {}
func (Written) step()  {}
func (Prepared) step() {}
func (Closed) step()   {}
func (Failed) step()   {}
func (Answered) step() {}
func (Renewed) step()  {}

// Consequence is what follows from the loss of the serving instance. It is one of Move, Resend, RefuseNotRun and
// EndUnknown.
type Consequence interface{ consequence() }

// Move carries the session on at another serving instance. The caller notices nothing.
type Move struct{}

// Resend carries the session on at another serving instance, which gets the request that waits. Nothing of it was
// written before.
type Resend struct{}

// RefuseNotRun ends the caller's connection. Whatever was open has not run or is rolled back.
type RefuseNotRun struct{ Reason string }

// EndUnknown ends the caller's connection, because a request may have run. It is never sent again.
type EndUnknown struct{}

func (Move) consequence()         {}
func (Resend) consequence()       {}
func (RefuseNotRun) consequence() {}
func (EndUnknown) consequence()   {}

// Passage is what the instance that forwards a session knows of it. A Passage is never changed in place. The zero value
// is a session without a token that has asked for nothing.
type Passage struct {
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

// NewPassage returns the passage of a session that brought a token.
func NewPassage(token string) Passage { return Passage{token: token} }

// WithStep returns the passage after a step.
func (p Passage) WithStep(step Step) Passage {
	switch step := step.(type) {
	case Asked:
		p.asked = true
	case Written:
		p.asked, p.partial = false, !step.Synchronised
		if step.Synchronised {
			p.open++
		}
	case Prepared:
		return p.withNamed(step.Name)
	case Closed:
		if _, known := p.named[step.Name]; known {
			p.closing = append(p.closing[:len(p.closing):len(p.closing)], step.Name)
		}
	case Failed:
		p.failed = true
	case Answered:
		p.open = max(p.open-1, 0)
		p.inTransaction = step.InTransaction
		if !p.IsOpen() {
			p = p.settled()
		}
	case Renewed:
		p.token = step.Token
	}
	return p
}

func (p Passage) withNamed(name string) Passage {
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
func (p Passage) settled() Passage {
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
func (p Passage) Token() string { return p.token }

// IsOpen reports whether a request was written and not answered.
func (p Passage) IsOpen() bool { return p.open > 0 || p.partial }

// InTransaction reports whether a transaction is open.
func (p Passage) InTransaction() bool { return p.inTransaction }

// IsIdle reports whether nothing was asked and no transaction is open.
func (p Passage) IsIdle() bool { return !p.IsOpen() && !p.asked && !p.inTransaction }

// AfterLoss returns what follows when the serving instance is lost now.
func (p Passage) AfterLoss() Consequence {
	switch {
	case p.IsOpen():
		return EndUnknown{}
	case p.inTransaction:
		return RefuseNotRun{Reason: "the transaction was rolled back"}
	case len(p.named) > 0:
		return RefuseNotRun{Reason: "its prepared statements were lost"}
	case p.asked:
		return Resend{}
	}
	return Move{}
}
