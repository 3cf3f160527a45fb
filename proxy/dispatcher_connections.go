package proxy

import (
	"slices"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// Connection is a connection to a server that is lent to one transaction at a time.
type Connection struct {
	ID       uint64
	Endpoint Endpoint
	Link     Link
	// Applied is what the connection has been given of its callers' contexts. It belongs to the borrower.
	Applied statement.Applied
	usedAt  time.Duration
}

// serverState is what the dispatcher has at one server.
type serverState struct {
	server dispatch.Server
	idle   []*Connection
	// total counts all connections, those that are being opened included.
	total int
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
		if c.Endpoint.Organisation != want.Organisation || isLost(c.Link) {
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
			c.Link.Close()
			s.total--
			return true
		}
	}
	return false
}

// setListings takes over the list of servers. Unused connections to servers that left or depart are closed.
func (d *Dispatcher) setListings(listings map[string]dispatch.Listing) {
	for name, l := range listings {
		s := d.servers[name]
		if s == nil {
			s = &serverState{server: dispatch.NewServer(l)}
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
			if isLost(c.Link) {
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

func (s *serverState) closeIdle(match func(*Connection) bool) {
	s.idle = slices.DeleteFunc(s.idle, func(c *Connection) bool {
		if !match(c) {
			return false
		}
		c.Link.Close()
		s.total--
		return true
	})
}

func isLost(l Link) bool {
	select {
	case <-l.Lost():
		return true
	default:
		return false
	}
}
