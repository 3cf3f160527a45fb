package entry

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const groupManagerCapacity = 64

// GroupManagerConfig is what Groups needs.
type GroupManagerConfig struct {
	Self  instance.Instance
	Timer port.Timer
	Store port.Store
	// Connect returns the maintenance side of a server. It must not block.
	Connect func(m group.Member) port.Server
}

// GroupManager is the duty that runs a Monitor and a Promoter for each group that this instance watches or that its callers
// use. A group that is neither costs nothing, so that an instance of a large fleet does not ask every server.
type GroupManager struct {
	cfg       GroupManagerConfig
	inbox     *ring.Ring[groupManagerMessage]
	published atomic.Pointer[map[string]*Monitor]

	// The fields below belong to the loop.
	document document.Document
	// list has this instance too, which the platform's lagging list may lack. watched tells of the groups that were looked
	// up whether this instance watches them by the list.
	list       instance.List
	watched    map[string]bool
	running    map[string]*runningGroup
	goroutines sync.WaitGroup
}

// runningGroup is a group whose duties run.
type runningGroup struct {
	monitor  *Monitor
	promoter *Promoter
	stop     context.CancelFunc
}

// NewGroupManager returns Groups that run nothing until Run.
func NewGroupManager(cfg GroupManagerConfig) *GroupManager {
	g := &GroupManager{
		cfg:     cfg,
		inbox:   ring.New[groupManagerMessage](groupManagerCapacity),
		list:    instance.NewList(cfg.Self),
		watched: make(map[string]bool),
		running: make(map[string]*runningGroup),
	}
	g.published.Store(&map[string]*Monitor{})
	return g
}

// groupManagerMessage is what Groups takes from its ring. It is one of documentTaken, listTaken and groupUsed.
type groupManagerMessage interface{ groupsMessage() }

type documentChanged struct{ document document.Document }

type listChanged struct{ list instance.List }

type monitorRequested struct {
	name  string
	reply *ring.Ring[*Monitor]
}

func (documentChanged) groupsMessage()  {}
func (listChanged) groupsMessage()      {}
func (monitorRequested) groupsMessage() {}

// SetDocument gives the document in force. The oldest message that waits is dropped when the ring is full; a document
// that is dropped is replaced by this one, and a caller whose message is dropped asks again.
func (g *GroupManager) SetDocument(d document.Document) {
	g.inbox.PutDroppingOldest(documentChanged{d})
}

// SetList gives the list of instances, from which the watchers of each group follow.
func (g *GroupManager) SetList(l instance.List) { g.inbox.PutDroppingOldest(listChanged{l}) }

// Monitor returns the monitor of the group, which is started at its first use. It reports false when the document has
// no such group.
func (g *GroupManager) Monitor(ctx context.Context, name string) (*Monitor, bool) {
	if m, ok := (*g.published.Load())[name]; ok {
		return m, true
	}
	reply := ring.New[*Monitor](1)
	if g.inbox.Put(ctx, monitorRequested{name, reply}) != nil {
		return nil, false
	}
	m, err := reply.Take(ctx)
	return m, err == nil && m != nil
}

// Monitors returns the monitors that run, by group.
func (g *GroupManager) Monitors() map[string]*Monitor { return maps.Clone(*g.published.Load()) }

// Run runs the groups' duties until ctx ends.
func (g *GroupManager) Run(ctx context.Context) {
	g.loop(ctx)
	g.goroutines.Wait()
}

func (g *GroupManager) loop(ctx context.Context) {
	for {
		message, err := g.inbox.Take(ctx)
		if err != nil {
			return
		}
		switch m := message.(type) {
		case documentChanged:
			g.document = m.document
			g.reconcile(ctx)
		case listChanged:
			g.list = m.list.WithInstance(g.cfg.Self)
			clear(g.watched)
			g.reconcile(ctx)
		case monitorRequested:
			m.reply.TryPut(g.getOrStart(ctx, m.name))
		}
	}
}

