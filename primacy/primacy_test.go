package primacy_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/primacy"
)

const second = time.Second

func settled(term group.Term, server string) primacy.Record {
	return primacy.Record{Group: "g", Term: term, Primary: server}
}

func announced(term group.Term, server string) primacy.Record {
	return settled(term, server).WithReplacement(primacy.Replacement{Promoter: "p", Epoch: 1})
}

// Guards against an instance that uses a primary which may have been replaced.
func TestView(t *testing.T) {
	v := primacy.View{}.WithRecord(settled(3, "a"), 10, 5*second, 5*second)
	t.Run("the zero value relies on nothing", func(t *testing.T) { requireNoPrimary(t, primacy.View{}, 0) })
	t.Run("within the lease", func(t *testing.T) { requirePrimary(t, v, 5*second+primacy.LeaseTTL, "a") })
	t.Run("after the lease", func(t *testing.T) { requireNoPrimary(t, v, 5*second+primacy.LeaseTTL+1) })
	t.Run("renewed", func(t *testing.T) {
		renewed := v.WithRecord(settled(3, "a"), 10, 7*second, 7*second)
		requirePrimary(t, renewed, 7*second+primacy.LeaseTTL, "a")
	})
	t.Run("a late answer renews nothing", func(t *testing.T) {
		late := v.WithRecord(settled(3, "a"), 10, 4*second, 4*second)
		requireNoPrimary(t, late, 5*second+primacy.LeaseTTL+1)
	})
	t.Run("an older record changes nothing", func(t *testing.T) {
		later := v.WithRecord(settled(4, "b"), 12, 6*second, 6*second).WithRecord(settled(3, "a"), 10, 7*second, 7*second)
		requirePrimary(t, later, 6*second, "b")
	})
	t.Run("an announcement keeps new statements away and lets answers through until the release", func(t *testing.T) {
		closing := v.WithRecord(announced(3, "a"), 11, 6*second, 6*second)
		requireNoPrimary(t, closing, 6*second)
		require.True(t, closing.Leads("a", 3, 6*second))
		require.False(t, closing.Leads("a", 3, 5*second+primacy.LeaseTTL+1), "an announcement renews no lease")
		require.False(t, closing.WithRelease(3).Leads("a", 3, 6*second))
	})
	t.Run("a withdrawn announcement lets the primary lead again", func(t *testing.T) {
		back := v.WithRecord(announced(3, "a"), 11, 6*second, 6*second).WithRelease(3).
			WithRecord(settled(3, "a"), 12, 7*second, 7*second)
		requirePrimary(t, back, 7*second, "a")
	})
	t.Run("a late settled record does not undo a release", func(t *testing.T) {
		released := v.WithRecord(announced(3, "a"), 11, 6*second, 6*second).WithRelease(3).
			WithRecord(settled(3, "a"), 10, 7*second, 7*second)
		requireNoPrimary(t, released, 7*second)
		require.False(t, released.Leads("a", 3, 7*second))
	})
	t.Run("extensions end after the longest lease", func(t *testing.T) {
		extended := v.WithRecord(settled(3, "a"), 10, 5*second+primacy.MaxLeaseTTL, 5*second)
		requirePrimary(t, extended, 5*second+primacy.MaxLeaseTTL, "a")
		requireNoPrimary(t, extended, 5*second+primacy.MaxLeaseTTL+1)
	})
}

func requirePrimary(t *testing.T, v primacy.View, now time.Duration, want string) {
	t.Helper()
	server, _, ok := v.PrimaryAt(now)
	require.True(t, ok)
	require.Equal(t, want, server)
}

func requireNoPrimary(t *testing.T, v primacy.View, now time.Duration) {
	t.Helper()
	_, _, ok := v.PrimaryAt(now)
	require.False(t, ok)
}

// Guards against two sets that agree without an instance in common: one extends a lease, the other confirms a
// replacement.
func TestMajoritiesMeet(t *testing.T) {
	for n := 1; n <= 3200; n++ {
		require.Greater(t, 2*primacy.Majority(n), n)
	}
}

