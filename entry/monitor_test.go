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

// inFakeCluster runs body in a synctest bubble with a fake cluster, and then waits until all goroutines have ended.
func inFakeCluster(t *testing.T, seed uint64, servers int, body func(ctx context.Context, cl *fakeCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		body(ctx, newFakeCluster(t, &clock.Fake{}, seed, servers))
		cancel()
		synctest.Wait()
	})
}

func startMonitor(ctx context.Context, cl *fakeCluster, from string, watching bool) *entry.Monitor {
	m := entry.NewMonitor(entry.MonitorConfig{
		Group: testGroup, Members: cl.members(), Timer: cl.timer, Connect: cl.connect(from), Watching: watching,
	})
	go m.Run(ctx)
	return m
}

func startSelector(cl *fakeCluster, m *entry.Monitor) *entry.GroupServerSelector {
	return entry.NewGroupServerSelector(entry.GroupServerSelectorConfig{
		DataCentre: "dc0", Timer: cl.timer,
		Monitor: func(context.Context, string) (*entry.Monitor, bool) { return m, true },
	})
}

func writer() entry.Client {
	return entry.Client{Route: document.Route{Group: testGroup, Kind: document.Write}, Session: session.New("north")}
}

func reader(s session.Session) entry.Client {
	return entry.Client{Route: document.Route{Group: testGroup, Kind: document.Read}, Read: true, Session: s}
}

// asyncResult is the result of a call that runs concurrently with the test.
type asyncResult[T any] struct {
	value T
	err   error
	at    time.Duration
	done  bool
}

func startAsync[T any](cl *fakeCluster, f func() (T, error)) *asyncResult[T] {
	r := &asyncResult[T]{}
	go func() {
		value, err := f()
		cl.withLock(func() { *r = asyncResult[T]{value, err, cl.timer.Now(), true} })
	}()
	return r
}

func (r *asyncResult[T]) await(cl *fakeCluster, limit time.Duration) (T, error) {
	cl.t.Helper()
	cl.runUntil(limit, "end of the call", func() bool { synctest.Wait(); return r.done })
	return r.value, r.err
}

func selectServer(ctx context.Context, cl *fakeCluster, sel entry.ServerSelector, c entry.Client) *asyncResult[entry.Target] {
	return startAsync(cl, func() (entry.Target, error) { return sel.SelectServer(ctx, c) })
}

func awaitDurable(ctx context.Context, cl *fakeCluster, sel entry.ServerSelector, p group.Position) *asyncResult[struct{}] {
	return startAsync(cl, func() (struct{}, error) { return struct{}{}, sel.AwaitDurable(ctx, testGroup, p) })
}

// Guards against a healthy group that is not served, and against an acknowledgment that waits for the next periodic poll.
func TestHealthyGroup(t *testing.T) {
	inFakeCluster(t, 1, 3, func(ctx context.Context, cl *fakeCluster) {
		sel := startSelector(cl, startMonitor(ctx, cl, "entry", false))
		target, err := selectServer(ctx, cl, sel, writer()).await(cl, time.Second)
		require.NoError(t, err)
		require.Equal(t, entry.Target{Group: testGroup, Server: "s0", Address: "s0", Term: 1}, target)

		p, ok := cl.write("s0", 1)
		require.True(t, ok)
		startedAt := cl.timer.Now()
		_, err = awaitDurable(ctx, cl, sel, p).await(cl, time.Second)
		require.NoError(t, err)
		require.Less(t, cl.timer.Now()-startedAt, 4*fakeLatency)

		target, err = selectServer(ctx, cl, sel, reader(session.New("north").WithFloor(testGroup, p))).await(cl, time.Second)
		require.NoError(t, err)
		require.True(t, target.Replica)
	})
}

func readPosition(ctx context.Context, cl *fakeCluster, m *entry.Monitor) *asyncResult[group.Position] {
	return startAsync(cl, func() (group.Position, error) { return m.ReadPosition(ctx, 0) })
}

// Guards against a read position that waits for a server that does not answer although a majority does, and against one
// that is determined without a majority.
func TestReadPosition(t *testing.T) {
	inFakeCluster(t, 2, 3, func(ctx context.Context, cl *fakeCluster) {
		m := startMonitor(ctx, cl, "entry", false)
		cl.freeze("s2")
		_, err := readPosition(ctx, cl, m).await(cl, 3*fakeLatency)
		require.NoError(t, err)

		cl.kill("s1")
		p, ok := cl.write("s0", 1)
		require.True(t, ok)
		waiting := readPosition(ctx, cl, m)
		cl.run(5 * time.Second)
		require.False(t, waiting.done)
		cl.thaw("s2")
		got, err := waiting.await(cl, time.Second)
		require.NoError(t, err)
		require.GreaterOrEqual(t, got.Compare(p), 0)
	})
}

