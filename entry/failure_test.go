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

// groupFixture is three watchers and one instance that serves callers over a fake group.
type groupFixture struct {
	*fakeCluster
	ctx       context.Context
	store     *memory.Store
	storeConn *memory.Line
	list      []instance.Instance
	watchers  []*watcher
	monitor   *entry.Monitor
	director  *entry.GroupServerSelector
	writes    *writes
}

// watcher is an instance that watches the group, in the order of the ranks.
type watcher struct {
	name     string
	monitor  *entry.Monitor
	promoter *entry.Promoter
	stop     context.CancelFunc
}

func newGroupFixture(ctx context.Context, w *fakeCluster, watchers int) *groupFixture {
	f := &groupFixture{fakeCluster: w, ctx: ctx, store: memory.NewStore(w.timer)}
	f.storeConn = f.store.Line(w.timer)
	// A request takes the whole round trip, so that every update takes effect at the instant of its answer.
	f.storeConn.Change(func(s memory.Faults) memory.Faults { return s.WithLatency(2*fakeLatency, 0) })
	for i := range watchers {
		f.list = append(f.list, instance.Instance{
			Incarnation: fmt.Sprintf("watcher-%d-%d", w.rng.Uint64(), i), Address: fmt.Sprintf("10.0.0.%d:6433", i),
			DataCentre: fmt.Sprintf("dc%d", i), State: instance.Live,
		})
	}
	for _, i := range instance.NewList(f.list...).Watchers(testGroup) {
		f.watchers = append(f.watchers, f.startWatcher(i.Incarnation))
	}
	for _, each := range f.watchers {
		require.NoError(w.t, each.promoter.SetInstances(ctx, f.list...))
	}
	f.monitor = startMonitor(ctx, w, "entry", false)
	f.director = startDirector(w, f.monitor)
	f.writes = &writes{acknowledged: map[int]bool{}, discarded: map[int]bool{}, lease: map[int]bool{}}
	w.elected = append(w.elected, f.checkElected)
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

// writes records what callers were told.
type writes struct {
	next         int
	acknowledged map[int]bool
	discarded    map[int]bool
	unknown      int
	refused      int
	// lease holds what a rule would confirm that looks only at a lease of the primary.
	lease map[int]bool
	// cost holds how long each acknowledgment took after the commit was reported, and last the instant of the latest.
	cost []time.Duration
	last time.Duration
}

// checkElected fails the test when a new primary lacks a write that was acknowledged before. The lock is held.
func (f *groupFixture) checkElected(term group.Term, s *fakeServer) {
	held := s.held()
	for id := range f.writes.acknowledged {
		if !held[id] {
			f.t.Errorf("primary %s of term %d lacks the acknowledged write %d", s.name, term, id)
		}
	}
}

// startClients starts n callers that write one after the other until the returned function is called.
func (f *groupFixture) startClients(n int) (stop func()) {
	ctx, cancel := context.WithCancel(f.ctx)
	for range n {
		go f.caller(ctx)
	}
	return func() { cancel(); synctest.Wait() }
}

func (f *groupFixture) caller(ctx context.Context) {
	for ctx.Err() == nil {
		f.pauseFor(ctx, 20*time.Millisecond)
		target, err := f.director.SelectServer(ctx, writer())
		if err != nil {
			f.withLock(func() { f.writes.refused++ })
			continue
		}
		id, p, ok := f.commit(ctx, target.Server)
		if !ok {
			continue
		}
		began := f.timer.Now()
		lease := f.leaseHolds(target.Server)
		f.record(ctx, id, began, lease, f.director.AwaitDurable(ctx, testGroup, p))
	}
}

// leaseHolds is the baseline for the cost of an acknowledgment: the primary was heard of as such within SilenceLimit.
func (f *groupFixture) leaseHolds(server string) bool {
	o, ok := f.monitor.View().Observation(server)
	return ok && o.Status.Role == group.Primary && f.timer.Now()-o.RequestedAt < group.PrimaryFailureTimeout
}

func (f *groupFixture) record(ctx context.Context, id int, began time.Duration, lease bool, err error) {
	if ctx.Err() != nil {
		return
	}
	f.withLock(func() {
		f.writes.lease[id] = lease
		switch {
		case err == nil:
			f.writes.acknowledged[id] = true
			f.writes.last = f.timer.Now()
			f.writes.cost = append(f.writes.cost, f.writes.last-began)
		case port.KindOf(err) == port.NotKept:
			f.writes.discarded[id] = true
		default:
			f.writes.unknown++
		}
	})
}

// commit sends a write over the network. It reports false when no answer came within a second.
func (f *groupFixture) commit(ctx context.Context, server string) (int, group.Position, bool) {
	ctx, cancel := port.WithTimeout(ctx, f.timer, time.Second)
	defer cancel()
	var id int
	var p group.Position
	f.withLock(func() { f.writes.next++; id = f.writes.next })
	l := link{w: f.fakeCluster, from: "entry", to: server}
	_, err := l.call(ctx, func(s *fakeServer, answer func(error)) {
		var ok bool
		if p, ok = s.write(id); ok {
			f.spread(s)
		}
		answer(refusal(ok))
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

// count returns how many writes were acknowledged.
func (f *groupFixture) count() int {
	n := 0
	f.withLock(func() { n = len(f.writes.acknowledged) })
	return n
}

// requireServing fails the test unless writes are acknowledged again within limit.
func (f *groupFixture) requireServing(limit time.Duration) {
	f.t.Helper()
	before := f.count()
	f.runUntil(limit, "an acknowledged write", func() bool { return f.count() > before+5 })
}

// requireDurable fails the test unless the last primary holds what was acknowledged and nothing that was reported as
// discarded.
func (f *groupFixture) requireDurable() {
	f.t.Helper()
	f.withLock(func() {
		var last group.Term
		for term := range f.primaries {
			last = max(last, term)
		}
		s := f.nodes[f.primaries[last]]
		held := s.held()
		for id := range f.writes.acknowledged {
			require.True(f.t, held[id], "acknowledged write %d is not in the log of %s", id, s.name)
		}
		for id := range f.writes.discarded {
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

// failure is one way of failing. It returns with the fault in place; end, if any, takes the fault back.
type failure struct {
	name  string
	begin func(f *groupFixture)
	end   func(f *groupFixture)
	// promotes is true when the primary has to be replaced.
	promotes bool
}

func onFirstFence(f *groupFixture, act func(from string, s *fakeServer)) {
	f.withLock(func() {
		f.onFence = func(from string, _ group.Term, s *fakeServer) {
			f.onFence = nil
			act(from, s)
		}
	})
}

func failures() []failure {
	kill := func(f *groupFixture) { f.kill("s0") }
	return []failure{
		{name: "primary killed", begin: kill, promotes: true},
		{
			name: "primary killed and back", begin: kill, promotes: true,
			end: func(f *groupFixture) { f.restart("s0", false) },
		},
		{
			name: "primary frozen and thawed", promotes: true,
			begin: func(f *groupFixture) { f.freeze("s0") },
			end:   func(f *groupFixture) { f.thaw("s0") },
		},
		{
			name: "primary cut from replicas but not from callers", promotes: true,
			begin: func(f *groupFixture) { f.cut("s0", "s1", true); f.cut("s0", "s2", true) },
			end:   func(f *groupFixture) { f.heal() },
		},
		{
			name:  "primary cut from a watcher only",
			begin: func(f *groupFixture) { f.cut(f.watchers[0].name, "s0", true) },
			end:   func(f *groupFixture) { f.heal() },
		},
		{
			name: "watcher cut from everything",
			begin: func(f *groupFixture) {
				for _, name := range f.names {
					f.cut(f.watchers[0].name, name, true)
				}
			},
			end: func(f *groupFixture) { f.heal() },
		},
		{
			name: "promoter paused midway", promotes: true,
			begin: func(f *groupFixture) {
				onFirstFence(f, func(from string, _ *fakeServer) { f.pause(from) })
				f.kill("s0")
			},
			end: func(f *groupFixture) {
				for _, each := range f.watchers {
					f.resume(each.name)
				}
			},
		},
		{
			name: "promoter dies after it fenced one server", promotes: true,
			begin: func(f *groupFixture) {
				onFirstFence(f, func(from string, s *fakeServer) {
					for _, name := range f.names {
						f.cuts[[2]string{from, name}] = name != s.name
					}
					f.pause(from)
				})
				f.kill("s0")
			},
		},
		{
			name: "promoter dies before the others follow", promotes: true,
			begin: func(f *groupFixture) {
				f.elected = append(f.elected, func(group.Term, *fakeServer) { f.pause(f.watchers[0].name) })
				f.kill("s0")
			},
		},
		{
			name: "two promoters at once", promotes: true,
			begin: func(f *groupFixture) {
				for _, each := range f.watchers {
					only := instance.Instance{Incarnation: each.name, Address: "10.0.0.1:6433", DataCentre: "dc0", State: instance.Live}
					require.NoError(f.t, each.promoter.SetInstances(f.ctx, only))
				}
				f.kill("s0")
			},
		},
		{
			name: "store down", promotes: true,
			begin: func(f *groupFixture) { f.setStoreSilent(true); f.kill("s0") },
			end:   func(f *groupFixture) { f.setStoreSilent(false) },
		},
		{
			name: "store's answers lost", promotes: true,
			begin: func(f *groupFixture) { f.loseStoreAnswers(memory.AlternateAnswers{}); f.kill("s0") },
		},
		{
			name: "lagging replica", promotes: true,
			begin: func(f *groupFixture) {
				f.withLock(func() { f.lag["s1"] = 2 * time.Second })
				f.run(3 * time.Second)
				f.kill("s0")
			},
			end: func(f *groupFixture) { f.withLock(func() { f.lag["s1"] = 0 }) },
		},
		{
			name: "replica restarts empty", begin: func(f *groupFixture) { f.kill("s1") },
			end: func(f *groupFixture) { f.restart("s1", true) },
		},
		{
			name: "primary fenced and left", promotes: true,
			begin: func(f *groupFixture) { f.withLock(func() { f.nodes["s0"].fence(7, "gone") }) },
		},
		{
			name: "primary departs", promotes: true,
			begin: func(f *groupFixture) {
				members := f.members()
				members[0].Draining = true
				for _, m := range append([]*entry.Monitor{f.monitor}, f.monitors()...) {
					require.NoError(f.t, m.SetMembers(f.ctx, members...))
				}
			},
		},
		{
			name: "replica fenced and left", promotes: true,
			begin: func(f *groupFixture) { f.withLock(func() { f.nodes["s2"].fence(7, "gone") }) },
		},
	}
}

const seedsPerFailure = 2

// Guards against a group that does not come back after a failure, an acknowledged write that a later primary lacks, an
// acknowledgment of a discarded write, two primaries of one term, and a promotion without need.
func TestFailures(t *testing.T) {
	t.Parallel()
	for _, failure := range failures() {
		for seed := range uint64(seedsPerFailure) {
			t.Run(fmt.Sprintf("%s/seed %d", failure.name, seed), func(t *testing.T) {
				t.Parallel()
				inWorld(t, seed, 3, func(ctx context.Context, w *fakeCluster) {
					runFailure(newGroupFixture(ctx, w, 3), failure)
				})
			})
		}
	}
}

func runFailure(f *groupFixture, failure failure) {
	stop := f.startClients(2)
	f.run(2*time.Second + time.Duration(f.rng.Int64N(int64(time.Second))))
	f.requireServing(time.Second)
	failure.begin(f)
	f.run(10 * time.Second)
	f.requireServing(5 * time.Second)
	if failure.end != nil {
		failure.end(f)
	}
	f.run(5 * time.Second)
	f.requireServing(time.Second)
	stop()
	f.requireDurable()
	require.Equal(f.t, failure.promotes, f.lastTerm() > 1, "last term %d", f.lastTerm())
	f.requireAnnounced()
	f.requireFollowed()
}

// requireFollowed fails the test unless every server that runs holds the log of the last primary.
func (f *groupFixture) requireFollowed() {
	f.t.Helper()
	f.run(time.Second)
	last := f.lastTerm()
	for name, s := range f.nodes {
		if !s.dead {
			require.Equal(f.t, f.nodes[f.primaries[last]].history(), s.history(), "log of %s", name)
		}
	}
}
