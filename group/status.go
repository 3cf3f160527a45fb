package group

import "time"

// Role says whether a server is the primary of its group or a replica.
type Role string

// The roles of a server.
const (
	Primary Role = "primary"
	Replica Role = "replica"
)

// Status is what a server reports about itself in one answer.
type Status struct {
	// Server is the server's name in the document.
	Server string
	Role   Role
	// Promised is the highest term at which the server was fenced or which it follows. It accepts nothing of a lower
	// term.
	Promised Term
	// Candidate is the incarnation to which Promised was given. It is empty when the server promised the term by
	// following its primary.
	Candidate string
	// Followed is the term of the primary whose log this server replicates or writes.
	Followed Term
	// History describes the server's log.
	History History
	// PrimarySilence is the time since the server last received anything from its primary. A primary reports zero.
	PrimarySilence time.Duration
	// Age is an upper bound on the staleness of the server's data. A primary reports zero.
	Age time.Duration
	// AgeKnown is false until the server has first caught up with a heartbeat.
	AgeKnown bool
}

// Last returns the position of the last entry of the server's log.
func (s Status) Last() Position { return s.History.Last() }
