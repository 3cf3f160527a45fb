package statement

import (
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Command is what a server connection is told. It is one of Forward, Open, Abandon, Assign, Define, Clear, AskStatus,
// Pause and StepDown.
type Command interface{ order() }

// Forward passes a caller's request on. Name replaces the prepared name of an Execute. A read with After is refused by
// a server whose log does not hold that position.
type Forward struct {
	Request Request
	Name    string
	After   group.Position
}

// OpenTransaction starts a transaction, with After as in Forward.
type OpenTransaction struct {
	ReadOnly bool
	After    group.Position
}

// RollbackTransaction rolls the transaction back.
type RollbackTransaction struct{}

// AssignValue sets a session value.
type AssignValue struct{ Name, Value string }

// PrepareShape prepares a shape under a name.
type PrepareShape struct {
	Name  string
	Shape Shape
}

// ResetSession drops all values and prepared names.
type ResetSession struct{}

// GetStatus asks for the server's role and positions.
type GetStatus struct{}

// PauseReplication stops a replica from receiving until it is promoted or resumed. Term is above the newest one.
type PauseReplication struct{ Term group.Term }

// StepDown makes a primary of a lower term a replica.
type StepDown struct{ Term group.Term }

func (Forward) order()             {}
func (OpenTransaction) order()     {}
func (RollbackTransaction) order() {}
func (AssignValue) order()         {}
func (PrepareShape) order()        {}
func (ResetSession) order()        {}
func (GetStatus) order()           {}
func (PauseReplication) order()    {}
func (StepDown) order()            {}

// TransactionState is the transaction state of a connection.
type TransactionState int

// The transaction states.
const (
	Idle TransactionState = iota
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

// Result is what came of an order or a request. Proof is opaque evidence that a server ran the request; it is empty
// when the proxy answered by itself.
type Result struct {
	Rows     []string
	Proof    string
	Failure  Failure
	State    TransactionState
	Position group.Position
	// Status is set in the answer to AskStatus, StepDown and Pause.
	Status ServerStatus
}

// ServerStatus is what a server says of itself.
type ServerStatus struct {
	IsPrimary bool
	// Term is the term that the server follows or leads.
	Term group.Term
	// Received is the last position in the server's log; what is applied may lag behind.
	Received group.Position
}

// WithState returns the answer with another transaction state.
func (a Result) WithState(s TransactionState) Result {
	a.State = s
	return a
}

// FailureResult returns an answer that reports a failure.
func FailureResult(kind port.Kind, text string, s TransactionState) Result {
	return Result{Failure: Failure{Kind: kind, Text: text}, State: s}
}
