package proxy

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/primacy"
)

// staleReserve is the age of the records from which an instance lends nothing. Another one is chosen only after this one was
// silent for silentLimit and its record was marked for leavingLimit.
const staleReserve = silentLimit + primacy.LeaseTTL

// RateReserve holds the part of the rates that this instance lends, operation by operation. One instance of each data
// centre has a reserve of an organisation, chosen by rank; the reserves of an organisation are equal and add up to its rate
// and burst, which bound the operations in every window of the platform's length. A part for each instance would be below
// one operation for small organisations, and parts that follow demand add up to more than the whole while it changes. Use
// NewRateReserve.
type RateReserve struct {
	cfg RateReserveConfig

	mu       sync.Mutex
	version  uint64
	names    string
	since    time.Duration
	homes    map[string][]Member
	accounts map[string]reserveAccount
}

// RateReserveConfig is what a RateReserve needs.
type RateReserveConfig struct {
	Self      Member
	Timer     port.Timer
	Documents DocumentSource
	Records   func() (Snapshot, bool)
	Tolerance RateTolerance
}

// reserveAccount is what was lent of an organisation's reserve. It is never changed in place.
type reserveAccount struct {
	window allotment.Window
	// since is when the instance became the holder of the reserve.
	since time.Duration
}

// NewRateReserve returns a reserve of which nothing was lent.
func NewRateReserve(cfg RateReserveConfig) *RateReserve {
	cfg.Tolerance = cfg.Tolerance.orDefault()
	return &RateReserve{
		cfg: cfg, since: cfg.Timer.Now(), homes: make(map[string][]Member), accounts: make(map[string]reserveAccount),
	}
}

// Homes returns the instances that hold the reserves of the organisation, that of the own data centre first. It is empty
// while no instance is known.
func (r *RateReserve) Homes(organisation string) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh()
	return r.homesOf(organisation)
}

// Take takes one operation of the organisation from this instance's reserve, and reports whether there was one.
func (r *RateReserve) Take(organisation string) bool {
	index, _ := r.cfg.Documents.CurrentDocument()
	o, found := index.FindOrganisation(organisation)
	if !found {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Timer.Now()
	if records, known := r.cfg.Records(); !known || now-records.AskedAt > staleReserve {
		return false
	}
	r.refresh()
	homes := r.homesOf(organisation)
	if !slices.ContainsFunc(homes, r.isSelf) {
		delete(r.accounts, organisation)
		return false
	}
	a, known := r.accounts[organisation]
	if !known {
		a = reserveAccount{window: allotment.NewWindow(r.cfg.Tolerance.Window), since: r.since}
	}
	a.window = a.window.At(now)
	part := r.whole(o, now-a.since) / float64(len(homes))
	granted := float64(a.window.Count()+1) <= part
	if granted {
		a.window = a.window.With(now, 1)
	}
	r.accounts[organisation] = a
	return granted
}

// whole returns how many operations all instances may take in a window, once the reserve has been held for a time. Before
// that, another instance or an earlier start of this one may have lent some.
func (r *RateReserve) whole(o document.Organisation, held time.Duration) float64 {
	return min(r.cfg.Tolerance.whole(o), o.Burst/2+o.Rate*held.Seconds())
}

func (r *RateReserve) isSelf(m Member) bool { return m.Incarnation == r.cfg.Self.Incarnation }

// refresh takes over the newest records. A change of the machines may give reserves to other instances; an instance that
// goes on to hold one keeps its account. The lock is held.
func (r *RateReserve) refresh() {
	records, known := r.cfg.Records()
	if !known || records.Version() == r.version {
		return
	}
	r.version = records.Version()
	clear(r.homes)
	var names []string
	for _, m := range machines(records) {
		if !m.Leaving {
			names = append(names, m.DataCentre+"/"+m.Name)
		}
	}
	slices.Sort(names)
	if joined := strings.Join(names, " "); joined != r.names {
		r.names, r.since = joined, r.cfg.Timer.Now()
	}
}

// homesOf returns Homes. The lock is held.
func (r *RateReserve) homesOf(organisation string) []Member {
	homes, found := r.homes[organisation]
	if found {
		return homes
	}
	records, _ := r.cfg.Records()
	best := make(map[string]Member)
	for _, m := range machines(records) {
		first, known := best[m.DataCentre]
		if !m.Leaving && (!known || rateRank(organisation, m) > rateRank(organisation, first)) {
			best[m.DataCentre] = m
		}
	}
	for _, m := range best {
		homes = append(homes, m)
	}
	slices.SortFunc(homes, func(a, b Member) int {
		if near := a.DataCentre == r.cfg.Self.DataCentre; near != (b.DataCentre == r.cfg.Self.DataCentre) {
			if near {
				return -1
			}
			return 1
		}
		return strings.Compare(a.DataCentre, b.DataCentre)
	})
	r.homes[organisation] = homes
	return homes
}

// machines returns the instances and those that have stopped of late: a reserve does not move because its holder is started
// anew.
func machines(s Snapshot) []Member { return slices.Concat(s.Members, s.Stopped) }

// rateRank ranks by name, so that a machine that starts anew holds the same reserves.
func rateRank(organisation string, m Member) instance.Rank {
	return instance.RankOf("rate/"+organisation, m.Name)
}
