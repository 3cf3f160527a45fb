package clock

import (
	"container/heap"
	"math"
	"time"
)

// timer is one subscription. A period of zero means that it is delivered once.
type timer struct {
	at      time.Duration
	period  time.Duration
	order   uint64
	index   int
	stopped bool
	deliver func(now time.Duration)
}

// queue is a heap of timers by instant, then by the order in which they were added.
type queue []*timer

// popDue takes the first timer that is due at now and puts a periodic one back. Without a due timer it returns nil
// and the time until the first one.
func (q *queue) popDue(now time.Duration) (*timer, time.Duration) {
	if len(*q) == 0 {
		return nil, math.MaxInt64
	}
	first := (*q)[0]
	if first.at > now {
		return nil, first.at - now
	}
	if first.period == 0 {
		heap.Pop(q)
		first.stopped = true
		return first, 0
	}
	first.at += first.period
	if first.at <= now {
		first.at = now + first.period
	}
	heap.Fix(q, 0)
	return first, 0
}

func (q *queue) remove(t *timer) {
	if t.stopped {
		return
	}
	t.stopped = true
	heap.Remove(q, t.index)
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (q queue) Len() int { return len(q) }

// Less orders timers by instant, then by age.
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

// Swap exchanges two timers.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push adds a timer.
func (q *queue) Push(x any) {
	t := x.(*timer)
	t.index = len(*q)
	*q = append(*q, t)
}

// Pop removes the last timer.
func (q *queue) Pop() any {
	old := *q
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return t
}
