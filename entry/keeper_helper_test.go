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
)

// keepers is a store and many keepers in one process, in the time of one fake clock.
type keepers struct {
	t       testing.TB
	clock   *clock.Fake
	store   *ledgerStore
	doc     document.Document
	policy  allotment.Policy
	keepers []*member
	// useHomes has small limits taken at their homes; silent homes do not answer.
	useHomes bool
	silent   map[int]bool

	mu       sync.Mutex
	admitted map[string][]time.Duration
	refused  map[string]int
	// inside counts the statements that one bucket for the keepers would admit, wrong those of them that were refused.
	inside map[string]int
	wrong  map[string]int
}

// member is one keeper with its own view of time and of the store.
type member struct {
	*entry.Keeper
	homes *entry.Homes
	timer *pausableTimer
	line  *line
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
	f.store = &ledgerStore{clock: f.clock, objects: map[string]port.Object{}, changed: map[string]chan struct{}{}}
	for range n {
		f.join()
	}
	return f
}

// join starts one more keeper.
func (f *keepers) join() *member {
	timer := &pausableTimer{Fake: f.clock}
	m := &member{timer: timer, line: &line{ledgerStore: f.store, timer: timer}, done: make(chan struct{})}
	holder := fmt.Sprintf("instance-%02d", len(f.keepers))
	m.Keeper = entry.NewKeeper(entry.KeeperConfig{Store: m.line, Timer: timer, Holder: holder, Policy: f.policy})
	m.homes = entry.NewHomes(entry.HomesConfig{
		Self:   instance.Instance{Incarnation: holder, Address: holder, DataCentre: "dc1", State: instance.Live},
		Keeper: m.Keeper, Client: f, Timer: timer, List: f.listed,
	})
	m.SetDocument(f.doc)
	ctx, stop := context.WithCancel(f.t.Context())
	m.stop = stop
	f.keepers = append(f.keepers, m)
	go m.run(ctx)
	return m
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
	var all []instance.Instance
	for i := range f.keepers {
		name := fmt.Sprintf("instance-%02d", i)
		all = append(all, instance.Instance{Incarnation: name, Address: name, DataCentre: "dc1", State: instance.Live})
	}
	return instance.NewList(all...)
}

