package entry_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/session"
)

// inWorld runs body in a bubble with a fake group, and waits until every duty has ended.
func inWorld(t *testing.T, seed uint64, servers int, body func(ctx context.Context, w *fakeCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		body(ctx, newFakeCluster(t, &clock.Fake{}, seed, servers))
		cancel()
		synctest.Wait()
	})
}

func startMonitor(ctx context.Context, w *fakeCluster, from string, watching bool) *entry.Monitor {
	m := entry.NewMonitor(entry.MonitorConfig{
		Group: testGroup, Members: w.members(), Timer: w.timer, Connect: w.connect(from), Watching: watching,
	})
	go m.Run(ctx)
	return m
}

func startDirector(w *fakeCluster, m *entry.Monitor) *entry.GroupServerSelector {
	return entry.NewGroupServerSelector(entry.GroupServerSelectorConfig{
		DataCentre: "dc0", Timer: w.timer,
		Monitor: func(context.Context, string) (*entry.Monitor, bool) { return m, true },
	})
}

func writer() entry.Client {
	return entry.Client{Route: document.Route{Group: testGroup, Kind: document.Write}, Session: session.New("north")}
}

func reader(s session.Session) entry.Client {
	return entry.Client{Route: document.Route{Group: testGroup, Kind: document.Read}, Read: true, Session: s}
}

// outcome is the end of a call that runs beside the test.
type outcome[T any] struct {
	value T
	err   error
	at    time.Duration
	done  bool
}

func start[T any](w *fakeCluster, f func() (T, error)) *outcome[T] {
	o := &outcome[T]{}
	go func() {
		value, err := f()
		w.withLock(func() { *o = outcome[T]{value, err, w.timer.Now(), true} })
	}()
	return o
}

func (o *outcome[T]) await(w *fakeCluster, limit time.Duration) (T, error) {
	w.t.Helper()
	w.runUntil(limit, "end of the call", func() bool { synctest.Wait(); return o.done })
	return o.value, o.err
}

func place(ctx context.Context, w *fakeCluster, d entry.ServerSelector, c entry.Client) *outcome[entry.Target] {
	return start(w, func() (entry.Target, error) { return d.SelectServer(ctx, c) })
}

func acknowledge(ctx context.Context, w *fakeCluster, d entry.ServerSelector, p group.Position) *outcome[struct{}] {
	return start(w, func() (struct{}, error) { return struct{}{}, d.AwaitDurable(ctx, testGroup, p) })
}

// Guards against a healthy group that is not served, and against an acknowledgment that waits for a poll.
func TestHealthyGroup(t *testing.T) {
	inWorld(t, 1, 3, func(ctx context.Context, w *fakeCluster) {
		d := startDirector(w, startMonitor(ctx, w, "entry", false))
		target, err := place(ctx, w, d, writer()).await(w, time.Second)
		require.NoError(t, err)
		require.Equal(t, entry.Target{Group: testGroup, Server: "s0", Address: "s0", Term: 1}, target)

		p, ok := w.write("s0", 1)
		require.True(t, ok)
		began := w.timer.Now()
		_, err = acknowledge(ctx, w, d, p).await(w, time.Second)
		require.NoError(t, err)
		require.Less(t, w.timer.Now()-began, 4*fakeLatency)

		target, err = place(ctx, w, d, reader(session.New("north").WithFloor(testGroup, p))).await(w, time.Second)
		require.NoError(t, err)
		require.True(t, target.Replica)
	})
}

func newest(ctx context.Context, w *fakeCluster, m *entry.Monitor) *outcome[group.Position] {
	return start(w, func() (group.Position, error) { return m.Newest(ctx, 0) })
}

// Guards against a server that holds up the callers of others, and against an answer for the newest position without a
// majority.
func TestNewest(t *testing.T) {
	inWorld(t, 2, 3, func(ctx context.Context, w *fakeCluster) {
		m := startMonitor(ctx, w, "entry", false)
		w.freeze("s2")
		_, err := newest(ctx, w, m).await(w, 3*fakeLatency)
		require.NoError(t, err)

		w.kill("s1")
		p, ok := w.write("s0", 1)
		require.True(t, ok)
		waiting := newest(ctx, w, m)
		w.run(5 * time.Second)
		require.False(t, waiting.done)
		w.thaw("s2")
		got, err := waiting.await(w, time.Second)
		require.NoError(t, err)
		require.GreaterOrEqual(t, got.Compare(p), 0)
	})
}

