package postgres

import (
	"context"
	"crypto/tls"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"go.uber.org/zap"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	// DefaultCheckoutTimeout is how long a client waits for a server connection.
	DefaultCheckoutTimeout = 15 * time.Second
	// DefaultConnectTimeout is how long opening a server connection may take.
	DefaultConnectTimeout = 2 * time.Second
	// limitCheckPeriod is how often the pool compares its connections with the limit.
	limitCheckPeriod = 200 * time.Millisecond
	// poolCommandCapacity limits the commands that are queued for the pool. Senders block while the queue is full.
	poolCommandCapacity = 256
)

// keepAlive ends the connection to an unreachable machine within about 8 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

// PoolConfig configures a Pool.
type PoolConfig struct {
	// User and Password are the proxy's own account on the servers.
	User     string
	Password string
	// TLS is used for connections to servers if it is set.
	TLS *tls.Config
	// CheckoutTimeout is how long a client waits for a connection. Zero means DefaultCheckoutTimeout.
	CheckoutTimeout time.Duration
	// ConnectTimeout is how long opening a connection may take. Zero means DefaultConnectTimeout.
	ConnectTimeout time.Duration
	// QueueLimit is the number of clients that may wait for one server. Zero means allotment.DefaultQueueLimit.
	QueueLimit int
	// Observer records the number of connections. It may be nil.
	Observer Observer
}

// poolKey identifies connections that are interchangeable.
type poolKey struct {
	server string
	slot   string
}

// poolCommand is a command in the queue of the pool. It is one of checkoutRequest, checkoutCancelled, connOpened,
// connectFailed, connReturned, connClosed, documentChanged and limitCheckDue.
type poolCommand interface{ poolCommand() }

type checkoutRequest struct {
	id           uint64
	key          poolKey
	address      string
	organisation string
	read         bool
	reply        *ring.Ring[checkoutResult]
}

type checkoutCancelled struct{ request checkoutRequest }

type connOpened struct{ conn *serverConn }

type connectFailed struct {
	key poolKey
	err error
}

type connReturned struct{ conn *serverConn }

type connClosed struct{ conn *serverConn }

type documentChanged struct{ document document.Document }

type limitCheckDue struct{}

func (checkoutRequest) poolCommand()   {}
func (checkoutCancelled) poolCommand() {}
func (connOpened) poolCommand()        {}
func (connectFailed) poolCommand()     {}
func (connReturned) poolCommand()      {}
func (connClosed) poolCommand()        {}
func (documentChanged) poolCommand()   {}
func (limitCheckDue) poolCommand()     {}

// checkoutResult is the response to a checkoutRequest: a connection, or the reason why there is none.
type checkoutResult struct {
	conn *serverConn
	err  error
}

// Pool manages the connections to database servers. A connection serves one transaction at a time. Use NewPool, then
// call Run.
type Pool struct {
	cfg      PoolConfig
	limit    entry.ConnectionLimit
	timer    port.Timer
	log      *zap.Logger
	commands *ring.Ring[poolCommand]
	ended    context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup

	// The following fields are owned by loop.
	servers map[string]*serverPool
	// addresses contains the addresses of the servers that accept new work, by serverKey. It is nil without a document.
	addresses map[string]string

	mu     sync.Mutex
	lastID uint64
}

// NewPool returns a pool without connections. log may be nil.
func NewPool(cfg PoolConfig, limit entry.ConnectionLimit, timer port.Timer, log *zap.Logger) *Pool {
	if cfg.CheckoutTimeout == 0 {
		cfg.CheckoutTimeout = DefaultCheckoutTimeout
	}
	if cfg.ConnectTimeout == 0 {
		cfg.ConnectTimeout = DefaultConnectTimeout
	}
	if cfg.Observer == nil {
		cfg.Observer = noopObserver{}
	}
	if log == nil {
		log = zap.NewNop()
	}
	ended, cancel := context.WithCancel(context.Background())
	return &Pool{
		cfg: cfg, limit: limit, timer: timer, log: log.Named("pool"), commands: ring.New[poolCommand](poolCommandCapacity),
		ended: ended, cancel: cancel, servers: make(map[string]*serverPool),
	}
}

// Run serves the pool until ctx ends, then closes all connections.
func (p *Pool) Run(ctx context.Context) {
	stopTick := p.timer.Every(limitCheckPeriod, func(time.Duration) { p.commands.TryPut(limitCheckDue{}) })
	p.loop(ctx)
	stopTick()
	p.cancel()
	p.running.Wait()
}

