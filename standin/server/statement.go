package server

import (
	"fmt"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
)

// Statement is what a connection asks for. It is one of the types below.
type Statement interface{ statement() }

// Empty is a query without a statement.
type Empty struct{}

// Begin starts a transaction.
type Begin struct{ ReadOnly bool }

// Commit ends a transaction and keeps its writes.
type Commit struct{}

// Rollback ends a transaction and discards its writes.
type Rollback struct{}

// Select reads the value of a row.
type Select struct{ Key string }

// Upsert writes a row.
type Upsert struct{ Key, Value string }

// Add increments the value of a row by one.
type Add struct{ Key string }

// Delete removes a row.
type Delete struct{ Key string }

// Sleep waits.
type Sleep struct{ Time time.Duration }

// One returns the row 1.
type One struct{}

// Series returns the numbers from First to Last.
type Series struct{ First, Last int }

// Set sets a session parameter.
type Set struct{ Name, Value string }

// Show returns a session parameter.
type Show struct{ Name string }

// AskStatus asks for the server's status.
type AskStatus struct {
	Await   group.Position
	MaxWait time.Duration
}

// OrderFence orders a promise.
type OrderFence struct {
	Term      group.Term
	Candidate string
}

// OrderPromote orders the server to become primary.
type OrderPromote struct {
	Term      group.Term
	Candidate string
}

// OrderFollow orders the server to replicate from a primary.
type OrderFollow struct {
	Term    group.Term
	Primary string
}

// Bind binds the connection to an organisation.
type Bind struct {
	Organisation string
	Nonce        string
	ReadOnly     bool
}

// Release ends the binding and discards all session state.
type Release struct{ Nonce string }

// refused stands for a statement that was refused before it reached the core.
type refused struct{}

func (refused) statement()      {}
func (Empty) statement()        {}
func (Begin) statement()        {}
func (Commit) statement()       {}
func (Rollback) statement()     {}
func (Select) statement()       {}
func (Upsert) statement()       {}
func (Add) statement()          {}
func (Delete) statement()       {}
func (Sleep) statement()        {}
func (One) statement()          {}
func (Series) statement()       {}
func (Set) statement()          {}
func (Show) statement()         {}
func (AskStatus) statement()    {}
func (OrderFence) statement()   {}
func (OrderPromote) statement() {}
func (OrderFollow) statement()  {}
func (Bind) statement()         {}
func (Release) statement()      {}

// Result is the answer to a statement.
type Result struct {
	Tag  string
	Rows [][]string
	// Position is the commit's position; zero when nothing was written.
	Position group.Position
}

// The SQLSTATEs of failures.
const (
	codeReadOnly      = "25006"
	codeActive        = "25001"
	codeFailed        = "25P02"
	codeRolledBack    = "40001"
	codeNotAllowed    = "42501"
	codeSyntax        = "42601"
	codeNoParameter   = "42704"
	codeInvalidText   = "22P02"
	codeInvalid       = "22023"
	codeState         = "55000"
	codeCancelled     = "57014"
	codeStopping      = "57P01"
	codeConnections   = "53300"
	codePassword      = "28P01"
	codeProtocol      = "08P01"
	codeNoStatement   = "26000"
	codeNoPortal      = "34000"
	codeDuplicate     = "42P05"
	codeInternalError = "XX000"
)

// Failure is an error with a SQLSTATE.
type Failure struct {
	Code    string
	Message string
	Detail  string
}

// Error returns the message.
func (f *Failure) Error() string { return f.Message + " (" + f.Code + ")" }

func failf(code, format string, args ...any) *Failure {
	return &Failure{Code: code, Message: fmt.Sprintf(format, args...)}
}
