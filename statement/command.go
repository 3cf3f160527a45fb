package statement

import (
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Command is a command for a server connection. It is one of Forward, OpenTransaction, RollbackTransaction,
// AssignValue, PrepareShape, ResetSession, GetStatus, PauseReplication and StepDown.
type Command interface{ command() }

// Forward forwards a client's request. Name replaces the name of the prepared statement in an Execute. A server whose
// log does not contain position After rejects a read.
type Forward struct {
	Request Request
	Name    string
	After   group.Position
}

// OpenTransaction starts a transaction. After has the same meaning as in Forward.
type OpenTransaction struct {
	ReadOnly bool
	After    group.Position
}

// RollbackTransaction rolls the transaction back.
type RollbackTransaction struct{}

// AssignValue sets a session value.
type AssignValue struct{ Name, Value string }

// PrepareShape creates a prepared statement.
type PrepareShape struct {
	Name  string
	Shape Shape
}

// ResetSession discards all session values and prepared statements.
type ResetSession struct{}

// GetStatus requests the server's role and log position.
type GetStatus struct{}

// PauseReplication stops a replica from receiving the log until it is promoted or resumed. Term must be greater than
// the newest term.
type PauseReplication struct{ Term group.Term }

// StepDown demotes a primary of a lower term to a replica.
type StepDown struct{ Term group.Term }

func (Forward) command()             {}
func (OpenTransaction) command()     {}
func (RollbackTransaction) command() {}
func (AssignValue) command()         {}
func (PrepareShape) command()        {}
func (ResetSession) command()        {}
func (GetStatus) command()           {}
func (PauseReplication) command()    {}
func (StepDown) command()            {}

// TransactionState is the transaction state of a connection.
type TransactionState int

// The transaction states.
const (
	Idle TransactionState = iota
	InTransaction
	Failed
)

// Failure describes why a request failed. The zero value means that it did not fail.
type Failure struct {
	Kind port.Kind
	Text string
}

// IsZero reports whether there is no failure.
func (f Failure) IsZero() bool { return f.Kind == "" }

// Result is the result of a command or a request. Proof is opaque evidence that a server ran the request. It is empty
// if the proxy responded without a server.
type Result struct {
	Rows     []string
	Proof    string
	Failure  Failure
	State    TransactionState
	Position group.Position
	// Status is set in the results of GetStatus, StepDown and PauseReplication.
	Status ServerStatus
}

// ServerStatus is the status that a server reports.
type ServerStatus struct {
	IsPrimary bool
	// Term is the term in which the server is primary, or of the primary that it follows.
	Term group.Term
	// Received is the last position in the server's log. The applied position may lag behind it.
	Received group.Position
}

// WithState returns the result with another transaction state.
func (r Result) WithState(s TransactionState) Result {
	r.State = s
	return r
}

// FailureResult returns a result that reports a failure.
func FailureResult(kind port.Kind, text string, s TransactionState) Result {
	return Result{Failure: Failure{Kind: kind, Text: text}, State: s}
}
