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
	// suspectQueueSize bounds the queue of suspected servers. The oldest entries are dropped: a failed server is
	// suspected again soon.
	suspectQueueSize = 16
	// waiterCheckInterval is how often the deadlines of waiting statements are checked.
	waiterCheckInterval = 20 * time.Millisecond
	// dialTimeout limits how long opening a connection may take. A healthy server takes about 12 ms.
	dialTimeout = 700 * time.Millisecond
	// shareReductionTime is how long this instance uses fewer connections after a server refused one because all
	// instances together had reached its limit.
	shareReductionTime = 2 * time.Second
	// idleTimeout is how long an unused connection above the instance's share is kept.
	idleTimeout = 5 * time.Second
	// extraInFlight is the number of statements sent to a server beyond its slots, so that a slot that becomes free has
	// work while the answer travels back.
	extraInFlight = 1
	// defaultConnectionLimit applies if the document states no limit.
	defaultConnectionLimit = 16
)

// DispatcherConfig configures a Dispatcher.
type DispatcherConfig struct {
	DataCentre string
	Timer      port.Timer
	Views      *PrimaryViews
	Dialer     Dialer
	// ConnectionLimit returns how many connections all instances together may hold to each server of the group.
	ConnectionLimit func(groupName string) int
	// Regions are the regions of the data centres.
	Regions dispatch.Regions
	// WarmUp is the tolerance for cold servers, and ColdRate returns the limit of a group's cold servers. It may be nil.
	WarmUp   admission.WarmUpTolerance
	ColdRate func(groupName string) admission.ColdRate
	// Self is this instance. Members returns the records whose instances may own connection pools.
	Self    Member
	Members func() (Snapshot, bool)
	// ServersReadAt returns when the list of servers was last requested from the store. It is needed for the limits of cold
	// servers only.
	ServersReadAt func() time.Duration
	// OrganisationNames returns the organisations for which connections are prewarmed, the most important first. It may
	// be nil.
	OrganisationNames func() []string
	// Recorder may be nil.
	Recorder Recorder
	// RemotePools reaches the pools of other instances. SurveyPeer asks the owner of a pool about a server.
	RemotePools RemotePools
	// Maintenance returns the data centres in maintenance. It may be nil.
	Maintenance func() dispatch.Maintenance
	SurveyPeer  func(ctx context.Context, address string, q SurveyRequest) (SurveyResponse, error)
	// SpillOver holds the operator's values for sending reads to other data centres; the zero value sends none.
	SpillOver dispatch.SpillValues
}

// Dispatcher owns the connections to servers and decides which statement runs where. Its state is owned by the
// goroutine that runs loop.
type Dispatcher struct {
	cfg      DispatcherConfig
	commands *ring.Ring[dispatcherCommand]
	stopped  context.Context
	stop     context.CancelFunc
	running  sync.WaitGroup

	// The fields below are owned by loop.
	servers map[string]*serverState
	samples map[string]primacy.PositionSamples
	// waiters holds the waiting statements in order of arrival.
	waiters []*waiter
	// passes holds the last pass through the queue of each group, and pass the present one.
	passes map[string]queuePass
	pass   queuePass
	// spenders holds the statements of open transactions that wait for the budget of a limited server.
	spenders []*spender
	// admissions tracks how much each organisation has used the servers of this instance's pools.
	admissions     admission.RecentAdmissions
	nextID         uint64
	checkScheduled bool
	members        poolMembers
	// unreachableOwners holds the incarnations of pool owners that could not be reached or lend no connections.
	unreachableOwners exclusions
	probing           map[string]bool
	maintenance       dispatch.Maintenance
	// prewarming is true while connections are being prewarmed.
	prewarming bool

	// lastResponses holds the time of the last response of each server.
	lastResponses sync.Map
	// limited holds the names of the servers that are limited because they may be cold.
	limited sync.Map
	// suspects holds the servers that may have failed.
	suspects *ring.Ring[suspicion]
}

// NewDispatcher returns a dispatcher that knows no servers.
func NewDispatcher(cfg DispatcherConfig) *Dispatcher {
	cfg.Recorder = recorderOrNop(cfg.Recorder)
	stopped, stop := context.WithCancel(context.Background())
	return &Dispatcher{
		cfg: cfg, commands: ring.New[dispatcherCommand](dispatcherQueueSize), stopped: stopped, stop: stop, suspects: ring.New[suspicion](suspectQueueSize),
		servers: make(map[string]*serverState), samples: make(map[string]primacy.PositionSamples), probing: make(map[string]bool), passes: make(map[string]queuePass),
	}
}

