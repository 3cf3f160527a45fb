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
	dispatcherCapacity = 256
	// doubtCapacity bounds the doubts that wait; the oldest are dropped, because a server that is gone raises more.
	doubtCapacity = 16
	// waitCheck is how often the deadlines of waiting statements are looked at.
	waitCheck = 20 * time.Millisecond
	// dialLimit is how long a new connection may take. A server that is well takes some 12 ms.
	dialLimit = 700 * time.Millisecond
	// shareCut is how long this instance keeps to fewer connections after a server refused one because all instances
	// together had too many.
	shareCut = 2 * time.Second
	// idleLimit is how long an unused connection above the instance's even share is kept.
	idleLimit = 5 * time.Second
	// slotsAhead is how many statements more than a server has slots are sent to it, so that a slot that becomes free has
	// work while the answer is on its way here.
	slotsAhead = 1
	// defaultConnections is assumed where the document states no limit.
	defaultConnections = 16
)

// DispatcherConfig is what a Dispatcher needs.
type DispatcherConfig struct {
	DataCentre string
	Timer      port.Timer
	Views      *PrimaryViews
	Dialer     Dialer
	// ConnectionLimit returns how many connections the fleet may hold to each server of the group, and Instances the number of
	// instances that share them.
	ConnectionLimit func(groupName string) int
	// Self is this instance, and Members gives the records among whose instances the owners of pools are chosen.
	Self    Member
	Members func() (Snapshot, bool)
	// OrganisationNames gives the names of those for which connections are opened ahead, the most important first. It may be nil.
	OrganisationNames func() []string
	// Recorder may be nil.
	Recorder Recorder
	// RemotePools reaches the pools of other instances, and Probe asks an owner about a server.
	RemotePools RemotePools
	SurveyPeer  func(ctx context.Context, address string, q SurveyRequest) (SurveyResponse, error)
}

// Dispatcher is the duty that owns the connections to servers and decides which statement goes where. Its loop owns the state.
type Dispatcher struct {
	cfg      DispatcherConfig
	commands *ring.Ring[dispatcherCommand]
	ended    context.Context
	end      context.CancelFunc
	duties   sync.WaitGroup

	// The following belong to the loop.
	servers  map[string]*serverState
	evidence map[string]primacy.PositionSamples
	// waiting holds the statements that wait, in the order in which they came.
	waiting []*waiter
	// shares counts the turns of organisations at servers of this instance's pools.
	shares   admission.RecentAdmissions
	nextID   uint64
	checking bool
	members  members
	// silent holds the incarnations of owners that could not be reached or lend nothing.
	silent  failures
	probing map[string]bool
	// warming is true while connections are being opened ahead.
	warming bool

	// heard holds when each server last answered.
	heard sync.Map
	// doubts are servers that may be gone.
	doubts *ring.Ring[string]
}

// waiter is a statement that waits for a connection.
type waiter struct {
	want    Want
	arrived time.Duration
	reply   *ring.Ring[grant]
	// opens is the server to which a connection is being opened for the waiter.
	opens string
}

