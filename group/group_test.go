package group_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/group"
)

const second = time.Second

// report is the status of a server at a time.
type report struct {
	server             string
	at                 time.Duration
	role               group.Role
	promised, followed group.Term
	history            string
	primarySilence     time.Duration
}

func (s report) observation(t *testing.T) group.Observation {
	t.Helper()
	history := group.History{}
	if s.history != "" {
		var err error
		history, err = group.ParseHistory(s.history)
		require.NoError(t, err)
	}
	return group.Observation{RequestedAt: s.at, ReceivedAt: s.at, Status: group.Status{
		Server: s.server, Role: s.role, Promised: s.promised, Followed: s.followed, History: history,
		PrimarySilence: s.primarySilence, AgeKnown: true,
	}}
}

func viewOf(t *testing.T, reports ...report) group.View {
	t.Helper()
	v := group.NewView(group.Member{Name: "a"}, group.Member{Name: "b"}, group.Member{Name: "c"})
	for _, r := range reports {
		v = v.WithObservation(r.observation(t))
	}
	return v
}

func requireLost(t *testing.T, want bool, now time.Duration, reports ...report) {
	t.Helper()
	require.Equal(t, want, viewOf(t, reports...).PrimaryLost(now))
}

func requirePrimary(t *testing.T, want string, reports ...report) {
	t.Helper()
	primary, _ := viewOf(t, reports...).Primary()
	require.Equal(t, want, primary.Name)
}

