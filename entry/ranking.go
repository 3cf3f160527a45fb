package entry

import (
	"sync"

	"github.com/rhubarbwick/rhubarbwick/instance"
)

// ranking is what the choice of a limit's home or steward needs of the live instances, ranked for a key.
type ranking struct {
	// live and near are the numbers of live instances in the fleet and in the own data centre.
	live, near int
	// first and firstNear have the highest rank there.
	first, firstNear instance.Instance
}

// rankings ranks the listed instances and keeps the results until the list changes: each statement asks for the home
// and the steward of its limit.
type rankings struct {
	self instance.Instance
	list func() instance.List

	mu    sync.Mutex
	of    instance.List
	known map[string]ranking
}

func newRankings(self instance.Instance, list func() instance.List) *rankings {
	return &rankings{self: self, list: list, known: make(map[string]ranking)}
}

func (r *rankings) find(key string) ranking {
	list := r.list()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !list.IsSame(r.of) {
		r.of = list
		clear(r.known)
	}
	found, ok := r.known[key]
	if !ok {
		found = rank(list.WithInstance(r.self).Ranked(key), r.self.DataCentre)
		r.known[key] = found
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
		if r.near++; r.near == 1 {
			r.firstNear = i
		}
	}
	return r
}
