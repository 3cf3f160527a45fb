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
	// usedTolerance is the part of the tolerance that is used. The rest covers operations that reach a server later than
	// others that were counted after them.
	usedTolerance = 0.3
	// defaultWindow is the span over which a rate is counted where the platform states none.
	defaultWindow = 5 * time.Second
	// borrowLimit is how long a reserve may take to answer, far above the way between data centres.
	borrowLimit = 100 * time.Millisecond
	// silentPause is how long a holder that did not answer is not asked, and emptyPause a reserve that was used up: about the
	// time in which the oldest part of a window ends.
	silentPause = time.Second
	emptyPause  = 250 * time.Millisecond
)

// RateTolerance is how far the platform lets an organisation exceed its rate and burst in a window. The zero value tolerates
// nothing.
type RateTolerance struct {
	Window time.Duration
	// Relative is the part of the limit by which it may be exceeded, and Slack a number of operations besides.
	Relative float64
	Absolute float64
}

// orDefault returns the tolerance with a window.
func (t RateTolerance) orDefault() RateTolerance {
	if t.Window <= 0 {
		t.Window = defaultWindow
	}
	return t
}

// whole returns how many operations of the organisation all instances may take in a window.
func (t RateTolerance) whole(o document.Organisation) float64 {
	whole := o.Rate*t.Window.Seconds() + o.Burst
	return whole + usedTolerance*(t.Relative*whole+t.Absolute)
}

// RemoteRateReserves reaches the reserves of other instances.
type RemoteRateReserves interface {
	// TakeRate takes one operation from the lender's reserve, and reports whether there was one.
	TakeRate(ctx context.Context, lender Member, organisation string) (bool, error)
}

// DistributedRateLimiter takes each operation of an organisation from one of its reserves, that of the own data centre first.
type DistributedRateLimiter struct {
	timer   port.Timer
	rules   DocumentSource
	reserve *RateReserve
	lenders RemoteRateReserves

	mu sync.Mutex
	// pausedUntil holds until when a reserve is not asked.
	pausedUntil map[reserveName]time.Duration
}

// reserveName names a reserve. An empty organisation stands for all reserves of the holder.
type reserveName struct{ holder, organisation string }

// NewDistributedRateLimiter returns rates that are taken from the instance's own reserve and those of others.
func NewDistributedRateLimiter(timer port.Timer, rules DocumentSource, reserve *RateReserve, lenders RemoteRateReserves) *DistributedRateLimiter {
	return &DistributedRateLimiter{
		timer: timer, rules: rules, reserve: reserve, lenders: lenders, pausedUntil: make(map[reserveName]time.Duration),
	}
}

// Take takes one operation. It fails with kind OverRate.
func (r *DistributedRateLimiter) Take(ctx context.Context, organisation string) error {
	index, _ := r.rules.CurrentDocument()
	if _, found := index.FindOrganisation(organisation); !found {
		return nil
	}
	homes := r.reserve.Homes(organisation)
	empty, silent := 0, 0
	for _, home := range homes {
		switch r.takeFrom(ctx, home, organisation) {
		case lent:
			return nil
		case usedUp:
			empty++
		case noAnswer:
			silent++
		}
	}
	return port.Errorf(port.OverRate, "the rate of organisation %s is used up: of %d reserves %d are empty and %d do not answer",
		organisation, len(homes), empty, silent)
}

// lendResult is what came of asking a reserve.
type lendResult int

const (
	lent lendResult = iota
	usedUp
	noAnswer
)

func (r *DistributedRateLimiter) takeFrom(ctx context.Context, home Member, organisation string) lendResult {
	if r.reserve.isSelf(home) {
		if r.reserve.Take(organisation) {
			return lent
		}
		return usedUp
	}
	one, all := reserveName{home.Incarnation, organisation}, reserveName{home.Incarnation, ""}
	if r.isPaused(all) {
		return noAnswer
	}
	if r.isPaused(one) {
		return usedUp
	}
	limited, cancel := port.WithTimeout(ctx, r.timer, borrowLimit)
	defer cancel()
	granted, err := r.lenders.TakeRate(limited, home, organisation)
	switch {
	case err != nil:
		r.pause(all, silentPause)
		return noAnswer
	case granted:
		return lent
	default:
		r.pause(one, emptyPause)
		return usedUp
	}
}

func (r *DistributedRateLimiter) isPaused(n reserveName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.timer.Now() < r.pausedUntil[n]
}

func (r *DistributedRateLimiter) pause(n reserveName, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timer.Now()
	maps.DeleteFunc(r.pausedUntil, func(_ reserveName, until time.Duration) bool { return until <= now })
	r.pausedUntil[n] = now + d
}
