package entry

import (
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
)

// syncReason is the reason why a synchronisation with the store is due.
type syncReason int

const (
	noSync syncReason = iota
	// unmetDemand leads to an update only if something is available.
	unmetDemand
	// recallPending means that another holder asks this one to return what it can spare.
	recallPending
	// writeDue means that the ledger has to be written in any case.
	writeDue
)

func (r *reconciler) dueReason(now time.Duration, d allotment.Demand, h allotment.Holding) syncReason {
	short := d.Waiting > 0 || d.Connections > h.Share().Connections
	switch {
	case !r.hasEntry && !short:
		return noSync
	case r.hasEntry && (now-r.lastRenewal >= renewInterval || h.IsExpired() || len(r.unresolved) > 0 || d.IsIdle()):
		return writeDue
	case r.hasEntry && h.Share().Connections > max(r.ceiling, d.Held):
		return writeDue
	case r.hasEntry && now-r.lastWrite >= demandDropDelay &&
		(r.demandDropped(d) || r.base.UnderstatesDemand(r.cfg.Holder, d.Wanted(r.base.Limit))):
		return writeDue
	case r.hasEntry && r.currentLimit().Revision > r.base.Limit.Revision:
		return writeDue
	case r.hasEntry && len(r.recalls) > 0:
		return recallPending
	case short:
		return unmetDemand
	default:
		return noSync
	}
}

// demandDropped reports whether the ledger states much more demand than this holder now has. Other holders
// that need more compute their fair share from the stated demand.
func (r *reconciler) demandDropped(d allotment.Demand) bool {
	e, ok := r.base.Find(r.cfg.Holder)
	threshold := max(r.base.Limit.Total.Rate/demandDropDivisor, minDemandDrop)
	return ok && e.Wanted.Minus(d.Wanted(r.base.Limit)).Rate > threshold
}

// action is the next step after a read of the ledger: writeNow, retryAfter, recall or noAction.
type action interface{ action() }

// writeNow updates the ledger.
type writeNow struct{}

// retryAfter reads the ledger again after the delay.
type retryAfter struct{ delay time.Duration }

// noAction waits for the next wake-up.
type noAction struct{}

func (writeNow) action()   {}
func (retryAfter) action() {}
func (noAction) action()   {}
func (recall) action()     {}

// nextAction decides what to do after a read of the ledger. start is the instant at which the synchronisation began.
func (r *reconciler) nextAction(d allotment.Demand, reason syncReason, start time.Duration) action {
	now := r.cfg.Timer.Now()
	gap := r.lastWrite + minWriteInterval - now
	if !r.hasWritten {
		gap = 0
	}
	if reason == writeDue {
		return r.writeAfter(gap)
	}
	view := r.view()
	plan := allotment.Decide(view, r.cfg.Holder, d)
	r.setCeiling(plan)
	share := allotment.Amount{}
	if e, ok := view.Find(r.cfg.Holder); ok {
		share = e.Share
	}
	surplus := share.Minus(plan.Target)
	obtainable := plan.Target.Minus(share).Min(view.Free())
	missing := plan.Wanted.Min(plan.Target).Minus(share).Minus(obtainable)
	donors := allotment.Donors(view, r.cfg.Holder, missing, r.skipRecall)
	unanswered := allotment.Donors(view, r.cfg.Holder, missing, r.hasAnsweredRecall)
	hasPoolToken := r.poolHasToken(view, d)
	switch {
	case d.Waiting > 0 && hasPoolToken && gap <= 0:
		return writeNow{}
	case len(donors) > 0 && now-r.lastRecall >= minRecallInterval && d.Waiting+int(d.Connections) > 0:
		return recall{Holder: r.cfg.Holder, Wanted: plan.Wanted, Donors: donors}
	case len(unanswered) > 0 && now-r.lastRecall < recallTimeout:
		return retryAfter{delay: recallPollInterval}
	case reason == recallPending && !surplus.IsZero(), obtainable.IsSignificant(share), hasPoolToken, !r.hasEntry && reason == unmetDemand:
		return r.writeAfter(gap)
	case reason == recallPending:
		// With connections above the ceiling the recalls stay pending: they are answered once those are closed.
		if plan.Connections >= share.Connections {
			r.recalls = nil
		}
		return noAction{}
	default:
		if d.Waiting > 0 && len(unanswered) == 0 {
			r.limiter.markExhausted(start)
		}
		delay := r.nextBackoff()
		r.backoffUntil = now + delay
		return retryAfter{delay: delay}
	}
}

// nextBackoff returns the delay before the next read. It doubles while nothing is available.
func (r *reconciler) nextBackoff() time.Duration {
	limit := maxBackoff * time.Duration(min(max(len(r.base.Entries), 1), maxBackoffHolders)) / maxBackoffHolders
	delay := min(initialBackoff<<r.emptyReads, limit)
	if delay < limit {
		r.emptyReads++
	}
	return delay
}

// poolHasToken reports whether the local tokens and those of the pool suffice for a waiting statement.
func (r *reconciler) poolHasToken(l allotment.Ledger, d allotment.Demand) bool {
	if refill, ok := r.observations.Refill(r.cfg.Timer.Now(), l); ok {
		l, _, _ = l.Apply(refill)
	}
	return d.Waiting > 0 && d.Tokens+l.Tokens >= allotment.Statement
}

func (r *reconciler) setCeiling(plan allotment.Plan) {
	r.ceiling = plan.Connections
	r.limiter.setCeiling(plan.Connections)
}

func (r *reconciler) writeAfter(gap time.Duration) action {
	if gap > 0 {
		return retryAfter{delay: gap}
	}
	return writeNow{}
}