// Guards against server selection that waits forever, and against one that does not notice that the servers are reachable
// again.
func TestServerSelectionEnds(t *testing.T) {
	inFakeCluster(t, 3, 3, func(ctx context.Context, cl *fakeCluster) {
		sel := startSelector(cl, startMonitor(ctx, cl, "entry", false))
		for _, name := range cl.names {
			cl.cut("entry", name, true)
		}
		for _, c := range []entry.Client{writer(), reader(session.New("north"))} {
			_, err := selectServer(ctx, cl, sel, c).await(cl, entry.ServerSelectionTimeout+time.Second)
			requireKind(t, port.NoPrimary, err)
		}
		waiting := selectServer(ctx, cl, sel, writer())
		cl.run(time.Second)
		cl.heal()
		_, err := waiting.await(cl, 2*time.Second)
		require.NoError(t, err)
	})
}

// Guards against an acknowledgment that waits for a lagging replica, or that comes without a majority.
func TestAcknowledgmentByMajority(t *testing.T) {
	inFakeCluster(t, 4, 3, func(ctx context.Context, cl *fakeCluster) {
		m := startMonitor(ctx, cl, "entry", false)
		sel := startSelector(cl, m)
		cl.lag["s2"] = 10 * time.Second
		p, _ := cl.write("s0", 1)
		_, err := awaitDurable(ctx, cl, sel, p).await(cl, 10*fakeLatency)
		require.NoError(t, err)
		require.True(t, cl.servers["s1"].heldWrites()[1])
		require.False(t, cl.servers["s2"].heldWrites()[1])

		cl.kill("s1")
		p, _ = cl.write("s0", 2)
		waiting := awaitDurable(ctx, cl, sel, p)
		cl.run(5 * time.Second)
		require.False(t, waiting.done)
		_, err = readPosition(ctx, cl, m).await(cl, 3*fakeLatency)
		require.NoError(t, err, "a request that waits for a position delays another one")
		cl.restart("s1", false)
		cl.withLock(func() { cl.servers["s1"].primary = "s0" })
		_, err = waiting.await(cl, time.Second)
		require.NoError(t, err)
	})
}

// Guards against waiters for server selection that use up the limit, so that writes cannot be acknowledged, and against an
// unlimited number of waiters.
func TestWaitersAreBounded(t *testing.T) {
	inFakeCluster(t, 7, 3, func(ctx context.Context, cl *fakeCluster) {
		m := startMonitor(ctx, cl, "entry", false)
		never := func(group.View) bool { return false }
		for range entry.MaxWaiters / 2 {
			go func() { _, _ = m.Await(ctx, never) }()
		}
		synctest.Wait()
		_, err := m.Await(ctx, never)
		requireKind(t, port.Unavailable, err)
		p, _ := cl.write("s0", 1)
		_, err = awaitDurable(ctx, cl, startSelector(cl, m), p).await(cl, time.Second)
		require.NoError(t, err)
	})
}

// Guards against a server that counts as two members because it is reached at both addresses.
func TestWrongAddress(t *testing.T) {
	inFakeCluster(t, 5, 3, func(ctx context.Context, cl *fakeCluster) {
		m := startMonitor(ctx, cl, "entry", false)
		members := cl.members()
		members[1].Address = "s0"
		require.NoError(t, m.SetMembers(ctx, members...))
		cl.kill("s2")
		cl.run(time.Second)
		_, seen := m.View().Observation("s1")
		require.False(t, seen)
	})
}

// Guards against a read that keeps waiting for a read position that includes a discarded write.
func TestDiscardedReadPosition(t *testing.T) {
	inFakeCluster(t, 6, 3, func(ctx context.Context, cl *fakeCluster) {
		m := startMonitor(ctx, cl, "entry", false)
		members := cl.members()
		members[0].Draining = true
		require.NoError(t, m.SetMembers(ctx, members...))
		cl.cut("s0", "s1", true)
		cl.cut("s0", "s2", true)
		cl.freeze("s2")
		cl.write("s0", 1)
		waiting := selectServer(ctx, cl, startSelector(cl, m), reader(session.New("north")))
		cl.run(200 * time.Millisecond)
		require.False(t, waiting.done)
		cl.kill("s0")
		cl.thaw("s2")
		_, err := waiting.await(cl, 2*time.Second)
		require.NoError(t, err)
	})
}

func requireKind(t *testing.T, want port.Kind, err error) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, want, port.KindOf(err), "%v", err)
}
