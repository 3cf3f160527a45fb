package proxy

import (
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/port"
)

// primariesWait is how long a new instance that knows all else waits for the primaries of the groups. A group that has
// none must not keep it from serving the others.
const primariesWait = 2 * time.Second

// ReadinessGate decides when an instance may take callers.
type ReadinessGate struct {
	Timer port.Timer
	State *ClusterState
	Views *PrimaryViews

	mu       sync.Mutex
	complete time.Duration
	known    bool
	opened   bool
	closed   bool
	isolated bool
}

// Close has no more callers taken.
func (g *ReadinessGate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// SetIsolated tells that the instance reaches neither the store nor a majority of the instances, or that it does again.
// It returns whether that is news.
func (g *ReadinessGate) SetIsolated(isolated bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	isNews := g.isolated != isolated
	g.isolated = isolated
	return isNews
}

// IsIsolated reports what SetIsolated told.
func (g *ReadinessGate) IsIsolated() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isolated
}

// IsOpen reports whether callers may come. An instance that has opened stays open when it loses the store together with
// the others, because its callers have nowhere better to go. One that is cut off from the others as well sends them away.
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
	if !g.known {
		g.known, g.complete = true, now
	}
	g.opened = g.hasPrimaries() || now-g.complete >= primariesWait
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
