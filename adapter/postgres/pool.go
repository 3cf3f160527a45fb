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
	// DefaultWaitLimit is how long a caller waits for a server connection.
	DefaultWaitLimit = 15 * time.Second
	// DefaultOpenLimit is how long opening a server connection may take.
	DefaultOpenLimit = 2 * time.Second
	// limitPeriod is how often the pool compares its connections with what it is allowed to hold.
	limitPeriod = 200 * time.Millisecond
	// poolCapacity bounds the commands that wait for the pool's duty; senders block when it is full.
	poolCapacity = 256
)

// keepAlive ends the connection to a machine that has gone within about 8 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

// PoolConfig holds the settings of a Pool.
type PoolConfig struct {
	// User and Password are the system's own account on the servers.
	User     string
	Password string
	// TLS is used towards servers when it is set.
	TLS *tls.Config
	// CheckoutTimeout is how long a caller waits for a connection; zero means DefaultWaitLimit.
	CheckoutTimeout time.Duration
	// ConnectTimeout is how long opening a connection may take; zero means DefaultOpenLimit.
	ConnectTimeout time.Duration
	// QueueLimit is the number of callers that may wait for one server; zero means allotment.DefaultQueueLimit.
	QueueLimit int
	// Observer takes the number of connections. It may be nil.
	Observer Observer
}

// poolKey says what a server connection can be used for.
type poolKey struct {
	server string
	slot   string
}

// command is what the pool's duty is told. It is one of wanted, abandoned, backendOpened, openFailed,
// backendReturned, backendClosed, documentChanged and limitChecked.
type command interface{ command() }

type wanted struct {
	id           uint64
	key          poolKey
	address      string
	organisation string
	read         bool
	reply        *ring.Ring[grant]
}

type abandoned struct{ wanted wanted }

type backendOpened struct{ backend *backend }

type openFailed struct {
	key poolKey
	err error
}

type backendReturned struct{ backend *backend }

type backendClosed struct{ backend *backend }

type documentChanged struct{ document document.Document }

type limitChecked struct{}

func (wanted) command()          {}
func (abandoned) command()       {}
func (backendOpened) command()   {}
func (openFailed) command()      {}
func (backendReturned) command() {}
func (backendClosed) command()   {}
func (documentChanged) command() {}
func (limitChecked) command()    {}

// grant is the pool's answer to a waiting caller: a connection, or the reason why there is none.
type grant struct {
	backend *backend
	err     error
}

// Pool holds the connections to database servers. A connection serves one transaction at a time. Use NewPool, then
// call Run.
type Pool struct {
	cfg      PoolConfig
	limit    entry.ConnectionLimit
	timer    port.Timer
	log      *zap.Logger
	commands *ring.Ring[command]
	ended    context.Context
	end      context.CancelFunc
	duties   sync.WaitGroup

	// The following belong to the duty.
	servers map[string]*serverPool
	// addresses holds the servers that take new work, by the name of their limit; nil without a document.
	addresses map[string]string

	mu     sync.Mutex
	lastID uint64
}

// NewPool returns a pool without connections. log may be nil.
func NewPool(cfg PoolConfig, limit entry.ConnectionLimit, timer port.Timer, log *zap.Logger) *Pool {
	if cfg.CheckoutTimeout == 0 {
		cfg.CheckoutTimeout = DefaultWaitLimit
	}
	if cfg.ConnectTimeout == 0 {
		cfg.ConnectTimeout = DefaultOpenLimit
	}
	if cfg.Observer == nil {
		cfg.Observer = unobserved{}
	}
	if log == nil {
		log = zap.NewNop()
	}
	ended, end := context.WithCancel(context.Background())
	return &Pool{
		cfg: cfg, limit: limit, timer: timer, log: log.Named("pool"), commands: ring.New[command](poolCapacity),
		ended: ended, end: end, servers: make(map[string]*serverPool),
	}
}

