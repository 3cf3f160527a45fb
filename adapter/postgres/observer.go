package postgres

import "github.com/rhubarbwick/rhubarbwick/port"

// Observer records requests and server connections for metrics. Its methods must not block.
type Observer interface {
	// RequestEnded records the outcome of a request that was reported to the client. It is not called for requests that
	// were interrupted because the client left.
	RequestEnded(outcome port.Outcome)
	// RequestRefused records the error kind of a request that was refused before it ran.
	RequestRefused(kind port.Kind)
	// PoolChanged records the connections that are open to "<group>/<server>" and the clients that wait for one.
	PoolChanged(server string, open, waiting int)
}

// noopObserver is the Observer used if none is configured.
type noopObserver struct{}

func (noopObserver) RequestEnded(port.Outcome)    {}
func (noopObserver) RequestRefused(port.Kind)     {}
func (noopObserver) PoolChanged(string, int, int) {}
