package entry

import (
	"context"
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// HomeTimeout is how long the home of a limit may take to answer. It includes the time that a statement waits there for
	// a token.
	HomeTimeout = takeWait + 750*time.Millisecond
	// HomeRetry is how long a home that did not answer is left alone.
	HomeRetry = 2 * time.Second

	homeKey = "home/"
)

// HomeClient takes statements at another instance.
type HomeClient interface {
	// TakeAt takes one statement from the limit at the instance of the address. Errors are of kind OverRate, or
	// Unavailable when the instance did not answer or has no share.
	TakeAt(ctx context.Context, address, limit string) error
}

// HomeRateLimitConfig is what Homes needs.
type HomeRateLimitConfig struct {
	Self    instance.Instance
	Manager *LimitManager
	// Next takes the statements for which no other instance is the home.
	Next   RateLimit
	Client HomeClient
	Timer  port.Timer
	// Instances returns the list of instances.
	Instances func() instance.List
}

// HomeRateLimit is a RateLimit under which one instance, the home, admits the statements of a small limit for all. Divided over
// the fleet such a limit leaves each instance less than one or two statements of burst. The home spends from its own
// share, so the sum over the fleet stays what the ledger says, also while instances differ about the home.
type HomeRateLimit struct {
	cfg      HomeRateLimitConfig
	rankings *rankings
	silent   *silences
}

var _ RateLimit = (*HomeRateLimit)(nil)

// NewHomeRateLimit returns a RateLimit over the keeper.
func NewHomeRateLimit(cfg HomeRateLimitConfig) *HomeRateLimit {
	return &HomeRateLimit{cfg: cfg, rankings: newRankings(cfg.Self, cfg.Instances), silent: newSilences(cfg.Timer)}
}

// Take takes one statement from the limit at its home, or from this instance's share when the limit has no home or the
// home does not answer. A token that the home took although its answer was lost counts as spent.
func (h *HomeRateLimit) Take(ctx context.Context, limit string) error {
	home, ok := h.home(limit)
	if !ok {
		return h.cfg.Next.Take(ctx, limit)
	}
	bounded, cancel := port.WithTimeout(ctx, h.cfg.Timer, HomeTimeout)
	defer cancel()
	err := h.cfg.Client.TakeAt(bounded, home.Address, limit)
	if err == nil || port.KindOf(err) == port.OverRate || ctx.Err() != nil {
		return err
	}
	h.silent.note(home.Address)
	return h.cfg.Manager.Take(ctx, limit)
}

// home returns the instance at which the limit's statements are taken, and false when that is this one.
func (h *HomeRateLimit) home(limit string) (instance.Instance, bool) {
	known, ok := h.cfg.Manager.Limit(limit)
	if !ok {
		return instance.Instance{}, false
	}
	r := h.rankings.find(homeKey + limit)
	if r.live < 2 || !known.HasHome(r.live) || r.first.Incarnation == h.cfg.Self.Incarnation {
		return instance.Instance{}, false
	}
	return r.first, !h.silent.has(r.first.Address)
}

// Limit returns the limit of the name as the document in force states it.
func (k *LimitManager) Limit(name string) (allotment.Limit, bool) {
	a, ok := k.find(name)
	if !ok {
		return allotment.Limit{}, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limit, true
}
