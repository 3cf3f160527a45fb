package instance_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/instance"
)

func dataCentres(chosen []instance.Instance) int {
	seen := map[string]bool{}
	for _, i := range chosen {
		seen[i.DataCentre] = true
	}
	return len(seen)
}

// Guards against watchers in one data centre, which fail together, against roles that move although their instance
// stayed, and against roles of departing instances.
func TestWatchers(t *testing.T) {
	all := fleet(4, 5).All()[:19]
	list := instance.NewList(all...)
	last := all[18]
	t.Run("only the watchers that left are replaced", func(t *testing.T) {
		moved := 0
		for g := range 100 {
			name := fmt.Sprintf("g%d", g)
			chosen := list.Watchers(name)
			require.Len(t, chosen, instance.WatchersPerGroup)
			require.Equal(t, 3, dataCentres(chosen))
			if _, isWatcher := list.WatcherRank(name, last.Incarnation); isWatcher {
				moved++
				continue
			}
			require.Equal(t, chosen, instance.NewList(all[:18]...).Watchers(name))
		}
		require.InDelta(t, 100*3/19, moved, 12)
	})
	t.Run("all instances of a small fleet are watchers", func(t *testing.T) {
		require.Len(t, fleet(1, 3).Watchers("g"), 3)
		require.Len(t, fleet(1, 2).Watchers("g"), 2)
	})
	t.Run("a departing instance is no watcher", func(t *testing.T) {
		departing := list.Watchers("g")[0].WithState(instance.Departing)
		require.NotContains(t, list.WithInstance(departing).Watchers("g"), departing)
	})
	t.Run("relays are in their data centre", func(t *testing.T) {
		relays := list.Relays("dc1")
		require.Len(t, relays, instance.RelaysPerDataCentre)
		require.Equal(t, 1, dataCentres(relays))
	})
}
