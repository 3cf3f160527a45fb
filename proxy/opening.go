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
}

// Close has no more callers taken.
func (o *Opening) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
}

// IsOpen reports whether callers may come. An instance that has opened stays open until Close, also when it loses the
// store: its callers have nowhere better to go while all instances have lost it.
func (o *Opening) IsOpen() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.opened || o.closed {
		return !o.closed
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
