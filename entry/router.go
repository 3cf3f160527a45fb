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
	// pingPeriod is the interval and the time-out of pings to each instance that serves forwarded clients. TCP alone does
	// not detect a paused process, because its kernel continues to acknowledge data.
	pingPeriod = time.Second
	// maxMissedPings is the number of consecutive failed pings after which an instance counts as lost. A single ping can
	// also fail on a busy machine.
	maxMissedPings = 3
)

// RouterConfig configures a Router.
type RouterConfig struct {
	Self   instance.Instance
	Timer  port.Timer
	Client ForwardClient
	// OnServedGroups is called with the groups that this instance serves when they may have changed. It must not block.
	OnServedGroups func(groups []string)
}

// Router determines the serving instances of each group, connects clients to them, and closes the connections to an
// instance that no longer answers. Use NewRouter, then call Run.
type Router struct {
	cfg RouterConfig
	// inbox contains documents and lists. They are queued because computing the serving instances of all groups would
	// block their senders for too long: it takes 1.3 ms for each group if there are 3,200 instances.
	inbox *ring.Ring[routerMessage]

	mu      sync.Mutex
	routing instance.Routing
	// serving contains the serving instances to which there are connections, by incarnation.
	serving map[string]*servingInstance
	pings   sync.WaitGroup
}

// servingInstance is a serving instance with the connections to it.
type servingInstance struct {
	instance instance.Instance
	conns    map[*routedConn]struct{}
	// missedPings is the number of consecutive failed pings. pingPending is true while a ping is outstanding.
	missedPings int
	pingPending bool
}

// routedConn is a ForwardConn that is registered at its router.
type routedConn struct {
	ForwardConn
	router   *Router
	instance instance.Instance
	// lost is set when the instance counts as lost, before the connection is closed.
	lost atomic.Bool
}

// routerMessage is a message in the inbox of a router. It is one of documentChanged and listChanged.
type routerMessage interface{ routerMessage() }

func (documentChanged) routerMessage() {}
func (listChanged) routerMessage()     {}

// NewRouter returns a Router that forwards nothing until it has a document and a list of instances.
func NewRouter(cfg RouterConfig) *Router {
	return &Router{
		cfg: cfg, inbox: ring.New[routerMessage](groupManagerCapacity), routing: instance.NewRouting(cfg.Self),
		serving: make(map[string]*servingInstance),
	}
}

// SetDocument sets the current document. It takes effect asynchronously. If the inbox is full, the oldest message is
// dropped.
func (r *Router) SetDocument(d document.Document) { r.inbox.PutDroppingOldest(documentChanged{d}) }

// SetList sets the platform's list of instances, in the same way as SetDocument.
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

// ServiceOf returns the properties of a group from which its serving instances are determined.
func ServiceOf(g document.Group) instance.Service {
	s := instance.Service{Group: g.Name, Number: g.ServingInstances}
	for _, server := range g.Servers {
		s.DataCentres = append(s.DataCentres, server.DataCentre)
	}
	return s
}

// updateRouting replaces the routing. The previous routing is used while update runs.
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

// ServesLocally reports whether this instance serves the group, or has no instance to which it could forward clients.
func (r *Router) ServesLocally(group string) bool { return len(r.Candidates(group)) == 0 }

// Candidates returns the instances to which a client of the group would be forwarded, in order of preference.
func (r *Router) Candidates(group string) []instance.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.routing.Candidates(group, r.cfg.Timer.Now())
}

// Connect connects a client of the group to a serving instance. If IsFinalRefusal is true for the error, the client is
// refused. After any other error this instance must serve the client itself.
func (r *Router) Connect(ctx context.Context, group string, req ForwardRequest) (ForwardConn, error) {
	started := r.cfg.Timer.Now()
	err := port.Errorf(port.Unavailable, "no serving instance of group %s answered", group)
	for _, i := range r.Candidates(group) {
		if r.cfg.Timer.Now()-started >= ReachTimeout || ctx.Err() != nil {
			break
		}
		var conn ForwardConn
		if conn, err = r.open(ctx, i, req); err == nil {
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

func (r *Router) open(ctx context.Context, to instance.Instance, req ForwardRequest) (ForwardConn, error) {
	ctx, cancel := port.WithTimeout(ctx, r.cfg.Timer, ForwardRequestTimeout)
	defer cancel()
	conn, err := r.cfg.Client.Forward(ctx, to.Address, req)
	if err != nil {
		return nil, err
	}
	return r.register(to, conn), nil
}

// IsFinalRefusal reports whether every instance would refuse the client with the same error.
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
	s, ok := r.serving[to.Incarnation]
	if !ok {
		s = &servingInstance{instance: to, conns: make(map[*routedConn]struct{})}
		r.serving[to.Incarnation] = s
	}
	registered := &routedConn{ForwardConn: conn, router: r, instance: to}
	s.conns[registered] = struct{}{}
	return registered
}

// Close closes the connection and unregisters it.
func (c *routedConn) Close() error {
	c.router.mu.Lock()
	if s, ok := c.router.serving[c.instance.Incarnation]; ok {
		delete(s.conns, c)
		if len(s.conns) == 0 {
			delete(c.router.serving, c.instance.Incarnation)
		}
	}
	c.router.mu.Unlock()
	return c.ForwardConn.Close()
}

// ReportLost records a failure of the serving instance that has ended the connection, so that other instances are
// preferred.
func (r *Router) ReportLost(conn ForwardConn) {
	if c, ok := conn.(*routedConn); ok {
		r.recordFailure(c.instance)
	}
}

// IsInstanceLost reports whether the connection is being closed because its instance no longer answers.
func (r *Router) IsInstanceLost(conn ForwardConn) bool {
	c, ok := conn.(*routedConn)
	return ok && c.lost.Load()
}

func (r *Router) recordFailure(i instance.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routing = r.routing.WithFailure(i, r.cfg.Timer.Now())
}

// Run updates the routing, and pings the serving instances to which there are connections, until ctx ends.
func (r *Router) Run(ctx context.Context) {
	stop := r.cfg.Timer.Every(pingPeriod, func(time.Duration) { r.pingAll(ctx) })
	r.loop(ctx)
	stop()
	r.pings.Wait()
}

// pingAll starts a ping to each serving instance that has none outstanding.
func (r *Router) pingAll(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	for _, s := range r.serving {
		if !s.pingPending {
			s.pingPending = true
			r.pings.Add(1)
			go r.ping(ctx, s)
		}
	}
}

func (r *Router) ping(ctx context.Context, s *servingInstance) {
	defer r.pings.Done()
	limited, cancel := port.WithTimeout(ctx, r.cfg.Timer, pingPeriod)
	defer cancel()
	err := r.cfg.Client.Ping(limited, s.instance.Address)
	for _, conn := range r.handlePing(s, err) {
		_ = conn.Close()
	}
}

// handlePing handles the result of a ping and returns the connections to close if the instance is lost. All of them are
// marked as lost before the first one is closed, so that no client sends requests to an instance after another client
// was told that it is lost.
func (r *Router) handlePing(s *servingInstance, err error) []ForwardConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.pingPending = false
	if err == nil {
		s.missedPings = 0
		return nil
	}
	s.missedPings++
	if s.missedPings < maxMissedPings {
		return nil
	}
	r.routing = r.routing.WithFailure(s.instance, r.cfg.Timer.Now())
	delete(r.serving, s.instance.Incarnation)
	lost := make([]ForwardConn, 0, len(s.conns))
	for c := range s.conns {
		c.lost.Store(true)
		lost = append(lost, c.ForwardConn)
	}
	return lost
}
