// Package instance describes the entry instances of the fleet and computes the roles that each one has.
package instance

// State is what the platform's list says about an instance.
type State string

// The states of a listed instance.
const (
	Live      State = "live"
	Departing State = "departing"
)

// Instance is one entry instance. Incarnation is drawn at random at every start, so two starts at the same
// address are two instances.
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
