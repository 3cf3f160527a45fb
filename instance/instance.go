// Package instance describes the entry instances of the fleet and computes the roles of each one.
package instance

// State is the state of an instance in the platform's list.
type State string

// The states of a listed instance.
const (
	Live      State = "live"
	Departing State = "departing"
)

// Instance is one entry instance. Incarnation is random and chosen at start-up, so a process that restarts at the same
// address is another instance.
type Instance struct {
	Incarnation string
	Address     string
	DataCentre  string
	State       State
}

// WithState returns the instance in another state.
func (i Instance) WithState(state State) Instance {
	i.State = state
	return i
}
