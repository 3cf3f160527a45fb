package entry

import (
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/port"
)

// unresponsiveInstances holds the addresses of instances that did not answer. Each is removed after UnresponsiveRetry.
type unresponsiveInstances struct {
	timer port.Timer

	mu    sync.Mutex
	since map[string]time.Duration
}

func newUnresponsiveInstances(timer port.Timer) *unresponsiveInstances {
	return &unresponsiveInstances{timer: timer, since: make(map[string]time.Duration)}
}

func (u *unresponsiveInstances) mark(address string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.since[address] = u.timer.Now()
}

func (u *unresponsiveInstances) contains(address string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	at, ok := u.since[address]
	if ok && u.timer.Now()-at >= UnresponsiveRetry {
		delete(u.since, address)
		return false
	}
	return ok
}
