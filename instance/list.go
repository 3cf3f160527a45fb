package instance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// RelaysPerDataCentre is the number of instances in a data centre that watch the store on behalf of the others.
	RelaysPerDataCentre = 2
	// WatchersPerGroup is the number of instances that monitor a group.
	WatchersPerGroup = 3

	relayKey = "relay"
)

// Rank is the rendezvous hash of an instance for a key. The instances of highest rank get the role.
type Rank uint64

// RankOf returns the rank of the incarnation for the key. Every instance computes the same rank.
func RankOf(key, incarnation string) Rank {
	return Rank(xxhash.Sum64String(key + "\x00" + incarnation))
}

// List is the platform's list of instances. It lags behind the actual fleet. A List is immutable; the zero value is an
// empty list.
type List struct {
	instances []Instance
}

// NewList returns a list of the instances, without those that lack an incarnation or an address.
func NewList(instances ...Instance) List {
	kept := slices.DeleteFunc(slices.Clone(instances), func(i Instance) bool {
		return i.Incarnation == "" || i.Address == ""
	})
	slices.SortFunc(kept, func(a, b Instance) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return List{instances: kept}
}

// All returns the listed instances, ordered by incarnation.
func (l List) All() []Instance { return slices.Clone(l.instances) }

// Len returns the number of listed instances.
func (l List) Len() int { return len(l.instances) }

// Equal reports whether both lists hold the same instances in the same states.
func (l List) Equal(other List) bool { return slices.Equal(l.instances, other.instances) }

// IsSame reports whether other is this very list, not merely an equal one. It takes constant time, so that results
// computed from a list can be cached by it.
func (l List) IsSame(other List) bool {
	return len(l.instances) == len(other.instances) && (len(l.instances) == 0 || &l.instances[0] == &other.instances[0])
}

// WithInstance returns a list with the instance added, or replaced when its incarnation is listed already.
func (l List) WithInstance(i Instance) List {
	others := slices.DeleteFunc(l.All(), func(other Instance) bool { return other.Incarnation == i.Incarnation })
	return NewList(append(others, i)...)
}

// DataCentres returns the data centres that have a listed instance, sorted. Departing instances count, because they may
// still accept a change.
func (l List) DataCentres() []string {
	var names []string
	for _, i := range l.instances {
		names = append(names, i.DataCentre)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Ranked returns the live instances in descending order of rank for the key.
func (l List) Ranked(key string) []Instance {
	type candidate struct {
		index int
		rank  Rank
	}
	candidates := make([]candidate, 0, len(l.instances))
	for index, i := range l.instances {
		if i.State == Live {
			candidates = append(candidates, candidate{index, RankOf(key, i.Incarnation)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.rank, a.rank) })
	live := make([]Instance, len(candidates))
	for n, c := range candidates {
		live[n] = l.instances[c.index]
	}
	return live
}

// Relays returns the relays of a data centre in descending order of rank.
func (l List) Relays(dataCentre string) []Instance {
	near := slices.DeleteFunc(l.Ranked(relayKey), func(i Instance) bool { return i.DataCentre != dataCentre })
	return near[:min(len(near), RelaysPerDataCentre)]
}

// IsRelay reports whether the instance is a relay of its data centre.
func (l List) IsRelay(i Instance) bool {
	return slices.ContainsFunc(l.Relays(i.DataCentre), func(r Instance) bool { return r.Incarnation == i.Incarnation })
}

// IsFirstRelay reports whether the instance is the relay that performs the tasks that run once in the whole fleet.
func (l List) IsFirstRelay(i Instance) bool {
	for _, name := range l.DataCentres() {
		if relays := l.Relays(name); len(relays) > 0 {
			return relays[0].Incarnation == i.Incarnation
		}
	}
	return false
}

// Watchers returns the instances that monitor the group in descending order of rank. They are in different data centres
// as far as there are enough of them.
func (l List) Watchers(groupName string) []Instance {
	var watchers, others []Instance
	used := make(map[string]bool)
	for _, i := range l.Ranked("group/" + groupName) {
		if used[i.DataCentre] {
			others = append(others, i)
			continue
		}
		used[i.DataCentre] = true
		watchers = append(watchers, i)
	}
	watchers = append(watchers, others...)
	return watchers[:min(len(watchers), WatchersPerGroup)]
}

// WatcherRank returns the index of the incarnation among the watchers of the group, and false when it is not one.
func (l List) WatcherRank(groupName, incarnation string) (int, bool) {
	rank := slices.IndexFunc(l.Watchers(groupName), func(i Instance) bool { return i.Incarnation == incarnation })
	return rank, rank >= 0
}
