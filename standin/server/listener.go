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
	// MaintenanceDatabase is the database of maintenance connections. They are exempt from the connection limit, because a
	// server must be promotable even if clients use all its connections.
	MaintenanceDatabase = "rhubarbwick_maintenance"
	// ReplicationParameter is the start-up parameter that identifies a replica's connection.
	ReplicationParameter = "rhubarbwick.replication"
	// DefaultMaxConnections is the connection limit if none is set.
	DefaultMaxConnections = 50
)

// Login holds the only credentials that a server accepts.
type Login struct {
	User     string
	Password string
}

// Listener serves a Server over PostgreSQL protocol 3. Use NewListener, then Run.
type Listener struct {
	server          *Server
	login           Login
	maxConnections  int
	timer           port.Timer
	connectDelay    atomic.Int64
	clientPartition partition
	recorder        recorder
	running         sync.WaitGroup

	mu          sync.Mutex
	sockets     map[*partitionedConn]struct{}
	clientCount int
	counters    Counters
	clients     map[uint32]*clientConn
	lastID      uint32
}

// NewListener returns a Listener for a server. If maxConnections is below one, DefaultMaxConnections applies.
func NewListener(s *Server, login Login, maxConnections int) *Listener {
	if maxConnections < 1 {
		maxConnections = DefaultMaxConnections
	}
	return &Listener{
		server:         s,
		login:          login,
		maxConnections: maxConnections,
		timer:          s.timer,
		sockets:        make(map[*partitionedConn]struct{}),
		clients:        make(map[uint32]*clientConn),
	}
}

// SetConnectDelay sets the delay before a connection is accepted.
func (l *Listener) SetConnectDelay(d time.Duration) { l.connectDelay.Store(int64(d)) }

// SetPartitioned starts or ends a network partition between the server and its clients. Connections stay open, but
// transfer nothing.
func (l *Listener) SetPartitioned(partitioned bool) { l.clientPartition.set(partitioned) }

// Run accepts connections until ctx is done, and then closes all of them.
func (l *Listener) Run(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer l.running.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { l.close(listener) })
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
		c := newClientConn(l, newPartitionedConn(socket, &l.recorder))
		l.mu.Lock()
		l.sockets[c.socket] = struct{}{}
		l.mu.Unlock()
		// close may have run after Accept and before the socket was added to l.sockets.
		if ctx.Err() != nil {
			_ = c.socket.Close()
		}
		l.running.Go(func() { c.run(ctx) })
	}
}

func (l *Listener) close(listener net.Listener) {
	_ = listener.Close()
	l.CloseConnections()
}

// CloseConnections closes all open connections, including those of replicas.
func (l *Listener) CloseConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for socket := range l.sockets {
		_ = socket.Close()
	}
}

// Counters returns the counters of client connections.
func (l *Listener) Counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counters
}

// countStatement counts a statement of a client.
func (l *Listener) countStatement(statement Statement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.Statements++
	if _, ok := statement.(Bind); ok {
		l.counters.Bindings++
	}
}

// admitClient counts a client connection and returns false if the connection limit is reached.
func (l *Listener) admitClient() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.Connections++
	if l.clientCount >= l.maxConnections {
		return false
	}
	l.clientCount++
	return true
}

// register returns the process ID of a connection, which cancel requests use.
func (l *Listener) register(c *clientConn) uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	l.clients[l.lastID] = c
	return l.lastID
}

func (l *Listener) unregister(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sockets, c.socket)
	delete(l.clients, c.id)
	if c.counted {
		l.clientCount--
	}
}

func (l *Listener) cancel(m *pgproto3.CancelRequest) {
	l.mu.Lock()
	c, ok := l.clients[m.ProcessID]
	l.mu.Unlock()
	if ok && subtle.ConstantTimeCompare(c.secret, m.SecretKey) == 1 {
		c.cancelStatement()
	}
}

// matches reports whether user and password equal the login.
func (l Login) matches(user, password string) bool {
	return user == l.User && subtle.ConstantTimeCompare([]byte(password), []byte(l.Password)) == 1
}
