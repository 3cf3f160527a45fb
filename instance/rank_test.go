package instance_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/instance"
)

func fleet(n, dataCentres int) []instance.Instance {
	var all []instance.Instance
	for i := range n {
		all = append(all, instance.Instance{
			Incarnation: fmt.Sprintf("i%d", i), DataCentre: fmt.Sprintf("dc%d", i%dataCentres), State: instance.Live,
		})
	}
	return all
}

func dataCentres(chosen []instance.Instance) int {
	seen := map[string]bool{}
	for _, i := range chosen {
		seen[i.DataCentre] = true
	}
	return len(seen)
}

// Guards against watchers that fail together, roles that move without need, and roles of departing instances.
func TestRoles(t *testing.T) {
	all := fleet(19, 4)
	moved := 0
	for g := range 100 {
		name := fmt.Sprintf("g%d", g)
		chosen := instance.Watchers(name, all)
		require.Len(t, chosen, instance.WatcherCount)
		require.Equal(t, 3, dataCentres(chosen))
		if _, was := instance.RankOf("i18", chosen); !was {
			require.Equal(t, chosen, instance.Watchers(name, all[:18]))
		} else {
			moved++
		}
	}
	require.InDelta(t, 100*3/19, moved, 12)
	require.Len(t, instance.Watchers("g", fleet(3, 1)), 3)
	require.Len(t, instance.Watchers("g", fleet(2, 1)), 2)
	gone, _ := instance.RankOf(instance.Watchers("g", all)[0].Incarnation, all)
	all[gone] = all[gone].WithState(instance.Departing)
	require.NotContains(t, instance.Watchers("g", all), all[gone])
	require.Len(t, instance.Relays("dc1", all), instance.RelayCount)
	require.Equal(t, 1, dataCentres(instance.Relays("dc1", all)))
}
