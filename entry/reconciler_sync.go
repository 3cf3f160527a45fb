package entry

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// sync reads the ledger and performs the next action on it.
func (r *reconciler) sync(ctx context.Context, d allotment.Demand, reason syncReason) error {
	start := r.cfg.Timer.Now()
	if err := r.readLedger(ctx); err != nil {
		return err
	}
	r.receiveRecalls()
	switch next := r.nextAction(d, reason, start).(type) {
	case retryAfter:
		if reason == unmetDemand {
			// Without this every statement that arrives during the delay would read the ledger.
			r.backoffUntil = r.cfg.Timer.Now() + next.delay
		}
		r.wakeAfter(next.delay)
		return nil
	case recall:
		return r.sendRecall(ctx, next)
	case noAction:
		return nil
	}
	u, err := r.planUpdate(d)
	if err != nil {
		return err
	}
	lastWrite, hasWritten := r.lastWrite, r.hasWritten
	err = r.writeLedger(ctx, u)
	if port.KindOf(err) == port.Conflict {
		r.lastWrite, r.hasWritten = lastWrite, hasWritten
		r.conflicts++
		r.wakeAfter(conflictPause(r.cfg.Holder, r.conflicts))
		return nil
	}
	r.conflicts = 0
	return err
}

// conflictPause returns the delay after a version conflict. It differs between holders and attempts, so that the same
// holders do not collide again.
func conflictPause(holder string, attempt uint64) time.Duration {
	const shortest, spread = 5 * time.Millisecond, 36
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%d", holder, attempt)
	return shortest + time.Duration(h.Sum64()%spread)*time.Millisecond
}

// view returns the ledger as read, without the shares of holders whose lease has expired and with the demand that recalls
// have stated since.
func (r *reconciler) view() allotment.Ledger {
	l := r.base
	if l.Limit.Name == "" {
		l, _, _ = l.Apply(allotment.SetLimit{Limit: r.currentLimit()})
	}
	for _, edit := range r.observations.ReclaimEdits(r.cfg.Timer.Now(), l, r.cfg.Holder) {
		l, _, _ = l.Apply(edit)
	}
	l, _, _ = l.Apply(allotment.Register{Holder: r.cfg.Holder})
	for _, c := range r.recalls {
		l, _, _ = l.Apply(allotment.Register{Holder: c.Holder})
		l, _, _ = l.Apply(allotment.SetWanted{Holder: c.Holder, Wanted: c.Wanted})
	}
	return l
}

func (r *reconciler) objectName() string { return "ledger/" + r.limiter.name }

// readLedger reads the ledger and resolves the updates of unknown outcome.
func (r *reconciler) readLedger(ctx context.Context) error {
	ctx, cancel := port.WithTimeout(ctx, r.cfg.Timer, storeTimeout)
	defer cancel()
	object, err := r.cfg.Store.Get(ctx, r.objectName())
	if port.KindOf(err) == port.NotFound {
		object, err = port.Object{}, nil
	}
	if err != nil {
		return port.Wrapf(err, port.KindOf(err), "read ledger %s", r.limiter.name)
	}
	base := allotment.Ledger{}
	if object.Version != 0 {
		base, err = ParseLedger(object.Data)
	}
	if err != nil {
		return err
	}
	r.base, r.version = base, object.Version
	r.pruneRecalled()
	r.observations = r.observations.WithLedger(r.cfg.Timer.Now(), base)
	r.resolveUpdates()
	return nil
}

// resolveUpdates determines from the lease number in the ledger which of the unresolved updates was committed. While the
// ledger still has their base version, each of them may yet be committed; after any other update none can.
func (r *reconciler) resolveUpdates() {
	if len(r.unresolved) == 0 || r.version == r.unresolved[0].baseVersion {
		return
	}
	lease := uint64(0)
	if e, ok := r.base.Find(r.cfg.Holder); ok {
		lease = e.Lease
	} else if reservation, ok := r.base.FindReservation(r.cfg.Holder); ok {
		lease = reservation.Lease
	}
	updates := r.unresolved
	r.unresolved = nil
	for _, u := range updates {
		if u.entry.Lease == lease {
			r.commit(u)
			return
		}
	}
	r.limiter.restore()
}

// commit adopts an update that is known to be in the ledger.
func (r *reconciler) commit(u ledgerUpdate) {
	r.unresolved = nil
	r.hasEntry = u.entry.Holder != ""
	r.limiter.applyUpdate(u)
}

// writeLedger sends an update. After any result but success, the next read resolves it.
func (r *reconciler) writeLedger(ctx context.Context, u ledgerUpdate) error {
	data, err := EncodeLedger(u.ledger)
	if err != nil {
		return err
	}
	u.sent = r.cfg.Timer.Now()
	r.unresolved = append(r.unresolved, u)
	r.lastWrite, r.hasWritten = u.sent, true
	ctx, cancel := port.WithTimeout(ctx, r.cfg.Timer, storeTimeout)
	defer cancel()
	version, err := r.cfg.Store.Put(ctx, r.objectName(), data, u.baseVersion)
	if err != nil {
		return port.Wrapf(err, port.KindOf(err), "write ledger %s", r.limiter.name)
	}
	r.base, r.version, r.lastRenewal = u.ledger, version, u.sent
	r.recalls = nil
	if u.taken > 0 || u.gained {
		r.emptyReads = 0
	}
	r.observations = r.observations.WithLedger(r.cfg.Timer.Now(), u.ledger)
	r.commit(u)
	return nil
}

// deregister returns the whole share to the ledger when the instance stops.
func (r *reconciler) deregister(ctx context.Context) {
	if !r.hasEntry {
		return
	}
	ctx, cancel := port.WithTimeout(ctx, r.cfg.Timer, deregisterTimeout)
	defer cancel()
	if r.limiter.suspendBatches() > 0 {
		// The burst of outstanding batches may be returned only after they have expired.
		_ = port.Sleep(ctx, r.cfg.Timer, allotment.BatchReservation)
	}
	for ctx.Err() == nil {
		if err := r.readLedger(ctx); err != nil {
			return
		}
		u, err := r.planDeregister(updateBuilder{ledger: r.base, refilled: true})
		if err != nil || port.KindOf(r.writeLedger(ctx, u)) != port.Conflict {
			return
		}
	}
}
