package instance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/instance"
)

// Guards against roles that depend on the order of the list, go to departing instances, or all move when one instance
// leaves.
func TestListRoles(t *testing.T) {
	l := fleet(3, 5)
	t.Run("relays do not depend on the order of the list", func(t *testing.T) {
		all := l.All()
		all[0], all[7] = all[7], all[0]
		require.Equal(t, l.Relays("dc2"), instance.NewList(all...).Relays("dc2"))
	})
	t.Run("relays are in their data centre", func(t *testing.T) {
		relays := l.Relays("dc2")
		require.Len(t, relays, instance.RelaysPerDataCentre)
		for _, r := range relays {
			require.Equal(t, "dc2", r.DataCentre)
			require.True(t, l.IsRelay(r))
		}
	})
	t.Run("a departing instance loses its role", func(t *testing.T) {
		relays := l.Relays("dc2")
		after := l.WithInstance(relays[0].WithState(instance.Departing))
		require.Equal(t, relays[1], after.Relays("dc2")[0])
		require.Equal(t, l.Relays("dc1"), after.Relays("dc1"))
		require.Equal(t, l.DataCentres(), after.DataCentres())
	})
	t.Run("watchers of a group are in different data centres", func(t *testing.T) {
		dataCentres := map[string]bool{}
		for _, w := range l.Watchers("g") {
			dataCentres[w.DataCentre] = true
		}
		require.Len(t, dataCentres, instance.WatchersPerGroup)
		require.Len(t, fleet(1, 5).Watchers("g"), instance.WatchersPerGroup)
	})
	t.Run("the fleet has one first relay", func(t *testing.T) {
		n := 0
		for _, i := range l.All() {
			if l.IsFirstRelay(i) {
				n++
			}
		}
		require.Equal(t, 1, n)
	})
}

// Guards against asking a failed source again before its retry time, and against all instances reading the store when a
// relay is available.
func TestSources(t *testing.T) {
	l := fleet(3, 5)
	relays := l.Relays("dc1")
	self := other(l, relays)
	s := instance.NewSources(self, "seed").WithList(l)
	t.Run("relays, seed and store are tried in this order", func(t *testing.T) {
		s := s
		for _, want := range []string{"relay", "relay", "seed", "store"} {
			source := s.Next(time.Second)
			requireSource(t, want, source, relays)
			s = s.WithFailure(source, time.Second)
		}
		requireSource(t, "store", s.Next(time.Second+instance.StoreRetry), relays)
		requireSource(t, "relay", s.Next(time.Second+instance.RelayRetry), relays)
	})
	t.Run("the source with the oldest failure is tried when all have failed", func(t *testing.T) {
		s := s
		first := s.Next(0)
		for i := range 4 {
			s = s.WithFailure(s.Next(0), time.Duration(i))
		}
		require.Equal(t, first, s.Next(4))
	})
	t.Run("a relay uses the store and asks one relay of each other data centre", func(t *testing.T) {
		s := instance.NewSources(relays[0]).WithList(l)
		requireSource(t, "store", s.WithFailure(instance.FromStore{}, 0).Next(0), relays)
		require.Equal(t, []string{relays[1].Address, l.Relays("dc2")[0].Address, l.Relays("dc3")[0].Address}, s.Peers(0))
		s = s.WithFailure(instance.FromRelay{Address: l.Relays("dc2")[0].Address}, 0)
		require.Equal(t, l.Relays("dc2")[1].Address, s.Peers(1)[1])
	})
	t.Run("an instance that is no relay asks no peers", func(t *testing.T) { require.Empty(t, s.Peers(0)) })
}

func fleet(centres, perCentre int) instance.List {
	var instances []instance.Instance
	for c := range centres {
		for i := range perCentre {
			name := fmt.Sprintf("i%d-%d", c+1, i)
			instances = append(instances, instance.Instance{
				Incarnation: name, Address: name, DataCentre: fmt.Sprintf("dc%d", c+1), State: instance.Live,
			})
		}
	}
	return instance.NewList(instances...)
}

// other returns an instance of dc1 that is no relay.
func other(l instance.List, relays []instance.Instance) instance.Instance {
	for _, i := range l.All() {
		if i.DataCentre == "dc1" && i != relays[0] && i != relays[1] {
			return i
		}
	}
	return instance.Instance{}
}

func requireSource(t *testing.T, want string, source instance.Source, relays []instance.Instance) {
	t.Helper()
	got := "store"
	if r, ok := source.(instance.FromRelay); ok {
		got = r.Address
		if r.Address == relays[0].Address || r.Address == relays[1].Address {
			got = "relay"
		}
	}
	require.Equal(t, want, got)
}
