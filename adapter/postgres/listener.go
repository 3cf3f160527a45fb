package postgres

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/zap"

	"github.com/rhubarbwick/rhubarbwick/clientlimit"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Defaults of a ListenerConfig.
const (
	DefaultMaxClients       = 4096
	DefaultMaxMessageBytes  = 1 << 20
	DefaultMaxHeldBytes     = 1 << 20
	DefaultStartupTimeout   = 10 * time.Second
	DefaultDrainIdleTimeout = 60 * time.Second
)

const (
	// cancelTimeout is how long a cancel request to a server may take.
	cancelTimeout = 5 * time.Second
	// lingerTimeout is how long a client may take to read the last error before its connection is closed.
	lingerTimeout = time.Second
	// extraConns is the number of connections beyond the limit of clients, so that cancel requests are accepted and a
	// rejected client receives the reason.
	extraConns = 64
)

// ListenerConfig configures a Listener. A zero field has its default.
type ListenerConfig struct {
	// MaxClients limits the number of client connections.
	MaxClients int
	// MaxMessageBytes limits the size of a client's message in bytes.
	MaxMessageBytes int
	// MaxHeldBytes limits how much of a response is held back until a write is acknowledged.
	MaxHeldBytes int
	// StartupTimeout limits the start-up of a connection.
	StartupTimeout time.Duration
	// DrainIdleTimeout limits how long a transaction may be idle while the instance stops.
	DrainIdleTimeout time.Duration
	// TLS is offered to clients if it is set.
	TLS *tls.Config
	// MessageTimeout limits how long the rest of a client's batch of messages may take.
	MessageTimeout time.Duration
	// WriteTimeout limits how long a client may take to accept part of a response.
	WriteTimeout time.Duration
	// IdleTransactionTimeout limits how long a transaction may be idle.
	IdleTransactionTimeout time.Duration
	// Guard divides the places and the memory among the clients. If it is nil, only the limits above apply.
	Guard *clientlimit.Guard
	// Observer records the outcomes of requests. It may be nil.
	Observer Observer
	// Forward forwards the clients of groups that other instances serve. If it is nil, this instance serves all
	// clients.
	Forward *ForwardConfig
}

func (cfg ListenerConfig) withDefaults() ListenerConfig {
	if cfg.MaxClients == 0 {
		cfg.MaxClients = DefaultMaxClients
	}
	if cfg.MaxMessageBytes == 0 {
		cfg.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if cfg.MaxHeldBytes == 0 {
		cfg.MaxHeldBytes = DefaultMaxHeldBytes
	}
	if cfg.StartupTimeout == 0 {
		cfg.StartupTimeout = DefaultStartupTimeout
	}
	if cfg.DrainIdleTimeout == 0 {
		cfg.DrainIdleTimeout = DefaultDrainIdleTimeout
	}
	if cfg.MessageTimeout == 0 {
		cfg.MessageTimeout = DefaultMessageTimeout
	}
	if cfg.WriteTimeout == 0 {
		cfg.WriteTimeout = DefaultWriteTimeout
	}
	if cfg.IdleTransactionTimeout == 0 {
		cfg.IdleTransactionTimeout = DefaultIdleTransactionTimeout
	}
	if cfg.Observer == nil {
		cfg.Observer = noopObserver{}
	}
	return cfg
}

// Listener serves clients. Use NewListener, then call Serve.
type Listener struct {
	cfg        ListenerConfig
	authorizer entry.Authorizer
	selector   entry.ServerSelector
	pool       *Pool
	timer      port.Timer
	log        *zap.Logger
	rejections lineLimit

	mu     sync.Mutex
	socket net.Listener
	// conns contains all connections. The value is true once the client is authorized.
	conns    map[net.Conn]bool
	clients  map[uint32]*client
	stopping bool
	// serving is the context of Serve.
	serving context.Context
	running sync.WaitGroup
}

// NewListener returns a listener. log may be nil.
func NewListener(
	cfg ListenerConfig, authorizer entry.Authorizer, selector entry.ServerSelector, pool *Pool, timer port.Timer, log *zap.Logger,
) *Listener {
	if log == nil {
		log = zap.NewNop()
	}
	return &Listener{
		cfg: cfg.withDefaults(), authorizer: authorizer, selector: selector, pool: pool, timer: timer, log: log.Named("callers"),
		conns: make(map[net.Conn]bool), clients: make(map[uint32]*client),
	}
}

// Serve accepts clients on the socket until Stop is called or ctx ends. If ctx ends, all connections are closed.
func (l *Listener) Serve(ctx context.Context, socket net.Listener) error {
	if !l.setServing(ctx, socket) {
		_ = socket.Close()
		return nil
	}
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	return l.loop(ctx, socket)
}

func (l *Listener) setServing(ctx context.Context, socket net.Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.socket, l.serving = socket, ctx
	return !l.stopping
}

func (l *Listener) loop(ctx context.Context, socket net.Listener) error {
	for {
		conn, err := socket.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Accept keeps failing while the process has no free file descriptor.
			l.log.Warn("failed to accept a connection", zap.Error(err))
			if port.Sleep(ctx, l.timer, acquireRetryDelay) != nil {
				return nil
			}
			continue
		}
		l.accept(ctx, conn)
	}
}

func (l *Listener) accept(ctx context.Context, conn net.Conn) {
	place, err := l.openPlace(conn)
	if err == nil {
		err = l.addConn(conn)
	}
	if err != nil {
		place.Close()
		// A new connection has an empty send buffer, so that this does not block.
		_, _ = conn.Write(encode(nil, errorResponse(severityFatal, err)))
		_ = conn.Close()
		return
	}
	go l.run(ctx, conn, place)
}