// Guards against accepting a history with a gap or with terms out of order, which could hide entries of another term.
func TestParseHistoryRejectsGaps(t *testing.T) {
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

// Guards against sending writes to a primary that was replaced or fenced, and against a single promise that stops a
// primary.
func TestPrimary(t *testing.T) {
	leader := report{"a", second, group.Primary, 1, 1, "9;1@1", 0}
	t.Run("a promise of one replica does not stop the primary", func(t *testing.T) {
		requirePrimary(t, "a", leader, report{"b", second, group.Replica, 2, 1, "9;1@1", 0})
	})
	t.Run("a replica that follows a higher term stops it", func(t *testing.T) {
		requirePrimary(t, "", leader, report{"b", second, group.Replica, 2, 2, "10;1@1,2@10", 0})
	})
	t.Run("its own promise stops it", func(t *testing.T) {
		requirePrimary(t, "", report{"a", second, group.Primary, 2, 1, "9;1@1", 0})
	})
	t.Run("a change of address drops the observation", func(t *testing.T) {
		v := viewOf(t, leader).WithMembers(group.Member{Name: "a", Address: "elsewhere"})
		_, ok := v.Observation("a")
		require.False(t, ok)
	})
}

// Guards against a group that stays without a primary, and against unnecessary promotions.
func TestPrimaryLost(t *testing.T) {
	leader := report{"a", 9 * second, group.Primary, 1, 1, "9;1@1", 0}
	silent := func(name string, at time.Duration) report {
		return report{name, at, group.Replica, 1, 1, "9;1@1", 2 * second}
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
	t.Run("new primary that fails before its replicas hear from it", func(t *testing.T) {
		requireLost(t, true, 11*second, leader, silent("b", 11*second), silent("c", 11*second))
	})
	fenced := func(name string, role group.Role, at time.Duration) report {
		return report{name, at, role, 2, 1, "9;1@1", 0}
	}
	t.Run("fenced primary", func(t *testing.T) {
		requireLost(t, false, 9*second, early, fenced("a", group.Primary, 9*second))
		requireLost(t, true, 10*second, early, fenced("a", group.Primary, 9*second), fenced("a", group.Primary, 10*second))
	})
	t.Run("fenced replica", func(t *testing.T) {
		requireLost(t, false, 4*second, early, fenced("b", group.Replica, 0), fenced("b", group.Replica, 4*second))
		requireLost(t, true, 6*second, early, fenced("b", group.Replica, 0), fenced("b", group.Replica, 6*second))
	})
	t.Run("resumed primary of an earlier term", func(t *testing.T) {
		requireLost(t, true, 9*second, leader, report{"b", 9 * second, group.Replica, 2, 2, "9;1@1", 2 * second})
	})
	t.Run("single server", func(t *testing.T) {
		v := group.NewView(group.Member{Name: "a"}).WithObservation(silent("a", second).observation(t))
		require.True(t, v.PrimaryLost(second))
		require.False(t, group.View{}.PrimaryLost(second))
	})
}

// Guards against dropping an answer because a later request was answered first.
func TestOutOfOrderAnswers(t *testing.T) {
	earlier, later := report{"b", 0, group.Replica, 1, 1, "9;1@1", 0}.observation(t), report{"b", 0, group.Replica, 1, 1, "5;1@1", 0}.observation(t)
	earlier.RequestedAt, earlier.ReceivedAt = second, 5*second
	later.RequestedAt, later.ReceivedAt = 2*second, 3*second
	for _, v := range []group.View{
		viewOf(t).WithObservation(later).WithObservation(earlier),
		viewOf(t).WithObservation(earlier).WithObservation(later),
	} {
		o, _ := v.Observation("b")
		require.Equal(t, uint64(9), o.Status.Last().Offset)
		require.Equal(t, 2*second, o.RequestedAt)
	}
}

// Guards against stale reads from a server that lost its disk, or from a primary that was replaced.
func TestReadPositionAndAge(t *testing.T) {
	behind, empty := report{"c", second, group.Replica, 1, 1, "5;1@1", 0}, report{"b", second, group.Replica, 0, 0, "", 0}
	_, known := viewOf(t, behind, empty).ReadPosition(0)
	require.False(t, known)
	_, known = viewOf(t, behind, empty, report{"a", second, group.Primary, 1, 1, "9;1@1", 0}).ReadPosition(0)
	require.True(t, known)

	leader := report{"a", 9 * second, group.Primary, 1, 1, "9;1@1", 0}
	_, known = viewOf(t, leader).AgeAt("a", 9*second)
	require.False(t, known)
	age, known := viewOf(t, leader, behind).AgeAt("a", 9*second)
	require.True(t, known)
	require.Equal(t, 8*second, age)
}

// Guards against counting a copy in the log of a later term as acknowledged before a majority has the first entry of
// that term: a server with an entry of a term in between could still become primary and discard the write.
func TestOutcomeOf(t *testing.T) {
	leader := report{"a", second, group.Primary, 3, 3, "3;1@1,3@3", 0}
	write, other := group.Position{Term: 1, Offset: 2}, group.Position{Term: 2, Offset: 2}
	v := viewOf(t, leader, report{"c", second, group.Replica, 3, 3, "2;1@1", 0})
	require.Equal(t, group.Undetermined, v.OutcomeOf(write))
	require.Equal(t, group.Undetermined, v.OutcomeOf(other))
	v = viewOf(t, leader, report{"c", second, group.Replica, 3, 3, "3;1@1,3@3", 0})
	require.Equal(t, group.Kept, v.OutcomeOf(write))
	require.Equal(t, group.Lost, v.OutcomeOf(other))
}

// lostView is a view in which the primary is lost at now.
func lostView(t *testing.T, now time.Duration) group.View {
	t.Helper()
	return viewOf(t, report{"b", now, group.Replica, 1, 1, "9;1@1", 2 * second}, report{"c", now, group.Replica, 1, 1, "9;1@1", 2 * second})
}

func fencedBy(server string, term group.Term, history group.History) group.Fenced {
	return group.Fenced{Term: term, Status: group.Status{
		Server: server, Promised: term, Candidate: "x", Followed: 1, History: history,
	}}
}

func requireActions(t *testing.T, want []group.Action, p group.Promotion, e group.Event, v group.View, now time.Duration) group.Promotion {
	t.Helper()
	next, actions := p.WithEvent(e, v, now)
	require.Equal(t, want, actions)
	return next
}

// Guards against attempts that fail although a majority is available, terms that are used twice, and promoters that
// retry in lockstep.
func TestPromotion(t *testing.T) {
	now, log := 9*second, group.NewHistory(9, group.TermStart{Term: 1, First: 1})
	v := lostView(t, now)
	fence := []group.Action{group.SendFence{Term: 2, Candidate: "x"}}
	promote := []group.Action{group.SendPromote{Term: 2, Candidate: "x", Server: "b"}}
	start := requireActions(t, fence, group.NewPromotion("x", 0), group.Observed{}, v, now)
	t.Run("one refusal leaves a majority to fence", func(t *testing.T) {
		p := requireActions(t, nil, start, group.Refused{Term: 2, Server: "a", Promised: 2}, v, now)
		p = requireActions(t, nil, p, fencedBy("b", 2, log), v, now)
		requireActions(t, promote, p, fencedBy("c", 2, log), v, now)
	})
	t.Run("a server with an empty log does not count", func(t *testing.T) {
		p := requireActions(t, nil, start, fencedBy("b", 2, log), v, now)
		p = requireActions(t, nil, p, fencedBy("c", 2, group.History{}), v, now)
		// Among equal logs the first name is chosen.
		first := []group.Action{group.SendPromote{Term: 2, Candidate: "x", Server: "a"}}
		requireActions(t, first, p, fencedBy("a", 2, log), v, now)
	})
	t.Run("a promotion whose answer was lost is found in the view", func(t *testing.T) {
		p := requireActions(t, nil, start, fencedBy("b", 2, log), v, now)
		p = requireActions(t, promote, p, fencedBy("c", 2, log), v, now)
		led := v.WithObservation(report{"b", now, group.Primary, 2, 2, "10;1@1,2@10", 0}.observation(t))
		p, actions := p.WithEvent(group.Observed{}, led, now)
		require.Contains(t, actions, group.Action(group.Announce{Term: 2, Primary: "b"}))
		requireActions(t, nil, p, group.Observed{}, v, now)
	})
	t.Run("a new primary gets time to reach its replicas", func(t *testing.T) {
		p := requireActions(t, nil, start, fencedBy("b", 2, log), v, now)
		p = requireActions(t, promote, p, fencedBy("c", 2, log), v, now)
		p, _ = p.WithEvent(group.Promoted{Term: 2, Server: "b"}, v, now)
		p, _ = p.WithEvent(group.Observed{}, v, now+second/2)
		require.Equal(t, group.Watching, p.Phase())
	})
	t.Run("a pause keeps the term", func(t *testing.T) {
		requireActions(t, []group.Action{group.SendFence{Term: 3, Candidate: "x"}}, start.Paused(), group.Observed{}, v, now)
	})
	t.Run("promoters of equal rank retry at different times", func(t *testing.T) {
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
