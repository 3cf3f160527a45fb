package postgres

import "github.com/rhubarbwick/rhubarbwick/port"

// Observer takes what happens to requests and server connections, for metrics. Its methods must not block.
type Observer interface {
	// RequestEnded takes the outcome of a request that a caller was told of. Requests that were cut off when the caller
	// left are not told.
	RequestEnded(outcome port.Outcome)
	// RequestRefused takes the kind of the error with which a request was refused before it ran.
	RequestRefused(kind port.Kind)
	// PoolChanged takes the connections held to "<group>/<server>" and the callers that wait for one.
	PoolChanged(server string, held, waiting int)
}

// unobserved takes the place of an Observer that is not set.
type unobserved struct{}

func (unobserved) RequestEnded(port.Outcome)    {}
func (unobserved) RequestRefused(port.Kind)     {}
func (unobserved) PoolChanged(string, int, int) {}