func (l *Listener) addConn(conn net.Conn) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		return port.Errorf(port.Stopping, "the instance is stopping")
	}
	// With a guard, connections that gave up their place are still being closed.
	if l.cfg.Guard == nil && len(l.conns) >= l.cfg.MaxClients+extraConns {
		return port.Errorf(port.NoConnection, "too many clients")
	}
	l.conns[conn] = false
	l.running.Add(1)
	return nil
}

func (l *Listener) removeConn(conn net.Conn) {
	_ = conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// run serves one connection.
func (l *Listener) run(ctx context.Context, conn net.Conn, place *clientlimit.Place) {
	defer l.running.Done()
	defer place.Close()
	defer l.removeConn(conn)
	defer l.recoverClient()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	c, err := l.startClient(ctx, conn, place)
	if err != nil {
		l.logRejection(err)
		return
	}
	if c == nil {
		return
	}
	defer l.removeClient(c)
	if l.forward(conn, c) {
		l.serveClient(conn, c)
	}
}

// serveClient serves an authorized client until it leaves.
func (l *Listener) serveClient(conn net.Conn, c *client) {
	l.running.Add(1)
	go l.runReader(c)
	c.loop()
	l.linger(conn, c)
}

// linger lets a client read the last error. Closing a connection with unread input would discard it.
func (l *Listener) linger(raw net.Conn, c *client) {
	half, ok := c.conn.(interface{ CloseWrite() error })
	if !c.finished || !ok || half.CloseWrite() != nil {
		return
	}
	stop := l.timer.After(lingerTimeout, func(time.Duration) { _ = raw.Close() })
	defer stop()
	_, _ = io.Copy(io.Discard, raw)
}

// startGoroutine registers a goroutine that Stop waits for. It returns false if there are no connections.
func (l *Listener) startGoroutine() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) == 0 {
		return false
	}
	l.running.Add(1)
	return true
}

func (l *Listener) runReader(c *client) {
	defer l.running.Done()
	// After a panic, loop ends with the context.
	defer c.cancel(errReaderEnded)
	defer l.recoverClient()
	c.run()
	<-c.ctx.Done()
}

var errReaderEnded = errors.New("the client's messages are no longer read")

// recoverClient ends a panic of a goroutine that serves one client, and logs it. It must be deferred directly.
func (l *Listener) recoverClient() {
	if r := recover(); r != nil {
		l.log.Error("serving a client failed unexpectedly", zap.Any("reason", r), zap.Stack("stack"))
	}
}

// addClient registers the client under a unique process ID, for cancel requests and for Stop.
func (l *Listener) addClient(raw net.Conn, c *client) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		return port.Errorf(port.Stopping, "the instance is stopping")
	}
	if len(l.clients) >= l.cfg.MaxClients {
		return port.Errorf(port.NoConnection, "too many clients")
	}
	l.conns[raw] = true
	for taken := true; taken; {
		c.pid = newProcessID()
		_, taken = l.clients[c.pid]
	}
	l.clients[c.pid] = c
	return nil
}

func (l *Listener) removeClient(c *client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.clients, c.pid)
}

// Stop drains the listener: it accepts no new clients, lets running statements and open transactions finish, and closes
// the connections of idle clients. It returns when no client is left. If ctx ends first, it closes the remaining
// connections and returns an error.
func (l *Listener) Stop(ctx context.Context) error {
	l.startDrain()
	drained := make(chan struct{})
	go l.runWait(drained)
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	n := len(l.conns)
	for conn := range l.conns {
		_ = conn.Close()
	}
	l.mu.Unlock()
	<-drained
	return port.Errorf(port.Stopping, "closed the connections of %d clients that had not finished", n)
}

func (l *Listener) startDrain() {
	l.mu.Lock()
	l.stopping = true
	if l.socket != nil {
		_ = l.socket.Close()
	}
	for conn, authorized := range l.conns {
		if !authorized {
			_ = conn.Close()
		}
	}
	for _, c := range l.clients {
		l.running.Add(1)
		go c.runStop()
	}
	l.mu.Unlock()
}

func (l *Listener) runWait(drained chan<- struct{}) {
	l.running.Wait()
	close(drained)
}

// handleCancelRequest forwards a cancel request whose cancel key is correct.
func (l *Listener) handleCancelRequest(m *pgproto3.CancelRequest) {
	l.mu.Lock()
	c, ok := l.clients[m.ProcessID]
	l.mu.Unlock()
	if ok && subtle.ConstantTimeCompare(c.cancelKey, m.SecretKey) == 1 {
		c.requestCancel()
	}
}

// cancelOnServer sends a cancel request to the server of the connection, unless one is being sent. Each takes a connection
// to the server, and a client can send any number.
func (l *Listener) cancelOnServer(conn *serverConn) {
	if !conn.cancelling.CompareAndSwap(false, true) {
		return
	}
	l.running.Add(1)
	go l.runCancel(conn)
}

func (l *Listener) runCancel(server *serverConn) {
	defer l.running.Done()
	defer server.cancelling.Store(false)
	ctx, cancel := port.WithTimeout(server.ended, l.timer, cancelTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", server.address)
	if err != nil {
		l.log.Warn("failed to send a cancel request", zap.String("server", server.key.server), zap.Error(err))
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write(encode(nil, &pgproto3.CancelRequest{ProcessID: server.pid, SecretKey: server.cancelKey}))
	_, _ = conn.Read(make([]byte, 1))
}