// reconcile starts the groups that this instance watches, stops those that the document no longer has, and passes on
// members and watchers.
func (g *GroupManager) reconcile(ctx context.Context) {
	for name, running := range g.running {
		if _, ok := g.document.FindGroup(name); !ok {
			running.stop()
			delete(g.running, name)
		}
	}
	for _, definition := range g.document.Groups {
		running, ok := g.running[definition.Name]
		if !ok && g.isWatched(definition.Name) {
			running, ok = g.start(ctx, definition), true
		}
		if ok {
			g.update(ctx, running, definition)
		}
	}
	g.publish()
}

func (g *GroupManager) getOrStart(ctx context.Context, name string) *Monitor {
	if running, ok := g.running[name]; ok {
		return running.monitor
	}
	definition, ok := g.document.FindGroup(name)
	if !ok {
		return nil
	}
	running := g.start(ctx, definition)
	g.update(ctx, running, definition)
	g.publish()
	return running.monitor
}

func (g *GroupManager) start(ctx context.Context, definition document.Group) *runningGroup {
	ctx, stop := context.WithCancel(ctx)
	monitor := NewMonitor(MonitorConfig{
		Group:   definition.Name,
		Members: membersOf(definition),
		Timer:   g.cfg.Timer,
		Connect: g.cfg.Connect,
	})
	promoter := NewPromoter(PromoterConfig{
		Incarnation: g.cfg.Self.Incarnation,
		Timer:       g.cfg.Timer,
		Store:       g.cfg.Store,
		Monitor:     monitor,
		Connect:     g.cfg.Connect,
	})
	running := &runningGroup{monitor: monitor, promoter: promoter, stop: stop}
	g.goroutines.Go(func() { monitor.Run(ctx) })
	g.goroutines.Go(func() { promoter.Run(ctx) })
	g.running[definition.Name] = running
	return running
}

func (g *GroupManager) update(ctx context.Context, running *runningGroup, definition document.Group) {
	if running.monitor.SetMembers(ctx, membersOf(definition)...) != nil {
		return
	}
	_ = running.promoter.SetInstances(ctx, g.list.All()...)
}

func (g *GroupManager) isWatched(name string) bool {
	watched, known := g.watched[name]
	if !known {
		_, watched = g.list.WatcherRank(name, g.cfg.Self.Incarnation)
		g.watched[name] = watched
	}
	return watched
}

func (g *GroupManager) publish() {
	monitors := make(map[string]*Monitor, len(g.running))
	for name, running := range g.running {
		monitors[name] = running.monitor
	}
	g.published.Store(&monitors)
}

func membersOf(definition document.Group) []group.Member {
	members := make([]group.Member, 0, len(definition.Servers))
	for _, s := range definition.Servers {
		members = append(members, group.Member{
			Name:       s.Name,
			Address:    s.Address,
			DataCentre: s.DataCentre,
			Draining:   s.Departing,
		})
	}
	return members
}

// Overviews returns what is known of every group of the document. It starts no monitor.
func (g *GroupManager) Overviews(d document.Document) []GroupOverview {
	running := *g.published.Load()
	overviews := make([]GroupOverview, 0, len(d.Groups))
	for _, definition := range d.Groups {
		if m, ok := running[definition.Name]; ok {
			overviews = append(overviews, NewGroupOverview(definition, m.View(), g.cfg.Timer.Now()))
			continue
		}
		overviews = append(overviews, NewUnmonitoredOverview(definition))
	}
	return overviews
}

// Overview returns what is known of one group. A group that is not monitored yet is asked, up to ExplainLimit.
func (g *GroupManager) Overview(ctx context.Context, definition document.Group) GroupOverview {
	ctx, cancel := port.WithTimeout(ctx, g.cfg.Timer, ExplainTimeout)
	defer cancel()
	m, ok := g.Monitor(ctx, definition.Name)
	if !ok {
		return NewUnmonitoredOverview(definition)
	}
	v, err := m.Await(ctx, func(v group.View) bool {
		_, found := v.Primary()
		return found
	})
	if err != nil {
		v = m.View()
	}
	return NewGroupOverview(definition, v, g.cfg.Timer.Now())
}