// Run serves requests until ctx ends, then closes all unused connections.
func (d *Dispatcher) Run(ctx context.Context) {
	cancelTick := d.cfg.Timer.Every(time.Second, func(time.Duration) { d.commands.TryPut(maintenanceTick{}) })
	d.loop(ctx)
	cancelTick()
	d.stop()
	for _, s := range d.servers {
		for _, c := range s.idle {
			c.close()
		}
	}
	d.running.Wait()
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
	d.updateMaintenance()
	switch c := c.(type) {
	case acquireCommand:
		c.waiter.arrived = now
		d.waiters = append(d.waiters, c.waiter)
	case cancelCommand:
		d.cancelWaiter(c.waiter)
	case spendingCommand:
		d.handleSpending(c, now)
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
		d.handleOpened(c, now)
	case openFailed:
		d.handleOpenFailure(c, now)
	case listingsChanged:
		d.setListings(c.listings)
	case outstandingQuery:
		c.reply.TryPut(d.outstanding(c.server))
	case spillCommand:
		d.handleSpillCommand(c, now)
	case maintenanceTick:
		d.runPeriodic(now)
	case prewarmTick:
		d.prewarming = false
		d.prewarm(now)
	case waiterTick:
		d.checkScheduled = false
	}
	d.serveWaiters(d.scopeOf(c), now)
}

// runPeriodic runs what is done once a second.
func (d *Dispatcher) runPeriodic(now time.Duration) {
	d.closeExcessIdle(now)
	d.reportPools(now)
	d.reportIdleShares(now)
	d.prewarm(now)
}

// outstanding implements Outstanding.
func (d *Dispatcher) outstanding(server string) int {
	if s := d.server(server); s != nil {
		return s.server.Outstanding
	}
	return 0
}

// cancelWaiter removes a waiter. If it has been granted a connection in the meantime, the connection is released.
func (d *Dispatcher) cancelWaiter(w *waiter) {
	d.waiters = slices.DeleteFunc(d.waiters, func(other *waiter) bool { return other == w })
	if g, ok := w.reply.TryTake(); ok && g.err == nil && !w.checkOnly {
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
	s.use.released(c, now)
	if _, isBorrowed := c.owner(); isBorrowed {
		c.close()
		return
	}
	if !usable || !c.isUsable() || s.server.Listing.Draining || d.isInMaintenance(s) || s.server.Listing.Address != c.Endpoint.Address {
		c.close()
		s.removeConnection(c.Endpoint.Organisation)
		if c.lost {
			d.noteConnectionLoss(s, now)
		}
		return
	}
	c.lastUsed = now
	s.idle = append(s.idle, c)
}

// setRunning records whether a statement runs on a connection of this instance's pool.
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

func (d *Dispatcher) server(name string) *serverState { return d.servers[name] }

// recordAnswer records the answer to a statement.
func (d *Dispatcher) recordAnswer(a Observation) {
	if s := d.server(a.Server); s != nil {
		d.recordObservation(s, s.server.WithAnswer(a.Position, a.ReceivedAt-a.SentAt), a)
		if a.IsRead {
			d.recordRead(s, a.ReceivedAt-a.SentAt, a.IsFailed, a.ReceivedAt)
		}
	}
}

// recordObservation updates the server. The position is kept as a sample only while the server is known to be the
// primary.
func (d *Dispatcher) recordObservation(s *serverState, updated dispatch.Server, a Observation) {
	s.server = updated
	d.lastResponses.Store(a.Server, a.ReceivedAt)
	groupName := s.server.Listing.Group
	if d.cfg.Views.IsPrimary(groupName, a.Server, a.Position.Term) {
		d.samples[groupName] = d.samples[groupName].WithSample(primacy.PositionSample{Position: a.Position, At: a.SentAt})
	}
}

func (d *Dispatcher) recordRefusal(c statementRefused, now time.Duration) {
	s := d.server(c.server)
	if s == nil {
		return
	}
	switch t := c.refusal.(type) {
	case laggingRefusal:
		s.server = s.server.WithMissingPosition(t.choice.MinPosition, now)
	case busyRefusal:
		s.server = s.server.WithRefusal(now)
	}
}

// finishOpening allows the first waiter for which a connection to the endpoint was being opened to open another one.
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

func (d *Dispatcher) handleOpened(c connectionOpened, now time.Duration) {
	d.finishOpening(c.connection.Endpoint)
	if s := d.server(c.observation.Server); s != nil {
		d.recordObservation(s, s.server.WithConnected(c.observation.Position), c.observation)
	}
	d.release(c.connection, true, now)
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
		d.noteConnectionLoss(s, now)
		d.excludePath(s, d.cfg.Self.Incarnation, now)
	}
}
