package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// primariesTimeout is how long a new instance that has all other state waits for the primaries of the groups. A group
	// without a primary must not keep the instance from serving the other groups.
	primariesTimeout = 2 * time.Second
	// openCheckInterval is how often a new instance checks whether it has the state that it needs.
	openCheckInterval = 10 * time.Millisecond
	// maxOpenWait is how long a client may wait for a new instance to have its state. Clients give up after two seconds.
	maxOpenWait = 1500 * time.Millisecond
)

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
	// opening is closed when the gate opens for the first time, or is closed before that.
	opening chan struct{}
}

// Run opens the gate once the instance has the state that it needs.
func (g *ReadinessGate) Run(ctx context.Context) { g.loop(ctx) }

func (g *ReadinessGate) loop(ctx context.Context) {
	for !g.IsOpen() && port.Sleep(ctx, g.Timer, openCheckInterval) == nil {
	}
}

// Await waits until the gate has opened for the first time, for at most maxOpenWait. After a loss of power of all
// instances, the platform sends clients to instances that are not ready, because none is. Those that start all have the
// state they need within some hundred milliseconds; clients that were refused until then would use up their repetitions.
func (g *ReadinessGate) Await(ctx context.Context) {
	g.mu.Lock()
	opening, isOpen := g.openingChannel(), g.opened || g.closed
	g.mu.Unlock()
	if isOpen {
		return
	}
	ctx, cancel := port.WithTimeout(ctx, g.Timer, maxOpenWait)
	defer cancel()
	select {
	case <-opening:
	case <-ctx.Done():
	}
}

// openingChannel returns the channel that is closed when the gate opens. mu must be held.
func (g *ReadinessGate) openingChannel() chan struct{} {
	if g.opening == nil {
		g.opening = make(chan struct{})
	}
	return g.opening
}

// Close stops accepting clients.
func (g *ReadinessGate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.opened && !g.closed {
		close(g.openingChannel())
	}
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
	if g.opened {
		close(g.openingChannel())
	}
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
