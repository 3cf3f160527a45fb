package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/port"
)

// headerTimeout bounds how long an admin request may take to arrive.
const headerTimeout = 5 * time.Second

// Config says how a stand-in process listens.
type Config struct {
	// Name is the server's name in its group.
	Name string
	// Listen is the address for callers, instances and replicas. Port 0 takes a free one.
	Listen string
	// Admin is the address for commanded faults. Port 0 takes a free one.
	Admin          string
	Login          Login
	MaxConnections int
	// ConnectDelay is how long it takes to open a connection.
	ConnectDelay time.Duration
	// Lag is how long a replica holds back what it receives.
	Lag time.Duration
}

// Process is a core with its listeners. Use Open, then Run.
type Process struct {
	// Server is the core.
	Server *Server
	// Listener is the PostgreSQL side.
	Listener *Listener

	callers net.Listener
	admin   net.Listener
}

// Open binds the addresses of a stand-in process.
func Open(ctx context.Context, cfg Config, timer port.Timer) (*Process, error) {
	var listen net.ListenConfig
	callers, err := listen.Listen(ctx, "tcp", cfg.Listen)
	if err != nil {
		return nil, port.Wrapf(err, port.Unavailable, "address for callers was not bound")
	}
	admin, err := listen.Listen(ctx, "tcp", cfg.Admin)
	if err != nil {
		_ = callers.Close()
		return nil, port.Wrapf(err, port.Unavailable, "address for faults was not bound")
	}
	core := New(cfg.Name, timer, DialNetwork(cfg.Login))
	core.lag = cfg.Lag
	listener := NewListener(core, cfg.Login, cfg.MaxConnections)
	listener.SetOpenTime(cfg.ConnectDelay)
	return &Process{Server: core, Listener: listener, callers: callers, admin: admin}, nil
}

// Address returns the address for callers, instances and replicas.
func (p *Process) Address() string { return p.callers.Addr().String() }

// AdminAddress returns the address for commanded faults.
func (p *Process) AdminAddress() string { return p.admin.Addr().String() }

// Run serves until ctx ends.
func (p *Process) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	faults := &http.Server{Handler: NewAdmin(p.Server, p.Listener), ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = faults.Close() })
	defer stop()
	var duties sync.WaitGroup
	duties.Go(func() { p.Server.Run(ctx) })
	duties.Go(func() { _ = faults.Serve(p.admin) })
	err := p.Listener.Run(ctx, p.callers)
	cancel()
	duties.Wait()
	return errors.Join(err, ignoreClosed(p.admin.Close()))
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
