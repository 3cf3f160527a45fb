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
	// Weight is the number of pools that the instance owns relative to others, for example its CPU share.
	Weight float64
}

// Owners returns the indices in hosts of the owners of the connection pool of a server. The first one owns the pool,
// and the others take over in order while it fails. They are chosen by weighted rendezvous hashing, so that a change of
// the hosts moves few pools, from the server's data centre, and from others only when that has no host.
func Owners(l Listing, hosts []Host) []int {
	type candidate struct {
		index int
		score float64
	}
	var local, remote []candidate
	for i, h := range hosts {
		p := candidate{index: i, score: score(l.Name, h)}
		if h.DataCentre == l.DataCentre {
			local = append(local, p)
		} else {
			remote = append(remote, p)
		}
	}
	candidates := local
	if len(local) == 0 {
		candidates = remote
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(hosts[a.index].Name, hosts[b.index].Name))
	})
	owners := make([]int, 0, maxOwners)
	for _, p := range candidates[:min(len(candidates), maxOwners)] {
		owners = append(owners, p.index)
	}
	return owners
}

// score returns the weighted rendezvous score: a host of twice the weight owns twice as many pools.
func score(server string, h Host) float64 {
	weight := h.Weight
	if weight <= 0 {
		weight = defaultWeight
	}
	const significant = 53
	hash := xxhash.Sum64String(server + "\x00" + h.Name)
	uniform := (float64(hash>>(64-significant)) + 0.5) / (1 << significant)
	return weight / -math.Log(uniform)
}
