package entry

import (
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// ledgerUpdate is a new state of the ledger that is written in place of baseVersion.
type ledgerUpdate struct {
	sent        time.Duration
	baseVersion port.Version
	ledger      allotment.Ledger
	entry       allotment.Entry
	// taken are the tokens that it moves from the pool to this holder, returned those that it moves to the pool.
	taken    allotment.Statements
	returned allotment.Statements
	// gained is true when it raises this holder's share.
	gained bool
}

// planUpdate returns the update to apply to the ledger as last read. No batch is issued meanwhile, because the update leaves
// burst only for those that are outstanding now.
func (r *reconciler) planUpdate(d allotment.Demand) (ledgerUpdate, error) {
	d.Outstanding = r.limiter.suspendBatches()
	defer r.limiter.resumeBatches()
	now := r.cfg.Timer.Now()
	b := updateBuilder{ledger: r.base, observations: r.observations, now: now}
	if limit := r.currentLimit(); limit.Revision > r.base.Limit.Revision || r.base.Limit.Name == "" {
		b.apply(allotment.SetLimit{Limit: limit})
	}
	for _, edit := range r.observations.ReclaimEdits(now, b.ledger, r.cfg.Holder) {
		b.apply(edit)
	}
	if r.hasEntry && d.IsIdle() {
		return r.planDeregister(b)
	}
	b.apply(allotment.Register{Holder: r.cfg.Holder})
	view := b.ledger
	for _, c := range r.recalls {
		view, _, _ = view.Apply(allotment.Register{Holder: c.Holder})
		view, _, _ = view.Apply(allotment.SetWanted{Holder: c.Holder, Wanted: c.Wanted})
	}
	plan := allotment.Decide(view, r.cfg.Holder, d)
	if d.Waiting > 0 {
		b.refill(now)
	}
	entry, _ := b.ledger.Find(r.cfg.Holder)
	b.apply(allotment.SetWanted{Holder: r.cfg.Holder, Wanted: plan.Wanted})
	r.setCeiling(plan)
	surplus := entry.Share.Minus(plan.Target)
	// The tokens are withheld from the bucket before the update is sent, so that none counts both there and in the pool.
	reduced := entry
	reduced.Share = entry.Share.Min(plan.Target)
	returned := min(r.limiter.withhold(reduced), surplus.Burst)
	b.apply(allotment.Return{Holder: r.cfg.Holder, Share: surplus, Tokens: returned})
	b.apply(allotment.Take{Holder: r.cfg.Holder, Ask: plan.Target.Minus(entry.Share), Tokens: plan.Tokens})
	r.lastLease++
	b.apply(allotment.Renew{Holder: r.cfg.Holder, Lease: r.lastLease})
	return r.newUpdate(b, returned)
}

func (r *reconciler) planDeregister(b updateBuilder) (ledgerUpdate, error) {
	returned := r.limiter.withhold(allotment.Entry{})
	b.apply(allotment.Deregister{Holder: r.cfg.Holder, Tokens: returned})
	return r.newUpdate(b, returned)
}

func (r *reconciler) newUpdate(b updateBuilder, returned allotment.Statements) (ledgerUpdate, error) {
	if b.err != nil {
		return ledgerUpdate{}, port.Wrapf(b.err, port.Internal, "ledger %s", r.limiter.name)
	}
	u := ledgerUpdate{baseVersion: r.version, ledger: b.ledger, taken: b.tokens, returned: returned, gained: b.gained}
	u.entry, _ = b.ledger.Find(r.cfg.Holder)
	r.lastLease = max(r.lastLease, u.entry.Lease)
	r.limiter.withhold(u.entry.Pending(u.taken))
	return u, nil
}

// updateBuilder applies the edits of one update to a ledger and adds up what they grant. After an error it ignores edits.
type updateBuilder struct {
	ledger       allotment.Ledger
	observations allotment.LeaseObservations
	now          time.Duration
	// refilled is true once the pool has been refilled for the time up to this update.
	refilled bool
	tokens   allotment.Statements
	gained   bool
	err      error
}

// refill fills up the pool's tokens at its free rate. It precedes any change of that rate, which starts a new epoch.
func (b *updateBuilder) refill(now time.Duration) {
	if b.refilled || b.err != nil {
		return
	}
	b.refilled = true
	if edit, ok := b.observations.Refill(now, b.ledger); ok {
		b.ledger, _, b.err = b.ledger.Apply(edit)
	}
}

func (b *updateBuilder) apply(edit allotment.Edit) {
	if b.err != nil {
		return
	}
	next, grant, err := b.ledger.Apply(edit)
	if err != nil {
		b.err = err
		return
	}
	if next.Epoch != b.ledger.Epoch && !b.refilled {
		b.refill(b.now)
		next, grant, b.err = b.ledger.Apply(edit)
	}
	b.ledger = next
	b.tokens += grant.Tokens
	b.gained = b.gained || !grant.Share.IsZero()
}
