package platform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/port"
)

// headerTimeout bounds how long a request's header may take to arrive.
const headerTimeout = 5 * time.Second

// Config says how a stand-in process listens.
type Config struct {
	// Listen is the address of the store and of its administration. Port 0 takes a free one.
	Listen string
	// Faults are in force from the start.
	Faults Faults
}

// Process is a store with its HTTP listener. Use Open, then Run.
type Process struct {
	// Store is the core.
	Store *Store

	socket net.Listener
}

// Open binds the address of a stand-in process.
func Open(ctx context.Context, cfg Config, timer port.Timer) (*Process, error) {
	var listen net.ListenConfig
	socket, err := listen.Listen(ctx, "tcp", cfg.Listen)
	if err != nil {
		return nil, port.Wrapf(err, port.Unavailable, "address %s was not bound", cfg.Listen)
	}
	store := New(timer)
	store.faults = cfg.Faults
	return &Process{Store: store, socket: socket}, nil
}

// Address returns the address of the store and of its administration.
func (p *Process) Address() string { return p.socket.Addr().String() }

// Run serves until ctx ends.
func (p *Process) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := &http.Server{
		Handler:           NewHandler(p.Store),
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	var duties sync.WaitGroup
	duties.Go(func() { p.Store.Run(ctx) })
	err := server.Serve(p.socket)
	cancel()
	duties.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return port.Wrapf(err, port.Unavailable, "store stopped")
}
