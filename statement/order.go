package statement

import (
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Order is what a server connection is told. It is one of Forward, Open, Abandon, Assign, Define, Clear, AskStatus,
// Pause and StepDown.
type Order interface{ order() }

// Forward passes a caller's request on. Name replaces the prepared name of an Execute. A read with After is refused by
// a server whose log does not hold that position.
type Forward struct {
	Request Request
	Name    string
	After   group.Position
}

// Open starts a transaction, with After as in Forward.
type Open struct {
	ReadOnly bool
	After    group.Position
}

// Abandon rolls the transaction back.
type Abandon struct{}

// Assign sets a session value.
type Assign struct{ Name, Value string }

// Define prepares a shape under a name.
type Define struct {
	Name  string
	Shape Shape
}

// Clear drops all values and prepared names.
type Clear struct{}

// AskStatus asks for the server's role and positions.
type AskStatus struct{}

// Pause stops a replica from receiving until it is promoted or resumed. Term is above the newest one.
type Pause struct{ Term group.Term }

// StepDown makes a primary of a lower term a replica.
type StepDown struct{ Term group.Term }

func (Forward) order()   {}
func (Open) order()      {}
func (Abandon) order()   {}
func (Assign) order()    {}
func (Define) order()    {}
func (Clear) order()     {}
func (AskStatus) order() {}
func (Pause) order()     {}
func (StepDown) order()  {}

// State is the transaction state of a connection.
type State int

// The transaction states.
const (
	Idle State = iota
	InTransaction
	Failed
)

// Failure is why a request did not succeed. The zero value is no failure.
type Failure struct {
	Kind port.Kind
	Text string
}

// IsZero reports whether there is no failure.
func (f Failure) IsZero() bool { return f.Kind == "" }

// Answer is what came of an order or a request. Proof is opaque evidence that a server ran the request; it is empty
// when the proxy answered by itself.
type Answer struct {
	Rows     []string
	Proof    string
	Failure  Failure
	State    State
	Position group.Position
	// Status is set in the answer to AskStatus, StepDown and Pause.
	Status ServerStatus
}

// ServerStatus is what a server says of itself.
type ServerStatus struct {
	Leads bool
	// Term is the term that the server follows or leads.
	Term group.Term
	// Received is the last position in the server's log; what is applied may lag behind.
	Received group.Position
}

// WithState returns the answer with another transaction state.
func (a Answer) WithState(s State) Answer {
	a.State = s
	return a
}

// Refuse returns an answer that reports a failure.
func Refuse(kind port.Kind, text string, s State) Answer {
	return Answer{Failure: Failure{Kind: kind, Text: text}, State: s}
}