// Want is what a transaction asks the dispatcher for.
type Want struct {
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

type grant struct {
	grant Grant
	err   error
}

// NewDispatcher returns a dispatcher without servers.
func NewDispatcher(cfg DispatcherConfig) *Dispatcher {
	cfg.Recorder = orDiscard(cfg.Recorder)
	ended, end := context.WithCancel(context.Background())
	return &Dispatcher{
		cfg: cfg, commands: ring.New[dispatcherCommand](dispatcherCapacity), ended: ended, end: end, doubts: ring.New[string](doubtCapacity),
		servers: make(map[string]*serverState), evidence: make(map[string]primacy.PositionSamples), probing: make(map[string]bool),
	}
}

// Run serves the dispatcher until ctx ends, then closes all unused connections.
func (d *Dispatcher) Run(ctx context.Context) {
	stop := d.cfg.Timer.Every(time.Second, func(time.Duration) { d.commands.TryPut(checked{}) })
	d.loop(ctx)
	stop()
	d.end()
	for _, s := range d.servers {
		for _, c := range s.idle {
			c.close()
		}
	}
	d.duties.Wait()
}

// HeardAt returns when the server last answered, and false when it never did or left.
func (d *Dispatcher) HeardAt(server string) (time.Duration, bool) {
	at, found := d.heard.Load(server)
	if !found {
		return 0, false
	}
	return at.(time.Duration), true
}

// Acquire returns a connection to a server that fits. Errors are of kind Busy or NoPrimary; nothing has run.
func (d *Dispatcher) Acquire(ctx context.Context, want Want) (Grant, error) {
	w := &waiter{want: want, reply: ring.New[grant](1)}
	if err := d.commands.Put(ctx, wanted{w}); err != nil {
		return Grant{}, port.Wrapf(err, port.Stopping, "the statement was not placed")
	}
	g, err := w.reply.Take(ctx)
	if err != nil {
		d.tell(abandoned{w})
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
	d.tell(returned{connection: c, usable: usable})
}

// Started tells the dispatcher that another statement runs on a lent connection.
func (d *Dispatcher) Started(c *Connection) { d.tell(started{connection: c}) }

// Heard tells the dispatcher what a server answered on a lent connection.
func (d *Dispatcher) Heard(c *Connection, a Answered) { d.tell(answered{connection: c, answer: a}) }

// Lacked tells the dispatcher that the server's log did not hold the position that the choice asked for.
func (d *Dispatcher) Lacked(server string, choice dispatch.ToServer) {
	d.tell(troubled{server: server, trouble: lacked{choice}})
}

// Refused tells the dispatcher that the server had too much work.
func (d *Dispatcher) Refused(server string) { d.tell(troubled{server: server, trouble: refused{}}) }

// Unreached tells the dispatcher that the connection was lost, or that its server did not answer.
func (d *Dispatcher) Unreached(c *Connection) {
	if _, isBorrowed := c.owner(); !isBorrowed {
		d.Doubt(c.Endpoint.Server)
	}
	d.tell(lostPath{connection: c})
}

// NotLent tells the dispatcher that the owner of a pool refused to lend the connection, or could not be reached.
func (d *Dispatcher) NotLent(c *Connection, u *NotSentError) {
	d.tell(lostPath{connection: c, unsent: u})
}

// DoubtOwner has the owner of a borrowed connection asked whether it lives and hears from the server.
func (d *Dispatcher) DoubtOwner(c *Connection) {
	if m, isBorrowed := c.owner(); isBorrowed {
		d.tell(ownerDoubted{owner: m, server: c.Endpoint.Server})
	}
}

// Doubt says that the server may be gone.
func (d *Dispatcher) Doubt(server string) { d.doubts.PutDroppingOldest(server) }

// Doubts gives the servers that may be gone.
func (d *Dispatcher) Doubts() *ring.Ring[string] { return d.doubts }

// Outstanding returns the number of connections to the server that are lent.
func (d *Dispatcher) Outstanding(server string) int {
	c := counted{server: server, reply: ring.New[int](1)}
	d.tell(c)
	n, err := c.reply.Take(d.ended)
	if err != nil {
		return 0
	}
	return n
}

// SetListings tells the dispatcher which servers there are.
func (d *Dispatcher) SetListings(listings map[string]dispatch.Listing) {
	d.tell(listingsChanged{listings})
}

func (d *Dispatcher) tell(c dispatcherCommand) { _ = d.commands.Put(d.ended, c) }

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
	d.takeMembers()
	switch c := c.(type) {
	case wanted:
		c.waiter.arrived = now
		d.waiting = append(d.waiting, c.waiter)
	case abandoned:
		d.abandon(c.waiter)
	case returned:
		d.takeBack(c.connection, c.usable, now)
	case started:
		d.setRunning(c.connection, true, now)
	case answered:
		d.setRunning(c.connection, false, now)
		d.noteAnswer(c.answer)
	case troubled:
		d.noteTrouble(c, now)
	case lostPath:
		d.noteLostPath(c, now)
	case ownerDoubted:
		d.probe(c)
	case ownerProbed:
		d.noteProbe(c, now)
	case opened:
		d.endOpening(c.connection.Endpoint)
		if s := d.at(c.answer.Server); s != nil {
			d.note(s, s.server.WithConnected(c.answer.Position), c.answer)
		}
		d.takeBack(c.connection, true, now)
	case notOpened:
		d.noteNotOpened(c, now)
	case listingsChanged:
		d.setListings(c.listings)
	case counted:
		c.reply.TryPut(d.outstanding(c.server))
	case checked:
		d.trim(now)
		d.warm(now)
	case warmed:
		d.warming = false
		d.warm(now)
	case checkWaits:
		d.checking = false
	}
	d.serve(now)
}

// outstanding returns the number of connections to the server that are lent or being opened.
func (d *Dispatcher) outstanding(server string) int {
	if s := d.at(server); s != nil {
		return s.server.Outstanding
	}
	return 0
}

// abandon forgets a waiter. A connection that it was granted in the meantime is taken back.
func (d *Dispatcher) abandon(w *waiter) {
	d.waiting = slices.DeleteFunc(d.waiting, func(other *waiter) bool { return other == w })
	if g, ok := w.reply.TryTake(); ok && g.err == nil {
		d.takeBack(g.grant.Connection, true, d.cfg.Timer.Now())
	}
}

func (d *Dispatcher) takeBack(c *Connection, usable bool, now time.Duration) {
	d.setRunning(c, false, now)
	s := d.at(c.Endpoint.Server)
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
		s.drop(c.Endpoint.Organisation)
		return
	}
	c.usedAt = now
	s.idle = append(s.idle, c)
}

