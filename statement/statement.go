// Package statement defines the statements of clients and the commands for server connections, independent of any wire
// format.
package statement

// Statement is one statement of a client. It is one of Begin, Commit, Rollback, Read, Write, SetValue, Prepare, Execute
// and Deallocate.
type Statement interface{ statement() }

// Begin starts a transaction.
type Begin struct{ ReadOnly bool }

// Commit commits the transaction.
type Commit struct{}

// Rollback rolls the transaction back.
type Rollback struct{}

// Read is a statement that only reads. Text is opaque and is forwarded to the server unchanged.
type Read struct{ Text string }

// Write is a statement that may write. Text is opaque and is forwarded to the server unchanged.
type Write struct{ Text string }

// SetValue sets a session value.
type SetValue struct{ Name, Value string }

// Prepare creates a prepared statement in the session.
type Prepare struct {
	Name  string
	Shape Shape
}

// Execute runs the prepared statement of that name. Arguments is opaque.
type Execute struct{ Name, Arguments string }

// Deallocate removes a prepared statement.
type Deallocate struct{ Name string }

func (Begin) statement()      {}
func (Commit) statement()     {}
func (Rollback) statement()   {}
func (Read) statement()       {}
func (Write) statement()      {}
func (SetValue) statement()   {}
func (Prepare) statement()    {}
func (Execute) statement()    {}
func (Deallocate) statement() {}

// Shape is a statement with its arguments left out.
type Shape struct {
	Writes bool
	Text   string
}

// Request is a statement with the ID that the client gave it. The ID is forwarded to the server unchanged.
type Request struct {
	ID        string
	Statement Statement
}
