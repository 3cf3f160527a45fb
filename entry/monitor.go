package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	// TickPeriod is the interval of a monitor's ticks.
	TickPeriod = 50 * time.Millisecond
	// WaitingPollTicks is the poll interval in ticks while a client waits: 100 ms.
	WaitingPollTicks = 2
	// WatcherPollTicks is the poll interval of a watcher in ticks: 250 ms.
	WatcherPollTicks = 5
	// IdlePollTicks is the poll interval of any other instance in ticks: 1 s.
	IdlePollTicks = 20
	// AnswerTimeout limits a status request, in addition to the time that the server was asked to wait.
	AnswerTimeout = time.Second
	// PositionWait is how long a server waits for the requested position before it answers without it.
	PositionWait = time.Second
	// MaxWaiters limits the number of waiters of one monitor. At most half of them may wait for something other than a
	// position, because rejecting server selection means that nothing has run, while rejecting the wait for a write
	// leaves the outcome of that write unknown.
	MaxWaiters = 4096

	monitorCapacity = 256
)

// MonitorConfig configures a Monitor.
type MonitorConfig struct {
	Group   string
	Members []group.Member
	Timer   port.Timer
	// Connect returns the management connection of a server. It must not block.
	Connect func(m group.Member) port.Server
	// Watching is true if the instance is a watcher of the group from the start.
	Watching bool
}

// Monitor polls the servers of one group and maintains the view of the group. The view is modified only in the
// monitor's goroutine; others read the published view and wait for a later one.
type Monitor struct {
	cfg       MonitorConfig
	inbox     *ring.Ring[monitorMessage]
	published atomic.Pointer[group.View]

	// The fields below are accessed only by loop.
	view        group.View
	watching    bool
	ticks       int
	servers     map[string]*monitoredServer
	waiters     []*waiter
	subscribers []func(group.View)
	running     sync.WaitGroup
}

// NewMonitor returns a Monitor. Its view has no observations until Run is called.
func NewMonitor(cfg MonitorConfig) *Monitor {
	m := &Monitor{
		cfg:      cfg,
		inbox:    ring.New[monitorMessage](monitorCapacity),
		view:     group.NewView(cfg.Members...),
		watching: cfg.Watching,
		servers:  make(map[string]*monitoredServer),
	}
	m.publish()
	return m
}

// monitorMessage is a message in the inbox of a monitor. It is one of tick, statusReceived, waiterAdded, membersChanged,
// watchingChanged, observationReceived and subscriberAdded.
type monitorMessage interface{ monitorMessage() }

type tick struct{}

type statusReceived struct {
	poller      *statusPoller
	request     statusRequest
	observation group.Observation
	err         error
}

type waiterAdded struct{ waiter *waiter }

type membersChanged struct{ members []group.Member }

type watchingChanged struct{ watching bool }

type observationReceived struct{ observation group.Observation }

type subscriberAdded struct{ deliver func(group.View) }

func (tick) monitorMessage()                {}
func (statusReceived) monitorMessage()      {}
func (waiterAdded) monitorMessage()         {}
func (membersChanged) monitorMessage()      {}
func (watchingChanged) monitorMessage()     {}
func (observationReceived) monitorMessage() {}
func (subscriberAdded) monitorMessage()     {}

// waiter waits for a view that satisfies condition. If position is not zero, the servers are asked to report when they
// reach it.
type waiter struct {
	done      <-chan struct{}
	condition func(group.View) bool
	position  group.Position
	reply     *ring.Ring[reply]
}

type reply struct {
	view group.View
	err  error
}

// isCancelled reports whether the context of the waiter has ended.
func (w *waiter) isCancelled() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// Group returns the name of the group.
func (m *Monitor) Group() string { return m.cfg.Group }

// View returns the latest view.
func (m *Monitor) View() group.View { return *m.published.Load() }

// Await waits for a view that satisfies condition. condition runs in the monitor's goroutine and must be fast. The error
// is of kind Unavailable if there are too many waiters, and otherwise the context's cause.
func (m *Monitor) Await(ctx context.Context, condition func(group.View) bool) (group.View, error) {
	return m.AwaitPosition(ctx, group.Position{}, condition)
}

// AwaitPosition is like Await, and also asks the servers to report as soon as their logs contain p.
func (m *Monitor) AwaitPosition(ctx context.Context, p group.Position, condition func(group.View) bool) (group.View, error) {
	if v := m.View(); condition(v) {
		return v, nil
	}
	w := &waiter{done: ctx.Done(), condition: condition, position: p, reply: ring.New[reply](1)}
	if err := m.inbox.Put(ctx, waiterAdded{w}); err != nil {
		return group.View{}, err
	}
	answer, err := w.reply.Take(ctx)
	if err != nil {
		return group.View{}, err
	}
	return answer.view, answer.err
}

// ReadPosition returns a position at or after every write that was acknowledged before the call. It first waits up to
// wait for the answers of all servers, because that yields a lower position, which more replicas have reached. After
// that it waits for the answers of a majority until ctx ends.
func (m *Monitor) ReadPosition(ctx context.Context, wait time.Duration) (group.Position, error) {
	since := m.cfg.Timer.Now()
	if wait > 0 {
		if p, ok := m.readPositionOfAll(ctx, since, wait); ok {
			return p, nil
		}
	}
	v, err := m.Await(ctx, func(v group.View) bool {
		_, known := v.ReadPosition(since)
		return known
	})
	if err != nil {
		return group.Position{}, err
	}
	position, _ := v.ReadPosition(since)
	return position, nil
}

