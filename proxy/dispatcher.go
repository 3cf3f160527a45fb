package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/admission"
	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/primacy"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	dispatcherQueueSize = 256
	// suspectQueueSize bounds the doubts that wait; the oldest are dropped, because a server that is gone raises more.
	suspectQueueSize = 16
	// waiterCheckInterval is how often the deadlines of waiting statements are looked at.
	waiterCheckInterval = 20 * time.Millisecond
	// dialTimeout is how long a new connection may take. A server that is well takes some 12 ms.
	dialTimeout = 700 * time.Millisecond
	// shareReductionTime is how long this instance keeps to fewer connections after a server refused one because all instances
	// together had too many.
	shareReductionTime = 2 * time.Second
	// idleTimeout is how long an unused connection above the instance's even share is kept.
	idleTimeout = 5 * time.Second
	// extraInFlight is how many statements more than a server has slots are sent to it, so that a slot that becomes free has
	// work while the answer is on its way here.
	extraInFlight = 1
	// defaultConnectionLimit is assumed where the document states no limit.
	defaultConnectionLimit = 16
)

// DispatcherConfig is what a Dispatcher needs.
type DispatcherConfig struct {
	DataCentre string
	Timer      port.Timer
	Views      *Views
	Dialer     Dialer
	// Limit returns how many connections the fleet may hold to each server of the group, and Instances the number of
	// instances that share them.
	Limit func(groupName string) int
	// Self is this instance, and Members gives the records among whose instances the owners of pools are chosen.
	Self    Member
	Members func() (Snapshot, bool)
	// Organisations gives the names of those for which connections are opened ahead, the most important first. It may be nil.
	Organisations func() []string
	// Recorder may be nil.
	Recorder Recorder
	// Lending reaches the pools of other instances, and Probe asks an owner about a server.
	Lending Lending
	Probe   func(ctx context.Context, address string, q Question) (Hearing, error)
}

// Dispatcher is the duty that owns the connections to servers and decides which statement goes where. Its loop owns the state.
type Dispatcher struct {
	cfg      DispatcherConfig
	commands *ring.Ring[dispatcherCommand]
	stopped  context.Context
	stop     context.CancelFunc
	running  sync.WaitGroup

	// The following belong to the loop.
	servers  map[string]*serverState
	evidence map[string]primacy.Evidence
	// waiters holds the statements that wait, in the order in which they came.
	waiters []*waiter
	// shares counts the turns of organisations at servers of this instance's pools.
	shares         admission.Shares
	nextID         uint64
	checkScheduled bool
	members        poolMembers
	// unreachableOwners holds the incarnations of owners that could not be reached or lend nothing.
	unreachableOwners exclusions
	probing           map[string]bool
	// prewarming is true while connections are being opened ahead.
	prewarming bool

	// lastResponses holds when each server last answered.
	lastResponses sync.Map
	// suspects are servers that may be gone.
	suspects *ring.Ring[string]
}

// waiter is a statement that waits for a connection.
type waiter struct {
	request AcquireRequest
	arrived time.Duration
	reply   *ring.Ring[grantResult]
	// dialing is the server to which a connection is being opened for the waiter.
	dialing string
}

// AcquireRequest is what a transaction asks the dispatcher for.
type AcquireRequest struct {
	Group        string
	Organisation string
	Need         dispatch.Need
	Excluded     []string
	// Priority orders waiting statements; zero comes first.
	Priority int
	// ConnectionWait is how long the statement waits for a connection, and ServerWait how long it waits while no server fits.
	ConnectionWait time.Duration
	ServerWait     time.Duration
	// Affinity is the connection that the session used last.
	Affinity uint64
}

// Grant is a lent connection. Choice tells the position that a read has to ask for, and OverdueAfter when an answer of the
// server counts as lost.
type Grant struct {
	Connection   *Connection
	Choice       dispatch.ToServer
	OverdueAfter time.Duration
}

type grantResult struct {
	grant Grant
	err   error
}

// NewDispatcher returns a dispatcher without servers.
func NewDispatcher(cfg DispatcherConfig) *Dispatcher {
	cfg.Recorder = orNopRecorder(cfg.Recorder)
	ended, end := context.WithCancel(context.Background())
	return &Dispatcher{
		cfg: cfg, commands: ring.New[dispatcherCommand](dispatcherQueueSize), stopped: ended, stop: end, suspects: ring.New[string](suspectQueueSize),
		servers: make(map[string]*serverState), evidence: make(map[string]primacy.Evidence), probing: make(map[string]bool),
	}
}

// Run serves the dispatcher until ctx ends, then closes all unused connections.
func (d *Dispatcher) Run(ctx context.Context) {
	stop := d.cfg.Timer.Every(time.Second, func(time.Duration) { d.commands.Offer(maintenanceTick{}) })
	d.loop(ctx)
	stop()
	d.stop()
	for _, s := range d.servers {
		for _, c := range s.idle {
			c.close()
		}
	}
	d.running.Wait()
}

