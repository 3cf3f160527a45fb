package instance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// WatcherCount is the number of instances that watch a group.
	WatcherCount = 3
	// RelayCount is the number of instances of a data centre that follow the store for the others.
	RelayCount = 2
)

// Watchers returns the instances that watch the group, highest rank first: the WatcherCount instances of the highest
// rendezvous hash, of different data centres where possible. A departing instance is chosen only when too few live.
func Watchers(groupName string, instances []Instance) []Instance {
	ranked := ranked("watcher/"+groupName, instances)
	var chosen, spare []Instance
	for _, i := range ranked {
		if i.State == Departing || slices.ContainsFunc(chosen, i.sharesDataCentre) {
			spare = append(spare, i)
			continue
		}
		chosen = append(chosen, i)
	}
	slices.SortStableFunc(spare, func(a, b Instance) int { return cmp.Compare(a.departing(), b.departing()) })
	return first(append(chosen, spare...), WatcherCount)
}

// Relays returns the instances of the data centre that follow the store for the others, highest rank first.
func Relays(dataCentre string, instances []Instance) []Instance {
	local := slices.DeleteFunc(slices.Clone(instances), func(i Instance) bool { return i.DataCentre != dataCentre })
	ranked := ranked("relay/"+dataCentre, local)
	slices.SortStableFunc(ranked, func(a, b Instance) int { return cmp.Compare(a.departing(), b.departing()) })
	return first(ranked, RelayCount)
}

// RankOf returns the place of the instance among those chosen. It reports false when it is not among them.
func RankOf(incarnation string, chosen []Instance) (int, bool) {
	rank := slices.IndexFunc(chosen, func(i Instance) bool { return i.Incarnation == incarnation })
	return rank, rank >= 0
}

// ranked returns the instances by their rendezvous hash for the key, highest first. An instance that comes or goes
// changes no order between the others.
func ranked(key string, instances []Instance) []Instance {
	instances = slices.Clone(instances)
	slices.SortFunc(instances, func(a, b Instance) int {
		return cmp.Or(
			cmp.Compare(weight(key, b), weight(key, a)),
			cmp.Compare(a.Incarnation, b.Incarnation),
		)
	})
	return instances
}

// weight separates the key from the incarnation, so that no other pair gives the same text.
func weight(key string, i Instance) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(i.Incarnation)
	return d.Sum64()
}

func (i Instance) sharesDataCentre(other Instance) bool { return i.DataCentre == other.DataCentre }

func (i Instance) departing() int {
	if i.State == Departing {
		return 1
	}
	return 0
}

func first(instances []Instance, n int) []Instance { return instances[:min(n, len(instances))] }