// SetDocument sets the document that lists the servers. Servers that are departing, absent or at another address get no
// new work, and their idle connections are closed.
func (p *Pool) SetDocument(d document.Document) { p.send(documentChanged{document: d}) }

// checkout returns an unused connection to the target's slot, preferably one that is already bound to the client's
// organisation. Errors are of kind NoConnection.
func (p *Pool) checkout(ctx context.Context, target entry.Target, c entry.Client) (*serverConn, error) {
	id := p.nextID()
	req := checkoutRequest{
		id: id, key: poolKey{server: serverKey(target), slot: c.Route.Slot}, address: target.Address,
		organisation: c.Organisation, read: c.Read, reply: ring.New[checkoutResult](1),
	}
	ctx, cancel := port.WithTimeout(ctx, p.timer, p.cfg.CheckoutTimeout)
	defer cancel()
	stop := context.AfterFunc(p.ended, cancel)
	defer stop()
	if err := p.commands.Put(ctx, req); err != nil {
		return nil, port.Wrapf(err, port.NoConnection, "no connection to server %s", target.Server)
	}
	result, err := req.reply.Take(ctx)
	if err != nil {
		p.send(checkoutCancelled{request: req})
		return nil, port.Wrapf(err, port.NoConnection, "no connection to server %s", target.Server)
	}
	return result.conn, result.err
}

func (p *Pool) nextID() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	return p.lastID
}

// serverKey is the name under which connections to the target are limited: "<group>/<server>".
func serverKey(target entry.Target) string { return target.Group + "/" + target.Server }

// send queues a command for the pool. The command is dropped once the pool has ended.
func (p *Pool) send(c poolCommand) { _ = p.commands.Put(p.ended, c) }

func (p *Pool) loop(ctx context.Context) {
	for {
		c, err := p.commands.Take(ctx)
		if err != nil {
			return
		}
		p.handle(c)
	}
}

func (p *Pool) handle(c poolCommand) {
	switch c := c.(type) {
	case checkoutRequest:
		p.enqueue(c)
	case checkoutCancelled:
		p.cancelCheckout(c.request)
	case connOpened:
		s := p.server(c.conn.key.server)
		s.opening[c.conn.key]--
		s.idle = append(s.idle, c.conn)
		p.update(s)
	case connectFailed:
		s := p.server(c.key.server)
		s.opening[c.key]--
		s.open--
		// The clients then select another server, because a server that accepts no connections is often about to be
		// replaced.
		s.failWaiters(func(checkoutRequest) bool { return true }, func() error { return c.err })
		p.update(s)
	case connReturned:
		s := p.server(c.conn.key.server)
		s.checkIn(c.conn)
		p.update(s)
	case connClosed:
		s := p.server(c.conn.key.server)
		s.remove(c.conn)
		p.update(s)
	case documentChanged:
		p.addresses = activeAddresses(c.document)
		for _, s := range p.servers {
			p.update(s)
		}
	case limitCheckDue:
		for _, s := range p.servers {
			s.updateLongHolders()
			p.update(s)
		}
	}
}

func (p *Pool) server(name string) *serverPool {
	s, ok := p.servers[name]
	if !ok {
		s = newServerPool(name, p.cfg.QueueLimit)
		p.servers[name] = s
	}
	return s
}

func (p *Pool) enqueue(req checkoutRequest) {
	s := p.server(req.key.server)
	if !p.acceptsWork(req.key.server, req.address) {
		req.reply.TryPut(checkoutResult{err: errNoNewWork(req.key.server)})
		return
	}
	if !s.enqueue(req) {
		req.reply.TryPut(checkoutResult{err: port.Errorf(port.NoConnection, "too many clients wait for server %s", req.key.server)})
		return
	}
	p.update(s)
}

// cancelCheckout removes a client that stopped waiting. A connection that it received in the meantime returns to the
// pool.
func (p *Pool) cancelCheckout(req checkoutRequest) {
	s := p.server(req.key.server)
	s.removeWaiter(allotment.Waiter{ID: req.id, Organisation: req.organisation})
	if result, ok := req.reply.TryTake(); ok && result.conn != nil {
		s.checkIn(result.conn)
	}
	p.update(s)
}

// acceptsWork reports whether the server accepts new work at the address. Without a document, every server does.
func (p *Pool) acceptsWork(name, address string) bool {
	return p.addresses == nil || p.addresses[name] == address
}

// activeAddresses returns the addresses of the document's servers that are not departing.
func activeAddresses(d document.Document) map[string]string {
	addresses := make(map[string]string)
	for _, g := range d.Groups {
		for _, server := range g.Servers {
			if !server.Departing {
				addresses[g.Name+"/"+server.Name] = server.Address
			}
		}
	}
	return addresses
}

