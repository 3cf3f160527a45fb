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

// poolServers returns n servers in data centre "a".
func poolServers(n int) []dispatch.PoolServer {
	servers := make([]dispatch.PoolServer, n)
	for i := range servers {
		servers[i] = dispatch.PoolServer{Name: fmt.Sprintf("i-%d", i), DataCentre: "a"}
	}
	return servers
}

// firstOwners returns the name of the first owner of each server's pool.
func firstOwners(servers []dispatch.PoolServer, hosts []dispatch.Host) map[string]string {
	first := make(map[string]string)
	for server, owners := range dispatch.Owners(servers, hosts) {
		first[server] = hosts[owners[0]].Name
	}
	return first
}

// poolCounts counts by host the pools that it owns.
func poolCounts(servers []dispatch.PoolServer, hosts []dispatch.Host) map[string]int {
	counts := make(map[string]int)
	for _, host := range firstOwners(servers, hosts) {
		counts[host]++
	}
	return counts
}

// Guards against owners in other data centres.
func TestOwners(t *testing.T) {
	l := poolServers(1)
	t.Run("owners are in the server's data centre", func(t *testing.T) {
		all := hosts(20, "a", "b")
		owners := dispatch.Owners(l, all)["i-0"]
		require.Len(t, owners, 3)
		for _, i := range owners {
			require.Equal(t, "a", all[i].DataCentre)
		}
		require.NotEqual(t, owners[0], owners[1])
		require.NotEqual(t, owners[1], owners[2])
	})
	t.Run("owners are elsewhere if the data centre has no instance", func(t *testing.T) {
		require.Len(t, dispatch.Owners(l, hosts(20, "b", "c"))["i-0"], 3)
	})
	t.Run("without instances there are no owners", func(t *testing.T) {
		require.Empty(t, dispatch.Owners(l, nil)["i-0"])
	})
}

// Guards against an instance that owns more pools than its processor can serve while others have time left. In
// tilehue-ops-grown trouble-1, instances with 0.134 of a core owned the pools of primaries, whose answers then took
// 140 ms instead of 10, while instances with 0.8 of a core owned few.
func TestOwnersHaveProcessorTime(t *testing.T) {
	t.Run("pools are divided by weight", func(t *testing.T) {
		all := hosts(4, "a")
		all[0].Weight, all[1].Weight, all[2].Weight, all[3].Weight = 0.8, 0.1, 0.1, 0.1
		counts := poolCounts(poolServers(4000), all)
		require.InDelta(t, 4000*0.8/1.1, counts["front-0"], 2)
		require.InDelta(t, 4000*0.1/1.1, counts["front-1"], 2)
	})
	t.Run("a small instance owns a pool only if a large one has less time for it", func(t *testing.T) {
		all := hosts(38, "a")
		for i := range all {
			all[i].Weight = 0.134
		}
		all[3].Weight, all[17].Weight = 0.8, 0.8
		counts := poolCounts(poolServers(10), all)
		require.Equal(t, map[string]int{"front-3": 5, "front-17": 5}, counts)
		for host, n := range poolCounts(poolServers(20), all) {
			if host != "front-3" && host != "front-17" {
				require.Equal(t, 1, n, host)
			}
		}
	})
	t.Run("equal instances own equally many", func(t *testing.T) {
		for host, n := range poolCounts(poolServers(60), hosts(30, "a")) {
			require.Equal(t, 2, n, host)
		}
	})
}

// Guards against pools that move although neither their server nor their owner has changed: each of their connections is
// then opened again.
func TestOwnersAreStable(t *testing.T) {
	for _, c := range []struct{ hosts, servers int }{{33, 20}, {10, 100}, {200, 800}} {
		all, servers := hosts(c.hosts, "a"), poolServers(c.servers)
		for i := range all {
			all[i].Weight = 0.2
			if i%10 == 0 {
				all[i].Weight = 0.8
			}
		}
		before := firstOwners(servers, all)
		t.Run("an instance leaves", func(t *testing.T) {
			owned := 0
			for _, host := range before {
				if host == all[0].Name {
					owned++
				}
			}
			moved := countMoved(before, firstOwners(servers, all[1:]))
			require.GreaterOrEqual(t, moved, owned)
			require.LessOrEqual(t, moved, 3*owned+2)
			countsAfter := poolCounts(servers, all[1:])
			for name, n := range poolCounts(servers, all) {
				if name != all[0].Name {
					require.GreaterOrEqual(t, countsAfter[name], n)
				}
			}
		})
		t.Run("a server leaves", func(t *testing.T) {
			require.LessOrEqual(t, countMoved(before, firstOwners(servers[1:], all)), 4)
		})
	}
}

// countMoved counts the servers of after that have another owner than before.
func countMoved(before, after map[string]string) int {
	moved := 0
	for server, host := range after {
		if before[server] != host {
			moved++
		}
	}
	return moved
}