// Guards against confirmations that do not bar a majority of an older list of instances: any part of those that were listed
// after the silent instance may be in it.
func TestConfirmationsBarOlderMajorities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sure := rapid.IntRange(1, 40).Draw(t, "listed before the silent one")
		late := rapid.IntRange(0, 20).Draw(t, "listed after it")
		confirmedSure := rapid.IntRange(0, sure-1).Draw(t, "confirmed of those before")
		confirmedLate := rapid.IntRange(0, late).Draw(t, "confirmed of those after")
		if !primacy.PreventsExtension(sure, sure-confirmedSure, late-confirmedLate) {
			return
		}
		for seen := 0; seen <= late; seen++ {
			for confirmedSeen := max(0, seen-(late-confirmedLate)); confirmedSeen <= min(seen, confirmedLate); confirmedSeen++ {
				known := sure + seen
				free := sure - confirmedSure + seen - confirmedSeen
				require.Less(t, free, primacy.Majority(known))
			}
		}
	})
	t.Run("one silent instance among many that were started anew", func(t *testing.T) {
		require.True(t, primacy.PreventsExtension(20, 1, 0))
	})
	t.Run("a silent instance that may know only itself", func(t *testing.T) {
		require.False(t, primacy.PreventsExtension(1, 1, 0))
	})
	t.Run("half of the instances are silent", func(t *testing.T) {
		require.True(t, primacy.PreventsExtension(20, 10, 0))
		require.False(t, primacy.PreventsExtension(19, 10, 0))
	})
}

// Guards against a read at a replica that lacks a write which was confirmed longer ago than the route accepts.
func TestEvidenceFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e primacy.PositionSamples
		var points []primacy.PositionSample
		now := time.Duration(0)
		for n := range rapid.IntRange(1, 80).Draw(t, "points") {
			now += time.Duration(rapid.IntRange(1, 400).Draw(t, "gap")) * time.Millisecond
			p := primacy.PositionSample{Position: group.Position{Term: 1, Offset: uint64(n)}, At: now}
			points = append(points, p)
			e = e.WithSample(p)
		}
		age := time.Duration(rapid.IntRange(0, 3500).Draw(t, "age")) * time.Millisecond
		floor, known := e.Floor(now, age)
		require.True(t, known, "the newest point is young enough for every age")
		for _, p := range points {
			if p.At < now-age {
				require.GreaterOrEqual(t, floor.Offset, p.Position.Offset)
			}
		}
	})
	t.Run("nothing young enough", func(t *testing.T) {
		e := primacy.PositionSamples{}.WithSample(primacy.PositionSample{Position: group.Position{Term: 1, Offset: 1}, At: second})
		_, known := e.Floor(3*second, second)
		require.False(t, known)
	})
}

// Guards against a successor that lacks a confirmed write which another server holds.
func TestSuccession(t *testing.T) {
	at := func(server string, term group.Term, offset uint64) primacy.Status {
		return primacy.Status{Server: server, Term: term, Received: group.Position{Term: term, Offset: offset}}
	}
	t.Run("the one that received most is first", func(t *testing.T) {
		requireFirst(t, "c", primacy.Succession{Candidates: []primacy.Status{at("a", 1, 9), at("b", 2, 3), at("c", 2, 4)}, Replicas: 3})
	})
	t.Run("nobody answered", func(t *testing.T) { requireIncomplete(t, primacy.Succession{Replicas: 2}) })
	t.Run("without synchronous replicas one answer is enough", func(t *testing.T) {
		requireFirst(t, "a", primacy.Succession{Candidates: []primacy.Status{at("a", 1, 1)}, Replicas: 2})
	})
	t.Run("the silent replica may hold the synchronous copy", func(t *testing.T) {
		requireIncomplete(t, primacy.Succession{Candidates: []primacy.Status{at("a", 1, 1)}, Replicas: 2, Synchronous: 1})
	})
	t.Run("all replicas answered", func(t *testing.T) {
		requireFirst(t, "b", primacy.Succession{
			Candidates: []primacy.Status{at("a", 1, 1), at("b", 1, 2)}, Replicas: 2, Synchronous: 1,
		})
	})
}

func requireFirst(t *testing.T, want string, s primacy.Succession) {
	t.Helper()
	order, complete := s.Order()
	require.True(t, complete)
	require.Equal(t, want, order[0].Server)
}

func requireIncomplete(t *testing.T, s primacy.Succession) {
	t.Helper()
	_, complete := s.Order()
	require.False(t, complete)
}

// Guards against a damaged record that names a primary.
func TestParseRecord(t *testing.T) {
	t.Run("stored and read", func(t *testing.T) {
		data, err := announced(3, "a").Encode()
		require.NoError(t, err)
		got, err := primacy.ParseRecord(data)
		require.NoError(t, err)
		require.Equal(t, announced(3, "a"), got)
	})
	for _, text := range []string{"", "[]", "{}", `{"group":"g"}`, `{"group":"g","term":1}`, `{"group":"g","term":-1,"primary":"a"}`} {
		t.Run("damaged "+text, func(t *testing.T) {
			_, err := primacy.ParseRecord([]byte(text))
			require.Error(t, err)
		})
	}
}
