package platform

import (
	"time"

	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// command is a message in the store's ring. It is one of the types below.
type command interface{ command() }

// tick makes the store check its deadlines.
type tick struct{}

// getCommand reads an object.
type getCommand struct{ name string }

// putCommand writes an object if its version equals expected.
type putCommand struct {
	name     string
	data     []byte
	expected port.Version
}

// deleteCommand removes an object if its version equals expected.
type deleteCommand struct {
	name     string
	expected port.Version
}

// watchCommand waits until an object has a version other than seen.
type watchCommand struct {
	name  string
	seen  port.Version
	until time.Duration
}

// cancelWatchCommand ends a watch whose context is done.
type cancelWatchCommand struct{ watch *ring.Ring[response] }

// listCommand lists objects.
type listCommand struct{ prefix string }

// instancesCommand reads the list of instances.
type instancesCommand struct{}

// setInstancesCommand replaces the list of instances.
type setInstancesCommand struct{ instances []instance.Instance }

// faultsCommand updates the active faults.
type faultsCommand struct{ update func(Faults) Faults }

// countersCommand reads the counters.
type countersCommand struct{}

func (tick) command()                {}
func (getCommand) command()          {}
func (putCommand) command()          {}
func (deleteCommand) command()       {}
func (watchCommand) command()        {}
func (cancelWatchCommand) command()  {}
func (listCommand) command()         {}
func (instancesCommand) command()    {}
func (setInstancesCommand) command() {}
func (faultsCommand) command()       {}
func (countersCommand) command()     {}

// response is the response to a command.
type response struct {
	object    port.Object
	changed   bool
	objects   []port.Object
	instances []instance.Instance
	counters  Counters
	err       error
}

// call is a command with the ring for its response. The ring is never full because each call gets one response.
type call struct {
	command   command
	responses *ring.Ring[response]
}

func newCall(c command) call { return call{command: c, responses: ring.New[response](1)} }

func (c call) respond(r response) { c.responses.TryPut(r) }
