package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	// pingPeriod is how often each instance that serves forwarded callers is asked whether it is alive, and how long it
	// may take to answer. The kernel of a paused process goes on confirming what it receives.
	pingPeriod = time.Second
	// maxMissedPings is how many answers in a row are missing when the instance counts as lost. A busy machine missed one
	// now and then.
	maxMissedPings = 3
)

// RouterConfig is what a Router needs.
type RouterConfig struct {
	Self   instance.Instance
	Timer  port.Timer
	Client ForwardClient
	// OnServedGroups is told the groups that this instance serves whenever they may have changed. It must not block.
	OnServedGroups func(groups []string)
}

// Router is the duty that knows the serving instances of each group, connects callers to them, and closes the
// connections to an instance that no longer answers. Use NewRouter, then call Run.
type Router struct {
	cfg RouterConfig
	// inbox holds documents and lists. Choosing the serving instances of all groups takes too long for those who deliver
	// them: 1.3 ms for each group of a fleet of 3,200 instances.
	inbox *ring.Ring[routerMessage]

	mu      sync.Mutex
	routing instance.Routing
	// serving holds the connections to each serving instance, by incarnation.
	serving map[string]*servingInstance
	pings   sync.WaitGroup
}

// servingInstance is one serving instance with the connections to it.
type servingInstance struct {
	instance instance.Instance
	conns    map[*routedConn]struct{}
	// missedPings counts the answers in a row that did not come; asked is true while one is awaited.
	missedPings int
	pingPending bool
}

// routedConn is a ForwardConn that its router knows.
type routedConn struct {
	ForwardConn
	router   *Router
	instance instance.Instance
	// lost is true once the connection is given up, before it is closed.
	lost atomic.Bool
}

// routerMessage is what a router takes from its ring. It is one of documentTaken and listTaken.
type routerMessage interface{ routerMessage() }

func (documentChanged) routerMessage() {}
func (listChanged) routerMessage()     {}

// NewRouter returns a router that forwards nothing until it knows a document and a list.
func NewRouter(cfg RouterConfig) *Router {
	return &Router{
		cfg: cfg, inbox: ring.New[routerMessage](groupManagerCapacity), routing: instance.NewRouting(cfg.Self),
		serving: make(map[string]*servingInstance),
	}
}

// SetDocument gives the document in force, whose groups are routed by it soon. The oldest message that waits is dropped
// when the ring is full.
func (r *Router) SetDocument(d document.Document) { r.inbox.PutDroppingOldest(documentChanged{d}) }

// SetList gives the platform's list of instances, in the same way.
func (r *Router) SetList(l instance.List) { r.inbox.PutDroppingOldest(listChanged{l}) }

func (r *Router) loop(ctx context.Context) {
	for {
		message, err := r.inbox.Take(ctx)
		if err != nil {
			return
		}
		switch m := message.(type) {
		case documentChanged:
			r.updateRouting(func(routing instance.Routing) instance.Routing {
				return routing.WithServices(servicesOf(m.document)...)
			})
		case listChanged:
			r.updateRouting(func(routing instance.Routing) instance.Routing { return routing.WithList(m.list) })
		}
	}
}

func servicesOf(d document.Document) []instance.Service {
	services := make([]instance.Service, 0, len(d.Groups))
	for _, g := range d.Groups {
		services = append(services, ServiceOf(g))
	}
	return services
}

// ServiceOf returns what the choice of the group's serving instances depends on.
func ServiceOf(g document.Group) instance.Service {
	s := instance.Service{Group: g.Name, Number: g.ServingInstances}
	for _, server := range g.Servers {
		s.DataCentres = append(s.DataCentres, server.DataCentre)
	}
	return s
}

// updateRouting replaces the routing. Callers are routed by the one before meanwhile.
func (r *Router) updateRouting(update func(instance.Routing) instance.Routing) {
	r.mu.Lock()
	before := r.routing
	r.mu.Unlock()
	next := update(before)
	r.mu.Lock()
	r.routing = next.WithFailuresOf(r.routing)
	r.mu.Unlock()
	r.cfg.OnServedGroups(next.Served())
}

// ServesLocally reports whether this instance serves the group, or has no instance to which it could forward.
func (r *Router) ServesLocally(group string) bool { return len(r.Candidates(group)) == 0 }

// Candidates returns the instances to which a caller of the group would be forwarded now, the preferred one first.
func (r *Router) Candidates(group string) []instance.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.routing.Candidates(group, r.cfg.Timer.Now())
}

