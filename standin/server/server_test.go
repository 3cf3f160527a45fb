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

// Guards against a write that is taken by a primary of an earlier term.
func TestFence(t *testing.T) {
	t.Run("former primary refuses commits and becomes a replica", func(t *testing.T) {
		g := newTrio(t)
		elect(t, g.a, 1, servers{g.a, g.b}, servers{g.b, g.c})
		c := bound(t, g.a)
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
	t.Run("fenced replica takes nothing more of the old primary", func(t *testing.T) {
		g := newTrio(t)
		elect(t, g.a, 1, servers{g.a, g.b}, servers{g.b, g.c})
		g.await(t, g.b, write(t, g.a, "k", "before"))
		status, err := g.b.Fence(t.Context(), 2, "other")
		require.NoError(t, err)
		later := write(t, g.a, "k", "after")
		g.await(t, g.c, later)
		g.clock.Advance(5 * second)
		require.Equal(t, status.History, statusOf(t, g.b).History)
		require.GreaterOrEqual(t, statusOf(t, g.b).PrimarySilence, 5*second)
	})
	t.Run("a term is promised to one candidate", func(t *testing.T) {
		g := newTrio(t)
		for range 2 {
			_, err := g.a.Fence(t.Context(), 3, "first")
			require.NoError(t, err)
		}
		_, err := g.a.Fence(t.Context(), 3, "second")
		requireRefused(t, 3, err)
		_, err = g.a.Promote(t.Context(), 3, "second")
		requireRefused(t, 3, err)
		_, err = g.a.Follow(t.Context(), 2, "b")
		requireRefused(t, 3, err)
	})
	t.Run("promotion after a later fence is refused", func(t *testing.T) {
		g := newTrio(t)
		_, err := g.a.Fence(t.Context(), 3, "paused")
		require.NoError(t, err)
		_, err = g.a.Fence(t.Context(), 4, "second")
		require.NoError(t, err)
		_, err = g.a.Promote(t.Context(), 3, "paused")
		requireRefused(t, 4, err)
	})
	t.Run("a follower is not promoted in the term that it follows", func(t *testing.T) {
		g := newTrio(t)
		elect(t, g.a, 1, servers{g.a, g.b, g.c}, servers{g.b})
		_, err := g.b.Promote(t.Context(), 1, "candidate")
		requireRefused(t, 1, err)
	})
}

// Guards against a new primary without a write that a majority held.
func TestPromotion(t *testing.T) {
	t.Run("the furthest log of a majority has what a majority held", func(t *testing.T) {
		g := newTrio(t)
		elect(t, g.a, 1, servers{g.a, g.b}, servers{g.b, g.c})
		g.await(t, g.c, write(t, g.a, "k", "first"))
		require.NoError(t, g.c.SetCut(t.Context(), true))
		held := write(t, g.a, "k", "held")
		g.await(t, g.b, held)
		require.NoError(t, g.a.Freeze(t.Context()))
		require.NoError(t, g.c.SetCut(t.Context(), false))
		furthest := fence(t, 2, g.b, g.c)
		require.Same(t, g.b, furthest)
		elect(t, furthest, 2, nil, servers{g.c})
		g.await(t, g.c, held)
		g.eventually(t, func() bool { return statusOf(t, g.c).Followed == 2 })
		requireValue(t, g.c, "k", "held")
		g.a.Thaw()
	})
	t.Run("a later term goes before a longer log", func(t *testing.T) {
		g := newTrio(t)
		elect(t, g.a, 1, servers{g.a, g.b}, nil)
		write(t, g.a, "k", "on one server")
		write(t, g.a, "k", "on one server")
		elect(t, g.b, 2, servers{g.b, g.c}, nil)
		require.Same(t, g.b, fence(t, 3, g.a, g.b))
	})
}

// Guards against replicas that keep what a new primary does not have, or lose what it has.
func TestTruncation(t *testing.T) {
	t.Run("former primary drops what only it had", func(t *testing.T) {
		g := newTrio(t)
		elect(t, g.a, 1, servers{g.a, g.b}, servers{g.b, g.c})
		kept := write(t, g.a, "k", "kept")
		g.await(t, g.b, kept)
		g.await(t, g.c, kept)
		require.NoError(t, g.a.SetCut(t.Context(), true))
		discarded := write(t, g.a, "k", "discarded")
		elect(t, g.b, 2, servers{g.b, g.c}, servers{g.c})
		later := write(t, g.b, "k", "later")
		require.NoError(t, g.a.SetCut(t.Context(), false))
		_, err := g.a.Follow(t.Context(), 2, "b")
		require.NoError(t, err)
		g.await(t, g.a, later)
		requireRole(t, g.a, group.Replica, 2)
		require.False(t, statusOf(t, g.a).History.Contains(discarded))
		require.True(t, statusOf(t, g.a).History.Contains(kept))
		requireValue(t, g.a, "k", "later")
	})
	t.Run("the new term is claimed only after the logs were compared", func(t *testing.T) {
		g := newTrio(t)
		elect(t, g.a, 1, servers{g.a, g.b}, servers{g.b})
		discarded := write(t, g.a, "k", "discarded")
		elect(t, g.b, 2, servers{g.b, g.c}, nil)
		require.NoError(t, g.b.SetCut(t.Context(), true))
		status, err := g.a.Follow(t.Context(), 2, "b")
		require.NoError(t, err)
		require.Equal(t, group.Term(1), status.Followed)
		require.True(t, status.History.Contains(discarded))
	})
	t.Run("common history of two logs", func(t *testing.T) {
		a := group.NewHistory(9, group.TermStart{Term: 1, First: 1}, group.TermStart{Term: 3, First: 6})
		b := group.NewHistory(8, group.TermStart{Term: 1, First: 1}, group.TermStart{Term: 2, First: 5})
		require.Equal(t, uint64(4), server.CommonLast(a, b))
		require.Equal(t, uint64(4), server.CommonLast(b, a))
		require.Equal(t, uint64(9), server.CommonLast(a, a))
		require.Zero(t, server.CommonLast(a, group.History{}))
	})
}

// Guards against a server that reports another role, silence or age than it has.
func TestRoles(t *testing.T) {
	t.Run("replica of a frozen primary hears nothing", func(t *testing.T) {
		g := newTrio(t)
		elect(t, g.a, 1, servers{g.a, g.b}, servers{g.b})
		g.eventually(t, func() bool { return statusOf(t, g.b).AgeKnown })
		require.NoError(t, g.a.Freeze(t.Context()))
		// An answer that was on its way at the freeze may still arrive; after it the silence grows without end.
		g.eventually(t, func() bool { return statusOf(t, g.b).PrimarySilence > 2*second })
		g.clock.Advance(3 * second)
		status := statusOf(t, g.b)
		require.Greater(t, status.PrimarySilence, 5*second)
		require.Greater(t, status.Age, 5*second)
		g.a.Thaw()
		g.eventually(t, func() bool { return statusOf(t, g.b).PrimarySilence < second })
		requireRole(t, g.a, group.Primary, 1)
	})
	t.Run("cut primary does not know that it was replaced", func(t *testing.T) {
		g := newTrio(t)
		elect(t, g.a, 1, servers{g.a, g.b}, servers{g.b, g.c})
		require.NoError(t, g.a.SetCut(t.Context(), true))
		elect(t, g.c, 2, servers{g.b, g.c}, servers{g.b})
		requireRole(t, g.a, group.Primary, 1)
		requireRole(t, g.c, group.Primary, 2)
	})
	t.Run("lag delays entries but not the primary's voice", func(t *testing.T) {
		g := newTrio(t)
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

// Guards against a status that keeps its caller waiting after the answer is known.
func TestStatusWait(t *testing.T) {
	t.Run("ends when the log contains the position", func(t *testing.T) {
		g := newTrio(t)
		elect(t, g.a, 1, servers{g.a, g.b}, servers{g.b})
		p := write(t, g.a, "k", "v")
		status, err := g.b.Status(t.Context(), p, time.Hour)
		require.NoError(t, err)
		require.True(t, status.History.Contains(p))
	})
	t.Run("ends when a later term is followed", func(t *testing.T) {
		g := newTrio(t)
		elect(t, g.a, 5, servers{g.a}, nil)
		status, err := g.a.Status(t.Context(), group.Position{Term: 4, Offset: 9}, time.Hour)
		require.NoError(t, err)
		require.Equal(t, group.Term(5), status.Followed)
	})
	t.Run("ends with its time", func(t *testing.T) {
		g := newTrio(t)
		answered := make(chan error, 1)
		go func() {
			_, err := g.a.Status(t.Context(), group.Position{Term: 1, Offset: 1}, 300*time.Millisecond)
			answered <- err
		}()
		g.eventually(t, func() bool { return statusOf(t, g.b).Server == "b" && len(answered) == 1 })
		require.NoError(t, <-answered)
	})
}
