package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	// PromoterPeriod is how often a promoter looks at the time, between the views that it is given.
	PromoterPeriod = 50 * time.Millisecond
	// ActionTimeout is how long a server may take to carry out an order.
	ActionTimeout = time.Second
	// StatusWatchWait is how long the store is asked to wait for a change of the status object. A waiting watch counts as one
	// call, so a long wait costs little.
	StatusWatchWait = 30 * time.Second
	// StoreTimeout is how long the store may take to answer, apart from the time it was asked to wait.
	StoreTimeout = 2 * time.Second
	// StoreRetryDelay is the time between two attempts at a store that does not answer.
	StoreRetryDelay = time.Second

	promoterCapacity    = 256
	actionCapacity      = 8
	statusWriteAttempts = 3
)

// PromoterConfig is what a Promoter needs.
type PromoterConfig struct {
	// Incarnation is the candidate under which servers promise terms. It is drawn at random at every start of the
	// process, so that no term is promised twice.
	Incarnation string
	Timer       port.Timer
	Store       port.Store
	Monitor     *Monitor
	// Connect returns the maintenance side of a server. It must not block.
	Connect func(m group.Member) port.Server
}

// Promoter is the duty that replaces a lost primary of one group. An instance has one for each group for as long as the
// process runs, because the terms that it used must not be forgotten while it does not watch.
type Promoter struct {
	cfg   PromoterConfig
	inbox *ring.Ring[promoterMessage]

	// The fields below belong to the loop.
	promotion        group.Promotion
	watching         bool
	executors        map[string]*actionExecutor
	statusWriter     *statusWriter
	stopStatusReader context.CancelFunc
	running          sync.WaitGroup
}

// NewPromoter returns a Promoter that does nothing until its instance watches the group.
func NewPromoter(cfg PromoterConfig) *Promoter {
	return &Promoter{
		cfg:       cfg,
		inbox:     ring.New[promoterMessage](promoterCapacity),
		promotion: group.NewPromotion(cfg.Incarnation, 0),
		executors: make(map[string]*actionExecutor),
	}
}

// promoterMessage is what a promoter takes from its ring. It is one of looked, carriedOut, announcedTo and
// instancesChanged.
type promoterMessage interface{ promoterMessage() }

// wakeUp says that there is a new view or that time has passed.
type wakeUp struct{}

// actionCompleted says how a server answered an order.
type actionCompleted struct {
	action      group.Action
	server      string
	observation group.Observation
	err         error
}

// statusStored says what the store's status object holds.
type statusStored struct{ status GroupStatus }

type instancesChanged struct{ instances []instance.Instance }

func (wakeUp) promoterMessage()           {}
func (actionCompleted) promoterMessage()  {}
func (statusStored) promoterMessage()     {}
func (instancesChanged) promoterMessage() {}

// GroupStatus is the value of the store object that tells the fleet the primary of a group. The term never falls.
type GroupStatus struct {
	Group   string     `json:"group"`
	Term    group.Term `json:"term"`
	Primary string     `json:"primary"`
	Address string     `json:"address"`
}

// StatusObject returns the name of the store object that holds the GroupStatus of a group.
func StatusObject(groupName string) string { return "status/group/" + groupName }

// ParseGroupStatus reads the value of a status object.
func ParseGroupStatus(data []byte) (GroupStatus, error) {
	var status GroupStatus
	if err := json.Unmarshal(data, &status); err != nil {
		return GroupStatus{}, port.Wrapf(err, port.Invalid, "status object of a group cannot be read")
	}
	return status, nil
}

// SetInstances tells the promoter which instances live. Whether this one watches the group follows from them.
func (p *Promoter) SetInstances(ctx context.Context, instances ...instance.Instance) error {
	return p.inbox.Put(ctx, instancesChanged{instances})
}

// Run watches the group until ctx ends.
func (p *Promoter) Run(ctx context.Context) { p.loop(ctx) }

func (p *Promoter) loop(ctx context.Context) {
	wake := func() { p.inbox.TryPut(wakeUp{}) }
	stop := p.cfg.Timer.Every(PromoterPeriod, func(time.Duration) { wake() })
	defer stop()
	defer p.running.Wait()
	p.statusWriter = &statusWriter{
		cfg: p.cfg, updates: ring.New[GroupStatus](1), results: p.inbox,
	}
	p.running.Go(func() { p.statusWriter.loop(ctx) })
	if p.cfg.Monitor.Subscribe(ctx, func(group.View) { wake() }) != nil {
		return
	}
	for {
		message, err := p.inbox.Take(ctx)
		if err != nil {
			return
		}
		p.handle(ctx, message)
	}
}

