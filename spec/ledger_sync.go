package spec

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
)

// ledgerDemands are the demands that a holder may have. The first one has ended long ago.
func (s ledgerState) ledgerDemands(i int) map[string]allotment.Demand {
	if s.countsConnections() {
		open := int64(s.holders[i].open)
		return map[string]allotment.Demand{
			"nothing":         {Held: open, Idle: time.Hour},
			"one connection":  {Held: open, Connections: 1},
			"all connections": {Held: open, Connections: s.before.Total.Connections},
		}
	}
	tokens := s.holders[i].holding.At(s.now(i)).Tokens()
	return map[string]allotment.Demand{
		"nothing":        {Idle: time.Hour},
		"a statement":    {Tokens: tokens, Rate: s.before.Total.Rate / 4},
		"all statements": {Tokens: tokens, Rate: s.before.Total.Rate, Waiting: 2},
	}
}

// syncs lets a holder read the ledger and send an update for one of the demands.
func (s ledgerState) syncs(i int) []Step {
	if s.updates >= s.bounds.Updates {
		return nil
	}
	// The holders with fast clocks differ in name only, so it is enough that they start in order.
	if i > 1 && s.holders[i-1].lease == 0 {
		return nil
	}
	var steps []Step
	for want, demand := range s.ledgerDemands(i) {
		if demand.Idle > 0 && !s.holders[i].held {
			continue
		}
		n := s.clone()
		n.updates++
		n.sync(i, demand)
		steps = append(steps, Step{fmt.Sprintf("%s reads the ledger and sends an update for %s", holderName(i), want), n})
	}
	slices.SortFunc(steps, func(a, b Step) int { return strings.Compare(a.Event, b.Event) })
	return steps
}

// sync is what the product's account does: it settles earlier updates, plans the next one and sends it.
func (s *ledgerState) sync(i int, d allotment.Demand) {
	h := &s.holders[i]
	now := s.now(i)
	h.sightings = h.sightings.WithLedger(now, s.ledger)
	s.settle(i)
	p := ledgerPlan{ledger: s.ledger, sightings: h.sightings, now: now}
	if h.limit.Revision > s.ledger.Limit.Revision {
		p.apply(allotment.SetLimit{Limit: h.limit})
	}
	s.reclaim(&p, i)
	var t ledgerAttempt
	if h.held && d.IsIdle() {
		t.given = s.withhold(i, allotment.Entry{})
		p.apply(allotment.Deregister{Holder: holderName(i), Tokens: t.given})
	} else {
		t.given = s.plan(&p, i, d)
	}
	t.version, t.sent, t.ledger, t.taken = s.version, now, p.ledger, p.tokens
	t.entry, _ = p.ledger.Find(holderName(i))
	h.lease = max(h.lease, t.entry.Lease)
	s.withhold(i, t.entry)
	if p.err != nil {
		s.broken = p.err.Error()
	}
	h.attempts = append(slices.Clone(h.attempts), t)
	s.messages = append(s.messages, ledgerMessage{holder: i, attempt: t})
}

// reclaim takes back what silent holders no longer use.
func (s *ledgerState) reclaim(p *ledgerPlan, i int) {
	now := p.now
	if s.faults.ReclaimWithoutMargin {
		now += allotment.ReclaimAfter - allotment.LeaseTTL
	}
	for _, edit := range p.sightings.ReclaimEdits(now, p.ledger, holderName(i)) {
		r, isReclaim := edit.(allotment.Reclaim)
		p.apply(edit)
		if isReclaim && s.faults.ReclaimStanding {
			p.apply(allotment.Deregister{Holder: r.Holder})
		}
	}
}

