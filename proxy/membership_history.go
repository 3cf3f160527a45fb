package proxy

import (
	"slices"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/primacy"
)

// sampleStep is the time between two states of the records that are remembered.
const sampleStep = time.Second

// MembershipHistory remembers which instances were listed within MaxLease, and which state of the records is older. It is
// safe for concurrent use.
type MembershipHistory struct {
	mu sync.Mutex
	// seen holds when each name was last listed.
	seen map[string]time.Duration
	// samples are states of the records by age; all but the first are younger than MaxLease.
	samples []recordsSample
}

// recordsSample is the newest version of any record at an instant.
type recordsSample struct {
	at      time.Duration
	version port.Version
}

// NewMembershipHistory returns an empty history.
func NewMembershipHistory() *MembershipHistory {
	return &MembershipHistory{seen: make(map[string]time.Duration)}
}

// Note takes over which instances are listed at now. A machine that starts anew keeps its name.
func (s *MembershipHistory) Note(records Snapshot, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range slices.Concat(records.Members, records.Stopped) {
		s.seen[m.Name] = now
	}
	for name, last := range s.seen {
		if now-last > primacy.MaxLeaseTTL {
			delete(s.seen, name)
		}
	}
	if n := len(s.samples); n == 0 || now-s.samples[n-1].at >= sampleStep {
		s.samples = append(s.samples, recordsSample{at: now, version: records.Newest()})
	}
	s.forget(now)
}

// forget keeps one sample that is older than MaxLease. The lock is held.
func (s *MembershipHistory) forget(now time.Duration) {
	for len(s.samples) > 1 && now-s.samples[1].at > primacy.MaxLeaseTTL {
		s.samples = s.samples[1:]
	}
}

// SettledVersion returns a version of the store such that whoever was listed by then is in every list that an instance may
// still count on, unless its record was removed since. It is zero soon after the start.
func (s *MembershipHistory) SettledVersion(now time.Duration) port.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	if len(s.samples) == 0 || now-s.samples[0].at <= primacy.MaxLeaseTTL {
		return 0
	}
	return s.samples[0].version
}

// Removed returns how many of the names that were listed within MaxLease are not among the members. An instance that counts
// on an older list may ask them.
func (s *MembershipHistory) Removed(members []Member) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make(map[string]bool, len(members))
	for _, m := range members {
		listed[m.Name] = true
	}
	n := 0
	for name := range s.seen {
		if !listed[name] {
			n++
		}
	}
	return n
}

// Confirmations are the incarnations that have confirmed a replacement, and the greatest SettledVersion that any of them
// told. The promoter itself may have started just now. Use NewConfirmations.
type Confirmations struct {
	incarnations map[string]bool
	settled      port.Version
}

// NewConfirmations returns no confirmation.
func NewConfirmations() *Confirmations { return &Confirmations{incarnations: make(map[string]bool)} }

// Add adds the confirmation of an instance.
func (c *Confirmations) Add(incarnation string, settled port.Version) {
	c.incarnations[incarnation] = true
	c.settled = max(c.settled, settled)
}

// Has reports whether the instance has confirmed, or has stopped.
func (c *Confirmations) Has(m Member) bool { return m.Stopped || c.incarnations[m.Incarnation] }

// Bar reports whether the confirmations keep every instance that did not confirm from having its lease extended. A silent
// instance relies on records that list it and are not older than MaxLease, so its list has all that were listed before
// either and still are, and those that have stopped since. removed is the number of instances that may be in its list and are listed no more.
func (c *Confirmations) Bar(members []Member, removed int) bool {
	for _, silent := range members {
		if c.Has(silent) {
			continue
		}
		known := max(silent.listedAt(), c.settled)
		sure, unconfirmedSure, unconfirmedLate := 0, 0, removed
		for _, m := range members {
			switch isSure := m.firstListed() <= known; {
			case isSure && c.Has(m):
				sure++
			case isSure:
				sure++
				unconfirmedSure++
			case !c.Has(m):
				unconfirmedLate++
			}
		}
		if !primacy.PreventsExtension(sure, unconfirmedSure, unconfirmedLate) {
			return false
		}
	}
	return true
}

// firstListed returns a version of the store that is not before the one at which the instance's name was first listed.
func (m Member) firstListed() port.Version {
	if m.First != 0 {
		return m.First
	}
	return m.listedAt()
}

// listedAt returns the version of the store at which this start of the instance was listed.
func (m Member) listedAt() port.Version {
	if m.Listed != 0 {
		return m.Listed
	}
	return m.version
}
