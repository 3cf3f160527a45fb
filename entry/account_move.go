package entry

import (
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
)

// reason is why an exchange with the store is due.
type reason int

const (
	nothing reason = iota
	// unmet demand needs an exchange only if something can be had.
	unmet
	// asked means that another holder asks this one for what it can spare.
	asked
	// owed means that the ledger has to be written.
	owed
)

func (a *account) due(now time.Duration, d allotment.Demand, h allotment.Holding) reason {
	short := d.Waiting > 0 || d.Connections > h.Share().Connections
	switch {
	case !a.held && !short:
		return nothing
	case a.held && (now-a.synced >= renewEvery || h.IsExpired() || len(a.attempts) > 0 || d.IsIdle()):
		return owed
	case a.held && h.Share().Connections > max(a.ceiling, d.Held):
		return owed
	case a.held && now-a.wrote >= dropTime && (a.dropped(d) || a.base.UnderstatesDemand(a.cfg.Holder, d.Wanted(a.base.Limit))):
		return owed
	case a.held && a.currentLimit().Revision > a.base.Limit.Revision:
		return owed
	case a.held && len(a.callers) > 0:
		return asked
	case short:
		return unmet
	default:
		return nothing
	}
}

// dropped reports whether the ledger says much more than this holder now wants. Others that are short count on it.
func (a *account) dropped(d allotment.Demand) bool {
	e, ok := a.base.Find(a.cfg.Holder)
	least := max(a.base.Limit.Total.Rate/dropPart, dropLeast)
	return ok && e.Wanted.Minus(d.Wanted(a.base.Limit)).Rate > least
}

// move is what follows from a ledger that was read.
type move interface{ move() }

// write updates the ledger now.
type write struct{}

// wait looks again later.
type wait struct{ d time.Duration }

// rest does nothing until something changes.
type rest struct{}

func (write) move() {}
func (wait) move()  {}
func (rest) move()  {}
func (call) move()  {}

// next decides what to do with the ledger that was read.
func (a *account) next(d allotment.Demand, why reason, began time.Duration) move {
	now := a.cfg.Timer.Now()
	gap := a.wrote + writeGap - now
	if !a.written {
		gap = 0
	}
	if why == owed {
		return a.writeIn(gap)
	}
	view := a.view()
	plan := allotment.Decide(view, a.cfg.Holder, d)
	a.setCeiling(plan)
	share := allotment.Amount{}
	if e, ok := view.Find(a.cfg.Holder); ok {
		share = e.Share
	}
	give := share.Minus(plan.Target)
	get := plan.Target.Minus(share).Min(view.Free())
	missing := plan.Wanted.Min(plan.Target).Minus(share).Minus(get)
	givers := allotment.Donors(view, a.cfg.Holder, missing, a.isAsked)
	unanswered := allotment.Donors(view, a.cfg.Holder, missing, a.hasAnswered)
	pool := a.fills(view, d)
	switch {
	case d.Waiting > 0 && pool && gap <= 0:
		return write{}
	case len(givers) > 0 && now-a.calledAt >= callGap && d.Waiting+int(d.Connections) > 0:
		return call{Holder: a.cfg.Holder, Wanted: plan.Wanted, Givers: givers}
	case len(unanswered) > 0 && now-a.calledAt < callWait:
		return wait{d: callPoll}
	case why == asked && !give.IsZero(), get.IsSignificant(share), pool, !a.held && why == unmet:
		return a.writeIn(gap)
	case why == asked:
		// Connections above the ceiling are given back for these callers once they are closed.
		if plan.Connections >= share.Connections {
			a.callers = nil
		}
		return rest{}
	default:
		if d.Waiting > 0 && len(unanswered) == 0 {
			a.limiter.exhaust(began)
		}
		quiet := a.backOff()
		a.quietUntil = now + quiet
		return wait{d: quiet}
	}
}

// backOff returns the time until the next look, which doubles while nothing can be had.
func (a *account) backOff() time.Duration {
	longest := quietTime * time.Duration(min(max(len(a.base.Entries), 1), quietHolders)) / quietHolders
	quiet := min(firstLook<<a.misses, longest)
	if quiet < longest {
		a.misses++
	}
	return quiet
}

// fills reports whether the pool has a token for a statement that waits.
func (a *account) fills(l allotment.Ledger, d allotment.Demand) bool {
	if fill, ok := a.sightings.Refill(a.cfg.Timer.Now(), l); ok {
		l, _, _ = l.Apply(fill)
	}
	return d.Waiting > 0 && d.Tokens+l.Tokens >= allotment.Statement
}

func (a *account) setCeiling(plan allotment.Plan) {
	a.ceiling = plan.Connections
	a.limiter.setCeiling(plan.Connections)
}

func (a *account) writeIn(gap time.Duration) move {
	if gap > 0 {
		return wait{d: gap}
	}
	return write{}
}
