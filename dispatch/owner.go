package dispatch

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxOwners is how many instances are tried, one after the other, as the owner of a server's pool. With a third one, a
	// cut between the server and half of the instances still leaves a way to it seven times in eight.
	maxOwners = 3
	// defaultWeight is that of an instance that states none.
	defaultWeight = 1
)

// Host is an instance that may own pools.
type Host struct {
	Name       string
	DataCentre string
	// Weight is the part of the pools that the instance takes in relation to others, for example its processor share.
	Weight float64
}

// Owners returns the positions in hosts of those that own the pool of connections to a server, the first one first; the
// others take over in order while it fails. They are chosen by weighted rendezvous hashing in the server's data centre, so
// that a change of the hosts moves few pools, and elsewhere only if it has no host.
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

// score is the weighted rendezvous score: a host of twice the weight wins twice as many servers.
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
