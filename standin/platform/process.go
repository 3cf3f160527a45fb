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

// headerTimeout is the timeout for reading the header of a request.
const headerTimeout = 5 * time.Second

// Config configures a Process.
type Config struct {
	// Listen is the address of the store and of its administration API. Port 0 selects a free port.
	Listen string
	// Faults are the initial faults.
	Faults Faults
}

// Process is a Store with an HTTP listener. Use Open, then Run.
type Process struct {
	// Store is the served store.
	Store *Store

	listener net.Listener
}

// Open returns a Process that is bound to its address.
func Open(ctx context.Context, cfg Config, timer port.Timer) (*Process, error) {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp", cfg.Listen)
	if err != nil {
		return nil, port.Wrapf(err, port.Unavailable, "cannot listen on %s", cfg.Listen)
	}
	store := New(timer)
	store.faults = cfg.Faults
	return &Process{Store: store, listener: listener}, nil
}

// Address returns the address of the store and of its administration API.
func (p *Process) Address() string { return p.listener.Addr().String() }

// Run serves requests until ctx is done.
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
	var running sync.WaitGroup
	running.Go(func() { p.Store.Run(ctx) })
	err := server.Serve(p.listener)
	cancel()
	running.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return port.Wrapf(err, port.Unavailable, "HTTP server failed")
}
