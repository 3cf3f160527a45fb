package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// account is the duty that keeps one ledger for this instance. Its loop owns the fields below wake.
type account struct {
	cfg     LimitManagerConfig
	limiter *limiter
	// wake has room for one item: one that waits already makes the loop look at everything.
	wake *ring.Ring[struct{}]

	mu    sync.Mutex
	limit allotment.Limit
	units int64
	open  int64
	told  bool

	// base is the ledger as it was last read or written, and version its version.
	base    allotment.Ledger
	version port.Version
	// held is true while an entry of this holder may be in the ledger.
	held      bool
	sightings allotment.LeaseObservations
	// lease is the greatest lease number that was sent.
	lease uint64
	// attempts are updates of which it is not known whether they took effect. All have the same base version.
	attempts []attempt
	wrote    time.Duration
	synced   time.Duration
	failed   time.Duration
	down     bool
	written  bool
	// quietUntil is when unmet demand is looked at again after nothing could be had.
	quietUntil time.Duration
	// ceiling is how many connections are due to this holder.
	ceiling int64
	// misses counts the looks since the last update that brought something.
	misses int
	alarm  func()

	// calls are the wishes that the watch brought, callers those that were not answered yet.
	calls    *ring.Ring[call]
	callers  []call
	calledAt time.Duration
	// asked are the holders that this one called, conflicts the updates in a row that another holder's update preceded.
	asked     map[string]asking
	conflicts uint64
	// unwatch ends the watch while the ledger is held.
	unwatch context.CancelFunc
	watches sync.WaitGroup
}

// minUnits is the number of connections that an instance keeps to each server, also while it uses none. A server that
// becomes primary while the store is down can be reached only by connections that were held before.
const minUnits = 1

func newAccount(cfg LimitManagerConfig, limit allotment.Limit) *account {
	a := &account{cfg: cfg, limit: limit, wake: ring.New[struct{}](1), calls: ring.New[call](maxCalls), calledAt: -callGap, asked: map[string]asking{}}
	a.limiter = newLimiter(limit.Name, cfg.Timer, a.notify)
	a.setFixed(limit)
	return a
}

// setFixed gives the share of a policy that needs no ledger.
func (a *account) setFixed(limit allotment.Limit) bool {
	share, ok := allotment.FixedShare(a.cfg.Policy, limit)
	if ok {
		a.limiter.fix(share)
	}
	return ok
}

func (a *account) notify() { a.wake.TryPut(struct{}{}) }

// setLimit puts a newer limit in force. Where it is lower, the local share falls at once, before the ledger changes.
func (a *account) setLimit(limit allotment.Limit) {
	a.mu.Lock()
	old := a.limit
	if limit.Revision > old.Revision {
		a.limit = limit
	}
	a.mu.Unlock()
	if limit.Revision <= old.Revision || a.setFixed(limit) {
		return
	}
	a.limiter.shrink(limit)
	a.notify()
}

func (a *account) want(n int) {
	a.mu.Lock()
	a.units = int64(max(n, 0))
	a.mu.Unlock()
	a.notify()
}

func (a *account) hold(n int) {
	a.mu.Lock()
	changed := a.open != int64(n) || !a.told
	a.open, a.told = int64(max(n, 0)), true
	a.mu.Unlock()
	if changed {
		a.notify()
	}
}

// run keeps the ledger until ctx ends, then gives everything back.
func (a *account) run(ctx context.Context) {
	if _, fixed := allotment.FixedShare(a.cfg.Policy, a.currentLimit()); fixed {
		return
	}
	stop := a.cfg.Timer.Every(beat, func(time.Duration) { a.notify() })
	defer stop()
	a.loop(ctx)
	if a.unwatch != nil {
		a.unwatch()
	}
	a.watches.Wait()
	a.leave(context.WithoutCancel(ctx))
}

func (a *account) loop(ctx context.Context) {
	for {
		if _, err := a.wake.Take(ctx); err != nil {
			return
		}
		a.step(ctx)
	}
}

// step exchanges with the store when something is due.
func (a *account) step(ctx context.Context) {
	now := a.cfg.Timer.Now()
	a.takeCalls()
	demand, holding := a.demand(now)
	reason := a.due(now, demand, holding)
	if reason == nothing || a.down && now-a.failed < retryEvery {
		return
	}
	if reason == unmet && now < a.quietUntil {
		a.later(a.quietUntil - now)
		return
	}
	err := a.sync(ctx, demand, reason)
	a.down = err != nil
	if a.down {
		a.failed = a.cfg.Timer.Now()
		a.cfg.Report(a.limiter.name, err)
	}
	a.follow(ctx)
}

func (a *account) later(d time.Duration) {
	if a.alarm != nil {
		a.alarm()
	}
	a.alarm = a.cfg.Timer.After(d, func(time.Duration) { a.notify() })
}

func (a *account) demand(now time.Duration) (allotment.Demand, allotment.Holding) {
	d, holding := a.limiter.demand(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	d.Connections, d.Held = a.units, a.open
	if a.limit.Total.Connections > 0 {
		d.Connections = max(d.Connections, minUnits)
	}
	if !a.told {
		d.Held = a.units
	}
	return d, holding
}

func (a *account) currentLimit() allotment.Limit {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limit
}
