package server

import (
	"fmt"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
)

// Statement is a parsed SQL statement with its operands. It is one of the types below.
type Statement interface{ statement() }

// Empty is an empty query.
type Empty struct{}

// Begin starts a transaction.
type Begin struct{ ReadOnly bool }

// Commit commits a transaction.
type Commit struct{}

// Rollback rolls back a transaction.
type Rollback struct{}

// Select reads the value of a row.
type Select struct{ Key string }

// Upsert inserts or updates a row.
type Upsert struct{ Key, Value string }

// Add increments the value of a row by one.
type Add struct{ Key string }

// Delete removes a row.
type Delete struct{ Key string }

// Sleep waits for a duration.
type Sleep struct{ Duration time.Duration }

// SelectOne returns a row with the value 1.
type SelectOne struct{}

// GenerateSeries returns the numbers from First to Last.
type GenerateSeries struct{ First, Last int }

// Set sets a session parameter.
type Set struct{ Name, Value string }

// Show returns a session parameter.
type Show struct{ Name string }

// GetStatus requests the status of the server. It may wait until the log contains Position.
type GetStatus struct {
	Position group.Position
	MaxWait  time.Duration
}

// Fence makes the server promise a term to a candidate.
type Fence struct {
	Term      group.Term
	Candidate string
}

// Promote makes the server the primary of a term.
type Promote struct {
	Term      group.Term
	Candidate string
}

// Follow makes the server replicate from a primary.
type Follow struct {
	Term    group.Term
	Primary string
}

// Bind binds the connection to an organisation.
type Bind struct {
	Organisation string
	Nonce        string
	ReadOnly     bool
}

// Release ends the binding of a connection and discards its session state.
type Release struct{ Nonce string }

// rejectedStatement represents a statement that was rejected before it reached the server, for example because of a
// syntax error.
type rejectedStatement struct{}

func (rejectedStatement) statement() {}
func (Empty) statement()             {}
func (Begin) statement()             {}
func (Commit) statement()            {}
func (Rollback) statement()          {}
func (Select) statement()            {}
func (Upsert) statement()            {}
func (Add) statement()               {}
func (Delete) statement()            {}
func (Sleep) statement()             {}
func (SelectOne) statement()         {}
func (GenerateSeries) statement()    {}
func (Set) statement()               {}
func (Show) statement()              {}
func (GetStatus) statement()         {}
func (Fence) statement()             {}
func (Promote) statement()           {}
func (Follow) statement()            {}
func (Bind) statement()              {}
func (Release) statement()           {}

// Result is the result of a statement.
type Result struct {
	Tag  string
	Rows [][]string
	// Position is the position of the commit, or zero if nothing was written.
	Position group.Position
}

// The SQLSTATEs of errors.
const (
	codeReadOnly                  = "25006"
	codeActiveTransaction         = "25001"
	codeFailedTransaction         = "25P02"
	codeSerializationFailure      = "40001"
	codeInsufficientPrivilege     = "42501"
	codeSyntaxError               = "42601"
	codeUndefinedParameter        = "42704"
	codeInvalidTextRepresentation = "22P02"
	codeInvalidParameterValue     = "22023"
	codePrerequisiteState         = "55000"
	codeQueryCanceled             = "57014"
	codeAdminShutdown             = "57P01"
	codeTooManyConnections        = "53300"
	codeInvalidPassword           = "28P01"
	codeProtocolViolation         = "08P01"
	codeUndefinedStatement        = "26000"
	codeUndefinedPortal           = "34000"
	codeDuplicateStatement        = "42P05"
	codeInternalError             = "XX000"
)

// StatementError is an error with a SQLSTATE.
type StatementError struct {
	Code    string
	Message string
	Detail  string
}

// Error returns the message and the SQLSTATE.
func (f *StatementError) Error() string { return f.Message + " (" + f.Code + ")" }

func errorf(code, format string, args ...any) *StatementError {
	return &StatementError{Code: code, Message: fmt.Sprintf(format, args...)}
}
