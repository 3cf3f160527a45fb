package server_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/standin/server"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type servers = []*server.Server

// Guards against a write that is accepted by the primary of an earlier term.
func TestFence(t *testing.T) {
	t.Run("former primary refuses commits and becomes a replica", func(t *testing.T) {
		g := newTestGroup(t)
		elect(t, g.a, 1, servers{g.a, g.b}, servers{g.b, g.c})
		c := connectBound(t, g.a)
		execute(t, c, server.Begin{})
		execute(t, c, server.Upsert{Key: "k", Value: "lost"})
		_, err := g.a.Fence(t.Context(), 2, "other")
		require.NoError(t, err)
		requireRole(t, g.a, group.Replica, 1)
		_, err = c.Execute(t.Context(), server.Commit{})
		requireCode(t, "25006", err)
		_, err = c.Execute(t.Context(), server.Upsert{Key: "k", Value: "refused"})
		requireCode(t, "25006", err)
		requireValue(t, g.a, "k")
	})
	t.Run("fenced replica accepts no more entries from the former primary", func(t *testing.T) {
		g := newTestGroup(t)
		elect(t, g.a, 1, servers{g.a, g.b}, servers{g.b, g.c})
		g.await(t, g.b, write(t, g.a, "k", "before"))
		status, err := g.b.Fence(t.Context(), 2, "other")
		require.NoError(t, err)
		later := write(t, g.a, "k", "after")
		g.await(t, g.c, later)
		g.timer.Advance(5 * second)
		require.Equal(t, status.History, statusOf(t, g.b).History)
		require.GreaterOrEqual(t, statusOf(t, g.b).PrimarySilence, 5*second)
	})
	t.Run("a term is promised to one candidate", func(t *testing.T) {
		g := newTestGroup(t)
		for range 2 {
			_, err := g.a.Fence(t.Context(), 3, "first")
			require.NoError(t, err)
		}
		_, err := g.a.Fence(t.Context(), 3, "second")
		requireTermConflict(t, 3, err)
		_, err = g.a.Promote(t.Context(), 3, "second")
		requireTermConflict(t, 3, err)
		_, err = g.a.Follow(t.Context(), 2, "b")
		requireTermConflict(t, 3, err)
	})
	t.Run("promotion after a later fence is refused", func(t *testing.T) {
		g := newTestGroup(t)
		_, err := g.a.Fence(t.Context(), 3, "paused")
		require.NoError(t, err)
		_, err = g.a.Fence(t.Context(), 4, "second")
		require.NoError(t, err)
		_, err = g.a.Promote(t.Context(), 3, "paused")
		requireTermConflict(t, 4, err)
	})
	t.Run("a follower is not promoted in the term that it follows", func(t *testing.T) {
		g := newTestGroup(t)
		elect(t, g.a, 1, servers{g.a, g.b, g.c}, servers{g.b})
		_, err := g.b.Promote(t.Context(), 1, "candidate")
		requireTermConflict(t, 1, err)
	})
}

// Guards against a new primary that lacks a write held by a majority.
func TestPromotion(t *testing.T) {
	t.Run("the latest log of a majority contains every write held by a majority", func(t *testing.T) {
		g := newTestGroup(t)
		elect(t, g.a, 1, servers{g.a, g.b}, servers{g.b, g.c})
		g.await(t, g.c, write(t, g.a, "k", "first"))
		require.NoError(t, g.c.SetPartitioned(t.Context(), true))
		held := write(t, g.a, "k", "held")
		g.await(t, g.b, held)
		require.NoError(t, g.a.Pause(t.Context()))
		require.NoError(t, g.c.SetPartitioned(t.Context(), false))
		latest := fenceVoters(t, 2, g.b, g.c)
		require.Same(t, g.b, latest)
		elect(t, latest, 2, nil, servers{g.c})
		g.await(t, g.c, held)
		g.eventually(t, func() bool { return statusOf(t, g.c).Followed == 2 })
		requireValue(t, g.c, "k", "held")
		g.a.Resume()
	})
	t.Run("a later term takes precedence over a longer log", func(t *testing.T) {
		g := newTestGroup(t)
		elect(t, g.a, 1, servers{g.a, g.b}, nil)
		write(t, g.a, "k", "on one server")
		write(t, g.a, "k", "on one server")
		elect(t, g.b, 2, servers{g.b, g.c}, nil)
		require.Same(t, g.b, fenceVoters(t, 3, g.a, g.b))
	})
}

