package server

import (
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// command is a message in the server's ring. It is one of the types below.
type command interface{ command() }

// tick makes the server check its deadlines.
type tick struct{}

// statusCommand requests the status.
type statusCommand struct {
	position group.Position
	deadline time.Duration
}

// fenceCommand makes the server promise a term to a candidate.
type fenceCommand struct {
	term      group.Term
	candidate string
}

// promoteCommand promotes the server to primary.
type promoteCommand struct {
	term      group.Term
	candidate string
}

// followCommand makes the server follow a primary.
type followCommand struct {
	term    group.Term
	address string
}

// pullCommand is a request for entries from a replica.
type pullCommand struct{ pull Pull }

// batchCommand passes a primary's response from the replication goroutine.
type batchCommand struct {
	generation uint64
	batch      Batch
	asOf       time.Duration
}

// runCommand executes a statement of a connection.
type runCommand struct {
	connection *Connection
	statement  Statement
}

// syncCommand commits or rolls back the implicit transaction of a connection.
type syncCommand struct {
	connection *Connection
	failed     bool
}

// closeCommand rolls back the transaction of a connection that is being closed.
type closeCommand struct{ connection *Connection }

// lagCommand sets the replication lag.
type lagCommand struct{ lag time.Duration }

// partitionCommand starts or ends a network partition between the server and its peers.
type partitionCommand struct{ partitioned bool }

// pauseCommand blocks the server's goroutine until Resume.
type pauseCommand struct{}

func (tick) command()             {}
func (statusCommand) command()    {}
func (fenceCommand) command()     {}
func (promoteCommand) command()   {}
func (followCommand) command()    {}
func (pullCommand) command()      {}
func (batchCommand) command()     {}
func (runCommand) command()       {}
func (syncCommand) command()      {}
func (closeCommand) command()     {}
func (lagCommand) command()       {}
func (partitionCommand) command() {}
func (pauseCommand) command()     {}

// response is the response to a command.
type response struct {
	status group.Status
	batch  Batch
	next   nextPull
	result Result
	state  TransactionState
	err    error
}

// call is a command with the ring for its response. The ring is never full because each call gets one response.
type call struct {
	command   command
	responses *ring.Ring[response]
}

func newCall(c command) call { return call{command: c, responses: ring.New[response](1)} }

func (c call) respond(r response) { c.responses.TryPut(r) }
