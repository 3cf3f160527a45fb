package entry_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/standin/memory"
)

// limitCluster runs a store and many limit managers in one process with one fake clock.
type limitCluster struct {
	t        testing.TB
	clock    *clock.Fake
	store    *memory.Store
	document document.Document
	policy   allotment.Policy
	members  []*member
	// useHomes makes the members take statements of small limits at their homes.
	useHomes bool
	// unresponsive holds the indexes of members that do not answer other members.
	unresponsive map[int]bool
	// useCoordinators makes the members take batches of other limits from coordinators, one for each data centre.
	useCoordinators bool
	dataCentres     int
	// loseBatchAnswer reports whether the next answer of a coordinator is lost; nil means never.
	loseBatchAnswer func() bool

	mu       sync.Mutex
	admitted map[string][]time.Duration
	refused  map[string]int
	// admissible counts the statements that a single bucket for all members would admit, wronglyRefused those of them that
	// were refused.
	admissible     map[string]int
	wronglyRefused map[string]int
}

// member is a limit manager with its own clock and its own connection to the store.
type member struct {
	*entry.LimitManager
	rates *entry.HomeRateLimit
	timer *pausableTimer
	conn  *memory.Conn
	stop  context.CancelFunc
	done  chan struct{}
}

const (
	// testRTT is the round-trip time to the store and between members.
	testRTT = 3 * time.Millisecond
	// testStep is the step of the fake clock. After each step the test waits until all goroutines are blocked.
	testStep = 4 * time.Millisecond
)

func newLimitCluster(t testing.TB, n int, doc document.Document, policy allotment.Policy) *limitCluster {
	return newLimitClusterWithClock(t, &clock.Fake{}, n, doc, policy)
}

// newLimitClusterWithClock starts n members with a clock that other fakes may share.
func newLimitClusterWithClock(t testing.TB, timer *clock.Fake, n int, doc document.Document, policy allotment.Policy) *limitCluster {
	c := &limitCluster{
		t: t, clock: timer, document: doc, policy: policy,
		admitted: map[string][]time.Duration{}, refused: map[string]int{},
		admissible: map[string]int{}, wronglyRefused: map[string]int{},
	}
	c.store = memory.NewStore(c.clock)
	c.store.UpdateFaults(func(s memory.Faults) memory.Faults { return s.WithLatency(testRTT/2, testRTT/2) })
	for range n {
		c.addMember()
	}
	return c
}

func (c *limitCluster) addMember() *member {
	timer := &pausableTimer{Fake: c.clock}
	m := &member{timer: timer, conn: c.store.Connect(timer), done: make(chan struct{})}
	holder := fmt.Sprintf("instance-%02d", len(c.members))
	m.LimitManager = entry.NewLimitManager(entry.LimitManagerConfig{Store: m.conn, Timer: timer, Holder: holder, Policy: c.policy})
	m.rates = entry.NewHomeRateLimit(entry.HomeRateLimitConfig{
		Self:    c.instanceAt(len(c.members)),
		Manager: m.LimitManager, Client: c, Timer: timer, Instances: c.homeInstances,
		Next: entry.NewCoordinatedRateLimit(entry.CoordinatedRateLimitConfig{
			Self: c.instanceAt(len(c.members)), Manager: m.LimitManager, Client: c, Timer: timer, Instances: c.coordinatorInstances,
		}),
	})
	m.SetDocument(c.document)
	ctx, stop := context.WithCancel(c.t.Context())
	m.stop = stop
	c.members = append(c.members, m)
	go m.run(ctx)
	return m
}

// setStoreDown begins or ends an outage of the store for all members.
func (c *limitCluster) setStoreDown(isDown bool) {
	c.store.UpdateFaults(func(s memory.Faults) memory.Faults { return s.WithDown(isDown) })
}

// ledger returns the stored ledger of a limit.
func (c *limitCluster) ledger(t testing.TB, name string) allotment.Ledger {
	t.Helper()
	l, err := entry.ParseLedger(c.store.Object("ledger/" + name).Data)
	require.NoError(t, err)
	return l
}

// memberIndex returns the index of the member with the given holder name or address.
func (c *limitCluster) memberIndex(t testing.TB, holder string) int {
	t.Helper()
	var index int
	_, err := fmt.Sscanf(holder, "instance-%d", &index)
	require.NoError(t, err)
	return index
}

// homeInstances returns the instance list for homes. It is empty unless the test uses homes, so that no limit has one.
func (c *limitCluster) homeInstances() instance.List {
	if !c.useHomes {
		return instance.List{}
	}
	return c.instances()
}

// coordinatorInstances returns the instance list for coordinators, which is empty unless the test uses them.
func (c *limitCluster) coordinatorInstances() instance.List {
	if !c.useCoordinators {
		return instance.List{}
	}
	return c.instances()
}

func (c *limitCluster) instances() instance.List {
	var all []instance.Instance
	for i := range c.members {
		all = append(all, c.instanceAt(i))
	}
	return instance.NewList(all...)
}

// instanceAt returns the instance of the i-th member. Members are assigned to the data centres in turn.
func (c *limitCluster) instanceAt(i int) instance.Instance {
	name := fmt.Sprintf("instance-%02d", i)
	dataCentre := fmt.Sprintf("dc%d", i%max(c.dataCentres, 1))
	return instance.Instance{Incarnation: name, Address: name, DataCentre: dataCentre, State: instance.Live}
}

