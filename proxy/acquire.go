package proxy

import (
	"context"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// waiter is a statement that waits for a connection.
type waiter struct {
	request AcquireRequest
	arrived time.Duration
	reply   *ring.Ring[grantResult]
	// dialing is the server to which a connection is being opened for this waiter.
	dialing string
	// awaitsSince is when the statement began to wait for a connection in use instead of opening one; zero before that.
	awaitsSince time.Duration
	// checkOnly is true if no connection is needed, only a server that can run the statement.
	checkOnly bool
	// chosen is the server that was chosen last. spillDecided is true once it was decided whether the read leaves.
	chosen       string
	spillDecided bool
	// random decides whether the statement is offered to a server that returns from an ejection.
	random uint64
}

// AcquireRequest describes the connection that a transaction needs.
type AcquireRequest struct {
	Group        string
	Organisation string
	// KeyID is the client's key, and Revision the document by which it was checked. They go along with a loan.
	KeyID    string
	Revision document.Revision
	Need     dispatch.Need
	Excluded []string
	// Priority orders waiting statements; zero is served first.
	Priority int
	// ConnectionWait limits the wait for a connection; ServerWait limits the wait while no server is suitable.
	ConnectionWait time.Duration
	ServerWait     time.Duration
	// Affinity is the ID of the connection that the session used last.
	Affinity uint64
	// Spill is the read's route between data centres; it is nil for other statements.
	Spill SpillRoute
	// Homes restricts the statement to servers, and to owners of their pools, in some regions.
	Homes dispatch.Homes
	// Statements is how many statements are sent first; zero counts as one.
	Statements int
}

func (r AcquireRequest) statements() int { return max(r.Statements, 1) }

// Grant is an acquired connection. Choice holds the position that a read must require; OverdueAfter is the time after
// which a missing answer counts as lost.
type Grant struct {
	Connection   *Connection
	Choice       dispatch.ToServer
	OverdueAfter time.Duration
	// Spill is the route on which the connection was acquired.
	Spill SpillRoute
}

type grantResult struct {
	grant Grant
	err   error
}

// Acquire returns a connection to a suitable server. Its errors are of kind Busy, NoPrimary, Unavailable or Stopping;
// no statement has run.
func (d *Dispatcher) Acquire(ctx context.Context, req AcquireRequest) (Grant, error) {
	return d.await(ctx, &waiter{request: req, reply: ring.New[grantResult](1), random: newRandom()})
}

// await queues a waiter and returns its result.
func (d *Dispatcher) await(ctx context.Context, w *waiter) (Grant, error) {
	if err := d.commands.Put(ctx, acquireCommand{w}); err != nil {
		return Grant{}, port.Wrapf(err, port.Stopping, "no connection was acquired for the statement")
	}
	g, err := w.reply.Take(ctx)
	if err != nil {
		d.send(cancelCommand{w})
		return Grant{}, port.Wrapf(err, port.Busy, "no connection was acquired for the statement")
	}
	return g.grant, g.err
}

// AwaitServer returns once a server can run the statement, whether or not a connection is free. Its errors are those of
// Acquire.
func (d *Dispatcher) AwaitServer(ctx context.Context, req AcquireRequest) error {
	_, err := d.await(ctx, &waiter{request: req, reply: ring.New[grantResult](1), checkOnly: true})
	return err
}
