package entry

import (
	"context"
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// HomeTimeout bounds a call to the home or coordinator of a limit, including the time that a statement waits there for
	// a token.
	HomeTimeout = minTokenWait + 750*time.Millisecond
	// UnresponsiveRetry is the time after which an instance that did not answer is called again.
	UnresponsiveRetry = 2 * time.Second

	// homeKeyPrefix starts the ranking keys for homes.
	homeKeyPrefix = "home/"
)

// HomeClient takes single statements from the limits of another instance.
type HomeClient interface {
	// TakeAt takes one statement from the limit at the instance with the address. Errors are of kind OverRate, or
	// Unavailable when the instance did not answer or has no share.
	TakeAt(ctx context.Context, address, limit string) error
}

// HomeRateLimitConfig configures NewHomeRateLimit. All fields are required.
type HomeRateLimitConfig struct {
	Self    instance.Instance
	Manager *LimitManager
	// Next takes the statements of limits that have no home, or whose home is this instance.
	Next   RateLimit
	Client HomeClient
	Timer  port.Timer
	// Instances returns the list of instances.
	Instances func() instance.List
}

// HomeRateLimit is a RateLimit under which one instance, the home, admits the statements of a small limit for the whole
// fleet. Divided between the instances, such a limit would leave each a burst of less than one or two statements. The home
// spends from its own share, so the total stays within the ledger's even while instances disagree about the home.
type HomeRateLimit struct {
	cfg          HomeRateLimitConfig
	rankings     *rankingCache
	unresponsive *unresponsiveInstances
}

var _ RateLimit = (*HomeRateLimit)(nil)

// NewHomeRateLimit returns a rate limit that considers every listed instance responsive.
func NewHomeRateLimit(cfg HomeRateLimitConfig) *HomeRateLimit {
	return &HomeRateLimit{
		cfg: cfg, rankings: newRankingCache(cfg.Self, cfg.Instances), unresponsive: newUnresponsiveInstances(cfg.Timer),
	}
}

// Take takes one statement from the limit at its home, or from this instance's share if the home does not answer. When the
// home's answer is lost, the token that it took stays spent.
func (h *HomeRateLimit) Take(ctx context.Context, limit string) error {
	home, ok := h.homeOf(limit)
	if !ok {
		return h.cfg.Next.Take(ctx, limit)
	}
	bounded, cancel := port.WithTimeout(ctx, h.cfg.Timer, HomeTimeout)
	defer cancel()
	err := h.cfg.Client.TakeAt(bounded, home.Address, limit)
	if err == nil || port.KindOf(err) == port.OverRate || ctx.Err() != nil {
		return err
	}
	h.unresponsive.mark(home.Address)
	return h.cfg.Manager.Take(ctx, limit)
}

// homeOf returns the limit's home. It returns false when the limit has none, or the home is this instance or did not answer
// recently.
func (h *HomeRateLimit) homeOf(limit string) (instance.Instance, bool) {
	l, ok := h.cfg.Manager.Limit(limit)
	if !ok {
		return instance.Instance{}, false
	}
	ranking := h.rankings.get(homeKeyPrefix + limit)
	if ranking.live < 2 || !l.HasHome(ranking.live) || ranking.first.Incarnation == h.cfg.Self.Incarnation {
		return instance.Instance{}, false
	}
	return ranking.first, !h.unresponsive.contains(ranking.first.Address)
}

// Limit returns the limit of the name as defined by the newest document.
func (m *LimitManager) Limit(name string) (allotment.Limit, bool) {
	r, ok := m.find(name)
	if !ok {
		return allotment.Limit{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limit, true
}
