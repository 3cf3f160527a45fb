package instance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/instance"
)

// Guards against serving instances in data centres without a server of the group, and against replacing all of them
// when one departs.
func TestServing(t *testing.T) {
	l := fleet(4, 10)
	two := instance.Service{Group: "g", Number: 6, DataCentres: []string{"dc1", "dc3"}}
	t.Run("data centres with a server get equal numbers", func(t *testing.T) {
		requireDataCentres(t, map[string]int{"dc1": 3, "dc3": 3}, l.Serving(two))
	})
	t.Run("other data centres fill up when these have too few instances", func(t *testing.T) {
		two := two
		two.Number = 22
		chosen := l.Serving(two)
		requireDataCentres(t, map[string]int{"dc1": 10, "dc3": 10}, chosen[:20])
		require.Len(t, chosen, 22)
	})
	t.Run("all instances of a small fleet serve", func(t *testing.T) {
		require.Len(t, fleet(4, 4).Serving(instance.Service{Group: "g", DataCentres: []string{"dc1"}}), 16)
	})
	t.Run("a departing instance is replaced by one other", func(t *testing.T) {
		before := l.Serving(two)
		after := l.WithInstance(before[0].WithState(instance.Departing)).Serving(two)
		require.NotContains(t, after, before[0])
		kept := 0
		for _, i := range before[1:] {
			if contains(after, i) {
				kept++
			}
		}
		require.Equal(t, 5, kept)
	})
}

// Guards against forwarding clients to an instance that failed recently, to another data centre before the local one,
// or from all senders to the same instance.
func TestRouting(t *testing.T) {
	l := fleet(2, 20)
	s := instance.Service{Group: "g", Number: 8, DataCentres: []string{"dc1", "dc2"}}
	self := notServing(l, s, 0)
	r := instance.NewRouting(self).WithList(l).WithServices(s)
	t.Run("instances in the local data centre come first", func(t *testing.T) {
		c := r.Candidates("g", 0)
		requireDataCentres(t, map[string]int{self.DataCentre: 4}, c[:4])
		require.Len(t, c, 8)
	})
	t.Run("a failed instance is skipped until its retry time", func(t *testing.T) {
		first := r.Candidates("g", 0)[0]
		failed := r.WithFailure(first, time.Second)
		require.NotContains(t, failed.Candidates("g", time.Second), first)
		require.Contains(t, failed.Candidates("g", time.Second+instance.ServingRetry), first)
		require.Contains(t, failed.WithSuccess(first).Candidates("g", time.Second), first)
	})
	t.Run("senders prefer different instances", func(t *testing.T) {
		firstChoices := map[string]bool{}
		for n := range 12 {
			other := instance.NewRouting(notServing(l, s, n)).WithList(l).WithServices(s)
			firstChoices[other.Candidates("g", 0)[0].Incarnation] = true
		}
		require.Greater(t, len(firstChoices), 3)
	})
	t.Run("a serving instance does not forward", func(t *testing.T) {
		serving := instance.NewRouting(l.Serving(s)[0]).WithList(l).WithServices(s)
		require.True(t, serving.Serves("g"))
		require.Empty(t, serving.Candidates("g", 0))
		require.Equal(t, []string{"g"}, serving.Served())
	})
	t.Run("serving instances are recomputed when the group or the list changes", func(t *testing.T) {
		fewer := s
		fewer.Number = 2
		require.Equal(t, l.Serving(s), r.WithServices(s).Serving("g"))
		require.Equal(t, l.Serving(fewer), r.WithServices(fewer).Serving("g"))
		require.Equal(t, l.Serving(s), r.WithServices(fewer).WithServices(s).Serving("g"))
		require.Equal(t, l.Serving(s), r.WithList(fleet(2, 30)).WithList(l).Serving("g"))
		small := fleet(2, 3)
		require.Equal(t, small.WithInstance(self).Serving(s), r.WithList(small).Serving("g"))
		require.Empty(t, r.WithServices().Serving("g"))
	})
	t.Run("without a list the instance serves itself", func(t *testing.T) {
		require.True(t, instance.NewRouting(self).WithServices(s).Serves("g"))
	})
}

// notServing returns the nth instance that does not serve.
func notServing(l instance.List, s instance.Service, n int) instance.Instance {
	serving := l.Serving(s)
	for _, i := range l.All() {
		if !contains(serving, i) {
			if n == 0 {
				return i
			}
			n--
		}
	}
	return instance.Instance{}
}

func contains(all []instance.Instance, one instance.Instance) bool {
	for _, i := range all {
		if i.Incarnation == one.Incarnation {
			return true
		}
	}
	return false
}

func requireDataCentres(t *testing.T, want map[string]int, chosen []instance.Instance) {
	t.Helper()
	got := map[string]int{}
	for _, i := range chosen {
		got[i.DataCentre]++
	}
	require.Equal(t, want, got)
}
