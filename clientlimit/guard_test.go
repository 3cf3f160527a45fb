package clientlimit_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/clientlimit"
)

const mebibyte = 1 << 20

// Guards against a division that gives away more memory than there is, or that refuses a few thousand sessions or a message
// of the longest size on the smallest known machine.
func TestPlan(t *testing.T) {
	smallest := clientlimit.NewPlan(136*mebibyte, 2410, clientlimit.LinePlace)
	require.Equal(t, 2410, smallest.Places)
	require.Greater(t, smallest.Messages, int64(4*mebibyte))
	require.Greater(t, smallest.State, int64(4*mebibyte))
	rapid.Check(t, func(t *rapid.T) {
		memory := int64(rapid.IntRange(16, 8192).Draw(t, "MiB")) * mebibyte
		p := clientlimit.NewPlan(memory, rapid.IntRange(1, 100_000).Draw(t, "places"), clientlimit.LinePlace)
		require.Positive(t, p.Messages)
		require.Less(t, p.Starting, p.Places+1)
		require.Less(t, int64(p.Places)*12<<10+2*p.State+4*(p.Messages+p.Reserve), memory*6/10+mebibyte)
	})
}

// Guards against a holder that takes everything, and against a holder without anything that finds nothing although there is
// some left.
func TestShare(t *testing.T) {
	for name, c := range map[string]struct {
		share          clientlimit.Share
		held, n        int64
		want, wantRest bool
	}{
		"alone":               {clientlimit.Share{Total: 100}, 0, 80, true, true},
		"alone, beyond share": {clientlimit.Share{Total: 100, Used: 80}, 80, 1, false, true},
		"newcomer":            {clientlimit.Share{Total: 100, Used: 95}, 0, 1, true, true},
		"last":                {clientlimit.Share{Total: 100, Used: 99}, 0, 1, true, true},
		"nothing left":        {clientlimit.Share{Total: 100, Used: 100}, 0, 1, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, c.share.Allows(c.held, c.n, 4))
			require.Equal(t, c.wantRest, c.share.Allows(0, 1, 4))
		})
	}
}

func newGuard(places int) *clientlimit.Guard {
	return clientlimit.NewGuard(clientlimit.Plan{
		Places: places, Starting: 8, State: 100 << 10, Messages: 100 << 10, Reserve: 50 << 10,
	}, &clock.Fake{}, nil)
}

// seat opens a place with a key, or returns nil if it is refused.
func seat(t *testing.T, g *clientlimit.Guard, address, key string) *clientlimit.Place {
	t.Helper()
	p := g.Open(address, func() {})
	if p == nil || p.Seat(key) != nil {
		p.Close()
		return nil
	}
	return p
}

// seatMany opens places until one is refused and returns their number.
func seatMany(t *testing.T, g *clientlimit.Guard, address, key string) int {
	t.Helper()
	n := 0
	for seat(t, g, address, key) != nil {
		n++
	}
	return n
}

// Guards against one key or one address that takes all places.
func TestPlacesAreShared(t *testing.T) {
	t.Run("one key", func(t *testing.T) {
		g := newGuard(108)
		require.Equal(t, 80, seatMany(t, g, "a", "greedy"))
		require.NotNil(t, seat(t, g, "a", "modest"))
	})
	t.Run("one address", func(t *testing.T) {
		g := newGuard(108)
		n := 0
		for i := 0; seat(t, g, "a", fmt.Sprint(i)) != nil; i++ {
			n++
		}
		require.Equal(t, 88, n)
		require.NotNil(t, seat(t, g, "b", "modest"))
	})
	t.Run("a place that is closed is free again", func(t *testing.T) {
		g := newGuard(108)
		for range 500 {
			p := seat(t, g, "a", "greedy")
			require.NotNil(t, p)
			p.Close()
			p.Close()
		}
		require.Zero(t, g.Clients())
	})
}

// Guards against clients without a key that keep others from connecting.
func TestStartingClientsAreEvicted(t *testing.T) {
	g := newGuard(20)
	var evicted []int
	for i := range 30 {
		require.NotNil(t, g.Open("flood", func() { evicted = append(evicted, i) }))
	}
	require.Equal(t, []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}, evicted)
	other := g.Open("other", func() { require.Fail(t, "the address with fewer connections is evicted") })
	for range 30 {
		require.NotNil(t, g.Open("flood", func() {}))
	}
	require.NoError(t, other.Seat("modest"))
	require.Equal(t, uint64(41), g.Total(clientlimit.StartingPlaces))
}

// Guards against messages of some clients that leave no memory for others or for running work, and against memory that is
// not given back.
func TestMessageMemory(t *testing.T) {
	g := newGuard(20)
	greedy, modest := seat(t, g, "a", "greedy"), seat(t, g, "a", "modest")
	require.True(t, greedy.TakeMessage(80<<10, false))
	require.False(t, greedy.TakeMessage(1<<10, false))
	require.True(t, modest.TakeMessage(10<<10, false))
	require.True(t, greedy.TakeMessage(50<<10, true), "running work uses the reserve")
	require.False(t, greedy.TakeMessage(20<<10, true))
	require.True(t, modest.HoldMessage(30<<10))
	modest.Close()
	modest.GiveMessage(40 << 10)
	greedy.GiveMessage(130 << 10)
	greedy.Close()
	require.Zero(t, g.MessageBytes())
	require.False(t, greedy.TakeMessage(1, true), "a place that is closed has no memory")
}

// Guards against session state of some clients that leaves no memory for that of others.
func TestStateMemory(t *testing.T) {
	g := newGuard(20)
	greedy, modest := seat(t, g, "a", "greedy"), seat(t, g, "a", "modest")
	require.NoError(t, greedy.SetState(80<<10))
	require.Error(t, greedy.SetState(90<<10))
	require.NoError(t, modest.SetState(12<<10))
	require.NoError(t, greedy.SetState(1<<10), "less is always allowed")
	modest.Close()
	require.Zero(t, g.StateBytes())
}

// Guards against a log that grows with the number of refusals.
func TestReportsAreRateLimited(t *testing.T) {
	timer := &clock.Fake{}
	lines := 0
	g := clientlimit.NewGuard(clientlimit.Plan{}, timer, func(clientlimit.Limit, uint64) { lines++ })
	for range 1000 {
		g.Report(clientlimit.Places)
	}
	require.Equal(t, 1, lines)
	require.Equal(t, uint64(1000), g.Total(clientlimit.Places))
}
