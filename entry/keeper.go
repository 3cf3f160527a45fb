package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// The names of limits start with one of these.
const (
	ratePrefix        = "rate/"
	openRatePrefix    = "rate_open/"
	connectionsPrefix = "connections/"
)

// LimitManagerConfig is what a Keeper needs.
type LimitManagerConfig struct {
	Store port.Store
	Timer port.Timer
	// Holder is the incarnation of this instance.
	Holder string
	// Policy defaults to allotment.ByDemand.
	Policy allotment.Policy
	// Report is told of each exchange with the store that failed. It must not block; nil means that nobody is told.
	Report func(limit string, err error)
}

// LimitManager holds this instance's part of the limits of the whole fleet. It implements RateLimit and ConnectionLimit.
// Use NewKeeper, then call Run.
type LimitManager struct {
	cfg LimitManagerConfig

	mu       sync.RWMutex
	accounts map[string]*account
	// stops ends the accounts that run, and runs holds the last run of each limit.
	stops map[string]context.CancelFunc
	runs  map[string]*accountRun
	// served holds the groups that this instance serves; nil means all. uses is by "<group>/<server>".
	served map[string]bool
	uses   map[string]connectionUse
	// ctx is set while Run runs.
	ctx     context.Context
	running sync.WaitGroup
}

// NewLimitManager returns a keeper without limits. SetDocument gives it some.
func NewLimitManager(cfg LimitManagerConfig) *LimitManager {
	if cfg.Policy == nil {
		cfg.Policy = allotment.ByDemand{}
	}
	if cfg.Report == nil {
		cfg.Report = func(string, error) {}
	}
	return &LimitManager{
		cfg: cfg, accounts: make(map[string]*account), stops: make(map[string]context.CancelFunc),
		runs: make(map[string]*accountRun), uses: make(map[string]connectionUse),
	}
}

// Run keeps the ledgers until ctx ends. Then it gives back all shares, for which it takes at most leaveTimeout.
func (k *LimitManager) Run(ctx context.Context) {
	k.mu.Lock()
	k.ctx = ctx
	for name := range k.accounts {
		k.adjust(name)
	}
	k.mu.Unlock()
	stop := k.cfg.Timer.Every(unusedPeriod, func(time.Duration) { k.retireUnused() })
	<-ctx.Done()
	stop()
	k.mu.Lock()
	k.ctx = nil
	k.mu.Unlock()
	k.running.Wait()
}

// SetDocument puts the limits of a document in force. Older documents change nothing.
func (k *LimitManager) SetDocument(d document.Document) {
	k.mu.Lock()
	defer k.mu.Unlock()
	limits := Limits(d)
	for name, limit := range limits {
		if a, ok := k.accounts[name]; ok {
			a.setLimit(limit)
			continue
		}
		k.accounts[name] = newAccount(k.cfg, limit)
		k.adjust(name)
	}
	for name, a := range k.accounts {
		if _, ok := limits[name]; !ok {
			a.setLimit(allotment.Limit{Name: name, MaxFallbackHolders: d.MaxFallbackHolders, Revision: uint64(d.Revision)})
		}
	}
}

// Take takes one statement from a limit.
func (k *LimitManager) Take(ctx context.Context, limit string) error {
	a, ok := k.find(limit)
	if !ok {
		return port.Errorf(port.ShareUnavailable, "limit %s does not exist", limit)
	}
	return a.limiter.take(ctx)
}

// IssueBatch takes a batch of a limit for another instance.
func (k *LimitManager) IssueBatch(ctx context.Context, ask BatchRequest) (allotment.Statements, error) {
	a, ok := k.find(ask.Limit)
	if !ok {
		return 0, port.Errorf(port.ShareUnavailable, "limit %s does not exist", ask.Limit)
	}
	return a.limiter.lend(ctx, ask)
}

// MaxConnections returns how many connections this instance may hold now. server is "<group>/<server>".
func (k *LimitManager) MaxConnections(server string) int {
	k.mu.RLock()
	a, ok := k.accounts[connectionsPrefix+server]
	retiring := k.uses[server].retiring
	k.mu.RUnlock()
	if !ok || retiring {
		return 0
	}
	return a.limiter.allowed()
}

// SetDemand tells how many connections this instance could use now, those that it holds included.
func (k *LimitManager) SetDemand(server string, n int) {
	a, ok := k.note(server, func(use connectionUse) connectionUse {
		if n > 0 || use.wanted > 0 {
			use.used, use.wantedAt = true, k.cfg.Timer.Now()
		}
		use.wanted = n
		return use
	})
	if ok {
		a.want(n)
	}
}

// SetOpen tells how many connections are open now. Open connections are never given back. Without a call to Hold, as
// many as Want said count as open.
func (k *LimitManager) SetOpen(server string, n int) {
	a, ok := k.note(server, func(use connectionUse) connectionUse {
		use.open = n
		return use
	})
	if ok {
		a.hold(n)
	}
}

func (k *LimitManager) find(name string) (*account, bool) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	a, ok := k.accounts[name]
	return a, ok
}

// Limits returns the limits that a document states, by name.
func Limits(d document.Document) map[string]allotment.Limit {
	limits := make(map[string]allotment.Limit)
	add := func(name string, total allotment.Amount) {
		limits[name] = allotment.Limit{Name: name, Total: total, MaxFallbackHolders: d.MaxFallbackHolders, Revision: uint64(d.Revision)}
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

// Times of the exchange with the store.
const (
	// renewEvery leaves two more attempts in a lease of 30 s.
	renewEvery = 10 * time.Second
	// writeGap is the least time between two updates of one ledger by one holder.
	writeGap = 200 * time.Millisecond
	// dropTime is the time after which a holder whose demand has dropped says so.
	dropTime = time.Second
	// dropPart and dropLeast say what counts as a drop: a quarter of the limit, and more than one statement that waited
	// adds to what is wanted. Half of the holder's own share took 60 % more updates.
	dropPart  = 4
	dropLeast = 5 * allotment.Statement
	// storeTimeout ends a call of the store that does not answer.
	storeTimeout = 2 * time.Second
	// retryEvery is the time between attempts while the store does not answer.
	retryEvery = time.Second
	// leaveTimeout bounds how long a holder that stops tries to give back its shares.
	leaveTimeout = 3 * time.Second
	// beat is how often demand is looked at without a statement that waits.
	beat = time.Second
)
