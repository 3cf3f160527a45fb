package proxy

import (
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/primacy"
)

// Sightings remembers since when this instance has seen each other one listed. It is safe for concurrent use.
type Sightings struct {
	mu    sync.Mutex
	since map[string]time.Duration
	now   time.Duration
}

// NewSightings returns sightings of nobody.
func NewSightings() *Sightings { return &Sightings{since: make(map[string]time.Duration)} }

// Note takes over which instances are listed at now. A machine that starts anew keeps its name, and stays listed for
// those who know it.
func (s *Sightings) Note(records Snapshot, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = now
	listed := make(map[string]time.Duration, len(records.Members))
	for _, m := range records.Members {
		listed[m.Name] = now
		if since, seen := s.since[m.Name]; seen {
			listed[m.Name] = since
		}
	}
	s.since = listed
}

// Bars reports whether the confirmations keep every majority from extending a lease.
func (s *Sightings) Bars(members []Member, confirmed map[string]bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	long, late, agreed := 0, 0, 0
	for _, m := range members {
		since, seen := s.since[m.Name]
		if !seen || s.now-since <= primacy.MaxLease {
			late++
			continue
		}
		long++
		if confirmed[m.Incarnation] {
			agreed++
		}
	}
	return primacy.Bars(long, late, agreed)
}
