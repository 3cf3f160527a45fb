package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// reconciler keeps this instance's share of one limit in step with the ledger in the store. Only its loop uses the fields
// from base on.
type reconciler struct {
	cfg     LimitManagerConfig
	limiter *limiter
	// wake holds one item, because one wake-up makes the loop check everything.
	wake *ring.Ring[struct{}]

	mu                sync.Mutex
	limit             allotment.Limit
	wantedConnections int64
	openConnections   int64
	openKnown         bool

	// base is the ledger as last read or written, and version its version in the store.
	base    allotment.Ledger
	version port.Version
	// hasEntry is true while the ledger may contain an entry of this holder.
	hasEntry     bool
	observations allotment.LeaseObservations
	// lastLease is the greatest lease number sent to the store.
	lastLease uint64
	// unresolved are the updates that may or may not have been committed. All have the same base version.
	unresolved  []ledgerUpdate
	lastWrite   time.Duration
	lastRenewal time.Duration
	lastFailure time.Duration
	failing     bool
	hasWritten  bool
	// backoffUntil is the earliest next read for unmet demand after a read found nothing available.
	backoffUntil time.Duration
	// ceiling is the number of connections due to this holder.
	ceiling int64
	// emptyReads counts the reads that found nothing available since the last update that gained a share or tokens.
	emptyReads int
	stopTimer  func()

	// incoming queues the recalls that the watch received; recalls are those not answered yet.
	incoming   *ring.Ring[recall]
	recalls    []recall
	lastRecall time.Duration
	// recalled are the holders to which this one sent a recall.
	recalled map[string]sentRecall
	// conflicts counts the version conflicts in a row.
	conflicts uint64
	// stopWatch ends the watch for recalls, which runs while hasEntry is true.
	stopWatch context.CancelFunc
	watches   sync.WaitGroup
}

// minConnections is the number of connections that an instance reserves for each server even when idle. While the store is
// down, a server that becomes primary can be reached only through connections reserved before.
const minConnections = 1

func newReconciler(cfg LimitManagerConfig, limit allotment.Limit) *reconciler {
	r := &reconciler{
		cfg: cfg, limit: limit, wake: ring.New[struct{}](1), incoming: ring.New[recall](maxQueuedRecalls),
		lastRecall: -minRecallInterval, recalled: map[string]sentRecall{},
	}
	r.limiter = newLimiter(limit.Name, cfg.Timer, r.notify)
	r.applyFixedShare(limit)
	return r
}

// applyFixedShare sets the share under a policy that uses no ledger, and reports false for other policies.
func (r *reconciler) applyFixedShare(limit allotment.Limit) bool {
	share, ok := allotment.FixedShare(r.cfg.Policy, limit)
	if ok {
		r.limiter.setFixedShare(share)
	}
	return ok
}

func (r *reconciler) notify() { r.wake.TryPut(struct{}{}) }

// setLimit applies a newer limit. A lower one reduces the local share at once, before the ledger changes.
func (r *reconciler) setLimit(limit allotment.Limit) {
	r.mu.Lock()
	old := r.limit
	if limit.Revision > old.Revision {
		r.limit = limit
	}
	r.mu.Unlock()
	if limit.Revision <= old.Revision || r.applyFixedShare(limit) {
		return
	}
	r.limiter.lowerLimit(limit)
	r.notify()
}

func (r *reconciler) setDemand(n int) {
	r.mu.Lock()
	r.wantedConnections = int64(max(n, 0))
	r.mu.Unlock()
	r.notify()
}

func (r *reconciler) setOpen(n int) {
	r.mu.Lock()
	changed := r.openConnections != int64(n) || !r.openKnown
	r.openConnections, r.openKnown = int64(max(n, 0)), true
	r.mu.Unlock()
	if changed {
		r.notify()
	}
}

// run reconciles until ctx ends, then returns the whole share to the ledger.
func (r *reconciler) run(ctx context.Context) {
	if _, fixed := allotment.FixedShare(r.cfg.Policy, r.currentLimit()); fixed {
		return
	}
	stop := r.cfg.Timer.Every(tickInterval, func(time.Duration) { r.notify() })
	defer stop()
	r.loop(ctx)
	if r.stopWatch != nil {
		r.stopWatch()
	}
	r.watches.Wait()
	r.deregister(context.WithoutCancel(ctx))
}

func (r *reconciler) loop(ctx context.Context) {
	for {
		if _, err := r.wake.Take(ctx); err != nil {
			return
		}
		r.reconcile(ctx)
	}
}

// reconcile synchronises with the store if something is due.
func (r *reconciler) reconcile(ctx context.Context) {
	now := r.cfg.Timer.Now()
	r.receiveRecalls()
	demand, holding := r.demand(now)
	reason := r.dueReason(now, demand, holding)
	if reason == noSync || r.failing && now-r.lastFailure < retryInterval {
		return
	}
	if reason == unmetDemand && now < r.backoffUntil {
		r.wakeAfter(r.backoffUntil - now)
		return
	}
	err := r.sync(ctx, demand, reason)
	r.failing = err != nil
	if r.failing {
		r.lastFailure = r.cfg.Timer.Now()
		r.cfg.OnError(r.limiter.name, err)
	}
	r.updateWatch(ctx)
}

func (r *reconciler) wakeAfter(d time.Duration) {
	if r.stopTimer != nil {
		r.stopTimer()
	}
	r.stopTimer = r.cfg.Timer.After(d, func(time.Duration) { r.notify() })
}

func (r *reconciler) demand(now time.Duration) (allotment.Demand, allotment.Holding) {
	d, holding := r.limiter.demand(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	d.Connections, d.Held = r.wantedConnections, r.openConnections
	if r.limit.Total.Connections > 0 {
		d.Connections = max(d.Connections, minConnections)
	}
	if !r.openKnown {
		d.Held = r.wantedConnections
	}
	return d, holding
}

func (r *reconciler) currentLimit() allotment.Limit {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limit
}
