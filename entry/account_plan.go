package entry

import (
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// attempt is an update that was sent.
type attempt struct {
	sent    time.Duration
	version port.Version
	ledger  allotment.Ledger
	entry   allotment.Entry
	// taken are tokens that came from the pool, given those that went to it.
	taken allotment.Statements
	given allotment.Statements
	// gained is true when the share grew.
	gained bool
}

// plan returns the update that is due on the ledger as it was read.
func (a *account) plan(d allotment.Demand) (attempt, error) {
	d.Outstanding = a.limiter.freeze()
	defer a.limiter.thaw()
	now := a.cfg.Timer.Now()
	p := planner{ledger: a.base, sightings: a.sightings, now: now}
	if limit := a.currentLimit(); limit.Revision > a.base.Limit.Revision || a.base.Limit.Name == "" {
		p.apply(allotment.SetLimit{Limit: limit})
	}
	for _, edit := range a.sightings.ReclaimEdits(now, p.ledger, a.cfg.Holder) {
		p.apply(edit)
	}
	if a.held && d.IsIdle() {
		return a.planLeave(p)
	}
	p.apply(allotment.Register{Holder: a.cfg.Holder})
	view := p.ledger
	for _, c := range a.callers {
		view, _, _ = view.Apply(allotment.Register{Holder: c.Holder})
		view, _, _ = view.Apply(allotment.SetWanted{Holder: c.Holder, Wanted: c.Wanted})
	}
	plan := allotment.Decide(view, a.cfg.Holder, d)
	if d.Waiting > 0 {
		p.fill(now)
	}
	entry, _ := p.ledger.Find(a.cfg.Holder)
	p.apply(allotment.SetWanted{Holder: a.cfg.Holder, Wanted: plan.Wanted})
	a.setCeiling(plan)
	give := entry.Share.Minus(plan.Target)
	// The tokens are taken from the bucket before they are given, by way of the withheld.
	low := entry
	low.Share = entry.Share.Min(plan.Target)
	given := min(a.limiter.withhold(low), give.Burst)
	p.apply(allotment.Return{Holder: a.cfg.Holder, Share: give, Tokens: given})
	p.apply(allotment.Take{Holder: a.cfg.Holder, Ask: plan.Target.Minus(entry.Share), Tokens: plan.Tokens})
	a.lease++
	p.apply(allotment.Renew{Holder: a.cfg.Holder, Lease: a.lease})
	return a.attempt(p, given)
}

func (a *account) planLeave(p planner) (attempt, error) {
	given := a.limiter.withhold(allotment.Entry{})
	p.apply(allotment.Deregister{Holder: a.cfg.Holder, Tokens: given})
	return a.attempt(p, given)
}

func (a *account) attempt(p planner, given allotment.Statements) (attempt, error) {
	if p.err != nil {
		return attempt{}, port.Wrapf(p.err, port.Internal, "ledger %s", a.limiter.name)
	}
	t := attempt{version: a.version, ledger: p.ledger, taken: p.tokens, given: given, gained: p.gained}
	t.entry, _ = p.ledger.Find(a.cfg.Holder)
	a.lease = max(a.lease, t.entry.Lease)
	a.limiter.withhold(t.entry.Pending(t.taken))
	return t, nil
}

// planner collects the edits of one update.
type planner struct {
	ledger    allotment.Ledger
	sightings allotment.LeaseObservations
	now       time.Duration
	// filled is true when the pool's tokens were filled up for the time before this update.
	filled bool
	tokens allotment.Statements
	gained bool
	err    error
}

// fill adds what the pool's free rate brought before this update. It comes before any change of that rate, which
// starts another epoch.
func (p *planner) fill(now time.Duration) {
	if p.filled || p.err != nil {
		return
	}
	p.filled = true
	if fill, ok := p.sightings.Refill(now, p.ledger); ok {
		p.ledger, _, p.err = p.ledger.Apply(fill)
	}
}

func (p *planner) apply(edit allotment.Edit) {
	if p.err != nil {
		return
	}
	next, grant, err := p.ledger.Apply(edit)
	if err != nil {
		p.err = err
		return
	}
	if next.Epoch != p.ledger.Epoch && !p.filled {
		p.fill(p.now)
		next, grant, p.err = p.ledger.Apply(edit)
	}
	p.ledger = next
	p.tokens += grant.Tokens
	p.gained = p.gained || !grant.Share.IsZero()
}
