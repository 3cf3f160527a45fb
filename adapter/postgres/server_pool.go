package postgres

import (
	"maps"
	"slices"

	"github.com/rhubarbwick/rhubarbwick/allotment"
)

// serverPool contains the pool's connections to one server. It is owned by the pool's goroutine.
type serverPool struct {
	name  string
	queue allotment.Queue
	// waiting contains the requests of the queue's waiters.
	waiting map[uint64]checkoutRequest
	idle    []*serverConn
	// checkedOut contains the connections that are used by clients or are being released. counts has their number by
	// organisation.
	checkedOut map[*serverConn]checkout
	counts     allotment.Checkouts
	// opening is the number of connections that are being opened, by key.
	opening map[poolKey]int
	// closing is the number of idle connections that were closed but whose end has not been reported yet.
	closing int
	// open is the number of all connections, including those that are being opened or closed.
	open int
	// peakDemand is the highest demand since the last check of the limit. reportedDemand is the demand last reported to
	// the limit.
	peakDemand     int
	reportedDemand int
	// reportedOpen is the number of connections last reported to the limit.
	reportedOpen int
}

// checkout describes who uses a connection. seenByCheck is true if it was already checked out at the last check of the
// limit.
type checkout struct {
	organisation string
	seenByCheck  bool
}

func newServerPool(name string, queueLimit int) *serverPool {
	return &serverPool{
		name: name, queue: allotment.NewQueue(queueLimit), waiting: make(map[uint64]checkoutRequest),
		checkedOut: make(map[*serverConn]checkout), opening: make(map[poolKey]int),
	}
}

// demand returns the number of connections that clients could use now.
func (s *serverPool) demand() int { return s.counts.Demand(s.queue) }

// updateLongHolders determines the organisations whose connections were already checked out at the last check.
func (s *serverPool) updateLongHolders() {
	var longHolders []string
	for conn, c := range s.checkedOut {
		if c.seenByCheck {
			longHolders = append(longHolders, c.organisation)
		}
		s.checkedOut[conn] = checkout{organisation: c.organisation, seenByCheck: true}
	}
	s.counts = s.counts.WithLongHolders(longHolders)
	s.peakDemand = s.demand()
}

func (s *serverPool) checkOut(conn *serverConn, organisation string) {
	s.checkedOut[conn] = checkout{organisation: organisation}
	s.counts = s.counts.WithCheckout(organisation)
}

// endCheckout returns false if the connection was not checked out.
func (s *serverPool) endCheckout(conn *serverConn) bool {
	c, ok := s.checkedOut[conn]
	if ok {
		delete(s.checkedOut, conn)
		s.counts = s.counts.WithReturn(c.organisation)
	}
	return ok
}

func (s *serverPool) enqueue(req checkoutRequest) bool {
	queue, ok := s.queue.WithWaiter(allotment.Waiter{ID: req.id, Organisation: req.organisation})
	if ok {
		s.queue = queue
		s.waiting[req.id] = req
	}
	return ok
}

// removeWaiter removes a client that stopped waiting.
func (s *serverPool) removeWaiter(w allotment.Waiter) {
	s.queue = s.queue.Without(w)
	delete(s.waiting, w.ID)
}

// failWaiters answers the matching waiters with an error. The error is created only if there are any, because it
// carries a stack trace.
func (s *serverPool) failWaiters(match func(checkoutRequest) bool, cause func() error) {
	for _, w := range s.queue.Waiters() {
		if req := s.waiting[w.ID]; match(req) {
			s.removeWaiter(w)
			req.reply.TryPut(checkoutResult{err: cause()})
		}
	}
}

// assign serves the waiting clients in the queue's order: with an idle connection, with a new connection that open
// starts, or by replacing an idle connection of another slot. A waiter reserves its connection or replacement against
// later ones, unless the long transactions of its organisation already use the organisation's part of the connections.
func (s *serverPool) assign(allowed int, open func(checkoutRequest)) {
	if s.queue.Len() == 0 {
		return
	}
	opening, closing := maps.Clone(s.opening), s.closing
	for _, w := range s.queue.Waiters() {
		if !s.counts.Admits(w.Organisation, allowed) {
			continue
		}
		req := s.waiting[w.ID]
		conn, found := s.takeIdle(req)
		switch {
		case found:
			s.queue = s.queue.WithServed(w)
			delete(s.waiting, w.ID)
			s.checkOut(conn, w.Organisation)
			req.reply.TryPut(checkoutResult{conn: conn})
		case opening[req.key] > 0:
			opening[req.key]--
		case s.open < allowed:
			open(req)
		case closing > 0:
			closing--
		default:
			s.evict(req.key)
		}
	}
}

// takeIdle returns the most recently used connection, so that surplus connections remain unused. It prefers connections
// that were last bound to the same organisation.
func (s *serverPool) takeIdle(req checkoutRequest) (*serverConn, bool) {
	chosen := -1
	for i := len(s.idle) - 1; i >= 0; i-- {
		conn := s.idle[i]
		if conn.key != req.key || conn.address != req.address {
			continue
		}
		if conn.binding.matches(req.organisation, req.read) {
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
	conn := s.idle[chosen]
	s.idle = slices.Delete(s.idle, chosen, chosen+1)
	return conn, true
}

func (s *serverPool) checkIn(conn *serverConn) {
	if !s.endCheckout(conn) {
		return
	}
	s.idle = append(s.idle, conn)
}

// remove removes a connection that has ended.
func (s *serverPool) remove(conn *serverConn) {
	s.open--
	if s.endCheckout(conn) {
		return
	}
	if i := slices.Index(s.idle, conn); i >= 0 {
		s.idle = slices.Delete(s.idle, i, i+1)
		return
	}
	s.closing--
}

// evict closes an idle connection of another slot to make room for a new one.
func (s *serverPool) evict(key poolKey) {
	for i, conn := range s.idle {
		if conn.key != key {
			s.closeIdleAt(i)
			return
		}
	}
}

// shrink closes idle connections above the limit.
func (s *serverPool) shrink(allowed int) {
	for s.open-s.closing > allowed && len(s.idle) > 0 {
		s.closeIdleAt(0)
	}
}

func (s *serverPool) closeIdle(match func(*serverConn) bool) {
	for i := len(s.idle) - 1; i >= 0; i-- {
		if match(s.idle[i]) {
			s.closeIdleAt(i)
		}
	}
}

func (s *serverPool) closeIdleAt(i int) {
	conn := s.idle[i]
	s.idle = slices.Delete(s.idle, i, i+1)
	s.closing++
	conn.close()
}
