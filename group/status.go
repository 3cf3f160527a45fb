package group

import "time"

// Role is what a server does in its group.
type Role string

// The roles of a server.
const (
	Primary Role = "primary"
	Replica Role = "replica"
)

// Status is what a server says about itself in one answer.
type Status struct {
	// Server is the name of the server in the document.
	Server string
	// Role is what the server currently does.
	Role Role
	// Promised is the highest term that the server was fenced at or follows. It accepts nothing of a lower term.
	Promised Term
	// Candidate is the incarnation to which Promised was given; empty when Promised came with a followed primary.
	Candidate string
	// Followed is the term of the primary whose log this server holds.
	Followed Term
	// History describes the server's log.
	History History
	// PrimarySilence is the time since the server last heard from its primary. A primary reports zero.
	PrimarySilence time.Duration
	// Age bounds how old the server's data is. A primary reports zero.
	Age time.Duration
	// AgeKnown is false until the server has caught up with a heartbeat once.
	AgeKnown bool
}

// Last returns the position of the last entry of the server's log.
func (s Status) Last() Position { return s.History.Last() }