// setRunning notes whether a statement runs on a connection of this instance's pool.
func (d *Dispatcher) setRunning(c *Connection, runs bool, now time.Duration) {
	s := d.at(c.Endpoint.Server)
	if _, isPooled := c.path.(*pooled); s == nil || !isPooled {
		return
	}
	if runs {
		s.running[c.ID] = now
		return
	}
	delete(s.running, c.ID)
}

func (d *Dispatcher) at(server string) *serverState { return d.servers[server] }

// noteAnswer notes the answer to a statement.
func (d *Dispatcher) noteAnswer(a Answered) {
	if s := d.at(a.Server); s != nil {
		d.note(s, s.server.WithAnswer(a.Position, a.At-a.SentAt), a)
	}
}

// note keeps what an answer tells. The primary's position is evidence only while the primary is known to lead.
func (d *Dispatcher) note(s *serverState, after dispatch.Server, a Answered) {
	s.server = after
	d.heard.Store(a.Server, a.At)
	groupName := s.server.Listing.Group
	if d.cfg.Views.Leads(groupName, a.Server, a.Position.Term) {
		d.evidence[groupName] = d.evidence[groupName].WithSample(primacy.PositionSample{Position: a.Position, At: a.SentAt})
	}
}

func (d *Dispatcher) noteTrouble(c troubled, now time.Duration) {
	s := d.at(c.server)
	if s == nil {
		return
	}
	switch t := c.trouble.(type) {
	case lacked:
		s.server = s.server.WithMissingPosition(t.after.MinPosition, now)
	case refused:
		s.server = s.server.WithRefusal(now)
	}
}

// endOpening lets the first waiter for which a connection to the endpoint was being opened have another one opened.
func (d *Dispatcher) endOpening(e Endpoint) {
	if s := d.at(e.Server); s != nil {
		s.opening--
	}
	for _, w := range d.waiting {
		if w.opens == e.Server && w.want.Organisation == e.Organisation {
			w.opens = ""
			return
		}
	}
}

func (d *Dispatcher) noteNotOpened(c notOpened, now time.Duration) {
	d.endOpening(c.endpoint)
	s := d.at(c.endpoint.Server)
	if s == nil {
		return
	}
	s.drop(c.endpoint.Organisation)
	s.server = s.server.WithOutstanding(-1)
	switch port.KindOf(c.err) {
	case port.NoConnection:
		s.cutTo, s.cutUntil = max(s.total, 1), now+shareCut
		s.server = s.server.WithRefusal(now)
	case port.Busy:
		s.server = s.server.WithRefusal(now)
	default:
		d.Doubt(c.endpoint.Server)
		d.failPath(s, d.cfg.Self.Incarnation, now)
	}
}