// Run serves the pool until ctx ends, then closes all connections.
func (p *Pool) Run(ctx context.Context) {
	stopTick := p.timer.Every(limitPeriod, func(time.Duration) { p.commands.TryPut(limitChecked{}) })
	p.loop(ctx)
	stopTick()
	p.end()
	p.duties.Wait()
}

// SetDocument tells the pool which servers there are. Servers that are departing, absent or at another address get no
// new work, and their idle connections are closed.
func (p *Pool) SetDocument(d document.Document) { p.tell(documentChanged{document: d}) }

// checkout returns a connection to the target's slot that nobody uses, and if possible one that is bound to the caller's
// organisation already. It fails with kind NoConnection.
func (p *Pool) checkout(ctx context.Context, target entry.Target, c entry.Client) (*backend, error) {
	id := p.nextID()
	w := wanted{
		id: id, key: poolKey{server: limitName(target), slot: c.Route.Slot}, address: target.Address,
		organisation: c.Organisation, read: c.Read, reply: ring.New[grant](1),
	}
	ctx, cancel := port.WithTimeout(ctx, p.timer, p.cfg.CheckoutTimeout)
	defer cancel()
	stopped := context.AfterFunc(p.ended, cancel)
	defer stopped()
	if err := p.commands.Put(ctx, w); err != nil {
		return nil, port.Wrapf(err, port.NoConnection, "no connection to server %s", target.Server)
	}
	g, err := w.reply.Take(ctx)
	if err != nil {
		p.tell(abandoned{wanted: w})
		return nil, port.Wrapf(err, port.NoConnection, "no connection to server %s", target.Server)
	}
	return g.backend, g.err
}

func (p *Pool) nextID() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	return p.lastID
}

// limitName is the name under which connections to the target are limited: "<group>/<server>".
func limitName(target entry.Target) string { return target.Group + "/" + target.Server }

// tell passes a command to the duty. Once the pool has ended, it is lost.
func (p *Pool) tell(c command) { _ = p.commands.Put(p.ended, c) }

func (p *Pool) loop(ctx context.Context) {
	for {
		c, err := p.commands.Take(ctx)
		if err != nil {
			return
		}
		p.handle(c)
	}
}

