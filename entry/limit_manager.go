package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Prefixes of the names of limits.
const (
	ratePrefix        = "rate/"
	openRatePrefix    = "rate_open/"
	connectionsPrefix = "connections/"
)

// LimitManagerConfig configures NewLimitManager. OnError and Policy are optional.
type LimitManagerConfig struct {
	Store port.Store
	Timer port.Timer
	// Holder is the incarnation of this instance.
	Holder string
	// Policy defaults to allotment.ByDemand.
	Policy allotment.Policy
	// OnError is called after each failed synchronisation with the store. It must not block, and may be nil.
	OnError func(limit string, err error)
}

// LimitManager holds this instance's share of the limits of the whole fleet. It implements RateLimit, BatchIssuer and
// ConnectionLimit. Its limits come from SetDocument, and shares are acquired while Run runs.
type LimitManager struct {
	cfg LimitManagerConfig

	mu          sync.RWMutex
	reconcilers map[string]*reconciler
	// cancels stops the running reconcilers. runs holds the last run for each limit.
	cancels map[string]context.CancelFunc
	runs    map[string]*reconcilerRun
	// servedGroups holds the groups that this instance serves; nil means all.
	servedGroups map[string]bool
	// usage is keyed by "<group>/<server>".
	usage map[string]connectionUsage
	// ctx is non-nil while Run runs.
	ctx context.Context
	wg  sync.WaitGroup
}

// NewLimitManager returns a manager without limits, which acquires no shares before Run.
func NewLimitManager(cfg LimitManagerConfig) *LimitManager {
	if cfg.Policy == nil {
		cfg.Policy = allotment.ByDemand{}
	}
	if cfg.OnError == nil {
		cfg.OnError = func(string, error) {}
	}
	return &LimitManager{
		cfg: cfg, reconcilers: make(map[string]*reconciler), cancels: make(map[string]context.CancelFunc),
		runs: make(map[string]*reconcilerRun), usage: make(map[string]connectionUsage),
	}
}

// Run reconciles the shares with the ledgers until ctx ends. Then it returns all shares, which takes at most
// deregisterTimeout.
func (m *LimitManager) Run(ctx context.Context) {
	m.mu.Lock()
	m.ctx = ctx
	for name := range m.reconcilers {
		m.startOrStop(name)
	}
	m.mu.Unlock()
	stop := m.cfg.Timer.Every(unusedCheckInterval, func(time.Duration) { m.stopUnused() })
	<-ctx.Done()
	stop()
	m.mu.Lock()
	m.ctx = nil
	m.mu.Unlock()
	m.wg.Wait()
}

// SetDocument applies the limits of a document. A document older than the last one has no effect.
func (m *LimitManager) SetDocument(d document.Document) {
	m.mu.Lock()
	defer m.mu.Unlock()
	limits := Limits(d)
	for name, limit := range limits {
		if r, ok := m.reconcilers[name]; ok {
			r.setLimit(limit)
			continue
		}
		m.reconcilers[name] = newReconciler(m.cfg, limit)
		m.startOrStop(name)
	}
	for name, r := range m.reconcilers {
		if _, ok := limits[name]; !ok {
			r.setLimit(allotment.Limit{Name: name, MaxFallbackHolders: d.MaxFallbackHolders, Revision: uint64(d.Revision)})
		}
	}
}

// Take takes one statement from a limit.
func (m *LimitManager) Take(ctx context.Context, limit string) error {
	r, ok := m.find(limit)
	if !ok {
		return port.Errorf(port.ShareUnavailable, "limit %s does not exist", limit)
	}
	return r.limiter.take(ctx)
}

// IssueBatch issues a batch of statements of a limit to another instance.
func (m *LimitManager) IssueBatch(ctx context.Context, request BatchRequest) (allotment.Statements, error) {
	r, ok := m.find(request.Limit)
	if !ok {
		return 0, port.Errorf(port.ShareUnavailable, "limit %s does not exist", request.Limit)
	}
	return r.limiter.issueBatch(ctx, request)
}

// MaxConnections returns the number of connections that this instance may have open now. server is "<group>/<server>".
func (m *LimitManager) MaxConnections(server string) int {
	m.mu.RLock()
	r, ok := m.reconcilers[connectionsPrefix+server]
	draining := m.usage[server].draining
	m.mu.RUnlock()
	if !ok || draining {
		return 0
	}
	return r.limiter.maxConnections()
}

// SetDemand reports the number of connections that this instance could use now, including the open ones.
func (m *LimitManager) SetDemand(server string, n int) {
	r, ok := m.updateUsage(server, func(u connectionUsage) connectionUsage {
		if n > 0 || u.wanted > 0 {
			u.used, u.lastWanted = true, m.cfg.Timer.Now()
		}
		u.wanted = n
		return u
	})
	if ok {
		r.setDemand(n)
	}
}

// SetOpen reports the number of open connections, which are not returned to the ledger before they are closed. Until the
// first call the reported demand counts as open.
func (m *LimitManager) SetOpen(server string, n int) {
	r, ok := m.updateUsage(server, func(u connectionUsage) connectionUsage {
		u.open = n
		return u
	})
	if ok {
		r.setOpen(n)
	}
}

func (m *LimitManager) find(name string) (*reconciler, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	r, ok := m.reconcilers[name]
	return r, ok
}

// Limits returns the limits that a document defines, by name.
func Limits(d document.Document) map[string]allotment.Limit {
	limits := make(map[string]allotment.Limit)
	add := func(name string, total allotment.Amount) {
		limits[name] = allotment.Limit{
			Name: name, Total: total, MaxFallbackHolders: d.MaxFallbackHolders, Revision: uint64(d.Revision),
		}
	}
	for _, o := range d.Organisations {
		add(ratePrefix+o.Name, rateAmount(o.Rate, o.Burst))
	}
	for _, r := range d.Routes {
		if r.Open {
			add(openRatePrefix+r.Name, rateAmount(r.Rate, r.Burst))
		}
	}
	for _, g := range d.Groups {
		for _, s := range g.Servers {
			add(connectionsPrefix+g.Name+"/"+s.Name, allotment.Amount{Connections: int64(s.Connections)})
		}
	}
	return limits
}

func rateAmount(rate, burst float64) allotment.Amount {
	return allotment.Amount{Rate: allotment.ToStatements(rate), Burst: allotment.ToStatements(burst)}
}

// Timing of the synchronisation with the store.
const (
	// renewInterval allows two further attempts within a lease of 30 s.
	renewInterval = 10 * time.Second
	// minWriteInterval is the shortest time between two updates of one ledger by one holder.
	minWriteInterval = 200 * time.Millisecond
	// demandDropDelay is the time after its last update at which a holder states lower demand in the ledger.
	demandDropDelay = time.Second
	// A drop of demand is worth an update if it exceeds the limit divided by demandDropDivisor, and minDemandDrop, which is
	// more than one waiting statement adds to the demand. With half of the holder's share as the threshold there were 60 %
	// more updates.
	demandDropDivisor = 4
	minDemandDrop     = 5 * allotment.Statement
	// storeTimeout bounds each call to the store.
	storeTimeout = 2 * time.Second
	// retryInterval is the delay after a failed synchronisation.
	retryInterval = time.Second
	// deregisterTimeout bounds the return of a share when the instance stops.
	deregisterTimeout = 3 * time.Second
	// tickInterval is how often demand is checked while no statement waits.
	tickInterval = time.Second
)
