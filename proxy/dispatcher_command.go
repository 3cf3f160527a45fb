package proxy

import (
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// dispatcherCommand is a message to the dispatcher's loop. The types below implement it.
type dispatcherCommand interface{ dispatcherCommand() }

type acquireCommand struct{ waiter *waiter }

type cancelCommand struct{ waiter *waiter }

// returnCommand releases a connection. An unusable one has already been closed.
type returnCommand struct {
	connection *Connection
	usable     bool
}

// statementStarted reports that a statement runs on an acquired connection.
type statementStarted struct{ connection *Connection }

// answerReceived reports a server's answer on an acquired connection.
type answerReceived struct {
	connection  *Connection
	observation Observation
}

// connectionFailed reports that a connection was lost. notSent is set if a connection was not lent.
type connectionFailed struct {
	connection *Connection
	notSent    *NotSentError
	// readTime is the time since a read was sent whose answer was lost; zero if it was no read.
	readTime time.Duration
}

// ownerSuspected requests a probe of a pool owner that does not answer for a server.
type ownerSuspected struct {
	owner  Member
	server string
}

// ownerProbeResult is the result of a probe.
type ownerProbeResult struct {
	ownerSuspected
	response SurveyResponse
	err      error
}

// statementRefused reports that a server refused a statement.
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

// outstandingQuery asks for the number of connections to a server that are in use or being opened.
type outstandingQuery struct {
	server string
	reply  *ring.Ring[int]
}

type maintenanceTick struct{}

// prewarmTick continues prewarming.
type prewarmTick struct{}

// waiterTick re-evaluates the waiting statements.
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

// refusal is the reason why a server did not run a statement: laggingRefusal or busyRefusal.
type refusal interface{ refusal() }

type laggingRefusal struct{ choice dispatch.ToServer }

type busyRefusal struct{}

func (laggingRefusal) refusal() {}
func (busyRefusal) refusal()    {}
