package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// CoordinatorThreshold is the number of instances in a data centre above which each limit has a coordinator there.
const CoordinatorThreshold = 8

// coordinatorKeyPrefix starts the ranking keys for coordinators.
const coordinatorKeyPrefix = "steward/"

// BatchRequest asks a coordinator for a batch of statements of a limit.
type BatchRequest struct {
	Limit string
	// Borrower is the incarnation of the requesting instance.
	Borrower string
	// Number is the sequence number of the request. Finished is that of the last batch from which nothing more is spent.
	Number   uint64
	Finished uint64
	// Statements is the requested size of the batch.
	Statements allotment.Statements
}

// CoordinatorClient takes batches of statements from another instance.
type CoordinatorClient interface {
	// TakeBatch takes between one statement and the number requested from the instance with the address. Errors are of kind
	// OverRate, or Unavailable when the instance did not answer or has no share.
	TakeBatch(ctx context.Context, address string, request BatchRequest) (allotment.Statements, error)
}

// CoordinatedRateLimitConfig configures NewCoordinatedRateLimit. All fields are required.
type CoordinatedRateLimitConfig struct {
	Self    instance.Instance
	Manager *LimitManager
	Client  CoordinatorClient
	Timer   port.Timer
	// Instances returns the list of instances.
	Instances func() instance.List
}

// CoordinatedRateLimit is a RateLimit under which one instance of a data centre, the coordinator, holds the share of a
// limit for all instances there and issues batches of it to them. A batch comes out of the coordinator's share, so the
// total stays within the ledger's even while instances disagree about the coordinator.
type CoordinatedRateLimit struct {
	cfg CoordinatedRateLimitConfig

	rankings     *rankingCache
	unresponsive *unresponsiveInstances

	mu        sync.Mutex
	borrowers map[string]*borrower
}

var _ RateLimit = (*CoordinatedRateLimit)(nil)

// NewCoordinatedRateLimit returns a rate limit without batches; the first statement of a limit requests one.
func NewCoordinatedRateLimit(cfg CoordinatedRateLimitConfig) *CoordinatedRateLimit {
	return &CoordinatedRateLimit{
		cfg: cfg, rankings: newRankingCache(cfg.Self, cfg.Instances), unresponsive: newUnresponsiveInstances(cfg.Timer),
		borrowers: make(map[string]*borrower),
	}
}

// Take takes one statement from a batch of the coordinator, or from this instance's share when the limit has no coordinator
// here, this instance is the coordinator, or the coordinator does not answer.
func (c *CoordinatedRateLimit) Take(ctx context.Context, limit string) error {
	l, ok := c.cfg.Manager.Limit(limit)
	if !ok {
		return c.cfg.Manager.Take(ctx, limit)
	}
	coordinator, ok := c.coordinator(l)
	if !ok || c.unresponsive.contains(coordinator.Address) {
		return c.cfg.Manager.Take(ctx, limit)
	}
	err := c.borrower(limit).take(ctx, coordinator.Address, l)
	if err == nil || port.KindOf(err) != port.Unavailable {
		return err
	}
	c.unresponsive.mark(coordinator.Address)
	return c.cfg.Manager.Take(ctx, limit)
}

// coordinator returns the limit's coordinator in this data centre, and false when there is none or it is this instance.
func (c *CoordinatedRateLimit) coordinator(limit allotment.Limit) (instance.Instance, bool) {
	ranking := c.rankings.get(coordinatorKeyPrefix + limit.Name)
	if limit.HasHome(ranking.live) {
		return instance.Instance{}, false
	}
	return ranking.firstLocal, ranking.local > CoordinatorThreshold && ranking.firstLocal.Incarnation != c.cfg.Self.Incarnation
}

func (c *CoordinatedRateLimit) borrower(limit string) *borrower {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, ok := c.borrowers[limit]
	if !ok {
		b = &borrower{cfg: c.cfg, queue: newTokenQueue()}
		c.borrowers[limit] = b
	}
	return b
}

// borrower spends the batches of one limit that the coordinator issues. It has at most one request under way, during which
// statements wait in order of arrival.
type borrower struct {
	cfg CoordinatedRateLimitConfig

	mu         sync.Mutex
	limit      allotment.Limit
	batch      allotment.Batch
	number     uint64
	requesting bool
	queue      tokenQueue
	meter      meter
}

// take takes one statement from the current batch, or waits for a later one.
func (b *borrower) take(ctx context.Context, address string, limit allotment.Limit) error {
	b.mu.Lock()
	now := b.cfg.Timer.Now()
	b.meter.count(now)
	b.setLimit(limit)
	if b.queue.len() == 0 && b.tryTake(now) {
		b.mu.Unlock()
		return rejectSlowCheck(b.cfg.Timer, limit.Name, now)
	}
	w := &tokenWaiter{arrivedAt: now}
	if !b.queue.push(w) {
		b.mu.Unlock()
		return limitError(port.ShareUnavailable, limit.Name, "too many statements are waiting")
	}
	if !b.requesting {
		b.requestBatch(now, address)
	}
	b.mu.Unlock()
	return w.await(ctx, b.cfg.Timer, limit.Name)
}

// setLimit sets the limit in force. The batch is dropped if the limit has fallen. The caller holds the lock.
func (b *borrower) setLimit(limit allotment.Limit) {
	if !limit.Total.Covers(b.limit.Total) {
		b.batch = allotment.Batch{}
	}
	b.limit = limit
}

// tryTake takes one statement from the current batch. The caller holds the lock.
func (b *borrower) tryTake(now time.Duration) bool {
	batch, ok := b.batch.Take(now)
	b.batch = batch
	return ok
}

// requestBatch discards the rest of the current batch and requests another. The caller holds the lock.
func (b *borrower) requestBatch(now time.Duration, address string) {
	demand := b.meter.demand(now)
	demand.Waiting = b.queue.len()
	b.batch = allotment.Batch{}
	b.number++
	b.requesting = true
	go b.run(address, now, BatchRequest{
		Limit: b.limit.Name, Borrower: b.cfg.Self.Incarnation, Number: b.number, Finished: b.number - 1,
		Statements: allotment.BatchSize(demand, b.limit),
	})
}

// run requests a batch and completes the waiting statements with the result.
func (b *borrower) run(address string, sent time.Duration, request BatchRequest) {
	ctx, cancel := port.WithTimeout(context.Background(), b.cfg.Timer, HomeTimeout)
	defer cancel()
	n, err := b.cfg.Client.TakeBatch(ctx, address, request)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requesting = false
	if err != nil {
		b.failWaiting(err, sent)
	} else {
		b.batch = allotment.NewBatch(sent, min(n, request.Statements))
		b.admitWaiting()
	}
	if b.queue.advance() {
		b.requestBatch(b.cfg.Timer.Now(), address)
	}
}

// admitWaiting admits waiting statements while the batch lasts. The caller holds the lock.
func (b *borrower) admitWaiting() {
	now := b.cfg.Timer.Now()
	for b.queue.advance() && b.tryTake(now) {
		b.queue.admit(now)
	}
}

// failWaiting completes waiting statements with an error: all of them when the coordinator did not answer, and otherwise
// those that arrived before the request was sent, because the refusal does not apply to later ones. The caller holds the
// lock.
func (b *borrower) failWaiting(err error, sent time.Duration) {
	unavailable := port.KindOf(err) == port.Unavailable
	for b.queue.advance() && (unavailable || b.queue.head.arrivedAt <= sent) {
		b.queue.complete(err)
	}
}
