package proxy

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// toleranceFraction is the part of the tolerance that is used. The rest covers operations that reach a server later than
	// others that were counted after them.
	toleranceFraction = 0.3
	// defaultWindow is the span over which a rate is counted where the platform states none.
	defaultWindow = 5 * time.Second
	// takeTimeout is how long a reserve may take to answer, far above the way between data centres.
	takeTimeout = 100 * time.Millisecond
	// unresponsivePause is how long a holder that did not answer is not asked, and emptyPause a reserve that was used up: about the
	// time in which the oldest part of a window ends.
	unresponsivePause = time.Second
	emptyPause        = 250 * time.Millisecond
)

// Tolerance is how far the platform lets an organisation exceed its rate and burst in a window. The zero value tolerates
// nothing.
type Tolerance struct {
	Window time.Duration
	// Over is the part of the limit by which it may be exceeded, and Slack a number of operations besides.
	Over  float64
	Slack float64
}

// withDefaults returns the tolerance with a window.
func (t Tolerance) withDefaults() Tolerance {
	if t.Window <= 0 {
		t.Window = defaultWindow
	}
	return t
}

// windowLimit returns how many operations of the organisation all instances may take in a window.
func (t Tolerance) windowLimit(o document.Organisation) float64 {
	whole := o.Rate*t.Window.Seconds() + o.Burst
	return whole + toleranceFraction*(t.Over*whole+t.Slack)
}

// RateLenders reaches the reserves of other instances.
type RateLenders interface {
	// TakeRate takes one operation from the lender's reserve, and reports whether there was one.
	TakeRate(ctx context.Context, lender Member, organisation string) (bool, error)
}

// SharedRates takes each operation of an organisation from one of its reserves, that of the own data centre first.
type SharedRates struct {
	timer   port.Timer
	rules   Rules
	reserve *RateReserve
	lenders RateLenders

	mu sync.Mutex
	// pausedUntil holds until when a reserve is not asked.
	pausedUntil map[reserveKey]time.Duration
}

// reserveKey names a reserve. An empty organisation stands for all reserves of the holder.
type reserveKey struct{ holder, organisation string }

// NewSharedRates returns rates that are taken from the instance's own reserve and those of others.
func NewSharedRates(timer port.Timer, rules Rules, reserve *RateReserve, lenders RateLenders) *SharedRates {
	return &SharedRates{
		timer: timer, rules: rules, reserve: reserve, lenders: lenders, pausedUntil: make(map[reserveKey]time.Duration),
	}
}

// Take takes one operation. It fails with kind OverRate.
func (r *SharedRates) Take(ctx context.Context, organisation string) error {
	index, _ := r.rules.Rules()
	if _, found := index.FindOrganisation(organisation); !found {
		return nil
	}
	homes := r.reserve.Holders(organisation)
	empty, silent := 0, 0
	for _, home := range homes {
		switch r.takeFrom(ctx, home, organisation) {
		case taken:
			return nil
		case exhausted:
			empty++
		case unresponsive:
			silent++
		}
	}
	return port.Failf(port.OverRate, "the rate of organisation %s is used up: of %d reserves %d are empty and %d do not answer",
		organisation, len(homes), empty, silent)
}

// takeResult is what came of asking a reserve.
type takeResult int

const (
	taken takeResult = iota
	exhausted
	unresponsive
)

func (r *SharedRates) takeFrom(ctx context.Context, home Member, organisation string) takeResult {
	if r.reserve.isSelf(home) {
		if r.reserve.Lend(organisation) {
			return taken
		}
		return exhausted
	}
	one, all := reserveKey{home.Incarnation, organisation}, reserveKey{home.Incarnation, ""}
	if r.isPaused(all) {
		return unresponsive
	}
	if r.isPaused(one) {
		return exhausted
	}
	limited, cancel := port.WithTimeout(ctx, r.timer, takeTimeout)
	defer cancel()
	granted, err := r.lenders.TakeRate(limited, home, organisation)
	switch {
	case err != nil:
		r.pause(all, unresponsivePause)
		return unresponsive
	case granted:
		return taken
	default:
		r.pause(one, emptyPause)
		return exhausted
	}
}

func (r *SharedRates) isPaused(n reserveKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.timer.Now() < r.pausedUntil[n]
}

func (r *SharedRates) pause(n reserveKey, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timer.Now()
	maps.DeleteFunc(r.pausedUntil, func(_ reserveKey, until time.Duration) bool { return until <= now })
	r.pausedUntil[n] = now + d
}
