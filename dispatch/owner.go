package dispatch

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxOwners is how many instances are tried in turn as the owner of a server's pool. When half of the instances are
	// partitioned from the server, three owners still reach it with a probability of seven in eight.
	maxOwners = 3
	// defaultWeight is the weight of an instance that specifies none.
	defaultWeight = 1
)

// Host is an instance that may own connection pools.
type Host struct {
	Name       string
	DataCentre string
	// Weight is the processor time of the instance relative to others, for example its CPU share.
	Weight float64
}

// weight returns the weight, or defaultWeight if none is specified.
func (h Host) weight() float64 {
	if h.Weight <= 0 {
		return defaultWeight
	}
	return h.Weight
}

// PoolServer is a server whose connection pool has to be owned.
type PoolServer struct {
	Name       string
	DataCentre string
}

// Owners returns for each server the indices in hosts of the owners of its connection pool. The first one owns the pool,
// and the others take over in order while it fails. They are in the server's data centre, or elsewhere only if that has
// no host.
//
// The owner of a pool handles all traffic of its server. The hosts of a data centre therefore own as many pools as leave
// the most processor time for the pool that has least: a host takes another pool only while no other host would have
// more for it. Which pools a host owns is chosen by rendezvous hashing, so that a change of the hosts or servers moves
// few of them.
func Owners(servers []PoolServer, hosts []Host) map[string][]int {
	local := make(map[string][]int)
	all := make([]int, len(hosts))
	for i, h := range hosts {
		local[h.DataCentre] = append(local[h.DataCentre], i)
		all[i] = i
	}
	byDataCentre := make(map[string][]string)
	for _, s := range servers {
		byDataCentre[s.DataCentre] = append(byDataCentre[s.DataCentre], s.Name)
	}
	owners := make(map[string][]int, len(servers))
	for dataCentre, names := range byDataCentre {
		candidates := local[dataCentre]
		if len(candidates) == 0 {
			candidates = all
		}
		for server, first := range firstOwners(names, hosts, candidates) {
			owners[server] = withSubstitutes(server, first, hosts, candidates)
		}
	}
	return owners
}

// firstOwners assigns each server to one of the candidates.
func firstOwners(servers []string, hosts []Host, candidates []int) map[string]int {
	type pair struct {
		score        uint64
		server, host int
	}
	pools := poolCounts(len(servers), hosts, candidates)
	pairs := make([]pair, 0, len(servers)*len(pools))
	for host := range pools {
		for server, name := range servers {
			pairs = append(pairs, pair{score: rendezvous(name, hosts[host]), server: server, host: host})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Or(cmp.Compare(hosts[a.host].Name, hosts[b.host].Name), cmp.Compare(servers[a.server], servers[b.server]))
	})
	owners := make(map[string]int, len(servers))
	for _, p := range pairs {
		name := servers[p.server]
		if _, found := owners[name]; !found && pools[p.host] > 0 {
			owners[name] = p.host
			pools[p.host]--
		}
	}
	return owners
}

// poolCounts returns how many of n pools each candidate owns. One after the other goes to the host whose weight for each
// pool is then the largest, and among equal ones to the first by name.
func poolCounts(n int, hosts []Host, candidates []int) map[int]int {
	counts := make(map[int]int, len(candidates))
	if len(candidates) == 0 {
		return counts
	}
	perPool := func(i int) float64 { return hosts[i].weight() / float64(counts[i]+1) }
	for range n {
		counts[slices.MaxFunc(candidates, func(a, b int) int {
			if c := cmp.Compare(perPool(a), perPool(b)); c != 0 {
				return c
			}
			return cmp.Compare(hosts[b].Name, hosts[a].Name)
		})]++
	}
	return counts
}

// withSubstitutes returns the owner of a server's pool and those who take over, by weighted rendezvous hashing.
func withSubstitutes(server string, first int, hosts []Host, candidates []int) []int {
	substitutes := slices.DeleteFunc(slices.Clone(candidates), func(i int) bool { return i == first })
	slices.SortFunc(substitutes, func(a, b int) int {
		return cmp.Or(cmp.Compare(score(server, hosts[b]), score(server, hosts[a])), cmp.Compare(hosts[a].Name, hosts[b].Name))
	})
	return append([]int{first}, substitutes[:min(len(substitutes), maxOwners-1)]...)
}

// score returns the weighted rendezvous score: a host of twice the weight has the highest score for twice as many
// servers.
func score(server string, h Host) float64 {
	const significant = 53
	uniform := (float64(rendezvous(server, h)>>(64-significant)) + 0.5) / (1 << significant)
	return h.weight() / -math.Log(uniform)
}

func rendezvous(server string, h Host) uint64 { return xxhash.Sum64String(server + "\x00" + h.Name) }
