package platform

import (
	"time"

	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// command is what the store's duty takes from its ring. It is one of the types below.
type command interface{ command() }

// tick says that time has passed.
type tick struct{}

// getCommand reads an object.
type getCommand struct{ name string }

// putCommand writes an object if its version is the expected one.
type putCommand struct {
	name     string
	data     []byte
	expected port.Version
}

// deleteCommand removes an object if its version is the expected one.
type deleteCommand struct {
	name     string
	expected port.Version
}

// watchCommand waits for a version other than seen.
type watchCommand struct {
	name  string
	seen  port.Version
	until time.Duration
}

// leaveCommand ends a watch whose caller has left.
type leaveCommand struct{ watch *ring.Ring[answer] }

// listCommand lists objects.
type listCommand struct{ prefix string }

// instancesCommand reads the list of instances.
type instancesCommand struct{}

// setInstancesCommand replaces the list of instances.
type setInstancesCommand struct{ instances []instance.Instance }

// faultsCommand changes the faults in force.
type faultsCommand struct{ change func(Faults) Faults }

// countersCommand reads the counters.
type countersCommand struct{}

func (tick) command()                {}
func (getCommand) command()          {}
func (putCommand) command()          {}
func (deleteCommand) command()       {}
func (watchCommand) command()        {}
func (leaveCommand) command()        {}
func (listCommand) command()         {}
func (instancesCommand) command()    {}
func (setInstancesCommand) command() {}
func (faultsCommand) command()       {}
func (countersCommand) command()     {}

// answer is what the store's duty says to a command.
type answer struct {
	object    port.Object
	changed   bool
	objects   []port.Object
	instances []instance.Instance
	counters  Counters
	err       error
}

// call is a command with the ring for its answer, which is never full because each call is answered once.
type call struct {
	command command
	answers *ring.Ring[answer]
}

func newCall(c command) call { return call{command: c, answers: ring.New[answer](1)} }

func (c call) answer(a answer) { c.answers.TryPut(a) }
