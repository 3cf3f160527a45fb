// Package database is a stand-in for a group of database servers that speak the platform's line protocol. Commits reach
// replicas after a delay, and a promotion makes a replica the primary of the next term with what it had received.
package database

import (
	"fmt"
	"sync"
	"time"
)

// Write is one entry of a log.
type Write struct {
	Term   uint64
	Number uint64
	Item   string
	Data   string
}

// Group is a database group. It is safe for concurrent use. Use NewGroup.
type Group struct {
	Name string
	// Lag is how long a commit takes to be applied at a replica.
	Lag time.Duration
	// Limit is the number of connections that each server accepts.
	Limit int
	// OnRoleChange is called when a server's role changed.
	OnRoleChange func(*Server)

	mu      sync.Mutex
	servers []*Server
	term    uint64
}

// NewGroup returns a group without servers.
func NewGroup(name string) *Group {
	return &Group{Name: name, Limit: 50, term: 1, OnRoleChange: func(*Server) {}}
}

// Servers returns the servers.
func (g *Group) Servers() []*Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*Server(nil), g.servers...)
}

// Promote makes the server primary of the next term. It reports false when the server does not run.
func (g *Group) Promote(id string) bool {
	g.mu.Lock()
	var chosen *Server
	for _, s := range g.servers {
		if s.ID == id && s.running {
			chosen = s
		}
	}
	if chosen == nil || chosen.primary {
		g.mu.Unlock()
		return chosen != nil
	}
	g.term++
	changed := []*Server{chosen}
	for _, s := range g.servers {
		if s != chosen && s.primary && s.running {
			s.primary = false
			changed = append(changed, s)
		}
		if s != chosen {
			s.rollBack(chosen.log)
		}
	}
	chosen.primary, chosen.term, chosen.applied = true, g.term, len(chosen.log)
	g.mu.Unlock()
	for _, s := range changed {
		g.OnRoleChange(s)
	}
	return true
}

// commit appends writes to the primary's log and sends them to the replicas. The lock is held.
func (g *Group) commit(s *Server, writes []Write) {
	for _, w := range writes {
		w.Term, w.Number = s.term, uint64(len(s.log)+1)
		s.log = append(s.log, w)
	}
	s.applied = len(s.log)
	for _, replica := range g.servers {
		if replica != s && replica.running && !replica.primary && !replica.deaf {
			replica.log = append(replica.log[:0:0], s.log...)
			replica.term = s.term
			end := len(s.log)
			time.AfterFunc(g.Lag, func() { g.apply(replica, end) })
		}
	}
}

func (g *Group) apply(s *Server, end int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.applied = max(s.applied, min(end, len(s.log)))
}

// rollBack drops what the other log does not have.
func (s *Server) rollBack(other []Write) {
	common := 0
	for common < len(s.log) && common < len(other) && s.log[common] == other[common] {
		common++
	}
	s.log = s.log[:common]
	s.applied = min(s.applied, common)
}

// position returns the position of the last of n entries.
func (s *Server) position(n int) string {
	if n == 0 {
		return fmt.Sprintf("%d.0", max(s.term, 1))
	}
	w := s.log[n-1]
	return fmt.Sprintf("%d.%d", w.Term, w.Number)
}