// Guards against replicas that keep entries missing from the new primary's log, or that lose entries of its log.
func TestTruncation(t *testing.T) {
	t.Run("former primary discards entries that no other server has", func(t *testing.T) {
		g := newTestGroup(t)
		elect(t, g.a, 1, servers{g.a, g.b}, servers{g.b, g.c})
		kept := write(t, g.a, "k", "kept")
		g.await(t, g.b, kept)
		g.await(t, g.c, kept)
		require.NoError(t, g.a.SetPartitioned(t.Context(), true))
		discarded := write(t, g.a, "k", "discarded")
		elect(t, g.b, 2, servers{g.b, g.c}, servers{g.c})
		later := write(t, g.b, "k", "later")
		require.NoError(t, g.a.SetPartitioned(t.Context(), false))
		_, err := g.a.Follow(t.Context(), 2, "b")
		require.NoError(t, err)
		g.await(t, g.a, later)
		requireRole(t, g.a, group.Replica, 2)
		require.False(t, statusOf(t, g.a).History.Contains(discarded))
		require.True(t, statusOf(t, g.a).History.Contains(kept))
		requireValue(t, g.a, "k", "later")
	})
	t.Run("the new term is reported only after the logs were compared", func(t *testing.T) {
		g := newTestGroup(t)
		elect(t, g.a, 1, servers{g.a, g.b}, servers{g.b})
		discarded := write(t, g.a, "k", "discarded")
		elect(t, g.b, 2, servers{g.b, g.c}, nil)
		require.NoError(t, g.b.SetPartitioned(t.Context(), true))
		status, err := g.a.Follow(t.Context(), 2, "b")
		require.NoError(t, err)
		require.Equal(t, group.Term(1), status.Followed)
		require.True(t, status.History.Contains(discarded))
	})
	t.Run("common history of two logs", func(t *testing.T) {
		a := group.NewHistory(9, group.TermStart{Term: 1, First: 1}, group.TermStart{Term: 3, First: 6})
		b := group.NewHistory(8, group.TermStart{Term: 1, First: 1}, group.TermStart{Term: 2, First: 5})
		require.Equal(t, uint64(4), server.CommonLastOffset(a, b))
		require.Equal(t, uint64(4), server.CommonLastOffset(b, a))
		require.Equal(t, uint64(9), server.CommonLastOffset(a, a))
		require.Zero(t, server.CommonLastOffset(a, group.History{}))
	})
}

// Guards against a server that reports a wrong role, silence of the primary or age.
func TestRoles(t *testing.T) {
	t.Run("replica of a paused primary reports its silence", func(t *testing.T) {
		g := newTestGroup(t)
		elect(t, g.a, 1, servers{g.a, g.b}, servers{g.b})
		g.eventually(t, func() bool { return statusOf(t, g.b).AgeKnown })
		require.NoError(t, g.a.Pause(t.Context()))
		// A response sent before the pause may still arrive. From then on, the silence grows.
		g.eventually(t, func() bool { return statusOf(t, g.b).PrimarySilence > 2*second })
		g.timer.Advance(3 * second)
		status := statusOf(t, g.b)
		require.Greater(t, status.PrimarySilence, 5*second)
		require.Greater(t, status.Age, 5*second)
		g.a.Resume()
		g.eventually(t, func() bool { return statusOf(t, g.b).PrimarySilence < second })
		requireRole(t, g.a, group.Primary, 1)
	})
	t.Run("partitioned primary does not learn that it was replaced", func(t *testing.T) {
		g := newTestGroup(t)
		elect(t, g.a, 1, servers{g.a, g.b}, servers{g.b, g.c})
		require.NoError(t, g.a.SetPartitioned(t.Context(), true))
		elect(t, g.c, 2, servers{g.b, g.c}, servers{g.b})
		requireRole(t, g.a, group.Primary, 1)
		requireRole(t, g.c, group.Primary, 2)
	})
	t.Run("lag delays entries but not heartbeats", func(t *testing.T) {
		g := newTestGroup(t)
		elect(t, g.a, 1, servers{g.a, g.b}, servers{g.b})
		g.eventually(t, func() bool { return statusOf(t, g.b).AgeKnown })
		require.NoError(t, g.b.SetLag(t.Context(), time.Hour))
		p := write(t, g.a, "k", "v")
		g.eventually(t, func() bool {
			status := statusOf(t, g.b)
			return status.Age > 3*second && status.PrimarySilence < second
		})
		require.False(t, statusOf(t, g.b).History.Contains(p))
		require.NoError(t, g.b.SetLag(t.Context(), 0))
		g.await(t, g.b, p)
	})
}

// Guards against a status request that waits longer than necessary.
func TestStatusWait(t *testing.T) {
	t.Run("ends when the log contains the position", func(t *testing.T) {
		g := newTestGroup(t)
		elect(t, g.a, 1, servers{g.a, g.b}, servers{g.b})
		p := write(t, g.a, "k", "v")
		status, err := g.b.Status(t.Context(), p, time.Hour)
		require.NoError(t, err)
		require.True(t, status.History.Contains(p))
	})
	t.Run("ends when a later term is followed", func(t *testing.T) {
		g := newTestGroup(t)
		elect(t, g.a, 5, servers{g.a}, nil)
		status, err := g.a.Status(t.Context(), group.Position{Term: 4, Offset: 9}, time.Hour)
		require.NoError(t, err)
		require.Equal(t, group.Term(5), status.Followed)
	})
	t.Run("ends at the timeout", func(t *testing.T) {
		g := newTestGroup(t)
		done := make(chan error, 1)
		go func() {
			_, err := g.a.Status(t.Context(), group.Position{Term: 1, Offset: 1}, 300*time.Millisecond)
			done <- err
		}()
		g.eventually(t, func() bool { return statusOf(t, g.b).Server == "b" && len(done) == 1 })
		require.NoError(t, <-done)
	})
}
