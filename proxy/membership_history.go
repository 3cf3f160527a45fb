package proxy

import (
	"slices"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/primacy"
)

// MembershipHistory remembers since when this instance has seen each other one listed. It is safe for concurrent use.
type MembershipHistory struct {
	mu   sync.Mutex
	seen map[string]membership
	now  time.Duration
}

// membership is when a name was first and last listed.
type membership struct{ first, last time.Duration }

// NewMembershipHistory returns an empty history.
func NewMembershipHistory() *MembershipHistory {
	return &MembershipHistory{seen: make(map[string]membership)}
}

// Note takes over which instances are listed at now. A machine that starts anew keeps its name, and stays listed for
// those who know it.
func (s *MembershipHistory) Note(records Snapshot, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = now
	for _, m := range records.Members {
		if _, known := s.seen[m.Name]; !known {
			s.seen[m.Name] = membership{first: now}
		}
		s.seen[m.Name] = membership{first: s.seen[m.Name].first, last: now}
	}
	for name, sighted := range s.seen {
		if now-sighted.last > primacy.MaxLease {
			delete(s.seen, name)
		}
	}
}

// LongListed returns the names that were listed longer ago than MaxLease.
func (s *MembershipHistory) LongListed() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name, sighted := range s.seen {
		if s.now-sighted.first > primacy.MaxLease {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Confirmations are the instances that have confirmed a replacement, with the names that any of them has seen listed for
// long. The promoter itself may have started just now.
type Confirmations struct {
	incarnations map[string]bool
	longListed   map[string]bool
}

// NewConfirmations returns no confirmation.
func NewConfirmations() Confirmations {
	return Confirmations{incarnations: make(map[string]bool), longListed: make(map[string]bool)}
}

// Add adds the confirmation of an instance.
func (c Confirmations) Add(incarnation string, longListed []string) {
	c.incarnations[incarnation] = true
	for _, name := range longListed {
		c.longListed[name] = true
	}
}

// Has reports whether the instance has confirmed.
func (c Confirmations) Has(m Member) bool { return c.incarnations[m.Incarnation] }

// Bar reports whether the confirmations keep every majority from extending a lease.
func (c Confirmations) Bar(members []Member) bool {
	long, late, agreed := 0, 0, 0
	for _, m := range members {
		if !c.longListed[m.Name] {
			late++
			continue
		}
		long++
		if c.Has(m) {
			agreed++
		}
	}
	return primacy.Bars(long, late, agreed)
}
