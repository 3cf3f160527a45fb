package clock

import (
	"container/heap"
	"math"
	"time"
)

// timer is a one-shot timer if period is zero, and otherwise a periodic one. seq is its position in the order of
// creation.
type timer struct {
	deadline time.Duration
	period   time.Duration
	seq      uint64
	index    int
	stopped  bool
	deliver  func(now time.Duration)
}

// queue is a heap of timers, ordered by deadline and then by seq.
type queue []*timer

// popDue returns the first timer that is due at now; a periodic timer stays in the queue with its next deadline. If no
// timer is due, it returns nil and the time until the first one.
func (q *queue) popDue(now time.Duration) (*timer, time.Duration) {
	if len(*q) == 0 {
		return nil, math.MaxInt64
	}
	first := (*q)[0]
	if first.deadline > now {
		return nil, first.deadline - now
	}
	if first.period == 0 {
		heap.Pop(q)
		first.stopped = true
		return first, 0
	}
	first.deadline += first.period
	if first.deadline <= now {
		first.deadline = now + first.period
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

// Len implements heap.Interface, as do Less, Swap, Push and Pop.
func (q queue) Len() int { return len(q) }

// Less orders timers by deadline, then by order of creation.
func (q queue) Less(i, j int) bool {
	if q[i].deadline != q[j].deadline {
		return q[i].deadline < q[j].deadline
	}
	return q[i].seq < q[j].seq
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
