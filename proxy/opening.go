package proxy

import (
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/port"
)

// openingLimit is how long a new instance that knows all else waits for the primaries of the groups. A group that has
// none must not keep it from serving the others.
const openingLimit = 2 * time.Second

// Opening decides when an instance may take callers.
type Opening struct {
	Timer     port.Timer
	Knowledge *Knowledge
	Views     *Views

	mu       sync.Mutex
	complete time.Duration
	known    bool
	opened   bool
	closed   bool
	isolated bool
}

// Close has no more callers taken.
func (o *Opening) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
}

// SetIsolated tells that the instance reaches neither the store nor a majority of the instances, or that it does again.
// It returns whether that is news.
func (o *Opening) SetIsolated(isolated bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	isNews := o.isolated != isolated
	o.isolated = isolated
	return isNews
}

// IsIsolated reports what SetIsolated told.
func (o *Opening) IsIsolated() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isolated
}

// IsOpen reports whether callers may come. An instance that has opened stays open when it loses the store together with
// the others, because its callers have nowhere better to go. One that is cut off from the others as well sends them away.
func (o *Opening) IsOpen() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || o.isolated {
		return false
	}
	if o.opened {
		return true
	}
	if !o.Knowledge.IsComplete() {
		return false
	}
	now := o.Timer.Now()
	if !o.known {
		o.known, o.complete = true, now
	}
	o.opened = o.hasPrimaries() || now-o.complete >= openingLimit
	return o.opened
}

func (o *Opening) hasPrimaries() bool {
	index, _ := o.Knowledge.Rules()
	for _, g := range index.Document().Groups {
		if _, _, found := o.Views.Primary(g.Name); !found {
			return false
		}
	}
	return true
}
