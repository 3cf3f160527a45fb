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

	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Defaults of a ListenerConfig.
const (
	DefaultMaxCallers   = 4096
	DefaultMessageLimit = 1 << 20
	DefaultHoldLimit    = 1 << 20
	DefaultStartupLimit = 10 * time.Second
	DefaultIdleLimit    = 60 * time.Second
)

const (
	// cancelLimit is how long a cancel request to a server may take.
	cancelLimit = 5 * time.Second
	// lingerLimit is how long a dismissed caller may take to read the reason.
	lingerLimit = time.Second
	// startupReserve is the number of connections above MaxCallers, so that cancel requests get in and a refused caller
	// learns the reason.
	startupReserve = 64
)

// ListenerConfig holds the settings of a Listener. A zero field means its default.
type ListenerConfig struct {
	// MaxClients is the number of callers' connections.
	MaxClients int
	// MaxMessageBytes is the size in bytes of a caller's message.
	MaxMessageBytes int
	// HoldLimit is the number of bytes of an answer that are held until a write is acknowledged.
	HoldLimit int
	// StartupTimeout is how long the start-up of a connection may take.
	StartupTimeout time.Duration
	// DrainIdleTimeout is how long a transaction may be idle while the instance stops.
	DrainIdleTimeout time.Duration
	// TLS is offered to callers when it is set.
	TLS *tls.Config
	// Observer takes the outcomes of requests. It may be nil.
	Observer Observer
	// Forward forwards callers of groups that other instances serve. When it is nil, this instance serves them all.
	Forward *ForwardConfig
}

func (cfg ListenerConfig) withDefaults() ListenerConfig {
	if cfg.MaxClients == 0 {
		cfg.MaxClients = DefaultMaxCallers
	}
	if cfg.MaxMessageBytes == 0 {
		cfg.MaxMessageBytes = DefaultMessageLimit
	}
	if cfg.HoldLimit == 0 {
		cfg.HoldLimit = DefaultHoldLimit
	}
	if cfg.StartupTimeout == 0 {
		cfg.StartupTimeout = DefaultStartupLimit
	}
	if cfg.DrainIdleTimeout == 0 {
		cfg.DrainIdleTimeout = DefaultIdleLimit
	}
	if cfg.Observer == nil {
		cfg.Observer = unobserved{}
	}
	return cfg
}

// Listener serves callers. Use NewListener, then call Serve.
type Listener struct {
	cfg      ListenerConfig
	gate     entry.Authorizer
	director entry.ServerSelector
	pool     *Pool
	timer    port.Timer
	log      *zap.Logger

	mu     sync.Mutex
	socket net.Listener
	// conns holds all connections; the value is true once the caller was admitted.
	conns    map[net.Conn]bool
	callers  map[uint32]*caller
	stopping bool
	// serving is the context of Serve.
	serving context.Context
	duties  sync.WaitGroup
}

// NewListener returns a listener. log may be nil.
func NewListener(
	cfg ListenerConfig, gate entry.Authorizer, director entry.ServerSelector, pool *Pool, timer port.Timer, log *zap.Logger,
) *Listener {
	if log == nil {
		log = zap.NewNop()
	}
	return &Listener{
		cfg: cfg.withDefaults(), gate: gate, director: director, pool: pool, timer: timer, log: log.Named("callers"),
		conns: make(map[net.Conn]bool), callers: make(map[uint32]*caller),
	}
}

// Serve accepts callers on the socket until Stop is called or ctx ends. When ctx ends, all connections are closed.
func (l *Listener) Serve(ctx context.Context, socket net.Listener) error {
	if !l.open(ctx, socket) {
		_ = socket.Close()
		return nil
	}
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	return l.loop(ctx, socket)
}

func (l *Listener) open(ctx context.Context, socket net.Listener) bool {
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
			// Accept fails for a while when the process has no free file descriptor.
			l.log.Warn("could not accept a caller", zap.Error(err))
			if port.Sleep(ctx, l.timer, placementPause) != nil {
				return nil
			}
			continue
		}
		l.accept(ctx, conn)
	}
}

func (l *Listener) accept(ctx context.Context, conn net.Conn) {
	if err := l.register(conn); err != nil {
		_, _ = conn.Write(encode(nil, errorResponse(severityFatal, err)))
		_ = conn.Close()
		return
	}
	go l.run(ctx, conn)
}

