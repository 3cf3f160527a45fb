package proxy

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// toleranceFraction is the fraction of the tolerance that is granted all the time. The rest is what a new holder
	// starts with, and covers operations that reach a server after others that were granted later.
	toleranceFraction = 0.5
	// minReserve is the number of operations that each reserve can hold at least, if there is more than one. A reserve
	// that holds less than one operation grants none.
	minReserve = 2
	// defaultWindow is the length of the window in which a rate is counted if the platform states none.
	defaultWindow = 5 * time.Second
	// takeTimeout limits how long a remote reserve may take to respond. It is far above the latency between data
	// centres.
	takeTimeout = 100 * time.Millisecond
	// unresponsivePause is how long a holder that did not respond is not asked. exhaustedPause is how long an exhausted
	// reserve is not asked, about the time in which the oldest part of a window expires.
	unresponsivePause = time.Second
	exhaustedPause    = 250 * time.Millisecond
)

// RateTolerance is how far the platform lets an organisation exceed its rate and burst in a window. The zero value
// tolerates nothing.
type RateTolerance struct {
	Window time.Duration
	// Relative is the tolerated excess as a fraction of the limit; Absolute is a number of operations on top of it.
	Relative float64
	Absolute float64
}

// withDefaults sets the default window if none is set.
func (t RateTolerance) withDefaults() RateTolerance {
	if t.Window <= 0 {
		t.Window = defaultWindow
	}
	return t
}

// excess returns how many operations of the organisation the platform tolerates in a window beyond its rate and burst.
func (t RateTolerance) excess(o document.Organisation) float64 {
	return t.Relative*(o.Rate*t.Window.Seconds()+o.Burst) + t.Absolute
}

// share returns the rate and burst of each of n reserves. In a window, all of them together grant at most the
// organisation's rate and burst and toleranceFraction of the excess. The relative part of the excess raises the rate, for
// organisations that ask for more than theirs; the absolute part raises the burst, for those with a small one.
func (t RateTolerance) share(o document.Organisation, n int) allotment.Amount {
	rate := o.Rate + toleranceFraction*t.Relative*(o.Rate+o.Burst/t.Window.Seconds())
	return allotment.Amount{Rate: allotment.ToStatements(rate / float64(n)), Burst: allotment.ToStatements(t.burst(o) / float64(n))}
}

// burst returns how many operations of the organisation all reserves together may hold.
func (t RateTolerance) burst(o document.Organisation) float64 {
	return o.Burst + toleranceFraction*t.Absolute
}

// maxHolders returns how many reserves of the organisation there may be, so that each can hold minReserve operations.
func (t RateTolerance) maxHolders(o document.Organisation) int {
	return max(int(t.burst(o)/minReserve), 1)
}

// RemoteRateReserves takes operations from the reserves of other instances.
type RemoteRateReserves interface {
	// TakeRate takes one operation from the holder's reserve. It reports whether one was available.
	TakeRate(ctx context.Context, holder Member, organisation string) (bool, error)
}

// DistributedRateLimiter takes each operation of an organisation from one of its reserves, trying the one in this data
// centre first.
type DistributedRateLimiter struct {
	timer     port.Timer
	documents DocumentSource
	reserve   *RateReserve
	remote    RemoteRateReserves

	mu sync.Mutex
	// pausedUntil holds the time until which a reserve is not asked.
	pausedUntil map[reserveKey]time.Duration
}

// reserveKey identifies a reserve. An empty organisation stands for all reserves of the holder.
type reserveKey struct{ holder, organisation string }

// NewDistributedRateLimiter returns a limiter that uses the instance's own reserve and those of others.
func NewDistributedRateLimiter(timer port.Timer, documents DocumentSource, reserve *RateReserve, remote RemoteRateReserves) *DistributedRateLimiter {
	return &DistributedRateLimiter{
		timer: timer, documents: documents, reserve: reserve, remote: remote, pausedUntil: make(map[reserveKey]time.Duration),
	}
}

// Take takes one operation. It fails with kind OverRate if none is available.
func (r *DistributedRateLimiter) Take(ctx context.Context, organisation string) error {
	index, _ := r.documents.CurrentDocument()
	o, found := index.FindOrganisation(organisation)
	if !found {
		return nil
	}
	holders := r.reserve.Holders(o)
	exhaustedCount, unresponsiveCount := 0, 0
	for _, holder := range holders {
		switch r.takeFrom(ctx, holder, organisation) {
		case taken:
			return nil
		case exhausted:
			exhaustedCount++
		case unresponsive:
			unresponsiveCount++
		}
	}
	return port.Errorf(port.OverRate, "organisation %s exceeded its rate: of %d reserves, %d are exhausted and %d do not respond",
		organisation, len(holders), exhaustedCount, unresponsiveCount)
}

// takeResult is the result of asking a reserve.
type takeResult int

const (
	taken takeResult = iota
	exhausted
	unresponsive
)

func (r *DistributedRateLimiter) takeFrom(ctx context.Context, holder Member, organisation string) takeResult {
	if r.reserve.isSelf(holder) {
		if r.reserve.Take(organisation) {
			return taken
		}
		return exhausted
	}
	reserve, allReserves := reserveKey{holder.Incarnation, organisation}, reserveKey{holder.Incarnation, ""}
	if r.isPaused(allReserves) {
		return unresponsive
	}
	if r.isPaused(reserve) {
		return exhausted
	}
	callCtx, cancel := port.WithTimeout(ctx, r.timer, takeTimeout)
	defer cancel()
	granted, err := r.remote.TakeRate(callCtx, holder, organisation)
	switch {
	case err != nil:
		r.pause(allReserves, unresponsivePause)
		return unresponsive
	case granted:
		return taken
	default:
		r.pause(reserve, exhaustedPause)
		return exhausted
	}
}

func (r *DistributedRateLimiter) isPaused(key reserveKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.timer.Now() < r.pausedUntil[key]
}

func (r *DistributedRateLimiter) pause(key reserveKey, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timer.Now()
	maps.DeleteFunc(r.pausedUntil, func(_ reserveKey, until time.Duration) bool { return until <= now })
	r.pausedUntil[key] = now + d
}
