package clock

import (
	"container/heap"
	"sync"
	"time"
)

// Fake is a timer service whose time changes only through Advance. The zero value is ready to use and starts at instant
// zero.
type Fake struct {
	mu      sync.Mutex
	now     time.Duration
	lastSeq uint64
	queue   queue
}

// Now returns the current instant of the fake.
func (f *Fake) Now() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Every calls deliver once per period of the fake's time.
func (f *Fake) Every(period time.Duration, deliver func(now time.Duration)) func() {
	return f.addTimer(period, period, deliver)
}

// After calls deliver once d of the fake's time has elapsed.
func (f *Fake) After(d time.Duration, deliver func(now time.Duration)) func() {
	return f.addTimer(d, 0, deliver)
}

// Advance moves the time forward by d. It delivers the timers that expire, in order and each at its own instant, on the
// calling goroutine.
func (f *Fake) Advance(d time.Duration) {
	end := f.Now() + d
	for f.deliverNext(end) {
	}
	f.mu.Lock()
	f.now = end
	f.mu.Unlock()
}

// NextDeadline returns the instant of the first timer. It reports false if there is none.
func (f *Fake) NextDeadline() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.queue) == 0 {
		return 0, false
	}
	return f.queue[0].deadline, true
}

func (f *Fake) deliverNext(end time.Duration) bool {
	f.mu.Lock()
	if len(f.queue) == 0 || f.queue[0].deadline > end {
		f.mu.Unlock()
		return false
	}
	f.now = max(f.now, f.queue[0].deadline)
	now := f.now
	due, _ := f.queue.popDue(now)
	f.mu.Unlock()
	due.deliver(now)
	return true
}

func (f *Fake) addTimer(d, period time.Duration, deliver func(now time.Duration)) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastSeq++
	t := &timer{deadline: f.now + d, period: period, seq: f.lastSeq, deliver: deliver}
	heap.Push(&f.queue, t)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.queue.remove(t)
	}
}