func (l *Listener) register(conn net.Conn) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		return port.Errorf(port.Stopping, "the instance is stopping")
	}
	if len(l.conns) >= l.cfg.MaxClients+startupReserve {
		return port.Errorf(port.NoConnection, "too many callers")
	}
	l.conns[conn] = false
	l.duties.Add(1)
	return nil
}

func (l *Listener) unregister(conn net.Conn) {
	_ = conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// run serves one connection.
func (l *Listener) run(ctx context.Context, conn net.Conn) {
	defer l.duties.Done()
	defer l.unregister(conn)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	c, err := l.startUp(ctx, conn)
	if err != nil {
		l.log.Info("a caller was not admitted", zap.Error(err))
		return
	}
	if c == nil {
		return
	}
	defer l.exit(c)
	if l.forward(conn, c) {
		l.serveCaller(conn, c)
	}
}

// serveCaller serves an admitted caller until it leaves.
func (l *Listener) serveCaller(conn net.Conn, c *caller) {
	l.duties.Add(1)
	go l.runReader(c)
	c.loop()
	l.linger(conn, c)
}

// linger lets a dismissed caller read the reason: closing a connection with unread input would discard it.
func (l *Listener) linger(raw net.Conn, c *caller) {
	half, ok := c.conn.(interface{ CloseWrite() error })
	if !c.finished || !ok || half.CloseWrite() != nil {
		return
	}
	stop := l.timer.After(lingerLimit, func(time.Duration) { _ = raw.Close() })
	defer stop()
	_, _ = io.Copy(io.Discard, raw)
}

// begin counts a goroutine that Stop waits for. It reports false when no caller is left.
func (l *Listener) begin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) == 0 {
		return false
	}
	l.duties.Add(1)
	return true
}

func (l *Listener) runReader(c *caller) {
	defer l.duties.Done()
	c.run()
}

// enter makes the caller known for cancel requests and for Stop, under a number that no other caller has.
func (l *Listener) enter(raw net.Conn, c *caller) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		return port.Errorf(port.Stopping, "the instance is stopping")
	}
	if len(l.callers) >= l.cfg.MaxClients {
		return port.Errorf(port.NoConnection, "too many callers")
	}
	l.conns[raw] = true
	for taken := true; taken; {
		c.pid = newCallerNumber()
		_, taken = l.callers[c.pid]
	}
	l.callers[c.pid] = c
	return nil
}

func (l *Listener) exit(c *caller) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.callers, c.pid)
}

// Stop drains the listener: no new callers, statements in flight and open transactions finish, idle callers are
// dismissed. It returns when no caller is left. When ctx ends first, it closes the remaining connections and fails.
func (l *Listener) Stop(ctx context.Context) error {
	l.askStop()
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
	return port.Errorf(port.Stopping, "%d callers were cut off", n)
}

func (l *Listener) askStop() {
	l.mu.Lock()
	l.stopping = true
	if l.socket != nil {
		_ = l.socket.Close()
	}
	for conn, admitted := range l.conns {
		if !admitted {
			_ = conn.Close()
		}
	}
	for _, c := range l.callers {
		l.duties.Add(1)
		go c.runStop()
	}
	l.mu.Unlock()
}

func (l *Listener) runWait(drained chan<- struct{}) {
	l.duties.Wait()
	close(drained)
}

// cancelRequested passes a cancel request on when its key is right.
func (l *Listener) cancelRequested(m *pgproto3.CancelRequest) {
	l.mu.Lock()
	c, ok := l.callers[m.ProcessID]
	l.mu.Unlock()
	if ok && subtle.ConstantTimeCompare(c.secret, m.SecretKey) == 1 {
		c.askCancel()
	}
}

// cancelAt sends a cancel request to the server of the connection.
func (l *Listener) cancelAt(b *backend) {
	l.duties.Add(1)
	go l.runCancel(b)
}

func (l *Listener) runCancel(b *backend) {
	defer l.duties.Done()
	ctx, cancel := port.WithTimeout(b.ended, l.timer, cancelLimit)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", b.address)
	if err != nil {
		l.log.Warn("could not send a cancel request", zap.String("server", b.key.server), zap.Error(err))
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write(encode(nil, &pgproto3.CancelRequest{ProcessID: b.pid, SecretKey: b.secret}))
	_, _ = conn.Read(make([]byte, 1))
}
