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

// limitCluster is a store and many keepers in one process, in the time of one fake clock.
type limitCluster struct {
	t       testing.TB
	clock   *clock.Fake
	store   *memory.Store
	doc     document.Document
	policy  allotment.Policy
	members []*member
	// useHomes has small limits taken at their homes; silent homes do not answer.
	useHomes     bool
	unresponsive map[int]bool
	// useCoordinators has other limits taken from stewards, one for each of the data centres. loseBatches says whether the
	// next answer of one is lost.
	useCoordinators bool
	dataCentres     int
	loseBatchAnswer func() bool

	mu       sync.Mutex
	admitted map[string][]time.Duration
	refused  map[string]int
	// admissible counts the statements that one bucket for the keepers would admit, wrong those of them that were refused.
	admissible     map[string]int
	wronglyRefused map[string]int
}

// member is one keeper with its own view of time and of the store.
type member struct {
	*entry.LimitManager
	rates *entry.HomeRateLimit
	timer *pausableTimer
	line  *memory.Line
	stop  context.CancelFunc
	done  chan struct{}
}

const (
	// testRTT is the round trip to the store.
	testRTT = 3 * time.Millisecond
	// testStep is the step of the fake's time, after which every goroutine settles.
	testStep = 4 * time.Millisecond
)

func newLimitCluster(t testing.TB, n int, doc document.Document, policy allotment.Policy) *limitCluster {
	return newLimitClusterWithClock(t, &clock.Fake{}, n, doc, policy)
}

// newLimitClusterWithClock starts keepers in the time of a clock that is shared with other fakes.
func newLimitClusterWithClock(t testing.TB, timer *clock.Fake, n int, doc document.Document, policy allotment.Policy) *limitCluster {
	f := &limitCluster{
		t: t, clock: timer, doc: doc, policy: policy,
		admitted: map[string][]time.Duration{}, refused: map[string]int{},
		admissible: map[string]int{}, wronglyRefused: map[string]int{},
	}
	f.store = memory.NewStore(f.clock)
	f.store.Change(func(s memory.Faults) memory.Faults { return s.WithLatency(testRTT/2, testRTT/2) })
	for range n {
		f.addMember()
	}
	return f
}

// addMember starts one more keeper.
func (f *limitCluster) addMember() *member {
	timer := &pausableTimer{Fake: f.clock}
	m := &member{timer: timer, line: f.store.Line(timer), done: make(chan struct{})}
	holder := fmt.Sprintf("instance-%02d", len(f.members))
	m.LimitManager = entry.NewLimitManager(entry.LimitManagerConfig{Store: m.line, Timer: timer, Holder: holder, Policy: f.policy})
	m.rates = entry.NewHomeRateLimit(entry.HomeRateLimitConfig{
		Self:    f.instanceAt(len(f.members)),
		Manager: m.LimitManager, Client: f, Timer: timer, Instances: f.homeInstances,
		Next: entry.NewCoordinatedRateLimit(entry.CoordinatedRateLimitConfig{
			Self: f.instanceAt(len(f.members)), Manager: m.LimitManager, Client: f, Timer: timer, Instances: f.coordinatorInstances,
		}),
	})
	m.SetDocument(f.doc)
	ctx, stop := context.WithCancel(f.t.Context())
	m.stop = stop
	f.members = append(f.members, m)
	go m.run(ctx)
	return m
}

// setStoreDown begins or ends an outage of the store for every keeper.
func (f *limitCluster) setStoreDown(isDown bool) {
	f.store.Change(func(s memory.Faults) memory.Faults { return s.WithDown(isDown) })
}

// ledger returns a ledger as the store holds it.
func (f *limitCluster) ledger(t testing.TB, name string) allotment.Ledger {
	t.Helper()
	l, err := entry.ParseLedger(f.store.Object("ledger/" + name).Data)
	require.NoError(t, err)
	return l
}

// memberIndex returns the index of the keeper of a holder.
func (f *limitCluster) memberIndex(t testing.TB, holder string) int {
	t.Helper()
	var index int
	_, err := fmt.Sscanf(holder, "instance-%d", &index)
	require.NoError(t, err)
	return index
}

// homeInstances is the list of instances. It is empty unless the test uses homes, so that every keeper takes for itself.
func (f *limitCluster) homeInstances() instance.List {
	if !f.useHomes {
		return instance.List{}
	}
	return f.instances()
}

// coordinatorInstances is the list for stewards. It is empty unless the test uses them.
func (f *limitCluster) coordinatorInstances() instance.List {
	if !f.useCoordinators {
		return instance.List{}
	}
	return f.instances()
}

func (f *limitCluster) instances() instance.List {
	var all []instance.Instance
	for i := range f.members {
		all = append(all, f.instanceAt(i))
	}
	return instance.NewList(all...)
}

// instanceAt is the i-th keeper's instance. The instances are spread over the data centres in turn.
func (f *limitCluster) instanceAt(i int) instance.Instance {
	name := fmt.Sprintf("instance-%02d", i)
	dataCentre := fmt.Sprintf("dc%d", i%max(f.dataCentres, 1))
	return instance.Instance{Incarnation: name, Address: name, DataCentre: dataCentre, State: instance.Live}
}

