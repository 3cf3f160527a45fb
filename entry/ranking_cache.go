package entry

import (
	"sync"

	"github.com/rhubarbwick/rhubarbwick/instance"
)

// ranking summarises the live instances ranked for a key (rendezvous hashing), for the choice of a limit's home or coordinator.
type ranking struct {
	// live and local are the numbers of live instances in the fleet and in this data centre.
	live, local int
	// first and firstLocal are the highest ranked of these.
	first, firstLocal instance.Instance
}

// rankingCache ranks the listed instances and keeps the results until the list changes, because each statement looks up
// the home and the coordinator of its limit.
type rankingCache struct {
	self instance.Instance
	list func() instance.List

	mu        sync.Mutex
	cachedFor instance.List
	cached    map[string]ranking
}

func newRankingCache(self instance.Instance, list func() instance.List) *rankingCache {
	return &rankingCache{self: self, list: list, cached: make(map[string]ranking)}
}

func (r *rankingCache) get(key string) ranking {
	list := r.list()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !list.IsSame(r.cachedFor) {
		r.cachedFor = list
		clear(r.cached)
	}
	found, ok := r.cached[key]
	if !ok {
		found = rank(list.WithInstance(r.self).Ranked(key), r.self.DataCentre)
		r.cached[key] = found
	}
	return found
}

func rank(ranked []instance.Instance, dataCentre string) ranking {
	r := ranking{live: len(ranked)}
	for n, i := range ranked {
		if n == 0 {
			r.first = i
		}
		if i.DataCentre != dataCentre {
			continue
		}
		if r.local++; r.local == 1 {
			r.firstLocal = i
		}
	}
	return r
}
