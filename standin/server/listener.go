package server

import (
	"context"
	"crypto/subtle"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// MaintenanceDatabase is the database of connections that do not count towards the bound, because a server whose
	// connections are all in use by callers has to be promoted too.
	MaintenanceDatabase = "rhubarbwick_maintenance"
	// ReplicationParameter is the start-up parameter of a replica's connection.
	ReplicationParameter = "rhubarbwick.replication"
	// DefaultMaxConnections is the bound on connections when none is set.
	DefaultMaxConnections = 50
)

// Login is the one login that a server knows.
type Login struct {
	User     string
	Password string
}

// Listener speaks PostgreSQL protocol 3 for a core. Use NewListener, then Run.
type Listener struct {
	server         *Server
	login          Login
	maxConnections int
	timer          port.Timer
	openTime       atomic.Int64
	callers        gate
	recorder       recorder
	duties         sync.WaitGroup

	mu          sync.Mutex
	sockets     map[*gatedConn]struct{}
	callerCount int
	counters    Counters
	statements  map[uint32]*client
	lastID      uint32
}

// NewListener returns a listener for a core. maxConnections below one means DefaultMaxConnections.
func NewListener(s *Server, login Login, maxConnections int) *Listener {
	if maxConnections < 1 {
		maxConnections = DefaultMaxConnections
	}
	return &Listener{
		server:         s,
		login:          login,
		maxConnections: maxConnections,
		timer:          s.timer,
		sockets:        make(map[*gatedConn]struct{}),
		statements:     make(map[uint32]*client),
	}
}

// SetOpenTime sets how long it takes to open a connection.
func (l *Listener) SetOpenTime(d time.Duration) { l.openTime.Store(int64(d)) }

// SetCut cuts the server from its callers, or ends the cut. Connections stay open, but nothing passes them.
func (l *Listener) SetCut(cut bool) { l.callers.set(cut) }

// Run accepts connections until ctx ends, and then closes all of them.
func (l *Listener) Run(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer l.duties.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { l.shut(listener) })
	defer stop()
	return l.loop(ctx, listener)
}

func (l *Listener) loop(ctx context.Context, listener net.Listener) error {
	for {
		socket, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return port.Wrapf(err, port.Unavailable, "listener stopped")
		}
		c := newClient(l, newGatedConn(socket, &l.recorder))
		l.mu.Lock()
		l.sockets[c.socket] = struct{}{}
		l.mu.Unlock()
		// The listener may have been shut after the socket was accepted and before it was known.
		if ctx.Err() != nil {
			_ = c.socket.Close()
		}
		l.duties.Go(func() { c.run(ctx) })
	}
}

func (l *Listener) shut(listener net.Listener) {
	_ = listener.Close()
	l.CloseConnections()
}

// CloseConnections closes every open connection, those of replicas too.
func (l *Listener) CloseConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for socket := range l.sockets {
		_ = socket.Close()
	}
}

// Counters returns what callers' connections did since the start.
func (l *Listener) Counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counters
}

// countStatement counts a statement of a caller's connection.
func (l *Listener) countStatement(statement Statement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.Statements++
	if _, ok := statement.(Bind); ok {
		l.counters.Bindings++
	}
}

// admit counts a caller's connection and reports false when there are too many.
func (l *Listener) admit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.Connections++
	if l.callerCount >= l.maxConnections {
		return false
	}
	l.callerCount++
	return true
}

// register gives a connection the number under which its statements can be cancelled.
func (l *Listener) register(c *client) uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	l.statements[l.lastID] = c
	return l.lastID
}

func (l *Listener) forget(c *client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sockets, c.socket)
	delete(l.statements, c.id)
	if c.counted {
		l.callerCount--
	}
}

func (l *Listener) cancel(m *pgproto3.CancelRequest) {
	l.mu.Lock()
	c, ok := l.statements[m.ProcessID]
	l.mu.Unlock()
	if ok && subtle.ConstantTimeCompare(c.secret, m.SecretKey) == 1 {
		c.cancelStatement()
	}
}

// allows reports whether the login is the one that the server knows.
func (l Login) allows(user, password string) bool {
	return user == l.User && subtle.ConstantTimeCompare([]byte(password), []byte(l.Password)) == 1
}
