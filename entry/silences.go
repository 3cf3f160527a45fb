package entry

import (
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/port"
)

// silences holds the addresses of instances that did not answer, which are left alone for HomeRetry.
type silences struct {
	timer port.Timer

	mu sync.Mutex
	at map[string]time.Duration
}

func newSilences(timer port.Timer) *silences {
	return &silences{timer: timer, at: make(map[string]time.Duration)}
}

func (s *silences) note(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at[address] = s.timer.Now()
}

func (s *silences) has(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.at[address]
	if ok && s.timer.Now()-at >= HomeRetry {
		delete(s.at, address)
		return false
	}
	return ok
}
