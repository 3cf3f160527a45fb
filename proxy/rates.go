package proxy

import (
	"context"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// evenPart is the part of every rate that is divided evenly; the rest follows demand. It serves callers that an
	// instance has not told of yet.
	evenPart = 0.15
	// demandSpan is the time over which demand is averaged. A shorter one follows the chance arrivals of few callers.
	demandSpan = 4 * time.Second
	// usedTolerance is the part of the tolerance that is used; the rest covers parts that change while they are told.
	usedTolerance = 0.3
	// busyDemand is the demand, as a part of the rate, from which parts follow their mean over the window. Until then the
	// parts add up to more than anybody asks for, and follow the demand at once.
	busyDemand = 0.8
	// defaultWindow is the span over which a rate is counted where the platform states none.
	defaultWindow = 5 * time.Second
	// totalsLife is how long the fleet's demand is relied on.
	totalsLife = 6 * time.Second
	// borrowLimit is how long a reserve may take to answer, far above the way between data centres.
	borrowLimit = 100 * time.Millisecond
	// silentPause is how long a lender that did not answer is not asked, and emptyPause a reserve that was used up: about the
	// time in which the oldest part of a window ends.
	silentPause = time.Second
	emptyPause  = 250 * time.Millisecond
)

// Tolerance is how far the platform lets an organisation exceed its rate and burst in a window, so that the parts of an
// instance need not be exact. The zero value tolerates nothing.
type Tolerance struct {
	Window time.Duration
	// Over is the part of the limit by which it may be exceeded, and Slack a number of operations besides.
	Over  float64
	Slack float64
}

// orDefault returns the tolerance with a window.
func (t Tolerance) orDefault() Tolerance {
	if t.Window <= 0 {
		t.Window = defaultWindow
	}
	return t
}

// whole returns how many operations of the organisation all instances may take in a window.
func (t Tolerance) whole(o document.Organisation) float64 {
	whole := o.Rate*t.Window.Seconds() + o.Burst
	return whole + usedTolerance*(t.Over*whole+t.Slack)
}

// RateLenders reaches the reserves of other instances.
type RateLenders interface {
	// TakeRate takes one operation from the lender's reserve, and reports whether there was one.
	TakeRate(ctx context.Context, lender Member, organisation string) (bool, error)
}

// SharedRates gives each instance a part of every organisation's rate and burst that follows the callers' demand. The
// parts of all instances add up to the whole, because each takes its own demand from the same sum as all others. A rate
// and burst bound the number of operations in every window of the platform's length. With reserves, the parts add up to
// what is not reserved, and an operation beyond the own part is borrowed.
type SharedRates struct {
	timer     port.Timer
	rules     Rules
	instances func() int
	tolerance Tolerance
	reserve   *RateReserve
	lenders   RateLenders

	mu       sync.Mutex
	accounts map[string]rateAccount
	started  time.Duration
	totals   Demand
	own      Demand
	totalsAt time.Duration
	// pausedUntil holds until when a reserve is not asked, by lender and organisation.
	pausedUntil map[reserveName]time.Duration
}

// reserveName names a reserve. An empty organisation stands for all reserves of the lender.
type reserveName struct{ lender, organisation string }

// rateAccount is what this instance has spent of an organisation's rate. A rateAccount is never changed in place.
type rateAccount struct {
	window allotment.Window
	meter  rateMeter
	// weight is the mean of the instance's part over about the latest window, at the instant weighedAt.
	weight    float64
	weighedAt time.Duration
}

// withWeight returns the account with the part that holds at now taken into the mean.
func (a rateAccount) withWeight(now, span time.Duration, weight float64) rateAccount {
	if a.weighedAt == 0 {
		a.weight = weight
	}
	kept := math.Exp(-float64(now-a.weighedAt) / float64(span))
	a.weight, a.weighedAt = a.weight*kept+weight*(1-kept), now
	return a
}

// rateMeter is a mean of operations a second that forgets over demandSpan. The zero value has seen none.
type rateMeter struct {
	count float64
	at    time.Duration
}

// with returns the meter after n more operations.
func (m rateMeter) with(now time.Duration, n float64) rateMeter {
	return rateMeter{count: m.count*math.Exp(-float64(now-m.at)/float64(demandSpan)) + n, at: now}
}

func (m rateMeter) rate(now time.Duration) float64 {
	return m.with(now, 0).count / demandSpan.Seconds()
}

// NewSharedRates returns rates of which nothing has been spent.
func NewSharedRates(timer port.Timer, rules Rules, instances func() int, t Tolerance) *SharedRates {
	return &SharedRates{
		timer: timer, rules: rules, instances: instances, tolerance: t.orDefault(),
		accounts: make(map[string]rateAccount), started: timer.Now(), pausedUntil: make(map[reserveName]time.Duration),
	}
}