// Guards against a caller that waits without end, and against one that is not served when the servers are back.
func TestPlacementEnds(t *testing.T) {
	inWorld(t, 3, 3, func(ctx context.Context, w *fakeCluster) {
		d := startDirector(w, startMonitor(ctx, w, "entry", false))
		for _, name := range w.names {
			w.cut("entry", name, true)
		}
		for _, c := range []entry.Client{writer(), reader(session.New("north"))} {
			_, err := place(ctx, w, d, c).await(w, entry.ServerSelectionTimeout+time.Second)
			requireKind(t, port.NoPrimary, err)
		}
		waiting := place(ctx, w, d, writer())
		w.run(time.Second)
		w.heal()
		_, err := waiting.await(w, 2*time.Second)
		require.NoError(t, err)
	})
}

// Guards against an acknowledgment that waits for a lagging replica, or that comes without a majority.
func TestAcknowledgmentByMajority(t *testing.T) {
	inWorld(t, 4, 3, func(ctx context.Context, w *fakeCluster) {
		m := startMonitor(ctx, w, "entry", false)
		d := startDirector(w, m)
		w.lag["s2"] = 10 * time.Second
		p, _ := w.write("s0", 1)
		_, err := acknowledge(ctx, w, d, p).await(w, 10*fakeLatency)
		require.NoError(t, err)
		require.True(t, w.nodes["s1"].held()[1])
		require.False(t, w.nodes["s2"].held()[1])

		w.kill("s1")
		p, _ = w.write("s0", 2)
		waiting := acknowledge(ctx, w, d, p)
		w.run(5 * time.Second)
		require.False(t, waiting.done)
		_, err = newest(ctx, w, m).await(w, 3*fakeLatency)
		require.NoError(t, err, "a question that waits for a position holds up another")
		w.restart("s1", false)
		w.withLock(func() { w.nodes["s1"].primary = "s0" })
		_, err = waiting.await(w, time.Second)
		require.NoError(t, err)
	})
}

// Guards against waiting placements that leave no room for acknowledgments, and against waiters without bound.
func TestWaitersAreBounded(t *testing.T) {
	inWorld(t, 7, 3, func(ctx context.Context, w *fakeCluster) {
		m := startMonitor(ctx, w, "entry", false)
		never := func(group.View) bool { return false }
		for range entry.MaxWaiters / 2 {
			go func() { _, _ = m.Await(ctx, never) }()
		}
		synctest.Wait()
		_, err := m.Await(ctx, never)
		requireKind(t, port.Unavailable, err)
		p, _ := w.write("s0", 1)
		_, err = acknowledge(ctx, w, startDirector(w, m), p).await(w, time.Second)
		require.NoError(t, err)
	})
}

// Guards against a server that counts twice because two addresses lead to it.
func TestWrongAddress(t *testing.T) {
	inWorld(t, 5, 3, func(ctx context.Context, w *fakeCluster) {
		m := startMonitor(ctx, w, "entry", false)
		members := w.members()
		members[1].Address = "s0"
		require.NoError(t, m.SetMembers(ctx, members...))
		w.kill("s2")
		w.run(time.Second)
		_, seen := m.View().Observation("s1")
		require.False(t, seen)
	})
}

// Guards against a read that waits for a newest position that was discarded.
func TestNewestThatWasDiscarded(t *testing.T) {
	inWorld(t, 6, 3, func(ctx context.Context, w *fakeCluster) {
		m := startMonitor(ctx, w, "entry", false)
		members := w.members()
		members[0].Draining = true
		require.NoError(t, m.SetMembers(ctx, members...))
		w.cut("s0", "s1", true)
		w.cut("s0", "s2", true)
		w.freeze("s2")
		w.write("s0", 1)
		waiting := place(ctx, w, startDirector(w, m), reader(session.New("north")))
		w.run(200 * time.Millisecond)
		require.False(t, waiting.done)
		w.kill("s0")
		w.thaw("s2")
		_, err := waiting.await(w, 2*time.Second)
		require.NoError(t, err)
	})
}

func requireKind(t *testing.T, want port.Kind, err error) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, want, port.KindOf(err), "%v", err)
}
