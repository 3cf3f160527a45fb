package group_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/group"
)

const second = time.Second

// said is what a server answers at an instant.
type said struct {
	server             string
	at                 time.Duration
	role               group.Role
	promised, followed group.Term
	history            string
	silence            time.Duration
}

func (s said) observation(t *testing.T) group.Observation {
	t.Helper()
	history := group.History{}
	if s.history != "" {
		var err error
		history, err = group.ParseHistory(s.history)
		require.NoError(t, err)
	}
	return group.Observation{RequestedAt: s.at, ReceivedAt: s.at, Status: group.Status{
		Server: s.server, Role: s.role, Promised: s.promised, Followed: s.followed, History: history,
		PrimarySilence: s.silence, AgeKnown: true,
	}}
}

func viewOf(t *testing.T, answers ...said) group.View {
	t.Helper()
	v := group.NewView(group.Member{Name: "a"}, group.Member{Name: "b"}, group.Member{Name: "c"})
	for _, answer := range answers {
		v = v.WithObservation(answer.observation(t))
	}
	return v
}

func requireLost(t *testing.T, want bool, now time.Duration, answers ...said) {
	t.Helper()
	require.Equal(t, want, viewOf(t, answers...).PrimaryLost(now))
}

func requirePrimary(t *testing.T, want string, answers ...said) {
	t.Helper()
	primary, _ := viewOf(t, answers...).Primary()
	require.Equal(t, want, primary.Name)
}

// Guards against a history that hides a gap, in which another term's entries could lie.
func TestHistoryRefusesGaps(t *testing.T) {
	for _, text := range []string{"9;2@1,1@5", "9;1@1,1@5", "9;1@5,2@5", "9;1@0", "9;0@1", "3;1@1,2@9", "9;1@1x", "9;1:1"} {
		t.Run(text, func(t *testing.T) {
			_, err := group.ParseHistory(text)
			require.Error(t, err)
		})
	}
	h, err := group.ParseHistory("9;2@5")
	require.NoError(t, err)
	require.False(t, h.Contains(group.Position{Term: 0, Offset: 3}))
	require.False(t, h.Contains(group.Position{Term: 1, Offset: 3}))
}

// Guards against a primary that gets writes after it was replaced or fenced, and against one that a single promise stops.
func TestPrimary(t *testing.T) {
	leader := said{"a", second, group.Primary, 1, 1, "9;1@1", 0}
	t.Run("a promise of one replica", func(t *testing.T) {
		requirePrimary(t, "a", leader, said{"b", second, group.Replica, 2, 1, "9;1@1", 0})
	})
	t.Run("a replica of a later term", func(t *testing.T) {
		requirePrimary(t, "", leader, said{"b", second, group.Replica, 2, 2, "10;1@1,2@10", 0})
	})
	t.Run("its own promise", func(t *testing.T) {
		requirePrimary(t, "", said{"a", second, group.Primary, 2, 1, "9;1@1", 0})
	})
	t.Run("a moved address forgets the log", func(t *testing.T) {
		v := viewOf(t, leader).WithMembers(group.Member{Name: "a", Address: "elsewhere"})
		_, ok := v.Observation("a")
		require.False(t, ok)
	})
}

