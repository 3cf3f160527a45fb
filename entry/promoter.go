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
	// StatusWait is how long the store is asked to wait for a change of the status object. A waiting watch counts as one
	// call, so a long wait costs little.
	StatusWait = 30 * time.Second
	// StoreTimeout is how long the store may take to answer, apart from the time it was asked to wait.
	StoreTimeout = 2 * time.Second
	// StoreRetry is the time between two attempts at a store that does not answer.
	StoreRetry = time.Second

	promoterCapacity = 256
	orderCapacity    = 8
	announceAttempts = 3
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
	promotion group.Promotion
	watching  bool
	servers   map[string]*orderer
	announcer *announcer
	unwatch   context.CancelFunc
	running   sync.WaitGroup
}

// NewPromoter returns a Promoter that does nothing until its instance watches the group.
func NewPromoter(cfg PromoterConfig) *Promoter {
	return &Promoter{
		cfg:       cfg,
		inbox:     ring.New[promoterMessage](promoterCapacity),
		promotion: group.NewPromotion(cfg.Incarnation, 0),
		servers:   make(map[string]*orderer),
	}
}

// promoterMessage is what a promoter takes from its ring. It is one of looked, carriedOut, announcedTo and
// instancesChanged.
type promoterMessage interface{ promoterMessage() }

// looked says that there is a new view or that time has passed.
type looked struct{}

// carriedOut says how a server answered an order.
type carriedOut struct {
	order       group.Action
	server      string
	observation group.Observation
	err         error
}

// announcedTo says what the store's status object holds.
type announcedTo struct{ status GroupStatus }

type instancesChanged struct{ instances []instance.Instance }

func (looked) promoterMessage()           {}
func (carriedOut) promoterMessage()       {}
func (announcedTo) promoterMessage()      {}
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
	look := func() { p.inbox.TryPut(looked{}) }
	stop := p.cfg.Timer.Every(PromoterPeriod, func(time.Duration) { look() })
	defer stop()
	defer p.running.Wait()
	p.announcer = &announcer{
		cfg: p.cfg, announcements: ring.New[GroupStatus](1), reports: p.inbox,
	}
	p.running.Go(func() { p.announcer.loop(ctx) })
	if p.cfg.Monitor.Subscribe(ctx, func(group.View) { look() }) != nil {
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
	case looked:
		p.decide(ctx, group.Observed{})
	case carriedOut:
		p.settle(ctx, message)
	case announcedTo:
		p.decide(ctx, group.Announced{Term: message.status.Term, Primary: message.status.Primary})
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
		p.unwatch()
		return
	}
	var watchCtx context.Context
	watchCtx, p.unwatch = context.WithCancel(ctx)
	reader := &statusReader{cfg: p.cfg, reports: p.inbox}
	p.running.Go(func() { reader.loop(watchCtx) })
}

// decide feeds an event to the promotion and hands out its orders.
func (p *Promoter) decide(ctx context.Context, event group.Event) {
	if !p.watching {
		return
	}
	v := p.cfg.Monitor.View()
	p.release(v)
	var orders []group.Action
	p.promotion, orders = p.promotion.WithEvent(event, v, p.cfg.Timer.Now())
	for _, order := range orders {
		p.hand(ctx, order, v)
	}
}

func (p *Promoter) hand(ctx context.Context, order group.Action, v group.View) {
	switch order := order.(type) {
	case group.SendFence:
		for _, member := range v.Members() {
			p.orderer(ctx, member).orders.PutDroppingOldest(task{order: order})
		}
	case group.SendPromote:
		if member, ok := v.Member(order.Server); ok {
			p.orderer(ctx, member).orders.PutDroppingOldest(task{order: order})
		}
	case group.SendFollow:
		member, ok := v.Member(order.Server)
		primary, known := v.Member(order.Primary)
		if ok && known {
			p.orderer(ctx, member).orders.PutDroppingOldest(task{order: order, address: primary.Address})
		}
	case group.Announce:
		primary, _ := v.Member(order.Primary)
		p.announcer.announcements.PutDroppingOldest(GroupStatus{
			Group: p.cfg.Monitor.Group(), Term: order.Term, Primary: order.Primary, Address: primary.Address,
		})
	}
}

// settle takes a server's answer to an order.
func (p *Promoter) settle(ctx context.Context, c carriedOut) {
	if c.err == nil {
		_ = p.cfg.Monitor.Observe(ctx, c.observation)
	}
	refused := port.KindOf(c.err) == port.Conflict
	status := c.observation.Status
	switch order := c.order.(type) {
	case group.SendFence:
		if c.err == nil {
			p.decide(ctx, group.Fenced{Term: order.Term, Status: status})
		} else if refused {
			p.decide(ctx, group.Refused{Term: order.Term, Server: c.server, Promised: status.Promised})
		}
	case group.SendPromote:
		if c.err == nil {
			p.decide(ctx, group.Promoted{Term: order.Term, Server: c.server})
		} else if refused {
			p.decide(ctx, group.Refused{Term: order.Term, Server: c.server, Promised: status.Promised})
		}
	}
}

// orderer returns the duty that carries out orders at the member.
func (p *Promoter) orderer(ctx context.Context, member group.Member) *orderer {
	if o, ok := p.servers[member.Name]; ok {
		if o.member.Address == member.Address {
			return o
		}
		o.stop()
	}
	ctx, stop := context.WithCancel(ctx)
	o := &orderer{
		member:  member,
		server:  p.cfg.Connect(member),
		timer:   p.cfg.Timer,
		orders:  ring.New[task](orderCapacity),
		reports: p.inbox,
		stop:    stop,
	}
	p.servers[member.Name] = o
	p.running.Go(func() { o.loop(ctx) })
	return o
}

// release ends the duties of members that left.
func (p *Promoter) release(v group.View) {
	for name, o := range p.servers {
		if _, ok := v.Member(name); !ok {
			o.stop()
			delete(p.servers, name)
		}
	}
}
