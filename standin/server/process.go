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

// headerTimeout is the timeout for reading the header of an admin request.
const headerTimeout = 5 * time.Second

// Config configures a Process.
type Config struct {
	// Name is the name of the server in its group.
	Name string
	// Listen is the address for clients, instances and replicas. Port 0 selects a free port.
	Listen string
	// Admin is the address of the fault injection API. Port 0 selects a free port.
	Admin          string
	Login          Login
	MaxConnections int
	// ConnectDelay is the injected delay before a connection is accepted.
	ConnectDelay time.Duration
	// Lag is the injected delay before a replica applies the entries that it receives.
	Lag time.Duration
}

// Process is a Server with its listeners. Use Open, then Run.
type Process struct {
	// Server is the served server.
	Server *Server
	// Listener serves the PostgreSQL protocol.
	Listener *Listener

	clients net.Listener
	admin   net.Listener
}

// Open returns a Process that is bound to its addresses.
func Open(ctx context.Context, cfg Config, timer port.Timer) (*Process, error) {
	var listenConfig net.ListenConfig
	clients, err := listenConfig.Listen(ctx, "tcp", cfg.Listen)
	if err != nil {
		return nil, port.Wrapf(err, port.Unavailable, "cannot listen on the address for clients")
	}
	admin, err := listenConfig.Listen(ctx, "tcp", cfg.Admin)
	if err != nil {
		_ = clients.Close()
		return nil, port.Wrapf(err, port.Unavailable, "cannot listen on the admin address")
	}
	server := New(cfg.Name, timer, DialNetwork(cfg.Login))
	server.lag = cfg.Lag
	listener := NewListener(server, cfg.Login, cfg.MaxConnections)
	listener.SetConnectDelay(cfg.ConnectDelay)
	return &Process{Server: server, Listener: listener, clients: clients, admin: admin}, nil
}

// Address returns the address for clients, instances and replicas.
func (p *Process) Address() string { return p.clients.Addr().String() }

// AdminAddress returns the address of the fault injection API.
func (p *Process) AdminAddress() string { return p.admin.Addr().String() }

// Run serves connections until ctx is done.
func (p *Process) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	adminServer := &http.Server{Handler: NewAdmin(p.Server, p.Listener), ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = adminServer.Close() })
	defer stop()
	var running sync.WaitGroup
	running.Go(func() { p.Server.Run(ctx) })
	running.Go(func() { _ = adminServer.Serve(p.admin) })
	err := p.Listener.Run(ctx, p.clients)
	cancel()
	running.Wait()
	return errors.Join(err, ignoreClosed(p.admin.Close()))
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
