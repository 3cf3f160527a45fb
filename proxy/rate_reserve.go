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

// maxReserveRecordsAge is the age of the records above which an instance grants nothing from its reserves. Another
// holder is chosen only after this instance was unresponsive for unresponsiveTimeout and its record was marked for
// removalDelay.
const maxReserveRecordsAge = unresponsiveTimeout + primacy.LeaseTTL

// RateReserve holds this instance's share of the organisations' rates and grants operations from it one at a time. In
// each data centre, one instance, chosen by rank, holds a reserve for an organisation. The reserves of an organisation
// are equal and add up to its rate and burst, which limit the operations in every window of the platform's length.
// Splitting a rate among all instances would leave less than one operation each for small organisations, and shares
// that follow demand add up to more than the rate while demand changes. Use NewRateReserve.
type RateReserve struct {
	cfg RateReserveConfig

	mu           sync.Mutex
	version      uint64
	memberNames  string
	membersSince time.Duration
	holders      map[string][]Member
	accounts     map[string]reserveAccount
}

// RateReserveConfig configures a RateReserve.
type RateReserveConfig struct {
	Self      Member
	Timer     port.Timer
	Documents DocumentSource
	Records   func() (Snapshot, bool)
	Tolerance RateTolerance
}

// reserveAccount tracks what was granted from an organisation's reserve. It is immutable.
type reserveAccount struct {
	window allotment.Window
	// heldSince is when this instance became a holder.
	heldSince time.Duration
}

// NewRateReserve returns a reserve from which nothing has been granted.
func NewRateReserve(cfg RateReserveConfig) *RateReserve {
	cfg.Tolerance = cfg.Tolerance.withDefaults()
	return &RateReserve{
		cfg: cfg, membersSince: cfg.Timer.Now(), holders: make(map[string][]Member), accounts: make(map[string]reserveAccount),
	}
}

// Holders returns the instances that hold reserves of the organisation, the one in this data centre first. It is empty
// while no instance is known.
func (r *RateReserve) Holders(organisation string) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh()
	return r.holdersOf(organisation)
}

// Take takes one operation of the organisation from this instance's reserve. It reports whether one was available.
func (r *RateReserve) Take(organisation string) bool {
	index, _ := r.cfg.Documents.CurrentDocument()
	o, found := index.FindOrganisation(organisation)
	if !found {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Timer.Now()
	if records, known := r.cfg.Records(); !known || now-records.RequestedAt > maxReserveRecordsAge {
		return false
	}
	r.refresh()
	holders := r.holdersOf(organisation)
	if !slices.ContainsFunc(holders, r.isSelf) {
		delete(r.accounts, organisation)
		return false
	}
	a, known := r.accounts[organisation]
	if !known {
		a = reserveAccount{window: allotment.NewWindow(r.cfg.Tolerance.Window), heldSince: r.membersSince}
	}
	a.window = a.window.At(now)
	share := r.windowLimit(o, now-a.heldSince) / float64(len(holders))
	granted := float64(a.window.Count()+1) <= share
	if granted {
		a.window = a.window.With(now, 1)
	}
	r.accounts[organisation] = a
	return granted
}

// windowLimit returns how many operations all instances together may take in a window after the reserve has been held
// for the given time. It is lower at first, because another holder or an earlier process of this instance may have
// granted some.
func (r *RateReserve) windowLimit(o document.Organisation, held time.Duration) float64 {
	return min(r.cfg.Tolerance.windowLimit(o), o.Burst/2+o.Rate*held.Seconds())
}

func (r *RateReserve) isSelf(m Member) bool { return m.Incarnation == r.cfg.Self.Incarnation }

// refresh updates the holders if the records have changed. A change of membership may move reserves to other instances;
// an instance that remains a holder keeps its account. mu must be held.
func (r *RateReserve) refresh() {
	records, known := r.cfg.Records()
	if !known || records.Version() == r.version {
		return
	}
	r.version = records.Version()
	clear(r.holders)
	var names []string
	for _, m := range allMembers(records) {
		if !m.Leaving {
			names = append(names, m.DataCentre+"/"+m.Name)
		}
	}
	slices.Sort(names)
	if joined := strings.Join(names, " "); joined != r.memberNames {
		r.memberNames, r.membersSince = joined, r.cfg.Timer.Now()
	}
}

// holdersOf implements Holders. mu must be held.
func (r *RateReserve) holdersOf(organisation string) []Member {
	holders, found := r.holders[organisation]
	if found {
		return holders
	}
	records, _ := r.cfg.Records()
	best := make(map[string]Member)
	for _, m := range allMembers(records) {
		first, known := best[m.DataCentre]
		if !m.Leaving && (!known || rateRank(organisation, m) > rateRank(organisation, first)) {
			best[m.DataCentre] = m
		}
	}
	for _, m := range best {
		holders = append(holders, m)
	}
	slices.SortFunc(holders, func(a, b Member) int {
		if isLocal := a.DataCentre == r.cfg.Self.DataCentre; isLocal != (b.DataCentre == r.cfg.Self.DataCentre) {
			if isLocal {
				return -1
			}
			return 1
		}
		return strings.Compare(a.DataCentre, b.DataCentre)
	})
	r.holders[organisation] = holders
	return holders
}

// allMembers returns the registered instances and those that have recently stopped: a reserve does not move when its
// holder is restarted.
func allMembers(s Snapshot) []Member { return slices.Concat(s.Members, s.Stopped) }

// rateRank ranks instances by name, so that a restarted instance holds the same reserves.
func rateRank(organisation string, m Member) instance.Rank {
	return instance.RankOf("rate/"+organisation, m.Name)
}
