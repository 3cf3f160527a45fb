// Package statement describes what callers ask of a database and what a server connection is told, without any
// message format.
package statement

// Statement is one request of a caller. It is one of Begin, Commit, Rollback, Read, Write, SetValue, Prepare, Execute
// and Deallocate.
type Statement interface{ statement() }

// Begin starts a transaction.
type Begin struct{ ReadOnly bool }

// Commit ends a transaction and keeps its writes.
type Commit struct{}

// Rollback ends a transaction and discards its writes.
type Rollback struct{}

// Read reads. Text is opaque and reaches the server as the caller sent it.
type Read struct{ Text string }

// Write writes. Text is opaque and reaches the server as the caller sent it.
type Write struct{ Text string }

// SetValue sets a value of the session.
type SetValue struct{ Name, Value string }

// Prepare names a shape for later executions in the session.
type Prepare struct {
	Name  string
	Shape Shape
}

// Execute runs the shape that was prepared under the name. Arguments is opaque.
type Execute struct{ Name, Arguments string }

// Deallocate forgets a prepared name.
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

// Request is a statement with the identity that the caller gave it. ID goes to the server unchanged.
type Request struct {
	ID        string
	Statement Statement
}
