package instance

import (
	"cmp"
	"slices"
	"time"
)

const (
	// DefaultServing is the number of serving instances of a group that does not configure one. A server accepts about
	// 50 connections, and each serving instance keeps one of them.
	DefaultServing = 16
	// ServingRetry is how long a serving instance is skipped after a failure.
	ServingRetry = 10 * time.Second
)

// Service selects the instances that serve a group. A zero Number means DefaultServing.
type Service struct {
	Group  string
	Number int
	// DataCentres lists the data centres that have a server of the group.
	DataCentres []string
}

func (s Service) equal(other Service) bool {
	return s.Group == other.Group && s.Number == other.Number && slices.Equal(s.DataCentres, other.DataCentres)
}

// Serving returns the serving instances of a group. They are chosen by rank, round-robin over the data centres that
// have a server of the group, and from other data centres only when these have too few instances. When the fleet has no
// more live instances than the number, all of them serve.
func (l List) Serving(s Service) []Instance {
	number := s.Number
	if number == 0 {
		number = DefaultServing
	}
	ranked := l.Ranked("serving/" + s.Group)
	if number >= len(ranked) {
		return ranked
	}
	local := make(map[string][]Instance)
	var dataCentres []string
	var remote []Instance
	for _, i := range ranked {
		if !slices.Contains(s.DataCentres, i.DataCentre) {
			remote = append(remote, i)
			continue
		}
		if len(local[i.DataCentre]) == 0 {
			dataCentres = append(dataCentres, i.DataCentre)
		}
		local[i.DataCentre] = append(local[i.DataCentre], i)
	}
	chosen := append(interleave(dataCentres, local), remote...)
	return chosen[:number]
}

// interleave returns the first instance of each data centre, then the second of each, and so on.
func interleave(dataCentres []string, byDataCentre map[string][]Instance) []Instance {
	var chosen []Instance
	for index, more := 0, true; more; index++ {
		more = false
		for _, name := range dataCentres {
			if index < len(byDataCentre[name]) {
				chosen = append(chosen, byDataCentre[name][index])
				more = true
			}
		}
	}
	return chosen
}

// Routing decides whether an instance serves a group, and to which instance it forwards a client otherwise. A Routing
// is immutable.
type Routing struct {
	self Instance
	list List
	// services holds the groups of the document by name, and serving the instances that serve each of them.
	services map[string]Service
	serving  map[string][]Instance
	// failed is keyed by incarnation.
	failed failures
}

// NewRouting returns the routing of an instance that knows neither other instances nor groups.
func NewRouting(self Instance) Routing { return Routing{self: self, list: NewList(self)} }

// WithList returns the routing with the platform's list. The instance adds itself, because the list lags.
func (r Routing) WithList(l List) Routing {
	r.list = l.WithInstance(r.self)
	r.serving = make(map[string][]Instance, len(r.services))
	for name, s := range r.services {
		r.serving[name] = r.list.Serving(s)
	}
	return r
}

// WithServices returns the routing with the groups of another document. It recomputes the serving instances only for
// the groups that have changed, because most changes of the document affect none of them.
func (r Routing) WithServices(services ...Service) Routing {
	before, chosen := r.services, r.serving
	r.services = make(map[string]Service, len(services))
	r.serving = make(map[string][]Instance, len(services))
	for _, s := range services {
		r.services[s.Group] = s
		if old, known := before[s.Group]; known && old.equal(s) {
			r.serving[s.Group] = chosen[s.Group]
			continue
		}
		r.serving[s.Group] = r.list.Serving(s)
	}
	return r
}

// WithFailure returns the routing after the instance was unreachable or refused to serve.
func (r Routing) WithFailure(i Instance, now time.Duration) Routing {
	r.failed = r.failed.with(i.Incarnation, now, ServingRetry)
	return r
}

// WithFailuresOf returns the routing with the failures recorded in another one.
func (r Routing) WithFailuresOf(other Routing) Routing {
	r.failed = other.failed
	return r
}

// WithSuccess returns the routing after the instance accepted a client.
func (r Routing) WithSuccess(i Instance) Routing {
	r.failed = r.failed.without(i.Incarnation)
	return r
}

// Serving returns the serving instances of the group. A group that is not in the document has none.
func (r Routing) Serving(group string) []Instance {
	return slices.Clone(r.serving[group])
}

// Serves reports whether this instance serves the group.
func (r Routing) Serves(group string) bool {
	return slices.ContainsFunc(r.serving[group], func(i Instance) bool { return i.Incarnation == r.self.Incarnation })
}

// Served returns the sorted names of the groups that this instance serves.
func (r Routing) Served() []string {
	var names []string
	for name := range r.services {
		if r.Serves(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Candidates returns the instances to which a client of the group may be forwarded, in order of preference: those in
// the same data centre, then the others. Within each part they are ordered by a rank that differs between senders, so
// that the clients of many instances are spread. Instances that failed recently are left out. The result is empty when
// this instance serves the group.
func (r Routing) Candidates(group string, now time.Duration) []Instance {
	if r.Serves(group) {
		return nil
	}
	candidates := slices.DeleteFunc(r.Serving(group), func(i Instance) bool {
		return r.failed.isRecent(i.Incarnation, now, ServingRetry)
	})
	key := "forward/" + r.self.Incarnation + "/" + group
	slices.SortStableFunc(candidates, func(a, b Instance) int {
		if near := a.DataCentre == r.self.DataCentre; near != (b.DataCentre == r.self.DataCentre) {
			if near {
				return -1
			}
			return 1
		}
		return cmp.Compare(RankOf(key, b.Incarnation), RankOf(key, a.Incarnation))
	})
	return candidates
}
