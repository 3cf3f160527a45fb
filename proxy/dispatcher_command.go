package proxy

import (
	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// dispatcherCommand is what the dispatcher takes from its ring. It is one of wanted, abandoned, returned, answered,
// troubled, opened, notOpened, listingsChanged, counted, checked and checkWaits.
type dispatcherCommand interface{ dispatcherCommand() }

type wanted struct{ waiter *waiter }

type abandoned struct{ waiter *waiter }

// returned gives a connection back. An unusable one has been closed.
type returned struct {
	connection *Connection
	usable     bool
}

// answered tells what a server answered.
type answered struct{ answer Answered }

// troubled tells what a server refused or that it did not answer.
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

// checkWaits has the waiting statements looked at.
type checkWaits struct{}

func (wanted) dispatcherCommand()          {}
func (abandoned) dispatcherCommand()       {}
func (returned) dispatcherCommand()        {}
func (answered) dispatcherCommand()        {}
func (troubled) dispatcherCommand()        {}
func (opened) dispatcherCommand()          {}
func (notOpened) dispatcherCommand()       {}
func (listingsChanged) dispatcherCommand() {}
func (counted) dispatcherCommand()         {}
func (checked) dispatcherCommand()         {}
func (checkWaits) dispatcherCommand()      {}

// trouble is why a server did not do what it was asked. It is one of lacked, refused and unreached.
type trouble interface{ trouble() }

type lacked struct{ after dispatch.ToServer }

type refused struct{}

type unreached struct{}

func (lacked) trouble()    {}
func (refused) trouble()   {}
func (unreached) trouble() {}