// plan brings the holder's entry to what the demand asks for, and returns the tokens that are given back.
func (s *ledgerState) plan(p *ledgerPlan, i int, d allotment.Demand) allotment.Statements {
	h, name := &s.holders[i], holderName(i)
	_, held := p.ledger.Find(name)
	_, seat := p.ledger.FindReservation(name)
	if !held && !seat {
		h.holding, h.withheld = allotment.Holding{}, 0
	}
	p.apply(allotment.Register{Holder: name})
	plan := allotment.Decide(p.ledger, name, d)
	if d.Waiting > 0 {
		p.fill()
	}
	h.ceiling = int(plan.Connections)
	entry, _ := p.ledger.Find(name)
	p.apply(allotment.SetWanted{Holder: name, Wanted: plan.Wanted})
	give := entry.Share.Minus(plan.Target)
	low := entry
	low.Share = entry.Share.Min(plan.Target)
	given := min(s.withhold(i, low), give.Burst)
	p.apply(allotment.Return{Holder: name, Share: give, Tokens: given})
	p.apply(allotment.Take{Holder: name, Ask: plan.Target.Minus(entry.Share), Tokens: plan.Tokens})
	h.lease++
	p.apply(allotment.Renew{Holder: name, Lease: h.lease})
	return given
}

// withhold lowers the holding to an entry before the update is sent, and returns all withheld tokens.
func (s *ledgerState) withhold(i int, e allotment.Entry) allotment.Statements {
	h := &s.holders[i]
	holding, tokens := h.holding.WithShareAtMost(s.now(i), e)
	if !s.faults.GiveWithoutWithholding {
		h.holding = holding
		h.withheld += tokens
	}
	return h.withheld
}

// settle finds out which of the holder's updates took effect.
func (s *ledgerState) settle(i int) {
	h := &s.holders[i]
	attempts := h.attempts
	if len(attempts) == 0 || s.version == attempts[0].version {
		return
	}
	h.attempts = nil
	lease := uint64(0)
	if e, ok := s.ledger.Find(holderName(i)); ok {
		lease = e.Lease
	} else if seat, ok := s.ledger.FindReservation(holderName(i)); ok {
		lease = seat.Lease
	}
	for _, t := range attempts {
		if t.entry.Lease == lease {
			s.confirm(i, t)
			return
		}
	}
	h.holding = h.holding.At(s.now(i))
	h.holding = h.holding.WithReturned(s.now(i), h.takeWithheld())
}

// confirm takes over an update that is known to have taken effect.
func (s *ledgerState) confirm(i int, t ledgerAttempt) {
	h, now := &s.holders[i], s.now(i)
	h.attempts = nil
	h.held = t.entry.Holder != ""
	h.holding = h.holding.At(now)
	back := max(h.takeWithheld()-t.given, 0)
	h.holding = h.holding.WithEntry(now, t.sent, t.entry, t.taken+back)
	if under := t.ledger.Limit; under.Revision >= h.granted.Revision || s.faults.GrantOldLimit {
		h.granted = under
		return
	}
	h.holding, _ = h.holding.WithLimitAtMost(now, t.ledger.Limit.Total, h.granted.Total)
}

// takeWithheld returns the withheld tokens and forgets them. The tokens of a holder whose lease has ended count as spent.
func (h *ledgerHolder) takeWithheld() allotment.Statements {
	withheld := h.withheld
	h.withheld = 0
	if h.holding.IsExpired() {
		return 0
	}
	return withheld
}

// ledgerPlan collects the edits of one update. The pool is filled for the time before the update, ahead of the first
// edit that changes its rate.
type ledgerPlan struct {
	ledger    allotment.Ledger
	sightings allotment.LeaseObservations
	now       time.Duration
	filled    bool
	tokens    allotment.Statements
	err       error
}

func (p *ledgerPlan) fill() {
	if p.filled || p.err != nil {
		return
	}
	p.filled = true
	if fill, ok := p.sightings.Refill(p.now, p.ledger); ok {
		p.ledger, _, p.err = p.ledger.Apply(fill)
	}
}

func (p *ledgerPlan) apply(edit allotment.Edit) {
	if p.err != nil {
		return
	}
	next, grant, err := p.ledger.Apply(edit)
	if err == nil && next.Epoch != p.ledger.Epoch && !p.filled {
		p.fill()
		next, grant, err = p.ledger.Apply(edit)
	}
	p.ledger, p.err = next, err
	p.tokens += grant.Tokens
}
