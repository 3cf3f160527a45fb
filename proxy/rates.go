package proxy

import (
	"context"
	"sync"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// EvenRates gives each instance an even part of every organisation's rate and burst.
type EvenRates struct {
	timer     port.Timer
	rules     Rules
	instances func() int

	mu      sync.Mutex
	buckets map[string]allotment.Bucket
}

// NewEvenRates returns rates that start without tokens: an instance that died may have spent them.
func NewEvenRates(timer port.Timer, rules Rules, instances func() int) *EvenRates {
	return &EvenRates{timer: timer, rules: rules, instances: instances, buckets: make(map[string]allotment.Bucket)}
}

// Take takes one operation from the organisation's part.
func (r *EvenRates) Take(_ context.Context, organisation string) error {
	index, _ := r.rules.Rules()
	o, found := index.FindOrganisation(organisation)
	if !found {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timer.Now()
	bucket, ok := r.buckets[organisation].WithShare(now, r.share(o)).Take(now, allotment.Statement)
	r.buckets[organisation] = bucket
	if !ok {
		return port.Failf(port.OverRate, "the rate of organisation %s is used up", organisation)
	}
	return nil
}

func (r *EvenRates) share(o document.Organisation) allotment.Amount {
	n := float64(max(r.instances(), 1))
	return allotment.Amount{
		Rate:  allotment.ToStatements(1.25 * o.Rate / n),
		Burst: allotment.ToStatements(max(1, (0.3*o.Burst+20)/n)),
	}
}