func (m *Monitor) readPositionOfAll(ctx context.Context, since, wait time.Duration) (group.Position, bool) {
	ctx, cancel := port.WithTimeout(ctx, m.cfg.Timer, wait)
	defer cancel()
	v, err := m.Await(ctx, func(v group.View) bool {
		_, known := v.ReadPosition(since)
		return known && v.AllRequestedSince(since, since-AnswerTimeout)
	})
	if err != nil {
		return group.Position{}, false
	}
	return v.ReadPosition(since)
}

// SetMembers replaces the members of the group.
func (m *Monitor) SetMembers(ctx context.Context, members ...group.Member) error {
	return m.inbox.Put(ctx, membersChanged{members})
}

// SetWatching sets whether this instance is a watcher of the group.
func (m *Monitor) SetWatching(ctx context.Context, watching bool) error {
	return m.inbox.Put(ctx, watchingChanged{watching})
}

// Observe adds a status that another goroutine received.
func (m *Monitor) Observe(ctx context.Context, o group.Observation) error {
	return m.inbox.Put(ctx, observationReceived{o})
}

// Subscribe calls deliver with each later view. deliver must not block; it should put the view into a ring.
func (m *Monitor) Subscribe(ctx context.Context, deliver func(group.View)) error {
	return m.inbox.Put(ctx, subscriberAdded{deliver})
}

// Run maintains the view until ctx ends.
func (m *Monitor) Run(ctx context.Context) { m.loop(ctx) }

func (m *Monitor) loop(ctx context.Context) {
	stop := m.cfg.Timer.Every(TickPeriod, func(time.Duration) { m.inbox.TryPut(tick{}) })
	defer stop()
	defer m.running.Wait()
	m.updateServers(ctx)
	m.pollAll()
	for {
		message, err := m.inbox.Take(ctx)
		if err != nil {
			m.failWaiters()
			return
		}
		m.handle(ctx, message)
	}
}

func (m *Monitor) handle(ctx context.Context, message monitorMessage) {
	switch message := message.(type) {
	case tick:
		m.onTick()
	case statusReceived:
		m.onStatus(message)
	case waiterAdded:
		m.addWaiter(message.waiter)
	case membersChanged:
		m.view = m.view.WithMembers(message.members...)
		m.updateServers(ctx)
		m.pollAll()
		m.publish()
	case watchingChanged:
		m.watching = message.watching
	case observationReceived:
		m.view = m.view.WithObservation(message.observation)
		m.publish()
	case subscriberAdded:
		m.subscribers = append(m.subscribers, message.deliver)
	}
}

// onTick polls the servers if the poll interval has passed. It also checks the waiters and notifies the subscribers,
// because their conditions may depend on time.
func (m *Monitor) onTick() {
	m.ticks++
	if m.ticks%m.pollTicks() != 0 {
		return
	}
	m.releaseWaiters()
	m.pollAll()
	m.requestPositions()
	m.notify()
}

func (m *Monitor) pollTicks() int {
	switch {
	case len(m.waiters) > 0:
		return WaitingPollTicks
	case m.watching:
		return WatcherPollTicks
	}
	return IdlePollTicks
}

func (m *Monitor) onStatus(received statusReceived) {
	s, ok := m.servers[received.poller.member.Name]
	if !ok || received.poller != s.poller && received.poller != s.positionPoller {
		return
	}
	if received.poller == s.positionPoller {
		s.positionPending = false
	}
	if received.err != nil {
		return
	}
	m.view = m.view.WithObservation(received.observation)
	m.publish()
	// A server that answers without the position is asked again only at a later tick, so that it does not cause one
	// request for each round trip.
	if received.poller == s.positionPoller && received.observation.Status.History.Contains(received.request.position) {
		m.requestPosition(s)
	}
}

func (m *Monitor) addWaiter(w *waiter) {
	if w.condition(m.view) {
		w.reply.TryPut(reply{view: m.view})
		return
	}
	limit := MaxWaiters
	if w.position.IsZero() {
		limit = MaxWaiters / 2
	}
	if len(m.waiters) >= limit {
		m.releaseWaiters()
	}
	if len(m.waiters) >= limit {
		w.reply.TryPut(reply{err: port.Errorf(port.Unavailable, "too many waiters (limit %d) for group %q", limit, m.cfg.Group)})
		return
	}
	m.waiters = append(m.waiters, w)
	if w.position.IsZero() {
		m.pollAll()
		return
	}
	m.requestPositions()
}

// releaseWaiters replies to the waiters whose condition the view satisfies, and removes cancelled waiters.
func (m *Monitor) releaseWaiters() {
	remaining := m.waiters[:0]
	for _, w := range m.waiters {
		switch {
		case w.isCancelled():
		case w.condition(m.view):
			w.reply.TryPut(reply{view: m.view})
		default:
			remaining = append(remaining, w)
		}
	}
	clear(m.waiters[len(remaining):])
	m.waiters = remaining
}

func (m *Monitor) failWaiters() {
	for _, w := range m.waiters {
		w.reply.TryPut(reply{err: port.Errorf(port.Stopping, "monitor of group %q has stopped", m.cfg.Group)})
	}
	m.waiters = nil
}

func (m *Monitor) publish() {
	v := m.view
	m.published.Store(&v)
	m.releaseWaiters()
	m.notify()
}

func (m *Monitor) notify() {
	for _, deliver := range m.subscribers {
		deliver(m.view)
	}
}
