package statement

import (
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Order is a command for a server connection. It is one of Forward, Open, Abandon, Assign, Define, Clear, AskStatus,
// Pause and StepDown.
type Order interface{ command() }

// Forward forwards a client's request. Name replaces the name of the prepared statement in an Execute. A server whose
// log does not contain position After rejects a read.
type Forward struct {
	Request Request
	Name    string
	After   group.Position
}

// Open starts a transaction. After has the same meaning as in Forward.
type Open struct {
	ReadOnly bool
	After    group.Position
}

// Abandon rolls the transaction back.
type Abandon struct{}

// Assign sets a session value.
type Assign struct{ Name, Value string }

// Define creates a prepared statement.
type Define struct {
	Name  string
	Shape Shape
}

// Clear discards all session values and prepared statements.
type Clear struct{}

// AskStatus requests the server's role and log position.
type AskStatus struct{}

// Pause stops a replica from receiving the log until it is promoted or resumed. Term is greater than any term in use.
type Pause struct{ Term group.Term }

// StepDown demotes a primary of a lower term to a replica.
type StepDown struct{ Term group.Term }

func (Forward) command()   {}
func (Open) command()      {}
func (Abandon) command()   {}
func (Assign) command()    {}
func (Define) command()    {}
func (Clear) command()     {}
func (AskStatus) command() {}
func (Pause) command()     {}
func (StepDown) command()  {}

// State is the transaction state of a connection.
type State int

// The transaction states.
const (
	Idle State = iota
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

// Answer is the result of a command or a request. Proof is opaque evidence that a server ran the request. It is empty if
// the proxy responded without a server.
type Answer struct {
	Rows     []string
	Proof    string
	Failure  Failure
	State    State
	Position group.Position
	// Status is set in the results of AskStatus, StepDown and Pause.
	Status ServerStatus
}

// ServerStatus is the status that a server reports.
type ServerStatus struct {
	Leads bool
	// Term is the term in which the server is primary, or of the primary that it follows.
	Term group.Term
	// Received is the last position in the server's log. The applied position may lag behind it.
	Received group.Position
}

// WithState returns the result with another transaction state.
func (a Answer) WithState(s State) Answer {
	a.State = s
	return a
}

// Refuse returns a result that reports a failure.
func Refuse(kind port.Kind, text string, s State) Answer {
	return Answer{Failure: Failure{Kind: kind, Text: text}, State: s}
}