func (p *Promoter) handle(ctx context.Context, message promoterMessage) {
	switch message := message.(type) {
	case wakeUp:
		p.handleEvent(ctx, group.Observed{})
	case actionCompleted:
		p.onCompleted(ctx, message)
	case statusStored:
		p.handleEvent(ctx, group.Announced{Term: message.status.Term, Primary: message.status.Primary})
	case instancesChanged:
		p.setInstances(ctx, message.instances)
	}
}

func (p *Promoter) setInstances(ctx context.Context, instances []instance.Instance) {
	rank, watching := instance.NewList(instances...).WatcherRank(p.cfg.Monitor.Group(), p.cfg.Incarnation)
	if watching {
		p.promotion = p.promotion.WithRank(rank)
	}
	if watching == p.watching {
		return
	}
	p.watching = watching
	_ = p.cfg.Monitor.SetWatching(ctx, watching)
	if !watching {
		p.promotion = p.promotion.Paused()
		p.stopStatusReader()
		return
	}
	var watchCtx context.Context
	watchCtx, p.stopStatusReader = context.WithCancel(ctx)
	reader := &statusReader{cfg: p.cfg, results: p.inbox}
	p.running.Go(func() { reader.loop(watchCtx) })
}

// handleEvent feeds an event to the promotion and hands out its orders.
func (p *Promoter) handleEvent(ctx context.Context, event group.Event) {
	if !p.watching {
		return
	}
	v := p.cfg.Monitor.View()
	p.stopRemovedServers(v)
	var actions []group.Action
	p.promotion, actions = p.promotion.WithEvent(event, v, p.cfg.Timer.Now())
	for _, action := range actions {
		p.dispatch(ctx, action, v)
	}
}

func (p *Promoter) dispatch(ctx context.Context, action group.Action, v group.View) {
	switch action := action.(type) {
	case group.SendFence:
		for _, member := range v.Members() {
			p.executor(ctx, member).actions.PutDroppingOldest(serverAction{action: action})
		}
	case group.SendPromote:
		if member, ok := v.Member(action.Server); ok {
			p.executor(ctx, member).actions.PutDroppingOldest(serverAction{action: action})
		}
	case group.SendFollow:
		member, ok := v.Member(action.Server)
		primary, known := v.Member(action.Primary)
		if ok && known {
			p.executor(ctx, member).actions.PutDroppingOldest(serverAction{action: action, primaryAddress: primary.Address})
		}
	case group.Announce:
		primary, _ := v.Member(action.Primary)
		p.statusWriter.updates.PutDroppingOldest(GroupStatus{
			Group: p.cfg.Monitor.Group(), Term: action.Term, Primary: action.Primary, Address: primary.Address,
		})
	}
}

// onCompleted takes a server's answer to an order.
func (p *Promoter) onCompleted(ctx context.Context, completed actionCompleted) {
	if completed.err == nil {
		_ = p.cfg.Monitor.Observe(ctx, completed.observation)
	}
	refused := port.KindOf(completed.err) == port.Conflict
	status := completed.observation.Status
	switch action := completed.action.(type) {
	case group.SendFence:
		if completed.err == nil {
			p.handleEvent(ctx, group.Fenced{Term: action.Term, Status: status})
		} else if refused {
			p.handleEvent(ctx, group.Refused{Term: action.Term, Server: completed.server, Promised: status.Promised})
		}
	case group.SendPromote:
		if completed.err == nil {
			p.handleEvent(ctx, group.Promoted{Term: action.Term, Server: completed.server})
		} else if refused {
			p.handleEvent(ctx, group.Refused{Term: action.Term, Server: completed.server, Promised: status.Promised})
		}
	}
}

// executor returns the duty that carries out orders at the member.
func (p *Promoter) executor(ctx context.Context, member group.Member) *actionExecutor {
	if o, ok := p.executors[member.Name]; ok {
		if o.member.Address == member.Address {
			return o
		}
		o.stop()
	}
	ctx, stop := context.WithCancel(ctx)
	o := &actionExecutor{
		member:  member,
		server:  p.cfg.Connect(member),
		timer:   p.cfg.Timer,
		actions: ring.New[serverAction](actionCapacity),
		results: p.inbox,
		stop:    stop,
	}
	p.executors[member.Name] = o
	p.running.Go(func() { o.loop(ctx) })
	return o
}

// stopRemovedServers ends the duties of members that left.
func (p *Promoter) stopRemovedServers(v group.View) {
	for name, o := range p.executors {
		if _, ok := v.Member(name); !ok {
			o.stop()
			delete(p.executors, name)
		}
	}
}
