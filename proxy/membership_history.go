package proxy

import (
	"slices"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/primacy"
)

// sampleInterval is the minimum time between two samples.
const sampleInterval = time.Second

// MembershipHistory records which instances were registered within the last primacy.MaxLeaseTTL, and a version of the
// records from before that. It is safe for concurrent use.
type MembershipHistory struct {
	mu sync.Mutex
	// lastRegistered holds the time at which each name was last registered.
	lastRegistered map[string]time.Duration
	// samples are ordered by time; all but the first are younger than primacy.MaxLeaseTTL.
	samples []recordsSample
}

// recordsSample is the newest version of any record at some time.
type recordsSample struct {
	at      time.Duration
	version port.Version
}

// NewMembershipHistory returns an empty history.
func NewMembershipHistory() *MembershipHistory {
	return &MembershipHistory{lastRegistered: make(map[string]time.Duration)}
}

// Record updates the history with the instances registered at now. An instance keeps its name when it is restarted.
func (h *MembershipHistory) Record(records Snapshot, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range slices.Concat(records.Members, records.Stopped) {
		h.lastRegistered[m.Name] = now
	}
	for name, last := range h.lastRegistered {
		if now-last > primacy.MaxLeaseTTL {
			delete(h.lastRegistered, name)
		}
	}
	if n := len(h.samples); n == 0 || now-h.samples[n-1].at >= sampleInterval {
		h.samples = append(h.samples, recordsSample{at: now, version: records.Newest()})
	}
	h.dropOldSamples(now)
}

// dropOldSamples keeps only one sample that is older than primacy.MaxLeaseTTL. mu must be held.
func (h *MembershipHistory) dropOldSamples(now time.Duration) {
	for len(h.samples) > 1 && now-h.samples[1].at > primacy.MaxLeaseTTL {
		h.samples = h.samples[1:]
	}
}

// SettledVersion returns a store version such that every instance registered by then is in every membership list that
// an instance may still rely on, unless its record has been removed since. It returns zero until the history covers
// primacy.MaxLeaseTTL.
func (h *MembershipHistory) SettledVersion(now time.Duration) port.Version {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropOldSamples(now)
	if len(h.samples) == 0 || now-h.samples[0].at <= primacy.MaxLeaseTTL {
		return 0
	}
	return h.samples[0].version
}

// RemovedCount returns how many of the names registered within primacy.MaxLeaseTTL are not among the members. An
// instance that relies on an older list may still ask them for an extension.
func (h *MembershipHistory) RemovedCount(members []Member) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	registered := make(map[string]bool, len(members))
	for _, m := range members {
		registered[m.Name] = true
	}
	n := 0
	for name := range h.lastRegistered {
		if !registered[name] {
			n++
		}
	}
	return n
}

// Confirmations holds the incarnations that have confirmed a replacement, and the greatest SettledVersion that any of
// them reported. The promoter's own history does not suffice, because the promoter may have started just now. Use
// NewConfirmations.
type Confirmations struct {
	incarnations   map[string]bool
	settledVersion port.Version
}

// NewConfirmations returns an empty set of confirmations.
func NewConfirmations() *Confirmations { return &Confirmations{incarnations: make(map[string]bool)} }

// Add records the confirmation of an instance and its SettledVersion.
func (c *Confirmations) Add(incarnation string, settled port.Version) {
	c.incarnations[incarnation] = true
	c.settledVersion = max(c.settledVersion, settled)
}

// Has reports whether the instance has confirmed or has stopped.
func (c *Confirmations) Has(m Member) bool { return m.Stopped || c.incarnations[m.Incarnation] }

// PreventExtensions reports whether the confirmations prevent a majority for extending the lease of any unconfirmed
// instance. An unresponsive instance relies on records that list it and are at most primacy.MaxLeaseTTL old. Its
// membership list therefore contains every instance that was registered before it, or by the settled version, and is
// still registered or has stopped since. removed is the number of instances that may be in its list but are no longer
// registered.
func (c *Confirmations) PreventExtensions(members []Member, removed int) bool {
	for _, unconfirmed := range members {
		if c.Has(unconfirmed) {
			continue
		}
		known := max(unconfirmed.registeredAt(), c.settledVersion)
		certain, unconfirmedCertain, unconfirmedPossible := 0, 0, removed
		for _, m := range members {
			switch isCertain := m.firstRegistered() <= known; {
			case isCertain && c.Has(m):
				certain++
			case isCertain:
				certain++
				unconfirmedCertain++
			case !c.Has(m):
				unconfirmedPossible++
			}
		}
		if !primacy.PreventsExtension(certain, unconfirmedCertain, unconfirmedPossible) {
			return false
		}
	}
	return true
}

// firstRegistered returns a store version that is not before the one at which the instance's name was first registered.
func (m Member) firstRegistered() port.Version {
	if m.FirstRegistered != 0 {
		return m.FirstRegistered
	}
	return m.registeredAt()
}

// registeredAt returns the store version at which this incarnation was registered.
func (m Member) registeredAt() port.Version {
	if m.RegisteredAt != 0 {
		return m.RegisteredAt
	}
	return m.version
}
