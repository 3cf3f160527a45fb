package dispatch_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
)

func hosts(n int, dataCentres ...string) []dispatch.Host {
	all := make([]dispatch.Host, n)
	for i := range all {
		all[i] = dispatch.Host{Name: fmt.Sprintf("front-%d", i), DataCentre: dataCentres[i%len(dataCentres)]}
	}
	return all
}

// firstOwners counts by host the servers whose first owner it is.
func firstOwners(servers int, hosts []dispatch.Host) map[string]int {
	counts := make(map[string]int)
	for i := range servers {
		l := dispatch.Listing{Name: fmt.Sprintf("i-%d", i), DataCentre: "a"}
		counts[hosts[dispatch.Owners(l, hosts)[0]].Name]++
	}
	return counts
}

// Guards against owners in other data centres, against small instances that own as many pools as large ones, and
// against moving the pools of other instances when one leaves.
func TestOwners(t *testing.T) {
	l := dispatch.Listing{Name: "i-1", DataCentre: "a"}
	t.Run("owners are in the server's data centre", func(t *testing.T) {
		all := hosts(20, "a", "b")
		owners := dispatch.Owners(l, all)
		require.Len(t, owners, 3)
		for _, i := range owners {
			require.Equal(t, "a", all[i].DataCentre)
		}
	})
	t.Run("owners are elsewhere if the data centre has no instance", func(t *testing.T) {
		require.Len(t, dispatch.Owners(l, hosts(20, "b", "c")), 3)
	})
	t.Run("without instances there are no owners", func(t *testing.T) {
		require.Empty(t, dispatch.Owners(l, nil))
	})
	t.Run("pools are divided by weight", func(t *testing.T) {
		all := hosts(4, "a")
		all[0].Weight, all[1].Weight, all[2].Weight, all[3].Weight = 0.8, 0.1, 0.1, 0.1
		counts := firstOwners(4000, all)
		require.InDelta(t, 4000*0.8/1.1, counts["front-0"], 200)
		require.InDelta(t, 4000*0.1/1.1, counts["front-1"], 100)
	})
	t.Run("only the pools of an instance that leaves move", func(t *testing.T) {
		all := hosts(10, "a")
		before, after := firstOwners(1000, all), firstOwners(1000, all[:9])
		for name, n := range before {
			if name != "front-9" {
				require.GreaterOrEqual(t, after[name], n)
			}
		}
	})
}