// Guards against a group that stays without a primary, and against a promotion without need.
func TestPrimaryLost(t *testing.T) {
	leader := said{"a", 9 * second, group.Primary, 1, 1, "9;1@1", 0}
	silent := func(name string, at time.Duration) said {
		return said{name, at, group.Replica, 1, 1, "9;1@1", 2 * second}
	}
	early := leader
	early.at = second
	t.Run("silent majority", func(t *testing.T) {
		requireLost(t, true, 10*second, early, leader, silent("b", 9*second), silent("c", 9*second))
	})
	t.Run("old answers", func(t *testing.T) {
		requireLost(t, false, 12*second, early, leader, silent("b", 9*second), silent("c", 9*second))
	})
	t.Run("new primary", func(t *testing.T) {
		requireLost(t, false, 9500*time.Millisecond, leader, silent("b", 9*second), silent("c", 9*second))
	})
	t.Run("new primary that dies unseen", func(t *testing.T) {
		requireLost(t, true, 11*second, leader, silent("b", 11*second), silent("c", 11*second))
	})
	fenced := func(name string, role group.Role, at time.Duration) said {
		return said{name, at, role, 2, 1, "9;1@1", 0}
	}
	t.Run("fenced primary", func(t *testing.T) {
		requireLost(t, false, 9*second, early, fenced("a", group.Primary, 9*second))
		requireLost(t, true, 10*second, early, fenced("a", group.Primary, 9*second), fenced("a", group.Primary, 10*second))
	})
	t.Run("fenced replica", func(t *testing.T) {
		requireLost(t, false, 4*second, early, fenced("b", group.Replica, 0), fenced("b", group.Replica, 4*second))
		requireLost(t, true, 6*second, early, fenced("b", group.Replica, 0), fenced("b", group.Replica, 6*second))
	})
	t.Run("thawed primary of an earlier term", func(t *testing.T) {
		requireLost(t, true, 9*second, leader, said{"b", 9 * second, group.Replica, 2, 2, "9;1@1", 2 * second})
	})
	t.Run("single server", func(t *testing.T) {
		v := group.NewView(group.Member{Name: "a"}).WithObservation(silent("a", second).observation(t))
		require.True(t, v.PrimaryLost(second))
		require.False(t, group.View{}.PrimaryLost(second))
	})
}

// Guards against an answer that is dropped because a later question was answered first.
func TestCrossedAnswers(t *testing.T) {
	early, late := said{"b", 0, group.Replica, 1, 1, "9;1@1", 0}.observation(t), said{"b", 0, group.Replica, 1, 1, "5;1@1", 0}.observation(t)
	early.RequestedAt, early.ReceivedAt = second, 5*second
	late.RequestedAt, late.ReceivedAt = 2*second, 3*second
	for _, v := range []group.View{
		viewOf(t).WithObservation(late).WithObservation(early),
		viewOf(t).WithObservation(early).WithObservation(late),
	} {
		o, _ := v.Observation("b")
		require.Equal(t, uint64(9), o.Status.Last().Offset)
		require.Equal(t, 2*second, o.RequestedAt)
	}
}

// Guards against a stale read through a server that lost its disk, or through a primary that was replaced.
func TestNewestAndAge(t *testing.T) {
	behind, wiped := said{"c", second, group.Replica, 1, 1, "5;1@1", 0}, said{"b", second, group.Replica, 0, 0, "", 0}
	_, known := viewOf(t, behind, wiped).ReadPosition(0)
	require.False(t, known)
	_, known = viewOf(t, behind, wiped, said{"a", second, group.Primary, 1, 1, "9;1@1", 0}).ReadPosition(0)
	require.True(t, known)

	alone := said{"a", 9 * second, group.Primary, 1, 1, "9;1@1", 0}
	_, known = viewOf(t, alone).AgeAt("a", 9*second)
	require.False(t, known)
	age, known := viewOf(t, alone, behind).AgeAt("a", 9*second)
	require.True(t, known)
	require.Equal(t, 8*second, age)
}

// Guards against an acknowledgment that counts a copy in the log of a later term, before the later term's own entry is
// held by a majority: a server with an entry of a term between could still become primary and discard the write.
func TestSettle(t *testing.T) {
	leader := said{"a", second, group.Primary, 3, 3, "3;1@1,3@3", 0}
	write, other := group.Position{Term: 1, Offset: 2}, group.Position{Term: 2, Offset: 2}
	v := viewOf(t, leader, said{"c", second, group.Replica, 3, 3, "2;1@1", 0})
	require.Equal(t, group.Undetermined, v.OutcomeOf(write))
	require.Equal(t, group.Undetermined, v.OutcomeOf(other))
	v = viewOf(t, leader, said{"c", second, group.Replica, 3, 3, "3;1@1,3@3", 0})
	require.Equal(t, group.Kept, v.OutcomeOf(write))
	require.Equal(t, group.Lost, v.OutcomeOf(other))
}

