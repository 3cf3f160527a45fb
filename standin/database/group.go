// Package database is a stand-in for a group of database servers that implement the platform's line protocol. Replicas
// apply commits after a delay. A promotion makes a replica the primary of the next term with the log that it has
// received.
package database

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Write is an entry of a log.
type Write struct {
	Term   uint64
	Number uint64
	Item   string
	Data   string
}

// Query is a query that a server has received.
type Query struct {
	Server string
	// Organisation is the name that the connection was opened for.
	Organisation string
	ID           string
	Text         string
}

// Group is a group of database servers. It is safe for concurrent use. Use NewGroup.
type Group struct {
	Name string
	// Lag is the delay after which a replica applies a commit.
	Lag time.Duration
	// MaxConnections is the maximum number of connections per server.
	MaxConnections int
	// OnRoleChange is called after the role of a server has changed.
	OnRoleChange func(*Server)
	// OnConnect and OnQuery are called for each accepted connection and each received query. They must not block or call
	// the group.
	OnConnect func(server, organisation string)
	OnQuery   func(Query)

	mu      sync.Mutex
	servers []*Server
	term    uint64
}

// NewGroup returns a group without servers.
func NewGroup(name string) *Group {
	return &Group{Name: name, MaxConnections: 50, term: 1, OnRoleChange: func(*Server) {}, OnConnect: func(string, string) {}, OnQuery: func(Query) {}}
}

// Servers returns a copy of the list of servers.
func (g *Group) Servers() []*Server {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*Server(nil), g.servers...)
}

// Log returns a copy of the server's log.
func (s *Server) Log() []Write {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return append([]Write(nil), s.log...)
}

// Promote makes the server the primary of the next term. It returns false if the server is not running.
func (g *Group) Promote(id string) bool {
	g.mu.Lock()
	var target *Server
	for _, s := range g.servers {
		if s.ID == id && s.running {
			target = s
		}
	}
	if target == nil || target.primary {
		g.mu.Unlock()
		return target != nil
	}
	g.term++
	changed := []*Server{target}
	for _, s := range g.servers {
		if s != target && s.primary && s.running {
			s.primary = false
			changed = append(changed, s)
		}
		if s != target {
			s.truncateToCommon(target.log)
		}
	}
	target.primary, target.term, target.applied = true, g.term, len(target.log)
	g.mu.Unlock()
	for _, s := range changed {
		g.OnRoleChange(s)
	}
	return true
}

// commit appends writes to the primary's log and sends them to the replicas. It must be called with the lock held.
func (g *Group) commit(s *Server, writes []Write) {
	for _, w := range writes {
		w.Term, w.Number = s.term, uint64(len(s.log)+1)
		s.log = append(s.log, w)
	}
	s.applied = len(s.log)
	for _, replica := range g.servers {
		if replica != s && replica.running && !replica.primary {
			replica.log = append(replica.log[:0:0], s.log...)
			replica.term = s.term
			end := len(s.log)
			time.AfterFunc(g.Lag, func() { g.apply(replica, end) })
		}
	}
}

// transferLog gives a new server the newest log. It must be called with the lock held.
func (g *Group) transferLog(s *Server) {
	for _, other := range g.servers {
		if len(other.log) > len(s.log) {
			s.log, s.applied, s.term = slices.Clone(other.log), len(other.log), other.term
		}
	}
}

func (g *Group) apply(s *Server, end int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.applied = max(s.applied, min(end, len(s.log)))
}

// truncateToCommon removes all entries that follow the last common entry of both logs.
func (s *Server) truncateToCommon(other []Write) {
	common := 0
	for common < len(s.log) && common < len(other) && s.log[common] == other[common] {
		common++
	}
	s.log = s.log[:common]
	s.applied = min(s.applied, common)
}

// positionAt returns the position of the n-th entry.
func (s *Server) positionAt(n int) string {
	if n == 0 {
		return fmt.Sprintf("%d.0", max(s.term, 1))
	}
	w := s.log[n-1]
	return fmt.Sprintf("%d.%d", w.Term, w.Number)
}
