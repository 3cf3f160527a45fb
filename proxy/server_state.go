package proxy

import (
	"slices"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
)

// serverState is the dispatcher's state for one server.
type serverState struct {
	server dispatch.Server
	idle   []*Connection
	// total counts all connections of the pool, including those being opened.
	total   int
	dialing int
	// byOrganisation counts the same connections by organisation.
	byOrganisation map[string]int
	// running maps each connection on which a statement runs to the start time of the statement.
	running map[uint64]time.Duration
	// use is what the choice of connections depends on.
	use       poolUse
	ownership ownership
	// reducedUntil is until when the instance holds at most reducedLimit connections.
	reducedUntil time.Duration
	reducedLimit int
	delisted     bool
	spill        spillState
	warmUp       warmUpState
	// answers are the recent answers to reads.
	answers dispatch.Answers
}

// findIdle returns the index of the best unused connection: the one that the session used last, otherwise the most
// recently used one of its organisation.
func (s *serverState) findIdle(req AcquireRequest) (int, bool) {
	found := -1
	for i, c := range s.idle {
		if c.Endpoint.Organisation != req.Organisation || !c.isUsable() {
			continue
		}
		if c.ID == req.Affinity {
			return i, true
		}
		found = i
	}
	return found, found >= 0
}

func (s *serverState) takeIdle(req AcquireRequest) (*Connection, bool) {
	i, found := s.findIdle(req)
	if !found {
		return nil, false
	}
	c := s.idle[i]
	s.idle = slices.Delete(s.idle, i, i+1)
	return c, true
}

func (s *serverState) hasEvictable(organisation string) bool {
	return slices.ContainsFunc(s.idle, func(c *Connection) bool { return c.Endpoint.Organisation != organisation })
}

// addConnection counts a connection of the organisation.
func (s *serverState) addConnection(organisation string) {
	s.total++
	s.byOrganisation[organisation]++
}

// isAvailable reports whether the server is listed, responds and may be given statements.
func (d *Dispatcher) isAvailable(s *serverState, now time.Duration) bool {
	return !s.delisted && !s.server.Listing.Draining && !d.isInMaintenance(s) && s.server.IsUp(now)
}

func (s *serverState) removeConnection(organisation string) {
	s.total--
	if s.byOrganisation[organisation]--; s.byOrganisation[organisation] <= 0 {
		delete(s.byOrganisation, organisation)
	}
}

// setListings replaces the list of servers. Unused connections to removed or draining servers are closed.
func (d *Dispatcher) setListings(listings map[string]dispatch.Listing) {
	for name, l := range listings {
		s := d.servers[name]
		if s == nil {
			s = &serverState{server: dispatch.NewServer(l), running: make(map[uint64]time.Duration), byOrganisation: make(map[string]int), warmUp: newWarmUpState()}
			d.servers[name] = s
		}
		if l.Incarnation != s.server.Listing.Incarnation {
			s.answers = dispatch.Answers{}
		}
		s.warmUp = s.warmUp.withListing(s.server.Listing, l, d.cfg.Timer.Now())
		s.server, s.delisted = s.server.WithListing(l), false
		if l.Draining {
			s.closeIdle(func(*Connection) bool { return true })
		}
	}
	for name, s := range d.servers {
		if _, found := listings[name]; found {
			continue
		}
		s.delisted = true
		s.closeIdle(func(*Connection) bool { return true })
		if s.total == 0 {
			d.setLimited(s, false)
			delete(d.servers, name)
			d.lastResponses.Delete(name)
		}
	}
	d.updateOwners()
}

// closeExcessIdle closes disconnected connections, and the least needed ones above the instance's share that have been
// unused for idleTimeout.
func (d *Dispatcher) closeExcessIdle(now time.Duration) {
	for _, s := range d.servers {
		d.maintainWarmUp(s, now)
		s.closeIdle(func(c *Connection) bool { return !c.isUsable() })
		d.closeExcess(s, now)
	}
}

// isFull reports whether the server has as much work from this instance as it can run, or recently refused work.
// Statements that wait here can still be reordered; statements queued at the server cannot.
func (s *serverState) isFull(now time.Duration) bool {
	slots := s.server.Listing.Slots
	return s.server.IsRefusing(now) || slots > 0 && s.inFlight(now)+s.dialing >= slots+extraInFlight
}

// inFlight counts the statements that occupy a slot. The answer to one that runs far longer than others counts as lost.
func (s *serverState) inFlight(now time.Duration) int {
	n := 0
	for _, since := range s.running {
		if now-since < s.server.OverdueAfter() {
			n++
		}
	}
	return n
}

func (s *serverState) closeIdle(match func(*Connection) bool) {
	s.idle = slices.DeleteFunc(s.idle, func(c *Connection) bool {
		if !match(c) {
			return false
		}
		c.close()
		s.removeConnection(c.Endpoint.Organisation)
		return true
	})
}

func isDisconnected(conn ServerConn) bool {
	select {
	case <-conn.Lost():
		return true
	default:
		return false
	}
}
