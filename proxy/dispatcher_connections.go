package proxy

import (
	"slices"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
)

// serverState is what the dispatcher has at one server.
type serverState struct {
	server dispatch.Server
	idle   []*Connection
	// total counts all connections of the pool, those that are being opened included.
	total   int
	opening int
	// held counts them by organisation.
	held map[string]int
	// running holds the connections on which statements run, with the instants at which they began.
	running   map[uint64]time.Duration
	ownership ownership
	// cutUntil is until when the instance keeps to cutTo connections.
	cutUntil time.Duration
	cutTo    int
	delisted bool
}

// findIdle returns the index of the unused connection that suits best: the one that the session used last, or else the
// one of its organisation that was used last.
func (s *serverState) findIdle(want Want) (int, bool) {
	found := -1
	for i, c := range s.idle {
		if c.Endpoint.Organisation != want.Organisation || !c.isUsable() {
			continue
		}
		if c.ID == want.Affinity {
			return i, true
		}
		found = i
	}
	return found, found >= 0
}

func (s *serverState) takeIdle(want Want) (*Connection, bool) {
	i, found := s.findIdle(want)
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

// evict closes the connection of another organisation that was unused for longest.
func (s *serverState) evict(organisation string) bool {
	for i, c := range s.idle {
		if c.Endpoint.Organisation != organisation {
			s.idle = slices.Delete(s.idle, i, i+1)
			c.close()
			s.drop(c.Endpoint.Organisation)
			return true
		}
	}
	return false
}

// add and drop count a connection of the organisation.
func (s *serverState) add(organisation string) {
	s.total++
	s.held[organisation]++
}

func (s *serverState) drop(organisation string) {
	s.total--
	if s.held[organisation]--; s.held[organisation] <= 0 {
		delete(s.held, organisation)
	}
}

// setListings takes over the list of servers. Unused connections to servers that left or depart are closed.
func (d *Dispatcher) setListings(listings map[string]dispatch.Listing) {
	for name, l := range listings {
		s := d.servers[name]
		if s == nil {
			s = &serverState{server: dispatch.NewServer(l), running: make(map[uint64]time.Duration), held: make(map[string]int)}
			d.servers[name] = s
		}
		s.server, s.delisted = s.server.WithListing(l), false
		if l.Departing {
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
			delete(d.servers, name)
			d.heard.Delete(name)
		}
	}
}

// trim closes connections that nobody used for a while and those above the share.
func (d *Dispatcher) trim(now time.Duration) {
	for _, s := range d.servers {
		excess := s.total - d.share(s, now)
		s.closeIdle(func(c *Connection) bool {
			if !c.isUsable() {
				return true
			}
			surplus := excess > 0 && now-c.usedAt > idleLimit
			if surplus {
				excess--
			}
			return surplus
		})
	}
}

// isFull reports whether the server has as much work of this instance as it can run, or refused more just now. What waits
// here can still be put in order; what waits there cannot.
func (s *serverState) isFull(now time.Duration) bool {
	slots := s.server.Listing.Slots
	return s.server.IsRefusing(now) || slots > 0 && s.busy(now)+s.opening >= slots+slotsAhead
}

// busy counts the statements that take a slot. One that runs for far longer than others has its answer lost.
func (s *serverState) busy(now time.Duration) int {
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
		s.drop(c.Endpoint.Organisation)
		return true
	})
}

func isLost(l ServerConn) bool {
	select {
	case <-l.Lost():
		return true
	default:
		return false
	}
}
