package allotment

import "slices"

// DefaultQueueLimit is the number of waiting clients that a zero Queue holds.
const DefaultQueueLimit = 256

// Waiter is a client that waits for a connection. ID is unique among the waiters of one queue.
type Waiter struct {
	ID           uint64
	Organisation string
}

// Queue holds waiting clients and serves the organisations round-robin; within an organisation the oldest client goes
// first. A Queue is immutable. The zero value is empty and holds up to DefaultQueueLimit waiters.
type Queue struct {
	limit int
	size  int
	// queues are in the order in which the organisations are served; none is empty.
	queues []organisationQueue
}

type organisationQueue struct {
	organisation string
	ids          []uint64
}

// NewQueue returns an empty queue that holds up to limit waiters. A limit below one means DefaultQueueLimit.
func NewQueue(limit int) Queue { return Queue{limit: limit} }

// Len returns the number of waiters.
func (q Queue) Len() int { return q.size }

// WithWaiter returns the queue with another waiter. It reports false when the queue is full. A full queue still accepts
// a waiter of an organisation that has fewer waiters than an equal part of the queue, so that one organisation cannot
// exclude the others. It then exceeds its limit, but holds at most twice as many waiters.
func (q Queue) WithWaiter(w Waiter) (Queue, bool) {
	i := q.find(w.Organisation)
	if i < 0 {
		if q.size >= 2*q.capacity() {
			return q, false
		}
		q.queues = append(slices.Clone(q.queues), organisationQueue{organisation: w.Organisation, ids: []uint64{w.ID}})
		q.size++
		return q, true
	}
	if q.size >= q.capacity() && !q.mayExceed(len(q.queues[i].ids)) {
		return q, false
	}
	q.queues = slices.Clone(q.queues)
	q.queues[i].ids = append(slices.Clone(q.queues[i].ids), w.ID)
	q.size++
	return q, true
}

// Waiters returns the waiters in the order of service: one of each organisation in turn.
func (q Queue) Waiters() []Waiter {
	waiters := make([]Waiter, 0, q.size)
	for round := 0; len(waiters) < q.size; round++ {
		for _, o := range q.queues {
			if round < len(o.ids) {
				waiters = append(waiters, Waiter{ID: o.ids[round], Organisation: o.organisation})
			}
		}
	}
	return waiters
}

// WithServed returns the queue after the waiter was served: without it, and with its organisation last in turn.
func (q Queue) WithServed(w Waiter) Queue {
	rest := q.Without(w)
	i := rest.find(w.Organisation)
	if rest.size == q.size || i < 0 {
		return rest
	}
	served := rest.queues[i]
	rest.queues = append(slices.Delete(slices.Clone(rest.queues), i, i+1), served)
	return rest
}

// Without returns the queue without a waiter that gave up.
func (q Queue) Without(w Waiter) Queue {
	i := q.find(w.Organisation)
	if i < 0 {
		return q
	}
	at := slices.Index(q.queues[i].ids, w.ID)
	if at < 0 {
		return q
	}
	q.queues = slices.Clone(q.queues)
	q.size--
	if len(q.queues[i].ids) == 1 {
		q.queues = slices.Delete(q.queues, i, i+1)
		return q
	}
	q.queues[i].ids = slices.Delete(slices.Clone(q.queues[i].ids), at, at+1)
	return q
}

func (q Queue) capacity() int {
	if q.limit < 1 {
		return DefaultQueueLimit
	}
	return q.limit
}

func (q Queue) mayExceed(waiting int) bool {
	return q.size < 2*q.capacity() && waiting < q.capacity()/len(q.queues)
}

func (q Queue) find(organisation string) int {
	return slices.IndexFunc(q.queues, func(o organisationQueue) bool { return o.organisation == organisation })
}
