package clock

import (
	"container/heap"
	"sync"
	"time"
)

// Fake is a timer service whose time moves only through Advance. The zero value is ready and stands at instant zero.
type Fake struct {
	mu    sync.Mutex
	now   time.Duration
	added uint64
	queue queue
}

// Now returns the fake's instant.
func (f *Fake) Now() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Every calls deliver once each period of the fake's time.
func (f *Fake) Every(period time.Duration, deliver func(now time.Duration)) func() {
	return f.add(period, period, deliver)
}

// After calls deliver once when d of the fake's time has passed.
func (f *Fake) After(d time.Duration, deliver func(now time.Duration)) func() {
	return f.add(d, 0, deliver)
}

// Advance moves time by d and delivers the due timers in order, each at its own instant, on the calling goroutine.
func (f *Fake) Advance(d time.Duration) {
	end := f.Now() + d
	for f.deliverNext(end) {
	}
	f.mu.Lock()
	f.now = end
	f.mu.Unlock()
}

// NextDeadline returns the instant of the first timer. It reports false when there is none.
func (f *Fake) NextDeadline() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.queue) == 0 {
		return 0, false
	}
	return f.queue[0].at, true
}

func (f *Fake) deliverNext(end time.Duration) bool {
	f.mu.Lock()
	if len(f.queue) == 0 || f.queue[0].at > end {
		f.mu.Unlock()
		return false
	}
	f.now = max(f.now, f.queue[0].at)
	now := f.now
	due, _ := f.queue.popDue(now)
	f.mu.Unlock()
	due.deliver(now)
	return true
}

func (f *Fake) add(d, period time.Duration, deliver func(now time.Duration)) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.added++
	t := &timer{at: f.now + d, period: period, order: f.added, deliver: deliver}
	heap.Push(&f.queue, t)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.queue.remove(t)
	}
}