// TakeAt takes a statement at another keeper after half a round trip. A keeper that is cut off does not answer.
func (f *keepers) TakeAt(ctx context.Context, address, limit string) error {
	var index int
	if _, err := fmt.Sscanf(address, "instance-%d", &index); err != nil || f.silent[index] {
		<-ctx.Done()
		return port.Failf(port.Unavailable, "instance %s does not answer", address)
	}
	arrived := make(chan struct{})
	f.clock.After(testRTT/2, func(time.Duration) { close(arrived) })
	<-arrived
	return f.keepers[index].Take(ctx, limit)
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
	f.store.setDown(true)
	for _, m := range f.keepers {
		m.timer.resume()
		m.stop()
	}
	f.advance(10 * time.Second)
	for _, m := range f.keepers {
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

// ledgerStore is a store with versions, conflicts, watches, outages and answers that are lost.
type ledgerStore struct {
	clock *clock.Fake

	mu      sync.Mutex
	objects map[string]port.Object
	changed map[string]chan struct{}
	down    bool
	// slow is added to the round trip.
	slow                   time.Duration
	reads, writes, watches int
	conflicts              int
}

func (s *ledgerStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *ledgerStore) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *ledgerStore) ledger(t testing.TB, name string) allotment.Ledger {
	t.Helper()
	s.mu.Lock()
	object := s.objects["ledger/"+name]
	s.mu.Unlock()
	l, err := entry.ParseLedger(object.Data)
	require.NoError(t, err)
	return l
}

func (s *ledgerStore) get(name string) (port.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	object, ok := s.objects[name]
	if !ok {
		return port.Object{}, port.Failf(port.NotFound, "object %q does not exist", name)
	}
	return object, nil
}

func (s *ledgerStore) put(name string, data []byte, expected port.Version) (port.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	object := s.objects[name]
	if object.Version != expected {
		s.conflicts++
		return 0, port.Failf(port.Conflict, "object %q has version %d", name, object.Version)
	}
	s.objects[name] = port.Object{Name: name, Version: expected + 1, Data: data}
	if ch, ok := s.changed[name]; ok {
		close(ch)
		delete(s.changed, name)
	}
	return expected + 1, nil
}

// line is one keeper's connection to the store.
type line struct {
	*ledgerStore
	timer *pausableTimer

	faults sync.Mutex
	cut    bool
	// loseAnswers loses the answers of updates that take effect; lateBy delays updates after their caller gave up.
	loseAnswers bool
	lateBy      time.Duration
}

func (l *line) set(change func(l *line)) {
	l.faults.Lock()
	defer l.faults.Unlock()
	change(l)
}

// Get reads an object after half a round trip.
func (l *line) Get(ctx context.Context, name string) (port.Object, error) {
	if err := l.travel(ctx); err != nil {
		return port.Object{}, err
	}
	object, err := l.get(name)
	if lost := l.travel(ctx); lost != nil {
		return port.Object{}, lost
	}
	return object, err
}

// Put writes an object after half a round trip.
func (l *line) Put(ctx context.Context, name string, data []byte, expected port.Version) (port.Version, error) {
	if err := l.travel(ctx); err != nil {
		return 0, err
	}
	l.faults.Lock()
	lose, late := l.loseAnswers, l.lateBy
	l.faults.Unlock()
	if late > 0 {
		l.clock.After(late, func(time.Duration) { _, _ = l.put(name, data, expected) })
		return 0, port.Failf(port.Unavailable, "answer is lost")
	}
	version, err := l.put(name, data, expected)
	if lose {
		return 0, port.Failf(port.Unavailable, "answer is lost")
	}
	if lost := l.travel(ctx); lost != nil {
		return 0, lost
	}
	return version, err
}

// Watch waits for a version other than seen.
func (l *line) Watch(ctx context.Context, name string, seen port.Version, wait time.Duration) (port.Object, bool, error) {
	if err := l.travel(ctx); err != nil {
		return port.Object{}, false, err
	}
	ch := make(chan struct{})
	l.mu.Lock()
	l.watches++
	object := l.objects[name]
	if object.Version == seen {
		if have, ok := l.changed[name]; ok {
			ch = have
		}
		l.changed[name] = ch
	} else {
		close(ch)
	}
	l.mu.Unlock()
	ended := make(chan struct{})
	stop := l.clock.After(wait, func(time.Duration) { close(ended) })
	defer stop()
	select {
	case <-ch:
	case <-ended:
	case <-ctx.Done():
		return port.Object{}, false, port.Failf(port.Unavailable, "caller left")
	}
	if err := l.travel(ctx); err != nil {
		return port.Object{}, false, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	object = l.objects[name]
	return object, object.Version != seen, nil
}

// Delete is not used by the ledgers.
func (l *line) Delete(context.Context, string, port.Version) error {
	return port.Failf(port.Internal, "not used")
}

// List is not used by the ledgers.
func (l *line) List(context.Context, string) ([]port.Object, error) {
	return nil, port.Failf(port.Internal, "not used")
}

// Instances is not used by the ledgers.
func (l *line) Instances(context.Context) ([]instance.Instance, error) {
	return nil, port.Failf(port.Internal, "not used")
}

// travel takes half a round trip, and does not arrive while the store is down or the line is cut.
func (l *line) travel(ctx context.Context) error {
	l.mu.Lock()
	slow := l.slow
	l.mu.Unlock()
	arrived := make(chan struct{})
	stop := l.timer.After((testRTT+slow)/2, func(time.Duration) { close(arrived) })
	defer stop()
	select {
	case <-arrived:
	case <-ctx.Done():
		return port.Failf(port.Unavailable, "no answer")
	}
	l.faults.Lock()
	defer l.faults.Unlock()
	if l.cut || l.isDown() {
		return port.Failf(port.Unavailable, "store does not answer")
	}
	return nil
}