func (p *Pool) handle(c command) {
	switch c := c.(type) {
	case wanted:
		p.admit(c)
	case abandoned:
		p.abandon(c.wanted)
	case backendOpened:
		s := p.server(c.backend.key.server)
		s.opening[c.backend.key]--
		s.idle = append(s.idle, c.backend)
		p.adjust(s)
	case openFailed:
		s := p.server(c.key.server)
		s.opening[c.key]--
		s.total--
		// The callers look for another server; one that does not open connections is often about to be replaced.
		s.refuse(func(wanted) bool { return true }, func() error { return c.err })
		p.adjust(s)
	case backendReturned:
		s := p.server(c.backend.key.server)
		s.takeBack(c.backend)
		p.adjust(s)
	case backendClosed:
		s := p.server(c.backend.key.server)
		s.forget(c.backend)
		p.adjust(s)
	case documentChanged:
		p.addresses = workingServers(c.document)
		for _, s := range p.servers {
			p.adjust(s)
		}
	case limitChecked:
		for _, s := range p.servers {
			s.check()
			p.adjust(s)
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

func (p *Pool) admit(w wanted) {
	s := p.server(w.key.server)
	if !p.serves(w.key.server, w.address) {
		w.reply.TryPut(grant{err: noNewWork(w.key.server)})
		return
	}
	if !s.enqueue(w) {
		w.reply.TryPut(grant{err: port.Errorf(port.NoConnection, "too many callers wait for server %s", w.key.server)})
		return
	}
	p.adjust(s)
}

// abandon forgets a caller that stopped waiting. A connection that it was granted in the meantime is taken back.
func (p *Pool) abandon(w wanted) {
	s := p.server(w.key.server)
	s.abandon(allotment.Waiter{ID: w.id, Organisation: w.organisation})
	if g, ok := w.reply.TryTake(); ok && g.backend != nil {
		s.takeBack(g.backend)
	}
	p.adjust(s)
}

// serves reports whether the server of the limit's name takes new work at the address. Without a document it does.
func (p *Pool) serves(name, address string) bool {
	return p.addresses == nil || p.addresses[name] == address
}

// workingServers returns the addresses of the document's servers that are not departing.
func workingServers(d document.Document) map[string]string {
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

// adjust grants connections to waiting callers, opens and closes connections, and tells the demand.
func (p *Pool) adjust(s *serverPool) {
	s.dropIdle(func(b *backend) bool { return !p.serves(s.name, b.address) })
	s.refuse(func(w wanted) bool { return !p.serves(s.name, w.address) }, func() error { return noNewWork(s.name) })
	s.peak = max(s.peak, s.busy())
	if s.peak != s.told {
		s.told = s.peak
		p.limit.SetDemand(s.name, s.peak)
	}
	allowed := p.limit.MaxConnections(s.name)
	s.assign(allowed, func(w wanted) { p.open(s, w) })
	s.shrink(allowed)
	p.cfg.Observer.PoolChanged(s.name, s.total, s.queue.Len())
	if s.total != s.held {
		s.held = s.total
		p.limit.SetOpen(s.name, s.total)
	}
}

func noNewWork(server string) error {
	return port.Errorf(port.NoConnection, "server %s gets no new work", server)
}

func (p *Pool) open(s *serverPool, w wanted) {
	s.total++
	s.opening[w.key]++
	p.duties.Add(1)
	go p.runOpen(w.key, w.address)
}

// runOpen opens one connection and tells the duty how it went.
func (p *Pool) runOpen(key poolKey, address string) {
	defer p.duties.Done()
	b, err := p.connect(key, address)
	if err != nil {
		p.tell(openFailed{key: key, err: err})
		return
	}
	p.duties.Add(2)
	go p.runBackend(b)
	go p.runWriter(b)
	p.tell(backendOpened{backend: b})
}

func (p *Pool) runBackend(b *backend) {
	defer p.duties.Done()
	b.loop()
}

func (p *Pool) runWriter(b *backend) {
	defer p.duties.Done()
	b.run()
}

// connect logs in to a server as the system's own user.
func (p *Pool) connect(key poolKey, address string) (*backend, error) {
	ctx, cancel := port.WithTimeout(p.ended, p.timer, p.cfg.ConnectTimeout)
	defer cancel()
	cfg, err := p.connectConfig(key, address)
	if err != nil {
		return nil, err
	}
	conn, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		// The cause names the system's account and is not for callers.
		p.log.Warn("could not open a connection", zap.String("server", key.server), zap.Error(err))
		return nil, port.Errorf(port.NoConnection, "server %s cannot be reached", key.server)
	}
	// After a slow write pgconn reads in the background and would take the answer to the first bind.
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
		return nil, port.Errorf(port.NoConnection, "server %s sent more than the end of the start-up", key.server)
	}
	b := newBackend(p, key, address, hijacked.Conn)
	b.pid, b.secret = hijacked.PID, hijacked.SecretKey
	return b, nil
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
		return nil, port.Wrapf(err, port.NoConnection, "connection settings of server %s", key.server)
	}
	cfg.Host, cfg.Port, cfg.User, cfg.Password, cfg.Database = host, uint16(n), p.cfg.User, p.cfg.Password, key.slot
	cfg.TLSConfig, cfg.Fallbacks, cfg.ValidateConnect = p.cfg.TLS, nil, nil
	cfg.DialFunc = (&net.Dialer{KeepAliveConfig: keepAlive}).DialContext
	cfg.RuntimeParams = map[string]string{"application_name": "rhubarbwick"}
	return cfg, nil
}
