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

const groupsCapacity = 64

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
	inbox     *ring.Ring[groupsMessage]
	published atomic.Pointer[map[string]*Monitor]

	// The fields below belong to the loop.
	document document.Document
	// list has this instance too, which the platform's lagging list may lack. watched tells of the groups that were looked
	// up whether this instance watches them by the list.
	list    instance.List
	watched map[string]bool
	running map[string]*runningGroup
	duties  sync.WaitGroup
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
		inbox:   ring.New[groupsMessage](groupsCapacity),
		list:    instance.NewList(cfg.Self),
		watched: make(map[string]bool),
		running: make(map[string]*runningGroup),
	}
	g.published.Store(&map[string]*Monitor{})
	return g
}

// groupsMessage is what Groups takes from its ring. It is one of documentTaken, listTaken and groupUsed.
type groupsMessage interface{ groupsMessage() }

type documentTaken struct{ document document.Document }

type listTaken struct{ list instance.List }

type groupUsed struct {
	name  string
	reply *ring.Ring[*Monitor]
}

func (documentTaken) groupsMessage() {}
func (listTaken) groupsMessage()     {}
func (groupUsed) groupsMessage()     {}

// SetDocument gives the document in force. The oldest message that waits is dropped when the ring is full; a document
// that is dropped is replaced by this one, and a caller whose message is dropped asks again.
func (g *GroupManager) SetDocument(d document.Document) { g.inbox.PutDroppingOldest(documentTaken{d}) }

// SetList gives the list of instances, from which the watchers of each group follow.
func (g *GroupManager) SetList(l instance.List) { g.inbox.PutDroppingOldest(listTaken{l}) }

// Monitor returns the monitor of the group, which is started at its first use. It reports false when the document has
// no such group.
func (g *GroupManager) Monitor(ctx context.Context, name string) (*Monitor, bool) {
	if m, ok := (*g.published.Load())[name]; ok {
		return m, true
	}
	reply := ring.New[*Monitor](1)
	if g.inbox.Put(ctx, groupUsed{name, reply}) != nil {
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
	g.duties.Wait()
}

func (g *GroupManager) loop(ctx context.Context) {
	for {
		message, err := g.inbox.Take(ctx)
		if err != nil {
			return
		}
		switch m := message.(type) {
		case documentTaken:
			g.document = m.document
			g.reconcile(ctx)
		case listTaken:
			g.list = m.list.WithInstance(g.cfg.Self)
			clear(g.watched)
			g.reconcile(ctx)
		case groupUsed:
			m.reply.TryPut(g.use(ctx, m.name))
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
	for _, described := range g.document.Groups {
		running, ok := g.running[described.Name]
		if !ok && g.watches(described.Name) {
			running, ok = g.start(ctx, described), true
		}
		if ok {
			g.update(ctx, running, described)
		}
	}
	g.publish()
}

func (g *GroupManager) use(ctx context.Context, name string) *Monitor {
	if running, ok := g.running[name]; ok {
		return running.monitor
	}
	described, ok := g.document.FindGroup(name)
	if !ok {
		return nil
	}
	running := g.start(ctx, described)
	g.update(ctx, running, described)
	g.publish()
	return running.monitor
}

func (g *GroupManager) start(ctx context.Context, described document.Group) *runningGroup {
	ctx, stop := context.WithCancel(ctx)
	monitor := NewMonitor(MonitorConfig{
		Group:   described.Name,
		Members: membersOf(described),
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
	g.duties.Go(func() { monitor.Run(ctx) })
	g.duties.Go(func() { promoter.Run(ctx) })
	g.running[described.Name] = running
	return running
}

func (g *GroupManager) update(ctx context.Context, running *runningGroup, described document.Group) {
	if running.monitor.SetMembers(ctx, membersOf(described)...) != nil {
		return
	}
	_ = running.promoter.SetInstances(ctx, g.list.All()...)
}

func (g *GroupManager) watches(name string) bool {
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

func membersOf(described document.Group) []group.Member {
	members := make([]group.Member, 0, len(described.Servers))
	for _, s := range described.Servers {
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
	for _, described := range d.Groups {
		if m, ok := running[described.Name]; ok {
			overviews = append(overviews, NewGroupOverview(described, m.View(), g.cfg.Timer.Now()))
			continue
		}
		overviews = append(overviews, NewUnmonitoredOverview(described))
	}
	return overviews
}

// Overview returns what is known of one group. A group that is not monitored yet is asked, up to ExplainLimit.
func (g *GroupManager) Overview(ctx context.Context, described document.Group) GroupOverview {
	ctx, cancel := port.WithTimeout(ctx, g.cfg.Timer, ExplainTimeout)
	defer cancel()
	m, ok := g.Monitor(ctx, described.Name)
	if !ok {
		return NewUnmonitoredOverview(described)
	}
	v, err := m.Await(ctx, func(v group.View) bool {
		_, found := v.Primary()
		return found
	})
	if err != nil {
		v = m.View()
	}
	return NewGroupOverview(described, v, g.cfg.Timer.Now())
}
