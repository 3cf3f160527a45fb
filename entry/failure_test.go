package entry_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/standin/memory"
)

// groupFixture has a fake group, instances that are its watchers, and one instance that serves clients.
type groupFixture struct {
	*fakeCluster
	ctx       context.Context
	store     *memory.Store
	storeConn *memory.Conn
	list      []instance.Instance
	watchers  []*watcher
	monitor   *entry.Monitor
	selector  *entry.GroupServerSelector
	results   *writeResults
}

// watcher is an instance that is a watcher of the group.
type watcher struct {
	name     string
	monitor  *entry.Monitor
	promoter *entry.Promoter
	stop     context.CancelFunc
}

func newGroupFixture(ctx context.Context, cl *fakeCluster, watchers int) *groupFixture {
	f := &groupFixture{fakeCluster: cl, ctx: ctx, store: memory.NewStore(cl.timer)}
	f.storeConn = f.store.Connect(cl.timer)
	// The latency is entirely before the update, so that an update takes effect at the same time as its answer.
	f.storeConn.UpdateFaults(func(s memory.Faults) memory.Faults { return s.WithLatency(2*fakeLatency, 0) })
	for i := range watchers {
		f.list = append(f.list, instance.Instance{
			Incarnation: fmt.Sprintf("watcher-%d-%d", cl.rng.Uint64(), i), Address: fmt.Sprintf("10.0.0.%d:6433", i),
			DataCentre: fmt.Sprintf("dc%d", i), State: instance.Live,
		})
	}
	for _, i := range instance.NewList(f.list...).Watchers(testGroup) {
		f.watchers = append(f.watchers, f.startWatcher(i.Incarnation))
	}
	for _, each := range f.watchers {
		require.NoError(cl.t, each.promoter.SetInstances(ctx, f.list...))
	}
	f.monitor = startMonitor(ctx, cl, "entry", false)
	f.selector = startSelector(cl, f.monitor)
	f.results = &writeResults{acknowledged: map[int]bool{}, discarded: map[int]bool{}, leaseOnly: map[int]bool{}}
	cl.onElected = append(cl.onElected, f.checkNewPrimary)
	return f
}

func (f *groupFixture) startWatcher(name string) *watcher {
	ctx, stop := context.WithCancel(f.ctx)
	m := startMonitor(ctx, f.fakeCluster, name, false)
	p := entry.NewPromoter(entry.PromoterConfig{
		Incarnation: name, Timer: f.timer, Store: f.storeConn, Monitor: m, Connect: f.connect(name),
	})
	go p.Run(ctx)
	return &watcher{name: name, monitor: m, promoter: p, stop: stop}
}

// writeResults records the results that clients received.
type writeResults struct {
	next         int
	acknowledged map[int]bool
	discarded    map[int]bool
	unknown      int
	refused      int
	// leaseOnly contains whether each write would have been acknowledged by a primary lease alone.
	leaseOnly map[int]bool
	// waits contains the time from commit to acknowledgment of each write. last is the time of the last acknowledgment.
	waits []time.Duration
	last  time.Duration
}

// checkNewPrimary fails the test if a new primary lacks an acknowledged write. The caller must hold the lock.
func (f *groupFixture) checkNewPrimary(term group.Term, s *fakeServer) {
	held := s.heldWrites()
	for id := range f.results.acknowledged {
		if !held[id] {
			f.t.Errorf("primary %s of term %d lacks the acknowledged write %d", s.name, term, id)
		}
	}
}

// startClients starts n clients that each write sequentially until stop is called.
func (f *groupFixture) startClients(n int) (stop func()) {
	ctx, cancel := context.WithCancel(f.ctx)
	for range n {
		go f.runClient(ctx)
	}
	return func() { cancel(); synctest.Wait() }
}

func (f *groupFixture) runClient(ctx context.Context) {
	for ctx.Err() == nil {
		f.pauseFor(ctx, 20*time.Millisecond)
		target, err := f.selector.SelectServer(ctx, writer())
		if err != nil {
			f.withLock(func() { f.results.refused++ })
			continue
		}
		id, p, ok := f.commit(ctx, target.Server)
		if !ok {
			continue
		}
		startedAt := f.timer.Now()
		lease := f.hasPrimaryLease(target.Server)
		f.record(ctx, id, startedAt, lease, f.selector.AwaitDurable(ctx, testGroup, p))
	}
}

// hasPrimaryLease reports whether the server has answered as primary within PrimaryFailureTimeout. This is the baseline for
// the cost of acknowledgments by a majority.
func (f *groupFixture) hasPrimaryLease(server string) bool {
	o, ok := f.monitor.View().Observation(server)
	return ok && o.Status.Role == group.Primary && f.timer.Now()-o.RequestedAt < group.PrimaryFailureTimeout
}