// LastResponseAt returns when the server last answered, and false when it never did or left.
func (d *Dispatcher) LastResponseAt(server string) (time.Duration, bool) {
	at, found := d.lastResponses.Load(server)
	if !found {
		return 0, false
	}
	return at.(time.Duration), true
}

// Acquire returns a connection to a server that fits. Errors are of kind Busy or NoPrimary; nothing has run.
func (d *Dispatcher) Acquire(ctx context.Context, want AcquireRequest) (Grant, error) {
	w := &waiter{request: want, reply: ring.New[grantResult](1)}
	if err := d.commands.Put(ctx, acquireCommand{w}); err != nil {
		return Grant{}, port.Wrapf(err, port.Stopping, "the statement was not placed")
	}
	g, err := w.reply.Take(ctx)
	if err != nil {
		d.send(cancelCommand{w})
		return Grant{}, port.Wrapf(err, port.Busy, "the statement was not placed")
	}
	return g.grant, g.err
}

// Return gives a connection back. It is closed unless it is usable.
func (d *Dispatcher) Return(c *Connection, usable bool) {
	usable = usable && c.isUsable()
	if !usable {
		c.close()
	}
	d.send(returnCommand{connection: c, usable: usable})
}

// ReportStarted tells the dispatcher that another statement runs on a lent connection.
func (d *Dispatcher) ReportStarted(c *Connection) { d.send(statementStarted{connection: c}) }

// ReportAnswer tells the dispatcher what a server answered on a lent connection.
func (d *Dispatcher) ReportAnswer(c *Connection, a Observation) {
	d.send(answerReceived{connection: c, observation: a})
}

// ReportLagging tells the dispatcher that the server's log did not hold the position that the choice asked for.
func (d *Dispatcher) ReportLagging(server string, choice dispatch.ToServer) {
	d.send(statementRefused{server: server, refusal: laggingRefusal{choice}})
}

// ReportBusy tells the dispatcher that the server had too much work.
func (d *Dispatcher) ReportBusy(server string) {
	d.send(statementRefused{server: server, refusal: busyRefusal{}})
}

// ReportUnreachable tells the dispatcher that the connection was lost, or that its server did not answer.
func (d *Dispatcher) ReportUnreachable(c *Connection) {
	if _, isBorrowed := c.owner(); !isBorrowed {
		d.Suspect(c.Endpoint.Server)
	}
	d.send(connectionFailed{connection: c})
}

// ReportNotLent tells the dispatcher that the owner of a pool refused to lend the connection, or could not be reached.
func (d *Dispatcher) ReportNotLent(c *Connection, u *Unsent) {
	d.send(connectionFailed{connection: c, notSent: u})
}

// SuspectOwner has the owner of a borrowed connection asked whether it lives and hears from the server.
func (d *Dispatcher) SuspectOwner(c *Connection) {
	if m, isBorrowed := c.owner(); isBorrowed {
		d.send(ownerSuspected{owner: m, server: c.Endpoint.Server})
	}
}

// Suspect says that the server may be gone.
func (d *Dispatcher) Suspect(server string) { d.suspects.Push(server) }

// Suspects gives the servers that may be gone.
func (d *Dispatcher) Suspects() *ring.Ring[string] { return d.suspects }

// Outstanding returns the number of connections to the server that are lent.
func (d *Dispatcher) Outstanding(server string) int {
	c := outstandingQuery{server: server, reply: ring.New[int](1)}
	d.send(c)
	n, err := c.reply.Take(d.stopped)
	if err != nil {
		return 0
	}
	return n
}

// SetListings tells the dispatcher which servers there are.
func (d *Dispatcher) SetListings(listings map[string]dispatch.Listing) {
	d.send(listingsChanged{listings})
}

func (d *Dispatcher) send(c dispatcherCommand) { _ = d.commands.Put(d.stopped, c) }

func (d *Dispatcher) loop(ctx context.Context) {
	for {
		c, err := d.commands.Take(ctx)
		if err != nil {
			return
		}
		d.handle(c)
	}
}