// TakeBatch requests a batch from another member after half a round trip. The answer may be lost.
func (c *limitCluster) TakeBatch(ctx context.Context, address string, request entry.BatchRequest) (allotment.Statements, error) {
	i := c.memberIndex(c.t, address)
	if !c.reach(ctx, i) {
		return 0, port.Errorf(port.Unavailable, "instance %s does not answer", address)
	}
	n, err := c.members[i].IssueBatch(ctx, request)
	if c.loseBatchAnswer != nil && c.loseBatchAnswer() {
		<-ctx.Done()
		return 0, port.Errorf(port.Unavailable, "answer of instance %s is lost", address)
	}
	if port.KindOf(err) == port.ShareUnavailable {
		return 0, port.Wrapf(err, port.Unavailable, "instance %s has no share", address)
	}
	return n, err
}

// reach waits for half a round trip and reports true. For an unresponsive member it waits for ctx and reports false.
func (c *limitCluster) reach(ctx context.Context, i int) bool {
	if c.unresponsive[i] {
		<-ctx.Done()
		return false
	}
	arrived := make(chan struct{})
	c.clock.After(testRTT/2, func(time.Duration) { close(arrived) })
	<-arrived
	return true
}

// TakeAt takes a statement at another member after half a round trip.
func (c *limitCluster) TakeAt(ctx context.Context, address, limit string) error {
	i := c.memberIndex(c.t, address)
	if !c.reach(ctx, i) {
		return port.Errorf(port.Unavailable, "instance %s does not answer", address)
	}
	return c.members[i].Take(ctx, limit)
}

func (m *member) run(ctx context.Context) {
	m.Run(ctx)
	close(m.done)
}

// advance moves the clock in small steps, after each of which it waits until all goroutines are blocked.
func (c *limitCluster) advance(d time.Duration) {
	for ; d > 0; d -= testStep {
		c.clock.Advance(min(testStep, d))
		synctest.Wait()
	}
}

// send sends one statement through a member without waiting for the outcome.
func (c *limitCluster) send(m *member, limit string) { c.sendCounted(m, limit, false) }

// sendCounted sends one statement, and counts it if it is admissible, that is, if the reference bucket admits it.
func (c *limitCluster) sendCounted(m *member, limit string, admissible bool) {
	if admissible {
		c.mu.Lock()
		c.admissible[limit]++
		c.mu.Unlock()
	}
	go c.takeAndCount(m, limit, admissible)
}

func (c *limitCluster) takeAndCount(m *member, limit string, admissible bool) {
	err := m.rates.Take(context.Background(), limit)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.admitted[limit] = append(c.admitted[limit], c.clock.Now())
		return
	}
	c.refused[limit]++
	if admissible {
		c.wronglyRefused[limit]++
	}
}

// load sends statements at a constant rate for the duration d, through the members in turn.
func (c *limitCluster) load(d time.Duration, limit string, rate float64, members ...*member) {
	due := 0.0
	next := 0
	for ; d > 0; d -= testStep {
		for due += rate * testStep.Seconds(); due >= 1; due-- {
			c.send(members[next%len(members)], limit)
			next++
		}
		c.advance(testStep)
	}
}

// stopAll takes the store down, stops the members and waits for their goroutines.
func (c *limitCluster) stopAll() {
	c.setStoreDown(true)
	for _, m := range c.members {
		m.timer.resume()
		m.stop()
	}
	c.advance(10 * time.Second)
	for _, m := range c.members {
		<-m.done
	}
}

// overshoot returns the greatest excess of admitted statements over burst + rate × t in any interval of length t.
func overshoot(admitted []time.Duration, rate, burst float64) float64 {
	worst, tokens, last := 0.0, burst, time.Duration(0)
	for _, at := range admitted {
		tokens = min(burst, tokens+rate*(at-last).Seconds())
		last = at
		tokens--
		worst = max(worst, -tokens)
	}
	return worst
}

// requireNoOvershoot requires that no interval exceeds the limit, within the rounding of floating-point numbers.
func requireNoOvershoot(t testing.TB, c *limitCluster, limit string, rate, burst float64) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	require.NotEmpty(t, c.admitted[limit])
	require.LessOrEqual(t, overshoot(c.admitted[limit], rate, burst), 1e-6, "statements above burst + rate × t")
}

// admittedSince counts the statements admitted at or after an instant.
func (c *limitCluster) admittedSince(limit string, since time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, at := range c.admitted[limit] {
		if at >= since {
			n++
		}
	}
	return n
}

// pausableTimer is the clock of one member, which simulates a paused process: while paused, no timer fires.
type pausableTimer struct {
	*clock.Fake
	mu       sync.Mutex
	paused   bool
	deferred []func()
	// blockNow, if not nil, blocks the next call of Now, after it has read the clock, until the channel is closed.
	blockNow chan struct{}
}

// Now returns an instant that may be in the past when it returns, as in a process that was paused meanwhile.
func (p *pausableTimer) Now() time.Duration {
	now := p.Fake.Now()
	p.mu.Lock()
	block := p.blockNow
	p.blockNow = nil
	p.mu.Unlock()
	if block != nil {
		<-block
	}
	return now
}

// Every calls deliver in each period. Calls that are due while paused are made on resume.
func (p *pausableTimer) Every(period time.Duration, deliver func(time.Duration)) func() {
	return p.Fake.Every(period, func(now time.Duration) { p.deliver(func() { deliver(now) }) })
}

// After calls deliver when it is due, or on resume.
func (p *pausableTimer) After(d time.Duration, deliver func(time.Duration)) func() {
	return p.Fake.After(d, func(now time.Duration) { p.deliver(func() { deliver(now) }) })
}

func (p *pausableTimer) deliver(call func()) {
	p.mu.Lock()
	if p.paused {
		p.deferred = append(p.deferred, call)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	call()
}

func (p *pausableTimer) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = true
}

func (p *pausableTimer) resume() {
	p.mu.Lock()
	deferred := p.deferred
	p.deferred, p.paused = nil, false
	p.mu.Unlock()
	for _, call := range deferred {
		call()
	}
}
