// Package clock is the timer service: the real one, and a fake whose time moves only when a test says so.
package clock

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Service is the real timer service. One goroutine delivers all timers in the order of their instants. Use
// NewService, then call Run.
type Service struct {
	now   func() time.Duration
	mu    sync.Mutex
	queue queue
	wake  chan struct{}
}

// NewService returns a timer service whose instant zero is now.
func NewService() *Service {
	start := time.Now()
	return newService(func() time.Duration { return time.Since(start) })
}

// NewBootTimeService returns a timer service on the clock that also counts the time in which the machine is suspended.
// Leases need it: a holder that was suspended must know that time has passed. Timers may fire late after a suspension.
func NewBootTimeService() *Service {
	start := bootTime()
	return newService(func() time.Duration { return bootTime() - start })
}

func newService(now func() time.Duration) *Service {
	return &Service{now: now, wake: make(chan struct{}, 1)}
}

// bootTime returns the time since the machine was started.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every Linux since 2.6.39.
		panic(err)
	}
	return time.Duration(ts.Nano())
}

// Now returns the time since the service was made.
func (s *Service) Now() time.Duration { return s.now() }

// Every calls deliver once each period. A timer that is late is delivered once, not once for each period missed.
func (s *Service) Every(period time.Duration, deliver func(now time.Duration)) func() {
	return s.add(&timer{at: s.Now() + period, period: period, deliver: deliver})
}

// After calls deliver once when d has passed.
func (s *Service) After(d time.Duration, deliver func(now time.Duration)) func() {
	return s.add(&timer{at: s.Now() + d, deliver: deliver})
}

// Run delivers timers until ctx ends.
func (s *Service) Run(ctx context.Context) { s.loop(ctx) }

func (s *Service) loop(ctx context.Context) {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		alarm.Reset(s.deliverDue())
		select {
		case <-ctx.Done():
			return
		case <-alarm.C:
		case <-s.wake:
		}
	}
}

// deliverDue delivers every due timer and returns the time until the next one.
func (s *Service) deliverDue() time.Duration {
	const idle = time.Hour
	for {
		now := s.Now()
		s.mu.Lock()
		due, wait := s.queue.popDue(now)
		s.mu.Unlock()
		if due == nil {
			return min(wait, idle)
		}
		due.deliver(now)
	}
}

func (s *Service) add(t *timer) func() {
	s.mu.Lock()
	heap.Push(&s.queue, t)
	first := s.queue[0] == t
	s.mu.Unlock()
	if first {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.queue.remove(t)
	}
}