func (f *groupFixture) record(ctx context.Context, id int, startedAt time.Duration, lease bool, err error) {
	if ctx.Err() != nil {
		return
	}
	f.withLock(func() {
		f.results.leaseOnly[id] = lease
		switch {
		case err == nil:
			f.results.acknowledged[id] = true
			f.results.last = f.timer.Now()
			f.results.waits = append(f.results.waits, f.results.last-startedAt)
		case port.KindOf(err) == port.NotKept:
			f.results.discarded[id] = true
		default:
			f.results.unknown++
		}
	})
}

// commit sends a write over the network. It reports false if there is no answer within a second.
func (f *groupFixture) commit(ctx context.Context, server string) (int, group.Position, bool) {
	ctx, cancel := port.WithTimeout(ctx, f.timer, time.Second)
	defer cancel()
	var id int
	var p group.Position
	f.withLock(func() { f.results.next++; id = f.results.next })
	c := fakeServerConn{cluster: f.fakeCluster, from: "entry", to: server}
	_, err := c.call(ctx, func(s *fakeServer, answer func(error)) {
		var ok bool
		if p, ok = s.write(id); ok {
			f.sendLog(s)
		}
		answer(conflictUnless(ok))
	})
	return id, p, err == nil
}

func (f *groupFixture) pauseFor(ctx context.Context, d time.Duration) {
	ctx, cancel := port.WithTimeout(ctx, f.timer, d)
	defer cancel()
	<-ctx.Done()
}

func (f *groupFixture) monitors() []*entry.Monitor {
	var monitors []*entry.Monitor
	for _, each := range f.watchers {
		monitors = append(monitors, each.monitor)
	}
	return monitors
}

// acknowledgedCount returns the number of acknowledged writes.
func (f *groupFixture) acknowledgedCount() int {
	n := 0
	f.withLock(func() { n = len(f.results.acknowledged) })
	return n
}

// requireServing requires that writes are acknowledged within limit.
func (f *groupFixture) requireServing(limit time.Duration) {
	f.t.Helper()
	before := f.acknowledgedCount()
	f.runUntil(limit, "an acknowledged write", func() bool { return f.acknowledgedCount() > before+5 })
}

// requireDurable requires that the log of the last primary contains all acknowledged writes and no write that was reported
// as discarded.
func (f *groupFixture) requireDurable() {
	f.t.Helper()
	f.withLock(func() {
		var last group.Term
		for term := range f.primaries {
			last = max(last, term)
		}
		s := f.servers[f.primaries[last]]
		held := s.heldWrites()
		for id := range f.results.acknowledged {
			require.True(f.t, held[id], "acknowledged write %d is not in the log of %s", id, s.name)
		}
		for id := range f.results.discarded {
			require.False(f.t, held[id], "write %d was reported as discarded and is in the log of %s", id, s.name)
		}
	})
}

func (f *groupFixture) lastTerm() group.Term {
	var last group.Term
	f.withLock(func() {
		for term := range f.primaries {
			last = max(last, term)
		}
	})
	return last
}

// faultCase is a fault to test. inject introduces it, and remove, which may be nil, ends it.
type faultCase struct {
	name   string
	inject func(f *groupFixture)
	remove func(f *groupFixture)
	// needsPromotion is true if the fault requires a new primary.
	needsPromotion bool
}

func onFirstFence(f *groupFixture, callback func(from string, s *fakeServer)) {
	f.withLock(func() {
		f.onFence = func(from string, _ group.Term, s *fakeServer) {
			f.onFence = nil
			callback(from, s)
		}
	})
}