// WithReserve returns the rates with a reserve, and the way to those of other instances. It is to be called before use.
func (r *SharedRates) WithReserve(reserve *RateReserve, lenders RateLenders) *SharedRates {
	r.reserve, r.lenders = reserve, lenders
	return r
}

// Take takes one operation from the organisation's part, or from a reserve.
func (r *SharedRates) Take(ctx context.Context, organisation string) error {
	index, _ := r.rules.Rules()
	o, found := index.FindOrganisation(organisation)
	if !found {
		return nil
	}
	refusal := r.takeOwn(o)
	if refusal == nil || r.reserve != nil && r.borrow(ctx, organisation) {
		return nil
	}
	return refusal
}

// borrow takes one operation from the first reserve that has one.
func (r *SharedRates) borrow(ctx context.Context, organisation string) bool {
	for _, home := range r.reserve.Homes(organisation) {
		if r.reserve.isSelf(home) {
			if r.reserve.Lend(organisation) {
				return true
			}
			continue
		}
		one, all := reserveName{home.Incarnation, organisation}, reserveName{home.Incarnation, ""}
		if r.isPaused(one) || r.isPaused(all) {
			continue
		}
		limited, cancel := port.WithTimeout(ctx, r.timer, borrowLimit)
		granted, err := r.lenders.TakeRate(limited, home, organisation)
		cancel()
		switch {
		case err != nil:
			r.pause(all, silentPause)
		case granted:
			return true
		default:
			r.pause(one, emptyPause)
		}
	}
	return false
}

func (r *SharedRates) isPaused(n reserveName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.timer.Now() < r.pausedUntil[n]
}

func (r *SharedRates) pause(n reserveName, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timer.Now()
	maps.DeleteFunc(r.pausedUntil, func(_ reserveName, until time.Duration) bool { return until <= now })
	r.pausedUntil[n] = now + d
}

// takeOwn takes one operation from the instance's own part.
func (r *SharedRates) takeOwn(o document.Organisation) error {
	organisation := o.Name
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timer.Now()
	a, known := r.accounts[organisation]
	if !known {
		a = r.newAccount()
	}
	weight := r.weight(o, now)
	a = a.withWeight(now, r.tolerance.Window/2, weight)
	if r.totals[organisation] > busyDemand*o.Rate {
		// An instance whose callers have just come may not use its whole part while those that they left have used theirs.
		weight = min(weight, a.weight)
	}
	share := r.whole(o, now) * weight
	if r.reserve == nil {
		share = max(1, share)
	}
	a, ok := a.take(now, share)
	r.accounts[organisation] = a
	if !ok {
		return port.Failf(port.OverRate,
			"%d operations of organisation %s ran here in the last %s, and this instance's part is %.1f; the fleet asks for %.1f a second, known %s ago",
			a.window.Count(), organisation, r.tolerance.Window, share, r.totals[organisation], (now - r.totalsAt).Round(time.Millisecond))
	}
	return nil
}

// newAccount returns the account of an organisation whose callers have not asked for anything since the start.
func (r *SharedRates) newAccount() rateAccount {
	return rateAccount{window: allotment.NewWindow(r.tolerance.Window)}
}

// take takes one operation of the number that the share allows in a window.
func (a rateAccount) take(now time.Duration, share float64) (rateAccount, bool) {
	a.meter = a.meter.with(now, 1)
	a.window = a.window.At(now)
	if float64(a.window.Count()+1) > share {
		return a, false
	}
	a.window = a.window.With(now, 1)
	return a, true
}

// Demand returns what this instance's callers ask for.
func (r *SharedRates) Demand() Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timer.Now()
	d := make(Demand, len(r.accounts))
	for name, a := range r.accounts {
		d[name] = a.meter.rate(now)
	}
	return d
}

// SetTotals takes over the demand of the fleet, and this instance's part as it was counted there.
func (r *SharedRates) SetTotals(totals, own Demand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals, r.own, r.totalsAt = totals, own, r.timer.Now()
}

// weight returns this instance's part of the organisation's rate and burst. The lock is held.
func (r *SharedRates) weight(o document.Organisation, now time.Duration) float64 {
	if r.reserve != nil {
		if total := r.totals[o.Name]; total > 0 && now-r.totalsAt <= totalsLife {
			return (1 - reservedPart) * r.own[o.Name] / total
		}
		return 0
	}
	n := float64(r.instances())
	if total := r.totals[o.Name]; total > 0 && now-r.totalsAt <= totalsLife {
		return evenPart/n + (1-evenPart)*r.own[o.Name]/total
	}
	return 1 / n
}

// whole returns how many operations all instances may take in a window. Soon after the start it is less: all instances
// may have started together, and their earlier starts may have used the rate up to then.
func (r *SharedRates) whole(o document.Organisation, now time.Duration) float64 {
	return min(r.tolerance.whole(o), o.Burst/2+o.Rate*(now-r.started).Seconds())
}
