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
	// PromoterPeriod is the interval at which a promoter evaluates its time-outs. It also reacts to each new view.
	PromoterPeriod = 50 * time.Millisecond
	// ActionTimeout limits the execution of an action at a server.
	ActionTimeout = time.Second
	// StatusWatchWait is how long a watch of the status object waits for a change. A waiting watch counts as one call to
	// the store, so a long wait costs little.
	StatusWatchWait = 30 * time.Second
	// StoreTimeout limits a call to the store, in addition to the time that the store was asked to wait.
	StoreTimeout = 2 * time.Second
	// StoreRetryDelay is the delay before a call to a store that did not answer is repeated.
	StoreRetryDelay = time.Second

	promoterCapacity    = 256
	actionCapacity      = 8
	statusWriteAttempts = 3
)

// PromoterConfig configures a Promoter.
type PromoterConfig struct {
	// Incarnation is the candidate ID to which servers promise terms. It is random for each start of the process, so
	// that a restarted instance cannot use a term that was promised to its predecessor.
	Incarnation string
	Timer       port.Timer
	Store       port.Store
	Monitor     *Monitor
	// Connect returns the management connection of a server. It must not block.
	Connect func(m group.Member) port.Server
}

// Promoter promotes a replica when the primary of a group fails. A promoter also runs while its instance is not a watcher
// of the group, because it must remember which terms it has used.
type Promoter struct {
	cfg   PromoterConfig
	inbox *ring.Ring[promoterMessage]

	// The fields below are accessed only by loop.
	promotion        group.Promotion
	watching         bool
	executors        map[string]*actionExecutor
	statusWriter     *statusWriter
	stopStatusReader context.CancelFunc
	running          sync.WaitGroup
}

// NewPromoter returns a Promoter that does nothing until its instance is a watcher of the group.
func NewPromoter(cfg PromoterConfig) *Promoter {
	return &Promoter{
		cfg:       cfg,
		inbox:     ring.New[promoterMessage](promoterCapacity),
		promotion: group.NewPromotion(cfg.Incarnation, 0),
		executors: make(map[string]*actionExecutor),
	}
}

// promoterMessage is a message in the inbox of a promoter. It is one of wakeUp, actionCompleted, statusStored and
// instancesChanged.
type promoterMessage interface{ promoterMessage() }

// wakeUp reports a new view or a tick.
type wakeUp struct{}

// actionCompleted reports the result of an action at a server.
type actionCompleted struct {
	action      group.Action
	server      string
	observation group.Observation
	err         error
}

// statusStored reports the content of the status object in the store.
type statusStored struct{ status GroupStatus }

type instancesChanged struct{ instances []instance.Instance }

func (wakeUp) promoterMessage()           {}
func (actionCompleted) promoterMessage()  {}
func (statusStored) promoterMessage()     {}
func (instancesChanged) promoterMessage() {}

// GroupStatus is the value of a group's status object in the store, from which other instances learn the primary. Its
// term never decreases.
type GroupStatus struct {
	Group   string     `json:"group"`
	Term    group.Term `json:"term"`
	Primary string     `json:"primary"`
	Address string     `json:"address"`
}

// StatusObject returns the name of the store object that holds the GroupStatus of a group.
func StatusObject(groupName string) string { return "status/group/" + groupName }

// ParseGroupStatus decodes the value of a status object.
func ParseGroupStatus(data []byte) (GroupStatus, error) {
	var status GroupStatus
	if err := json.Unmarshal(data, &status); err != nil {
		return GroupStatus{}, port.Wrapf(err, port.Invalid, "cannot decode the status object of a group")
	}
	return status, nil
}

// SetInstances sets the live instances, which determine whether this one is a watcher of the group and its rank.
func (p *Promoter) SetInstances(ctx context.Context, instances ...instance.Instance) error {
	return p.inbox.Put(ctx, instancesChanged{instances})
}

// Run runs the promoter until ctx ends.
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

// handleEvent applies an event to the promotion and dispatches the resulting actions.
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

// onCompleted handles the result of an action.
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

// executor returns the executor for the member, and starts it if necessary.
func (p *Promoter) executor(ctx context.Context, member group.Member) *actionExecutor {
	if e, ok := p.executors[member.Name]; ok {
		if e.member.Address == member.Address {
			return e
		}
		e.stop()
	}
	ctx, stop := context.WithCancel(ctx)
	e := &actionExecutor{
		member:  member,
		server:  p.cfg.Connect(member),
		timer:   p.cfg.Timer,
		actions: ring.New[serverAction](actionCapacity),
		results: p.inbox,
		stop:    stop,
	}
	p.executors[member.Name] = e
	p.running.Go(func() { e.loop(ctx) })
	return e
}

// stopRemovedServers stops the executors of members that were removed from the group.
func (p *Promoter) stopRemovedServers(v group.View) {
	for name, e := range p.executors {
		if _, ok := v.Member(name); !ok {
			e.stop()
			delete(p.executors, name)
		}
	}
}
