package postgres

import (
	"maps"
	"slices"

	"github.com/rhubarbwick/rhubarbwick/allotment"
)

// serverPool is what the pool's duty knows of one server. Only that duty uses it.
type serverPool struct {
	name  string
	queue allotment.Queue
	// waiting holds the requests of the queue's waiters.
	waiting map[uint64]wanted
	idle    []*backend
	// lent holds the connections that callers have or that are being released, and counts them by organisation.
	lent   map[*backend]loan
	counts allotment.Checkouts
	// opening counts the connections that are being opened.
	opening map[poolKey]int
	// closing counts the connections that were closed but not yet reported so.
	closing int
	// total counts all connections, the opening and closing ones included.
	total int
	// peak is the greatest demand since the limit was last checked, told the demand that the limit knows.
	peak int
	told int
	// held is the total that the limit knows.
	held int
}

// loan says for whom a connection is lent, and whether it already was when the limit was last checked.
type loan struct {
	organisation string
	checked      bool
}

func newServerPool(name string, queueLimit int) *serverPool {
	return &serverPool{
		name: name, queue: allotment.NewQueue(queueLimit), waiting: make(map[uint64]wanted),
		lent: make(map[*backend]loan), opening: make(map[poolKey]int),
	}
}

// busy returns the number of connections that could be used now.
func (s *serverPool) busy() int { return s.counts.Demand(s.queue) }

// check looks for organisations whose connections were lent before the last check already.
func (s *serverPool) check() {
	var long []string
	for b, l := range s.lent {
		if l.checked {
			long = append(long, l.organisation)
		}
		s.lent[b] = loan{organisation: l.organisation, checked: true}
	}
	s.counts = s.counts.WithLongHolders(long)
	s.peak = s.busy()
}

func (s *serverPool) lend(b *backend, organisation string) {
	s.lent[b] = loan{organisation: organisation}
	s.counts = s.counts.WithCheckout(organisation)
}

// endLoan reports whether the connection was lent.
func (s *serverPool) endLoan(b *backend) bool {
	l, ok := s.lent[b]
	if ok {
		delete(s.lent, b)
		s.counts = s.counts.WithReturn(l.organisation)
	}
	return ok
}

func (s *serverPool) enqueue(w wanted) bool {
	queue, ok := s.queue.WithWaiter(allotment.Waiter{ID: w.id, Organisation: w.organisation})
	if ok {
		s.queue = queue
		s.waiting[w.id] = w
	}
	return ok
}

// abandon removes a caller that stopped waiting.
func (s *serverPool) abandon(w allotment.Waiter) {
	s.queue = s.queue.Without(w)
	delete(s.waiting, w.ID)
}

// refuse answers the waiting callers that match with an error, which is made only for them: it carries a stack.
func (s *serverPool) refuse(match func(wanted) bool, cause func() error) {
	for _, w := range s.queue.Waiters() {
		if request := s.waiting[w.ID]; match(request) {
			s.abandon(w)
			request.reply.TryPut(grant{err: cause()})
		}
	}
}

// assign serves the waiting callers in the queue's order: with an idle connection, a new one that open starts, or the
// place of an idle connection of another slot. A caller whose turn it is keeps later ones from taking that place, unless
// its organisation's long transactions have their part of the connections.
func (s *serverPool) assign(allowed int, open func(wanted)) {
	if s.queue.Len() == 0 {
		return
	}
	opening, closing := maps.Clone(s.opening), s.closing
	for _, w := range s.queue.Waiters() {
		if !s.counts.Admits(w.Organisation, allowed) {
			continue
		}
		request := s.waiting[w.ID]
		b, found := s.takeIdle(request)
		switch {
		case found:
			s.queue = s.queue.WithServed(w)
			delete(s.waiting, w.ID)
			s.lend(b, w.Organisation)
			request.reply.TryPut(grant{backend: b})
		case opening[request.key] > 0:
			opening[request.key]--
		case s.total < allowed:
			open(request)
		case closing > 0:
			closing--
		default:
			s.evict(request.key)
		}
	}
}

// takeIdle returns the connection that was used last, so that surplus ones stay unused, and rather one that worked for
// the same organisation last.
func (s *serverPool) takeIdle(w wanted) (*backend, bool) {
	chosen := -1
	for i := len(s.idle) - 1; i >= 0; i-- {
		b := s.idle[i]
		if b.key != w.key || b.address != w.address {
			continue
		}
		if b.bound.suits(w.organisation, w.read) {
			chosen = i
			break
		}
		if chosen < 0 {
			chosen = i
		}
	}
	if chosen < 0 {
		return nil, false
	}
	b := s.idle[chosen]
	s.idle = slices.Delete(s.idle, chosen, chosen+1)
	return b, true
}

func (s *serverPool) takeBack(b *backend) {
	if !s.endLoan(b) {
		return
	}
	s.idle = append(s.idle, b)
}

// forget removes a connection that has ended.
func (s *serverPool) forget(b *backend) {
	s.total--
	if s.endLoan(b) {
		return
	}
	if i := slices.Index(s.idle, b); i >= 0 {
		s.idle = slices.Delete(s.idle, i, i+1)
		return
	}
	s.closing--
}

// evict closes an idle connection of another slot to make room.
func (s *serverPool) evict(key poolKey) {
	for i, b := range s.idle {
		if b.key != key {
			s.closeIdle(i)
			return
		}
	}
}

// shrink closes idle connections above the limit.
func (s *serverPool) shrink(allowed int) {
	for s.total-s.closing > allowed && len(s.idle) > 0 {
		s.closeIdle(0)
	}
}

func (s *serverPool) dropIdle(match func(*backend) bool) {
	for i := len(s.idle) - 1; i >= 0; i-- {
		if match(s.idle[i]) {
			s.closeIdle(i)
		}
	}
}

func (s *serverPool) closeIdle(i int) {
	b := s.idle[i]
	s.idle = slices.Delete(s.idle, i, i+1)
	s.closing++
	b.close()
}
