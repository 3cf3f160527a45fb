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

// GroupManagerConfig configures a GroupManager.
type GroupManagerConfig struct {
	Self  instance.Instance
	Timer port.Timer
	Store port.Store
	// Connect returns the management connection of a server. It must not block.
	Connect func(m group.Member) port.Server
}

// GroupManager runs a Monitor and a Promoter for each group of which this instance is a watcher or which its clients use.
// Nothing runs for other groups, so that not every instance polls every server.
type GroupManager struct {
	cfg       GroupManagerConfig
	inbox     *ring.Ring[groupManagerMessage]
	published atomic.Pointer[map[string]*Monitor]

	// The fields below are accessed only by loop.
	document document.Document
	// list always includes this instance, although the platform's list may lag and not include it yet. watched caches, by
	// group, whether this instance is a watcher according to list.
	list       instance.List
	watched    map[string]bool
	running    map[string]*runningGroup
	goroutines sync.WaitGroup
}

// runningGroup is a group whose monitor and promoter are running.
type runningGroup struct {
	monitor  *Monitor
	promoter *Promoter
	stop     context.CancelFunc
}

// NewGroupManager returns a GroupManager that does nothing until Run is called.
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

// groupManagerMessage is a message in the inbox of a GroupManager. It is one of documentChanged, listChanged and
// monitorRequested.
type groupManagerMessage interface{ groupManagerMessage() }

type documentChanged struct{ document document.Document }

type listChanged struct{ list instance.List }

type monitorRequested struct {
	name  string
	reply *ring.Ring[*Monitor]
}

func (documentChanged) groupManagerMessage()  {}
func (listChanged) groupManagerMessage()      {}
func (monitorRequested) groupManagerMessage() {}

// SetDocument sets the current document. If the inbox is full, the oldest message is dropped: a dropped document is
// superseded by this one, and a dropped request for a monitor is repeated by its sender.
func (g *GroupManager) SetDocument(d document.Document) {
	g.inbox.PutDroppingOldest(documentChanged{d})
}

// SetList sets the list of instances, which determines the watchers of each group.
func (g *GroupManager) SetList(l instance.List) { g.inbox.PutDroppingOldest(listChanged{l}) }

// Monitor returns the monitor of the group, and starts it if necessary. It reports false if the group is not in the
// document.
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

// Monitors returns the running monitors by group.
func (g *GroupManager) Monitors() map[string]*Monitor { return maps.Clone(*g.published.Load()) }

// Run runs the monitors and promoters until ctx ends.
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

// reconcile starts the groups of which this instance is a watcher, stops those that were removed from the document, and
// passes changed members and instances to the running ones.
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

// Overviews returns the overviews of all groups of the document. It starts no monitors.
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

// Overview returns the overview of one group. It starts the group's monitor if necessary, and waits up to ExplainTimeout
// for a primary.
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