// update assigns connections to waiting clients, opens and closes connections, and reports the demand.
func (p *Pool) update(s *serverPool) {
	s.closeIdle(func(conn *serverConn) bool { return !p.acceptsWork(s.name, conn.address) })
	s.failWaiters(func(req checkoutRequest) bool { return !p.acceptsWork(s.name, req.address) }, func() error { return errNoNewWork(s.name) })
	s.peakDemand = max(s.peakDemand, s.demand())
	if s.peakDemand != s.reportedDemand {
		s.reportedDemand = s.peakDemand
		p.limit.SetDemand(s.name, s.peakDemand)
	}
	allowed := p.limit.MaxConnections(s.name)
	s.assign(allowed, func(req checkoutRequest) { p.startOpen(s, req) })
	s.shrink(allowed)
	p.cfg.Observer.PoolChanged(s.name, s.open, s.queue.Len())
	if s.open != s.reportedOpen {
		s.reportedOpen = s.open
		p.limit.SetOpen(s.name, s.open)
	}
}

func errNoNewWork(server string) error {
	return port.Errorf(port.NoConnection, "server %s accepts no new work", server)
}

func (p *Pool) startOpen(s *serverPool, req checkoutRequest) {
	s.open++
	s.opening[req.key]++
	p.running.Add(1)
	go p.runOpen(req.key, req.address)
}

// runOpen opens a connection and sends the result to the pool.
func (p *Pool) runOpen(key poolKey, address string) {
	defer p.running.Done()
	conn, err := p.connect(key, address)
	if err != nil {
		p.send(connectFailed{key: key, err: err})
		return
	}
	p.running.Add(2)
	go p.runServerConn(conn)
	go p.runWriter(conn)
	p.send(connOpened{conn: conn})
}

func (p *Pool) runServerConn(conn *serverConn) {
	defer p.running.Done()
	conn.loop()
}

func (p *Pool) runWriter(conn *serverConn) {
	defer p.running.Done()
	conn.run()
}

// connect opens a connection to a server with the proxy's own account.
func (p *Pool) connect(key poolKey, address string) (*serverConn, error) {
	ctx, cancel := port.WithTimeout(p.ended, p.timer, p.cfg.ConnectTimeout)
	defer cancel()
	cfg, err := p.connectConfig(key, address)
	if err != nil {
		return nil, err
	}
	conn, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		// The error contains the proxy's account, so clients must not see it.
		p.log.Warn("failed to open a connection", zap.String("server", key.server), zap.Error(err))
		return nil, port.Errorf(port.NoConnection, "server %s cannot be reached", key.server)
	}
	// After a slow write pgconn reads in the background and would consume the response to the first bind.
	if err := conn.SyncConn(ctx); err != nil {
		_ = conn.Close(ctx)
		return nil, port.Wrapf(err, port.NoConnection, "server %s did not become ready", key.server)
	}
	hijacked, err := conn.Hijack()
	if err != nil {
		return nil, port.Wrapf(err, port.NoConnection, "server %s did not become ready", key.server)
	}
	if hijacked.Frontend.ReadBufferLen() > 0 {
		_ = hijacked.Conn.Close()
		return nil, port.Errorf(port.NoConnection, "server %s sent an unexpected message after the start-up", key.server)
	}
	s := newServerConn(p, key, address, hijacked.Conn)
	s.pid, s.cancelKey = hijacked.PID, hijacked.SecretKey
	return s, nil
}

// connectConfig sets every field that pgconn would otherwise take from the environment.
func (p *Pool) connectConfig(key poolKey, address string) (*pgconn.Config, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, port.Wrapf(err, port.NoConnection, "server %s has an invalid address", key.server)
	}
	n, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, port.Wrapf(err, port.NoConnection, "server %s has an invalid port", key.server)
	}
	cfg, err := pgconn.ParseConfig("host=localhost user=x password=x dbname=x sslmode=disable")
	if err != nil {
		return nil, port.Wrapf(err, port.NoConnection, "invalid connection settings for server %s", key.server)
	}
	cfg.Host, cfg.Port, cfg.User, cfg.Password, cfg.Database = host, uint16(n), p.cfg.User, p.cfg.Password, key.slot
	cfg.TLSConfig, cfg.Fallbacks, cfg.ValidateConnect = p.cfg.TLS, nil, nil
	cfg.DialFunc = (&net.Dialer{KeepAliveConfig: keepAlive}).DialContext
	cfg.RuntimeParams = map[string]string{"application_name": "rhubarbwick"}
	return cfg, nil
}
