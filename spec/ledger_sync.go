package spec

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
)

// ledgerDemands returns the demands that a holder may have. With the first one the holder has been idle for an hour.
func (s ledgerState) ledgerDemands(i int) map[string]allotment.Demand {
	if s.countsConnections() {
		open := int64(s.holders[i].open)
		return map[string]allotment.Demand{
			"nothing":         {Held: open, Idle: time.Hour},
			"one connection":  {Held: open, Connections: 1},
			"all connections": {Held: open, Connections: s.initialLimit.Total.Connections},
		}
	}
	tokens := s.holders[i].holding.At(s.now(i)).Tokens()
	return map[string]allotment.Demand{
		"nothing":        {Idle: time.Hour},
		"a statement":    {Tokens: tokens, Rate: s.initialLimit.Total.Rate / 4},
		"all statements": {Tokens: tokens, Rate: s.initialLimit.Total.Rate, Waiting: 2},
	}
}

// syncSteps lets a holder read the ledger and send an update for one of the demands.
func (s ledgerState) syncSteps(i int) []Step {
	if s.updates >= s.bounds.Updates {
		return nil
	}
	// The holders with fast clocks differ in name only, so the model starts them in order.
	if i > 1 && s.holders[i-1].lease == 0 {
		return nil
	}
	var steps []Step
	for want, demand := range s.ledgerDemands(i) {
		if demand.Idle > 0 && !s.holders[i].hasEntry {
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

// sync works like the product's account: it resolves earlier updates, plans the next one and sends it.
func (s *ledgerState) sync(i int, d allotment.Demand) {
	h := &s.holders[i]
	now := s.now(i)
	h.observations = h.observations.WithLedger(now, s.ledger)
	s.resolveAttempts(i)
	p := ledgerPlan{ledger: s.ledger, observations: h.observations, now: now}
	if h.limit.Revision > s.ledger.Limit.Revision {
		p.apply(allotment.SetLimit{Limit: h.limit})
	}
	s.reclaim(&p, i)
	var t ledgerAttempt
	if h.hasEntry && d.IsIdle() {
		t.tokensReturned = s.withhold(i, allotment.Entry{})
		p.apply(allotment.Deregister{Holder: holderName(i), Tokens: t.tokensReturned})
	} else {
		t.tokensReturned = s.planUpdate(&p, i, d)
	}
	t.version, t.sentAt, t.ledger, t.tokensTaken = s.version, now, p.ledger, p.tokens
	t.entry, _ = p.ledger.Find(holderName(i))
	h.lease = max(h.lease, t.entry.Lease)
	s.withhold(i, t.entry)
	if p.err != nil {
		s.violation = p.err.Error()
	}
	h.attempts = append(slices.Clone(h.attempts), t)
	s.messages = append(s.messages, ledgerMessage{holder: i, attempt: t})
}

// reclaim reclaims the shares of holders that have not renewed their leases.
func (s *ledgerState) reclaim(p *ledgerPlan, i int) {
	now := p.now
	if s.faults.ReclaimWithoutMargin {
		now += allotment.ReclaimAfter - allotment.LeaseTTL
	}
	for _, edit := range p.observations.ReclaimEdits(now, p.ledger, holderName(i)) {
		r, isReclaim := edit.(allotment.Reclaim)
		p.apply(edit)
		if isReclaim && s.faults.ReclaimFallback {
			p.apply(allotment.Deregister{Holder: r.Holder})
		}
	}
}

// planUpdate changes the holder's entry to meet the demand. The result is the number of tokens that the holder gives
// back.
func (s *ledgerState) planUpdate(p *ledgerPlan, i int, d allotment.Demand) allotment.Statements {
	h, name := &s.holders[i], holderName(i)
	_, hasEntry := p.ledger.Find(name)
	_, isReserved := p.ledger.FindReservation(name)
	if !hasEntry && !isReserved {
		h.holding, h.withheld = allotment.Holding{}, 0
	}
	p.apply(allotment.Register{Holder: name})
	plan := allotment.Decide(p.ledger, name, d)
	if d.Waiting > 0 {
		p.refill()
	}
	h.targetConnections = int(plan.Connections)
	entry, _ := p.ledger.Find(name)
	p.apply(allotment.SetWanted{Holder: name, Wanted: plan.Wanted})
	excess := entry.Share.Minus(plan.Target)
	lowered := entry
	lowered.Share = entry.Share.Min(plan.Target)
	returned := min(s.withhold(i, lowered), excess.Burst)
	p.apply(allotment.Return{Holder: name, Share: excess, Tokens: returned})
	p.apply(allotment.Take{Holder: name, Ask: plan.Target.Minus(entry.Share), Tokens: plan.Tokens})
	h.lease++
	p.apply(allotment.Renew{Holder: name, Lease: h.lease})
	return returned
}

// withhold lowers the holding to the entry before the update is sent, and returns the number of all withheld tokens.
func (s *ledgerState) withhold(i int, e allotment.Entry) allotment.Statements {
	h := &s.holders[i]
	holding, tokens := h.holding.WithShareAtMost(s.now(i), e)
	if !s.faults.ReturnWithoutWithholding {
		h.holding = holding
		h.withheld += tokens
	}
	return h.withheld
}

// resolveAttempts determines which of the holder's updates took effect.
func (s *ledgerState) resolveAttempts(i int) {
	h := &s.holders[i]
	attempts := h.attempts
	if len(attempts) == 0 || s.version == attempts[0].version {
		return
	}
	h.attempts = nil
	lease := uint64(0)
	if e, ok := s.ledger.Find(holderName(i)); ok {
		lease = e.Lease
	} else if reservation, ok := s.ledger.FindReservation(holderName(i)); ok {
		lease = reservation.Lease
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

// confirm applies an update that is known to have taken effect to the holding.
func (s *ledgerState) confirm(i int, t ledgerAttempt) {
	h, now := &s.holders[i], s.now(i)
	h.attempts = nil
	h.hasEntry = t.entry.Holder != ""
	h.holding = h.holding.At(now)
	unreturned := max(h.takeWithheld()-t.tokensReturned, 0)
	h.holding = h.holding.WithEntry(now, t.sentAt, t.entry, t.tokensTaken+unreturned)
	if limit := t.ledger.Limit; limit.Revision >= h.grantedLimit.Revision || s.faults.GrantStaleLimit {
		h.grantedLimit = limit
		return
	}
	h.holding, _ = h.holding.WithLimitAtMost(now, t.ledger.Limit.Total, h.grantedLimit.Total)
}

// takeWithheld returns and clears the withheld tokens. The tokens of a holder whose lease has expired count as spent.
func (h *ledgerHolder) takeWithheld() allotment.Statements {
	withheld := h.withheld
	h.withheld = 0
	if h.holding.IsExpired() {
		return 0
	}
	return withheld
}

// ledgerPlan collects the edits of one update. The pool is refilled for the time up to the update before the first edit
// that changes its rate.
type ledgerPlan struct {
	ledger       allotment.Ledger
	observations allotment.LeaseObservations
	now          time.Duration
	isRefilled   bool
	tokens       allotment.Statements
	err          error
}

func (p *ledgerPlan) refill() {
	if p.isRefilled || p.err != nil {
		return
	}
	p.isRefilled = true
	if edit, ok := p.observations.Refill(p.now, p.ledger); ok {
		p.ledger, _, p.err = p.ledger.Apply(edit)
	}
}

func (p *ledgerPlan) apply(edit allotment.Edit) {
	if p.err != nil {
		return
	}
	next, grant, err := p.ledger.Apply(edit)
	if err == nil && next.Epoch != p.ledger.Epoch && !p.isRefilled {
		p.refill()
		next, grant, err = p.ledger.Apply(edit)
	}
	p.ledger, p.err = next, err
	p.tokens += grant.Tokens
}