// Connect connects a caller of the group to a serving instance. An error for which RefusesCaller
// holds refuses the caller. After any other error this instance has to serve the caller itself.
func (r *Router) Connect(ctx context.Context, group string, o ForwardRequest) (ForwardConn, error) {
	started := r.cfg.Timer.Now()
	err := port.Errorf(port.Unavailable, "group %s has no serving instance that answers", group)
	for _, i := range r.Candidates(group) {
		if r.cfg.Timer.Now()-started >= ReachTimeout || ctx.Err() != nil {
			break
		}
		var conn ForwardConn
		if conn, err = r.open(ctx, i, o); err == nil {
			return conn, nil
		}
		if IsFinalRefusal(err) {
			return nil, err
		}
		if ctx.Err() == nil {
			r.recordFailure(i)
		}
	}
	return nil, err
}

func (r *Router) open(ctx context.Context, to instance.Instance, o ForwardRequest) (ForwardConn, error) {
	ctx, cancel := port.WithTimeout(ctx, r.cfg.Timer, ForwardRequestTimeout)
	defer cancel()
	conn, err := r.cfg.Client.Forward(ctx, to.Address, o)
	if err != nil {
		return nil, err
	}
	return r.register(to, conn), nil
}

// IsFinalRefusal reports whether every instance would refuse the caller in this way.
func IsFinalRefusal(err error) bool {
	switch port.KindOf(err) {
	case port.KeyRefused, port.UnknownRoute, port.BadToken:
		return true
	default:
		return false
	}
}

func (r *Router) register(to instance.Instance, conn ForwardConn) ForwardConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routing = r.routing.WithSuccess(to)
	l, ok := r.serving[to.Incarnation]
	if !ok {
		l = &servingInstance{instance: to, conns: make(map[*routedConn]struct{})}
		r.serving[to.Incarnation] = l
	}
	registered := &routedConn{ForwardConn: conn, router: r, instance: to}
	l.conns[registered] = struct{}{}
	return registered
}

// Close closes the connection and forgets it.
func (c *routedConn) Close() error {
	c.router.mu.Lock()
	if l, ok := c.router.serving[c.instance.Incarnation]; ok {
		delete(l.conns, c)
		if len(l.conns) == 0 {
			delete(c.router.serving, c.instance.Incarnation)
		}
	}
	c.router.mu.Unlock()
	return c.ForwardConn.Close()
}

// ReportLost tells the router that the instance behind the connection ended it, so that its callers turn to another one.
func (r *Router) ReportLost(conn ForwardConn) {
	if c, ok := conn.(*routedConn); ok {
		r.recordFailure(c.instance)
	}
}

// IsInstanceLost reports whether the connection will be closed because its instance no longer answers.
func (r *Router) IsInstanceLost(conn ForwardConn) bool {
	c, ok := conn.(*routedConn)
	return ok && c.lost.Load()
}

func (r *Router) recordFailure(i instance.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routing = r.routing.WithFailure(i, r.cfg.Timer.Now())
}

// Run routes by what the document and the list say, and watches over the serving instances that have callers of this
// one, until ctx ends.
func (r *Router) Run(ctx context.Context) {
	stop := r.cfg.Timer.Every(pingPeriod, func(time.Duration) { r.pingAll(ctx) })
	r.loop(ctx)
	stop()
	r.pings.Wait()
}

// pingAll asks each serving instance that does not owe an answer already.
func (r *Router) pingAll(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	for _, l := range r.serving {
		if !l.pingPending {
			l.pingPending = true
			r.pings.Add(1)
			go r.ping(ctx, l)
		}
	}
}

func (r *Router) ping(ctx context.Context, l *servingInstance) {
	defer r.pings.Done()
	limited, cancel := port.WithTimeout(ctx, r.cfg.Timer, pingPeriod)
	defer cancel()
	err := r.cfg.Client.Ping(limited, l.instance.Address)
	for _, conn := range r.handlePing(l, err) {
		_ = conn.Close()
	}
}

// handlePing takes an answer and returns the connections that are given up. All are marked before the first is closed, so that
// no caller sends to an instance of which another caller knows already that it is lost.
func (r *Router) handlePing(l *servingInstance, err error) []ForwardConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.pingPending = false
	if err == nil {
		l.missedPings = 0
		return nil
	}
	l.missedPings++
	if l.missedPings < maxMissedPings {
		return nil
	}
	r.routing = r.routing.WithFailure(l.instance, r.cfg.Timer.Now())
	delete(r.serving, l.instance.Incarnation)
	lost := make([]ForwardConn, 0, len(l.conns))
	for c := range l.conns {
		c.lost.Store(true)
		lost = append(lost, c.ForwardConn)
	}
	return lost
}
