package proxy

import (
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/port"
)

// primariesTimeout is how long a new instance that has all other state waits for the primaries of the groups. A group
// without a primary must not keep the instance from serving the other groups.
const primariesTimeout = 2 * time.Second

// ReadinessGate decides when an instance accepts clients.
type ReadinessGate struct {
	Timer port.Timer
	State *ClusterState
	Views *PrimaryViews

	mu            sync.Mutex
	completeSince time.Duration
	isComplete    bool
	opened        bool
	closed        bool
	isolated      bool
}

// Close stops accepting clients.
func (g *ReadinessGate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// SetIsolated records whether the instance can reach neither the store nor a majority of the instances. It reports
// whether that has changed.
func (g *ReadinessGate) SetIsolated(isolated bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := g.isolated != isolated
	g.isolated = isolated
	return changed
}

// IsIsolated reports the last value passed to SetIsolated.
func (g *ReadinessGate) IsIsolated() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isolated
}

// IsOpen reports whether clients are accepted. An instance that has opened stays open if all instances lose the store,
// because no other instance could serve its clients better. An instance that is also cut off from the other instances
// closes.
func (g *ReadinessGate) IsOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || g.isolated {
		return false
	}
	if g.opened {
		return true
	}
	if !g.State.IsComplete() {
		return false
	}
	now := g.Timer.Now()
	if !g.isComplete {
		g.isComplete, g.completeSince = true, now
	}
	g.opened = g.hasPrimaries() || now-g.completeSince >= primariesTimeout
	return g.opened
}

func (g *ReadinessGate) hasPrimaries() bool {
	index, _ := g.State.CurrentDocument()
	for _, group := range index.Document().Groups {
		if _, _, found := g.Views.Primary(group.Name); !found {
			return false
		}
	}
	return true
}
