package proxy

import (
	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// dispatcherCommand is what the dispatcher takes from its ring. It is one of wanted, abandoned, returned, started, answered,
// troubled, lostPath, ownerDoubted, ownerProbed, opened, notOpened, listingsChanged, counted, checked,
// warmed and checkWaits.
type dispatcherCommand interface{ dispatcherCommand() }

type wanted struct{ waiter *waiter }

type abandoned struct{ waiter *waiter }

// returned gives a connection back. An unusable one has been closed.
type returned struct {
	connection *Connection
	usable     bool
}

// started tells that a statement runs on a lent connection.
type started struct{ connection *Connection }

// answered tells what a server answered on a lent connection.
type answered struct {
	connection *Connection
	answer     Answered
}

// lostPath tells that a connection was lost. unsent is set when a borrowed one was not lent.
type lostPath struct {
	connection *Connection
	unsent     *NotSentError
}

// ownerDoubted asks for a probe of an owner that does not answer for a server.
type ownerDoubted struct {
	owner  Member
	server string
}

// ownerProbed tells what a probe found.
type ownerProbed struct {
	ownerDoubted
	hearing SurveyResponse
	err     error
}

// troubled tells what a server refused.
type troubled struct {
	server  string
	trouble trouble
}

type opened struct {
	connection *Connection
	answer     Answered
}

type notOpened struct {
	endpoint Endpoint
	err      error
}

type listingsChanged struct{ listings map[string]dispatch.Listing }

// counted asks for the number of connections to a server that are lent.
type counted struct {
	server string
	reply  *ring.Ring[int]
}

type checked struct{}

// warmed has the next connections opened ahead.
type warmed struct{}

// checkWaits has the waiting statements looked at.
type checkWaits struct{}

func (wanted) dispatcherCommand()          {}
func (abandoned) dispatcherCommand()       {}
func (returned) dispatcherCommand()        {}
func (started) dispatcherCommand()         {}
func (lostPath) dispatcherCommand()        {}
func (ownerDoubted) dispatcherCommand()    {}
func (ownerProbed) dispatcherCommand()     {}
func (answered) dispatcherCommand()        {}
func (troubled) dispatcherCommand()        {}
func (opened) dispatcherCommand()          {}
func (notOpened) dispatcherCommand()       {}
func (listingsChanged) dispatcherCommand() {}
func (counted) dispatcherCommand()         {}
func (checked) dispatcherCommand()         {}
func (warmed) dispatcherCommand()          {}
func (checkWaits) dispatcherCommand()      {}

// trouble is why a server did not run a statement. It is one of lacked and refused.
type trouble interface{ trouble() }

type lacked struct{ after dispatch.ToServer }

type refused struct{}

func (lacked) trouble()  {}
func (refused) trouble() {}