func (d *Dispatcher) handle(c dispatcherCommand) {
	now := d.cfg.Timer.Now()
	d.updateMembers()
	switch c := c.(type) {
	case acquireCommand:
		c.waiter.arrived = now
		d.waiters = append(d.waiters, c.waiter)
	case cancelCommand:
		d.cancelWaiter(c.waiter)
	case returnCommand:
		d.release(c.connection, c.usable, now)
	case statementStarted:
		d.setRunning(c.connection, true, now)
	case answerReceived:
		d.setRunning(c.connection, false, now)
		d.recordAnswer(c.observation)
	case statementRefused:
		d.recordRefusal(c, now)
	case connectionFailed:
		d.handleConnectionFailure(c, now)
	case ownerSuspected:
		d.probeOwner(c)
	case ownerProbeResult:
		d.handleProbeResult(c, now)
	case connectionOpened:
		d.finishOpening(c.connection.Endpoint)
		if s := d.server(c.observation.Server); s != nil {
			d.recordObservation(s, s.server.WithGreeting(c.observation.Position), c.observation)
		}
		d.release(c.connection, true, now)
	case openFailed:
		d.handleOpenFailure(c, now)
	case listingsChanged:
		d.setListings(c.listings)
	case outstandingQuery:
		c.reply.Offer(d.outstanding(c.server))
	case maintenanceTick:
		d.closeExcessIdle(now)
		d.prewarm(now)
	case prewarmTick:
		d.prewarming = false
		d.prewarm(now)
	case waiterTick:
		d.checkScheduled = false
	}
	d.serveWaiters(now)
}

// outstanding returns the number of connections to the server that are lent or being opened.
func (d *Dispatcher) outstanding(server string) int {
	if s := d.server(server); s != nil {
		return s.server.Outstanding
	}
	return 0
}

// cancelWaiter forgets a waiter. A connection that it was granted in the meantime is taken back.
func (d *Dispatcher) cancelWaiter(w *waiter) {
	d.waiters = slices.DeleteFunc(d.waiters, func(other *waiter) bool { return other == w })
	if g, ok := w.reply.TryTake(); ok && g.err == nil {
		d.release(g.grant.Connection, true, d.cfg.Timer.Now())
	}
}

func (d *Dispatcher) release(c *Connection, usable bool, now time.Duration) {
	d.setRunning(c, false, now)
	s := d.server(c.Endpoint.Server)
	if s == nil {
		c.close()
		return
	}
	s.server = s.server.WithOutstanding(-1)
	if _, isBorrowed := c.owner(); isBorrowed {
		c.close()
		return
	}
	if !usable || !c.isUsable() || s.server.Listing.Departing || s.server.Listing.Address != c.Endpoint.Address {
		c.close()
		s.removeConnection(c.Endpoint.Organisation)
		return
	}
	c.lastUsed = now
	s.idle = append(s.idle, c)
}

// setRunning notes whether a statement runs on a connection of this instance's pool.
func (d *Dispatcher) setRunning(c *Connection, runs bool, now time.Duration) {
	s := d.server(c.Endpoint.Server)
	if _, isPooled := c.path.(*pooled); s == nil || !isPooled {
		return
	}
	if runs {
		s.running[c.ID] = now
		return
	}
	delete(s.running, c.ID)
}

func (d *Dispatcher) server(server string) *serverState { return d.servers[server] }

// recordAnswer notes the answer to a statement.
func (d *Dispatcher) recordAnswer(a Observation) {
	if s := d.server(a.Server); s != nil {
		d.recordObservation(s, s.server.WithAnswer(a.Position, a.ReceivedAt-a.SentAt), a)
	}
}

// recordObservation keeps what an answer tells. The primary's position is evidence only while the primary is known to lead.
func (d *Dispatcher) recordObservation(s *serverState, after dispatch.Server, a Observation) {
	s.server = after
	d.lastResponses.Store(a.Server, a.ReceivedAt)
	groupName := s.server.Listing.Group
	if d.cfg.Views.Leads(groupName, a.Server, a.Position.Term) {
		d.evidence[groupName] = d.evidence[groupName].WithPoint(primacy.Point{Position: a.Position, At: a.SentAt})
	}
}

func (d *Dispatcher) recordRefusal(c statementRefused, now time.Duration) {
	s := d.server(c.server)
	if s == nil {
		return
	}
	switch t := c.refusal.(type) {
	case laggingRefusal:
		s.server = s.server.WithLack(t.choice.After, now)
	case busyRefusal:
		s.server = s.server.WithRefusal(now)
	}
}

// finishOpening lets the first waiter for which a connection to the endpoint was being opened have another one opened.
func (d *Dispatcher) finishOpening(e Endpoint) {
	if s := d.server(e.Server); s != nil {
		s.dialing--
	}
	for _, w := range d.waiters {
		if w.dialing == e.Server && w.request.Organisation == e.Organisation {
			w.dialing = ""
			return
		}
	}
}

func (d *Dispatcher) handleOpenFailure(c openFailed, now time.Duration) {
	d.finishOpening(c.endpoint)
	s := d.server(c.endpoint.Server)
	if s == nil {
		return
	}
	s.removeConnection(c.endpoint.Organisation)
	s.server = s.server.WithOutstanding(-1)
	switch port.KindOf(c.err) {
	case port.NoConnection:
		s.reducedLimit, s.reducedUntil = max(s.total, 1), now+shareReductionTime
		s.server = s.server.WithRefusal(now)
	case port.Busy:
		s.server = s.server.WithRefusal(now)
	default:
		d.Suspect(c.endpoint.Server)
		d.excludePath(s, d.cfg.Self.Incarnation, now)
	}
}
