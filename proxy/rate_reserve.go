package proxy

import (
	"cmp"
	"maps"
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
// that follow demand add up to more than the rate while demand changes. A reserve is a token bucket: an organisation that
// asks for more than its rate is granted operations evenly, and a lower limit applies without a pause. Use
// NewRateReserve.
type RateReserve struct {
	cfg RateReserveConfig

	mu           sync.Mutex
	version      uint64
	memberNames  string
	membersSince time.Duration
	holders      map[holdersKey][]Member
	accounts     map[string]allotment.Bucket
}

// holdersKey identifies the holders of an organisation's reserves; they change with its limit.
type holdersKey struct {
	organisation string
	limit        int
}

// RateReserveConfig configures a RateReserve.
type RateReserveConfig struct {
	Self      Member
	Timer     port.Timer
	Documents DocumentSource
	Records   func() (Snapshot, bool)
	Tolerance RateTolerance
}

// NewRateReserve returns a reserve from which nothing has been granted.
func NewRateReserve(cfg RateReserveConfig) *RateReserve {
	cfg.Tolerance = cfg.Tolerance.withDefaults()
	return &RateReserve{
		cfg: cfg, membersSince: cfg.Timer.Now(), holders: make(map[holdersKey][]Member), accounts: make(map[string]allotment.Bucket),
	}
}

// Holders returns the instances that hold reserves of the organisation, the one in this data centre first. It is empty
// while no instance is known.
func (r *RateReserve) Holders(o document.Organisation) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refresh()
	return r.holdersOf(o)
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
	holders := r.holdersOf(o)
	if !slices.ContainsFunc(holders, r.isSelf) {
		delete(r.accounts, organisation)
		return false
	}
	account, known := r.accounts[organisation]
	if !known {
		account = r.newAccount(o, len(holders))
	}
	account, granted := account.WithShare(now, r.cfg.Tolerance.share(o, len(holders))).Take(now, allotment.Statement)
	r.accounts[organisation] = account
	return granted
}

// newAccount returns the bucket of a reserve that this instance begins to hold. Another holder, or an earlier process of
// this instance, may have granted everything up to now. Beyond the rate since the last change of the membership, it
// holds only what the platform tolerates on top of that, or minReserve operations if that is less.
func (r *RateReserve) newAccount(o document.Organisation, holders int) allotment.Bucket {
	share := r.cfg.Tolerance.share(o, holders)
	tolerated := r.cfg.Tolerance.excess(o) * (1 - toleranceFraction) / float64(holders)
	return allotment.Bucket{}.WithShare(r.membersSince, share).WithTokens(r.membersSince, allotment.ToStatements(max(tolerated, minReserve)))
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

// holdersOf implements Holders. A small organisation has holders in some data centres only. mu must be held.
func (r *RateReserve) holdersOf(o document.Organisation) []Member {
	limit := r.cfg.Tolerance.maxHolders(o)
	key := holdersKey{o.Name, limit}
	if holders, found := r.holders[key]; found {
		return holders
	}
	records, _ := r.cfg.Records()
	best := make(map[string]Member)
	for _, m := range allMembers(records) {
		first, known := best[m.DataCentre]
		if !m.Leaving && (!known || rateRank(o.Name, m) > rateRank(o.Name, first)) {
			best[m.DataCentre] = m
		}
	}
	holders := slices.SortedFunc(maps.Values(best), func(a, b Member) int {
		return cmp.Compare(rateRank(o.Name, b), rateRank(o.Name, a))
	})
	holders = holders[:min(len(holders), limit)]
	slices.SortFunc(holders, func(a, b Member) int {
		if isLocal := a.DataCentre == r.cfg.Self.DataCentre; isLocal != (b.DataCentre == r.cfg.Self.DataCentre) {
			if isLocal {
				return -1
			}
			return 1
		}
		return strings.Compare(a.DataCentre, b.DataCentre)
	})
	r.holders[key] = holders
	return holders
}

// allMembers returns the registered instances and those that have recently stopped: a reserve does not move when its
// holder is restarted.
func allMembers(s Snapshot) []Member { return slices.Concat(s.Members, s.Stopped) }

// rateRank ranks instances by name, so that a restarted instance holds the same reserves.
func rateRank(organisation string, m Member) instance.Rank {
	return instance.RankOf("rate/"+organisation, m.Name)
}