// lostView is a group whose primary is lost at the instant.
func lostView(t *testing.T, now time.Duration) group.View {
	t.Helper()
	return viewOf(t, said{"b", now, group.Replica, 1, 1, "9;1@1", 2 * second}, said{"c", now, group.Replica, 1, 1, "9;1@1", 2 * second})
}

func fencedBy(server string, term group.Term, history group.History) group.Fenced {
	return group.Fenced{Term: term, Status: group.Status{
		Server: server, Promised: term, Candidate: "x", Followed: 1, History: history,
	}}
}

func requireOrders(t *testing.T, want []group.Action, p group.Promotion, e group.Event, v group.View, now time.Duration) group.Promotion {
	t.Helper()
	next, orders := p.WithEvent(e, v, now)
	require.Equal(t, want, orders)
	return next
}

// Guards against attempts that fail without need, terms that are used twice, and promoters that never part.
func TestPromotion(t *testing.T) {
	now, log := 9*second, group.NewHistory(9, group.TermStart{Term: 1, First: 1})
	v := lostView(t, now)
	fence := []group.Action{group.SendFence{Term: 2, Candidate: "x"}}
	promote := []group.Action{group.SendPromote{Term: 2, Candidate: "x", Server: "b"}}
	start := requireOrders(t, fence, group.NewPromotion("x", 0), group.Observed{}, v, now)
	t.Run("one refusal leaves a majority", func(t *testing.T) {
		p := requireOrders(t, nil, start, group.Refused{Term: 2, Server: "a", Promised: 2}, v, now)
		p = requireOrders(t, nil, p, fencedBy("b", 2, log), v, now)
		requireOrders(t, promote, p, fencedBy("c", 2, log), v, now)
	})
	t.Run("a wiped server does not vote", func(t *testing.T) {
		p := requireOrders(t, nil, start, fencedBy("b", 2, log), v, now)
		p = requireOrders(t, nil, p, fencedBy("c", 2, group.History{}), v, now)
		// Of two equal logs the first name is chosen.
		first := []group.Action{group.SendPromote{Term: 2, Candidate: "x", Server: "a"}}
		requireOrders(t, first, p, fencedBy("a", 2, log), v, now)
	})
	t.Run("a lost answer is found in the view", func(t *testing.T) {
		p := requireOrders(t, nil, start, fencedBy("b", 2, log), v, now)
		p = requireOrders(t, promote, p, fencedBy("c", 2, log), v, now)
		led := v.WithObservation(said{"b", now, group.Primary, 2, 2, "10;1@1,2@10", 0}.observation(t))
		p, orders := p.WithEvent(group.Observed{}, led, now)
		require.Contains(t, orders, group.Action(group.Announce{Term: 2, Primary: "b"}))
		requireOrders(t, nil, p, group.Observed{}, v, now)
	})
	t.Run("its own primary gets time", func(t *testing.T) {
		p := requireOrders(t, nil, start, fencedBy("b", 2, log), v, now)
		p = requireOrders(t, promote, p, fencedBy("c", 2, log), v, now)
		p, _ = p.WithEvent(group.Promoted{Term: 2, Server: "b"}, v, now)
		p, _ = p.WithEvent(group.Observed{}, v, now+second/2)
		require.Equal(t, group.Watching, p.Phase())
	})
	t.Run("a pause keeps the term", func(t *testing.T) {
		requireOrders(t, []group.Action{group.SendFence{Term: 3, Candidate: "x"}}, start.Paused(), group.Observed{}, v, now)
	})
	t.Run("equal ranks part", func(t *testing.T) {
		var starts []time.Duration
		for _, candidate := range []string{"x", "y"} {
			p, _ := group.NewPromotion(candidate, 0).WithEvent(group.Observed{}, v, now)
			p, _ = p.WithEvent(group.Refused{Term: 2, Server: "a"}, v, now)
			p, _ = p.WithEvent(group.Refused{Term: 2, Server: "b"}, v, now)
			at := now
			for p.Phase() == group.Suspected {
				at += time.Millisecond
				p, _ = p.WithEvent(group.Observed{}, lostView(t, at), at)
			}
			starts = append(starts, at)
		}
		require.Greater(t, (starts[0] - starts[1]).Abs(), 10*time.Millisecond)
	})
}