func faultCases() []faultCase {
	kill := func(f *groupFixture) { f.kill("s0") }
	return []faultCase{
		{name: "primary killed", inject: kill, needsPromotion: true},
		{
			name: "primary killed and back", inject: kill, needsPromotion: true,
			remove: func(f *groupFixture) { f.restart("s0", false) },
		},
		{
			name: "primary frozen and thawed", needsPromotion: true,
			inject: func(f *groupFixture) { f.freeze("s0") },
			remove: func(f *groupFixture) { f.thaw("s0") },
		},
		{
			name: "primary cut from replicas but not from callers", needsPromotion: true,
			inject: func(f *groupFixture) { f.cut("s0", "s1", true); f.cut("s0", "s2", true) },
			remove: func(f *groupFixture) { f.heal() },
		},
		{
			name:   "primary cut from a watcher only",
			inject: func(f *groupFixture) { f.cut(f.watchers[0].name, "s0", true) },
			remove: func(f *groupFixture) { f.heal() },
		},
		{
			name: "watcher cut from everything",
			inject: func(f *groupFixture) {
				for _, name := range f.names {
					f.cut(f.watchers[0].name, name, true)
				}
			},
			remove: func(f *groupFixture) { f.heal() },
		},
		{
			name: "promoter paused midway", needsPromotion: true,
			inject: func(f *groupFixture) {
				onFirstFence(f, func(from string, _ *fakeServer) { f.pause(from) })
				f.kill("s0")
			},
			remove: func(f *groupFixture) {
				for _, each := range f.watchers {
					f.resume(each.name)
				}
			},
		},
		{
			name: "promoter dies after it fenced one server", needsPromotion: true,
			inject: func(f *groupFixture) {
				onFirstFence(f, func(from string, s *fakeServer) {
					for _, name := range f.names {
						f.blocked[[2]string{from, name}] = name != s.name
					}
					f.pause(from)
				})
				f.kill("s0")
			},
		},
		{
			name: "promoter dies before the others follow", needsPromotion: true,
			inject: func(f *groupFixture) {
				f.onElected = append(f.onElected, func(group.Term, *fakeServer) { f.pause(f.watchers[0].name) })
				f.kill("s0")
			},
		},
		{
			name: "two promoters at once", needsPromotion: true,
			inject: func(f *groupFixture) {
				for _, each := range f.watchers {
					only := instance.Instance{Incarnation: each.name, Address: "10.0.0.1:6433", DataCentre: "dc0", State: instance.Live}
					require.NoError(f.t, each.promoter.SetInstances(f.ctx, only))
				}
				f.kill("s0")
			},
		},
		{
			name: "store down", needsPromotion: true,
			inject: func(f *groupFixture) { f.setStoreSilent(true); f.kill("s0") },
			remove: func(f *groupFixture) { f.setStoreSilent(false) },
		},
		{
			name: "store's answers lost", needsPromotion: true,
			inject: func(f *groupFixture) { f.loseStoreAnswers(memory.AlternateResponses{}); f.kill("s0") },
		},
		{
			name: "lagging replica", needsPromotion: true,
			inject: func(f *groupFixture) {
				f.withLock(func() { f.lag["s1"] = 2 * time.Second })
				f.run(3 * time.Second)
				f.kill("s0")
			},
			remove: func(f *groupFixture) { f.withLock(func() { f.lag["s1"] = 0 }) },
		},
		{
			name: "replica restarts empty", inject: func(f *groupFixture) { f.kill("s1") },
			remove: func(f *groupFixture) { f.restart("s1", true) },
		},
		{
			name: "primary fenced and left", needsPromotion: true,
			inject: func(f *groupFixture) { f.withLock(func() { f.servers["s0"].fence(7, "gone") }) },
		},
		{
			name: "primary departs", needsPromotion: true,
			inject: func(f *groupFixture) {
				members := f.members()
				members[0].Draining = true
				for _, m := range append([]*entry.Monitor{f.monitor}, f.monitors()...) {
					require.NoError(f.t, m.SetMembers(f.ctx, members...))
				}
			},
		},
		{
			name: "replica fenced and left", needsPromotion: true,
			inject: func(f *groupFixture) { f.withLock(func() { f.servers["s2"].fence(7, "gone") }) },
		},
	}
}

const seedsPerFault = 2

// Guards against a group that does not recover from a fault, a later primary that lacks an acknowledged write, an
// acknowledgment of a discarded write, two primaries in one term, and an unnecessary promotion.
func TestFailures(t *testing.T) {
	t.Parallel()
	for _, failure := range faultCases() {
		for seed := range uint64(seedsPerFault) {
			t.Run(fmt.Sprintf("%s/seed %d", failure.name, seed), func(t *testing.T) {
				t.Parallel()
				inFakeCluster(t, seed, 3, func(ctx context.Context, cl *fakeCluster) {
					testFaultCase(newGroupFixture(ctx, cl, 3), failure)
				})
			})
		}
	}
}

func testFaultCase(f *groupFixture, fault faultCase) {
	stop := f.startClients(2)
	f.run(2*time.Second + time.Duration(f.rng.Int64N(int64(time.Second))))
	f.requireServing(time.Second)
	fault.inject(f)
	f.run(10 * time.Second)
	f.requireServing(5 * time.Second)
	if fault.remove != nil {
		fault.remove(f)
	}
	f.run(5 * time.Second)
	f.requireServing(time.Second)
	stop()
	f.requireDurable()
	require.Equal(f.t, fault.needsPromotion, f.lastTerm() > 1, "last term %d", f.lastTerm())
	f.requireAnnounced()
	f.requireReplicated()
}

// requireReplicated requires that the log of every running server equals that of the last primary.
func (f *groupFixture) requireReplicated() {
	f.t.Helper()
	f.run(time.Second)
	last := f.lastTerm()
	for name, s := range f.servers {
		if !s.dead {
			require.Equal(f.t, f.servers[f.primaries[last]].history(), s.history(), "log of %s", name)
		}
	}
}
