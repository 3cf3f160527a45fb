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

// keepers is a store and many keepers in one process, in the time of one fake clock.
type keepers struct {
	t       testing.TB
	clock   *clock.Fake
	store   *memory.Store
	doc     document.Document
	policy  allotment.Policy
	members []*member
	// useHomes has small limits taken at their homes; silent homes do not answer.
	useHomes bool
	silent   map[int]bool
	// useStewards has other limits taken from stewards, one for each of the data centres. loseBatches says whether the
	// next answer of one is lost.
	useStewards bool
	dataCentres int
	loseBatches func() bool

	mu       sync.Mutex
	admitted map[string][]time.Duration
	refused  map[string]int
	// inside counts the statements that one bucket for the keepers would admit, wrong those of them that were refused.
	inside map[string]int
	wrong  map[string]int
}

// member is one keeper with its own view of time and of the store.
type member struct {
	*entry.LimitManager
	homes *entry.HomeRateLimit
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

func newKeepers(t testing.TB, n int, doc document.Document, policy allotment.Policy) *keepers {
	return newKeepersAt(t, &clock.Fake{}, n, doc, policy)
}

// newKeepersAt starts keepers in the time of a clock that is shared with other fakes.
func newKeepersAt(t testing.TB, timer *clock.Fake, n int, doc document.Document, policy allotment.Policy) *keepers {
	f := &keepers{
		t: t, clock: timer, doc: doc, policy: policy,
		admitted: map[string][]time.Duration{}, refused: map[string]int{},
		inside: map[string]int{}, wrong: map[string]int{},
	}
	f.store = memory.NewStore(f.clock)
	f.store.Change(func(s memory.Faults) memory.Faults { return s.WithLatency(testRTT/2, testRTT/2) })
	for range n {
		f.join()
	}
	return f
}

// join starts one more keeper.
func (f *keepers) join() *member {
	timer := &pausableTimer{Fake: f.clock}
	m := &member{timer: timer, line: f.store.Line(timer), done: make(chan struct{})}
	holder := fmt.Sprintf("instance-%02d", len(f.members))
	m.LimitManager = entry.NewLimitManager(entry.LimitManagerConfig{Store: m.line, Timer: timer, Holder: holder, Policy: f.policy})
	m.homes = entry.NewHomeRateLimit(entry.HomeRateLimitConfig{
		Self:    f.instance(len(f.members)),
		Manager: m.LimitManager, Client: f, Timer: timer, Instances: f.listed,
		Next: entry.NewCoordinatedRateLimit(entry.CoordinatedRateLimitConfig{
			Self: f.instance(len(f.members)), Manager: m.LimitManager, Client: f, Timer: timer, Instances: f.served,
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
func (f *keepers) setStoreDown(isDown bool) {
	f.store.Change(func(s memory.Faults) memory.Faults { return s.WithDown(isDown) })
}

// ledger returns a ledger as the store holds it.
func (f *keepers) ledger(t testing.TB, name string) allotment.Ledger {
	t.Helper()
	l, err := entry.ParseLedger(f.store.Object("ledger/" + name).Data)
	require.NoError(t, err)
	return l
}

// index returns the index of the keeper of a holder.
func (f *keepers) index(t testing.TB, holder string) int {
	t.Helper()
	var index int
	_, err := fmt.Sscanf(holder, "instance-%d", &index)
	require.NoError(t, err)
	return index
}

// listed is the list of instances. It is empty unless the test uses homes, so that every keeper takes for itself.
func (f *keepers) listed() instance.List {
	if !f.useHomes {
		return instance.List{}
	}
	return f.all()
}

// served is the list for stewards. It is empty unless the test uses them.
func (f *keepers) served() instance.List {
	if !f.useStewards {
		return instance.List{}
	}
	return f.all()
}

func (f *keepers) all() instance.List {
	var all []instance.Instance
	for i := range f.members {
		all = append(all, f.instance(i))
	}
	return instance.NewList(all...)
}

// instance is the i-th keeper's instance. The instances are spread over the data centres in turn.
func (f *keepers) instance(i int) instance.Instance {
	name := fmt.Sprintf("instance-%02d", i)
	dataCentre := fmt.Sprintf("dc%d", i%max(f.dataCentres, 1))
	return instance.Instance{Incarnation: name, Address: name, DataCentre: dataCentre, State: instance.Live}
}

// TakeBatch takes a batch at another keeper after half a round trip. The answer may be lost.
func (f *keepers) TakeBatch(ctx context.Context, address string, ask entry.BatchRequest) (allotment.Statements, error) {
	i := f.index(f.t, address)
	if !f.travelTo(ctx, i) {
		return 0, port.Errorf(port.Unavailable, "instance %s does not answer", address)
	}
	n, err := f.members[i].IssueBatch(ctx, ask)
	if f.loseBatches != nil && f.loseBatches() {
		<-ctx.Done()
		return 0, port.Errorf(port.Unavailable, "answer of instance %s is lost", address)
	}
	if port.KindOf(err) == port.ShareUnavailable {
		return 0, port.Wrapf(err, port.Unavailable, "instance %s has no share", address)
	}
	return n, err
}

// travelTo reports whether a call arrives at a keeper, after half a round trip.
func (f *keepers) travelTo(ctx context.Context, i int) bool {
	if f.silent[i] {
		<-ctx.Done()
		return false
	}
	arrived := make(chan struct{})
	f.clock.After(testRTT/2, func(time.Duration) { close(arrived) })
	<-arrived
	return true
}

// TakeAt takes a statement at another keeper after half a round trip. A keeper that is cut off does not answer.
func (f *keepers) TakeAt(ctx context.Context, address, limit string) error {
	i := f.index(f.t, address)
	if !f.travelTo(ctx, i) {
		return port.Errorf(port.Unavailable, "instance %s does not answer", address)
	}
	return f.members[i].Take(ctx, limit)
}

func (m *member) run(ctx context.Context) {
	m.Run(ctx)
	close(m.done)
}

// advance moves time in small steps and lets every goroutine settle after each.
func (f *keepers) advance(d time.Duration) {
	for ; d > 0; d -= testStep {
		f.clock.Advance(min(testStep, d))
		synctest.Wait()
	}
}

// send sends one statement by a keeper without waiting for the outcome.
func (f *keepers) send(m *member, limit string) { f.sendInside(m, limit, false) }

// sendInside also counts whether the statement was inside the limit.
func (f *keepers) sendInside(m *member, limit string, inside bool) {
	if inside {
		f.mu.Lock()
		f.inside[limit]++
		f.mu.Unlock()
	}
	go f.record(m, limit, inside)
}

func (f *keepers) record(m *member, limit string, inside bool) {
	err := m.homes.Take(context.Background(), limit)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		f.admitted[limit] = append(f.admitted[limit], f.clock.Now())
		return
	}
	f.refused[limit]++
	if inside {
		f.wrong[limit]++
	}
}

// load sends statements evenly at a rate from each of the members for a time.
func (f *keepers) load(d time.Duration, limit string, rate float64, members ...*member) {
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

// finish stops the keepers, so that no goroutine is left.
func (f *keepers) finish() {
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
func requireNoOvershoot(t testing.TB, f *keepers, limit string, rate, burst float64) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	require.NotEmpty(t, f.admitted[limit])
	require.LessOrEqual(t, overshoot(f.admitted[limit], rate, burst), 1e-6, "statements above burst + rate × t")
}

// admittedSince counts the statements that were admitted from an instant on.
func (f *keepers) admittedSince(limit string, since time.Duration) int {
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
	// trap, when set, blocks the next Now after it has read the instant.
	trap chan struct{}
}

// Now returns the instant, which is old when the holder was paused meanwhile.
func (p *pausableTimer) Now() time.Duration {
	now := p.Fake.Now()
	p.mu.Lock()
	trap := p.trap
	p.trap = nil
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
