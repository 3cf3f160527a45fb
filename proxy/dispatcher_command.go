package proxy

import (
	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// dispatcherCommand is what the dispatcher takes from its ring. It is one of wanted, abandoned, returned, started, answered,
// troubled, lostPath, ownerDoubted, ownerProbed, opened, notOpened, listingsChanged, counted, checked,
// warmed and checkWaits.
type dispatcherCommand interface{ dispatcherCommand() }

type acquireCommand struct{ waiter *waiter }

type cancelCommand struct{ waiter *waiter }

// returnCommand gives a connection back. An unusable one has been closed.
type returnCommand struct {
	connection *Connection
	usable     bool
}

// statementStarted tells that a statement runs on a lent connection.
type statementStarted struct{ connection *Connection }

// answerReceived tells what a server answered on a lent connection.
type answerReceived struct {
	connection  *Connection
	observation Observation
}

// connectionFailed tells that a connection was lost. unsent is set when a borrowed one was not lent.
type connectionFailed struct {
	connection *Connection
	notSent    *Unsent
}

// ownerSuspected asks for a probe of an owner that does not answer for a server.
type ownerSuspected struct {
	owner  Member
	server string
}

// ownerProbeResult tells what a probe found.
type ownerProbeResult struct {
	ownerSuspected
	response Hearing
	err      error
}

// statementRefused tells what a server refused.
type statementRefused struct {
	server  string
	refusal refusal
}

type connectionOpened struct {
	connection  *Connection
	observation Observation
}

type openFailed struct {
	endpoint Endpoint
	err      error
}

type listingsChanged struct{ listings map[string]dispatch.Listing }

// outstandingQuery asks for the number of connections to a server that are lent.
type outstandingQuery struct {
	server string
	reply  *ring.Ring[int]
}

type maintenanceTick struct{}

// prewarmTick has the next connections opened ahead.
type prewarmTick struct{}

// waiterTick has the waiting statements looked at.
type waiterTick struct{}

func (acquireCommand) dispatcherCommand()   {}
func (cancelCommand) dispatcherCommand()    {}
func (returnCommand) dispatcherCommand()    {}
func (statementStarted) dispatcherCommand() {}
func (connectionFailed) dispatcherCommand() {}
func (ownerSuspected) dispatcherCommand()   {}
func (ownerProbeResult) dispatcherCommand() {}
func (answerReceived) dispatcherCommand()   {}
func (statementRefused) dispatcherCommand() {}
func (connectionOpened) dispatcherCommand() {}
func (openFailed) dispatcherCommand()       {}
func (listingsChanged) dispatcherCommand()  {}
func (outstandingQuery) dispatcherCommand() {}
func (maintenanceTick) dispatcherCommand()  {}
func (prewarmTick) dispatcherCommand()      {}
func (waiterTick) dispatcherCommand()       {}

// refusal is why a server did not run a statement. It is one of lacked and refused.
type refusal interface{ refusal() }

type laggingRefusal struct{ choice dispatch.ToServer }

type busyRefusal struct{}

func (laggingRefusal) refusal() {}
func (busyRefusal) refusal()    {}
