package server

import (
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// command is what the core's duty takes from its ring. It is one of the types below.
type command interface{ command() }

// tick says that time has passed.
type tick struct{}

// statusCommand asks for the status.
type statusCommand struct {
	await    group.Position
	deadline time.Duration
}

// fenceCommand orders a promise.
type fenceCommand struct {
	term      group.Term
	candidate string
}

// promoteCommand orders a promotion.
type promoteCommand struct {
	term      group.Term
	candidate string
}

// followCommand orders the server to follow a primary.
type followCommand struct {
	term    group.Term
	address string
}

// pullCommand is a replica's question for entries.
type pullCommand struct{ pull Pull }

// deliverCommand brings a primary's answer from the replication duty.
type deliverCommand struct {
	generation uint64
	batch      Batch
	asOf       time.Duration
}

// runCommand runs a statement of a connection.
type runCommand struct {
	connection *Connection
	statement  Statement
}

// syncCommand commits the implicit transaction of a connection, or rolls it back.
type syncCommand struct {
	connection *Connection
	failed     bool
}

// closeCommand rolls back the transaction of a connection that ends.
type closeCommand struct{ connection *Connection }

// lagCommand sets the replication lag.
type lagCommand struct{ lag time.Duration }

// cutCommand cuts the server from its peers or ends the cut.
type cutCommand struct{ cut bool }

// freezeCommand stops the core's duty until it is thawed.
type freezeCommand struct{}

func (tick) command()           {}
func (statusCommand) command()  {}
func (fenceCommand) command()   {}
func (promoteCommand) command() {}
func (followCommand) command()  {}
func (pullCommand) command()    {}
func (deliverCommand) command() {}
func (runCommand) command()     {}
func (syncCommand) command()    {}
func (closeCommand) command()   {}
func (lagCommand) command()     {}
func (cutCommand) command()     {}
func (freezeCommand) command()  {}

// answer is what the core's duty says to a command.
type answer struct {
	status group.Status
	batch  Batch
	next   next
	result Result
	state  State
	err    error
}

// call is a command with the ring for its answer, which is never full because each call is answered once.
type call struct {
	command command
	answers *ring.Ring[answer]
}

func newCall(c command) call { return call{command: c, answers: ring.New[answer](1)} }

func (c call) answer(a answer) { c.answers.TryPut(a) }