// TakeBatch takes a batch at another keeper after half a round trip. The answer may be lost.
func (f *limitCluster) TakeBatch(ctx context.Context, address string, ask entry.BatchRequest) (allotment.Statements, error) {
	i := f.memberIndex(f.t, address)
	if !f.reach(ctx, i) {
		return 0, port.Errorf(port.Unavailable, "instance %s does not answer", address)
	}
	n, err := f.members[i].IssueBatch(ctx, ask)
	if f.loseBatchAnswer != nil && f.loseBatchAnswer() {
		<-ctx.Done()
		return 0, port.Errorf(port.Unavailable, "answer of instance %s is lost", address)
	}
	if port.KindOf(err) == port.ShareUnavailable {
		return 0, port.Wrapf(err, port.Unavailable, "instance %s has no share", address)
	}
	return n, err
}

// reach reports whether a call arrives at a keeper, after half a round trip.
func (f *limitCluster) reach(ctx context.Context, i int) bool {
	if f.unresponsive[i] {
		<-ctx.Done()
		return false
	}
	arrived := make(chan struct{})
	f.clock.After(testRTT/2, func(time.Duration) { close(arrived) })
	<-arrived
	return true
}

// TakeAt takes a statement at another keeper after half a round trip. A keeper that is cut off does not answer.
func (f *limitCluster) TakeAt(ctx context.Context, address, limit string) error {
	i := f.memberIndex(f.t, address)
	if !f.reach(ctx, i) {
		return port.Errorf(port.Unavailable, "instance %s does not answer", address)
	}
	return f.members[i].Take(ctx, limit)
}

func (m *member) run(ctx context.Context) {
	m.Run(ctx)
	close(m.done)
}

// advance moves time in small steps and lets every goroutine settle after each.
func (f *limitCluster) advance(d time.Duration) {
	for ; d > 0; d -= testStep {
		f.clock.Advance(min(testStep, d))
		synctest.Wait()
	}
}

// send sends one statement by a keeper without waiting for the outcome.
func (f *limitCluster) send(m *member, limit string) { f.sendCounted(m, limit, false) }

// sendCounted also counts whether the statement was inside the limit.
func (f *limitCluster) sendCounted(m *member, limit string, inside bool) {
	if inside {
		f.mu.Lock()
		f.admissible[limit]++
		f.mu.Unlock()
	}
	go f.takeAndCount(m, limit, inside)
}

func (f *limitCluster) takeAndCount(m *member, limit string, inside bool) {
	err := m.rates.Take(context.Background(), limit)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		f.admitted[limit] = append(f.admitted[limit], f.clock.Now())
		return
	}
	f.refused[limit]++
	if inside {
		f.wronglyRefused[limit]++
	}
}

// load sends statements evenly at a rate from each of the members for a time.
func (f *limitCluster) load(d time.Duration, limit string, rate float64, members ...*member) {
	due := 0.0
	next := 0
	for ; d > 0; d -= testStep {
		for due += rate * testStep.Seconds(); due >= 1; due-- {
			f.send(members[next%len(members)], limit)
			next++
		}
		f.advance(testStep)
	}
}

// stopAll stops the keepers, so that no goroutine is left.
func (f *limitCluster) stopAll() {
	f.setStoreDown(true)
	for _, m := range f.members {
		m.timer.resume()
		m.stop()
	}
	f.advance(10 * time.Second)
	for _, m := range f.members {
		<-m.done
	}
}

// overshoot returns the greatest number of statements above burst + rate × t in any interval of length t.
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

// requireNoOvershoot allows for the rounding of the reference to floating point.
func requireNoOvershoot(t testing.TB, f *limitCluster, limit string, rate, burst float64) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	require.NotEmpty(t, f.admitted[limit])
	require.LessOrEqual(t, overshoot(f.admitted[limit], rate, burst), 1e-6, "statements above burst + rate × t")
}

// admittedSince counts the statements that were admitted from an instant on.
func (f *limitCluster) admittedSince(limit string, since time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, at := range f.admitted[limit] {
		if at >= since {
			n++
		}
	}
	return n
}

// pausableTimer is a holder's clock. While it is paused no timer is delivered.
type pausableTimer struct {
	*clock.Fake
	mu     sync.Mutex
	paused bool
	held   []func()
	// blockNow, when set, blocks the next Now after it has read the instant.
	blockNow chan struct{}
}

// Now returns the instant, which is old when the holder was paused meanwhile.
func (p *pausableTimer) Now() time.Duration {
	now := p.Fake.Now()
	p.mu.Lock()
	trap := p.blockNow
	p.blockNow = nil
	p.mu.Unlock()
	if trap != nil {
		<-trap
	}
	return now
}

// Every delivers unless paused.
func (p *pausableTimer) Every(period time.Duration, deliver func(time.Duration)) func() {
	return p.Fake.Every(period, func(now time.Duration) { p.deliver(func() { deliver(now) }) })
}

// After delivers when it is due, or on resume.
func (p *pausableTimer) After(d time.Duration, deliver func(time.Duration)) func() {
	return p.Fake.After(d, func(now time.Duration) { p.deliver(func() { deliver(now) }) })
}

func (p *pausableTimer) deliver(call func()) {
	p.mu.Lock()
	if p.paused {
		p.held = append(p.held, call)
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
	held := p.held
	p.held, p.paused = nil, false
	p.mu.Unlock()
	for _, call := range held {
		call()
	}
}
