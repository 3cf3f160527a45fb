package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// StewardInstances is the number of instances in a data centre above which a limit has a steward there.
const StewardInstances = 8

const stewardKey = "steward/"

// BatchRequest asks a steward for statements of a limit.
type BatchRequest struct {
	Limit string
	// Borrower is the incarnation of the asking instance, Number the number of its request, and Finished the last of its
	// batches that it spends no more of.
	Borrower   string
	Number     uint64
	Finished   uint64
	Statements allotment.Statements
}

// CoordinatorClient takes batches at another instance.
type CoordinatorClient interface {
	// TakeBatch takes at least one statement and at most those of the ask at the instance of the address. Errors are of
	// kind OverRate, or Unavailable when the instance did not answer or has no share.
	TakeBatch(ctx context.Context, address string, ask BatchRequest) (allotment.Statements, error)
}

// CoordinatedRateLimitConfig is what Stewards needs.
type CoordinatedRateLimitConfig struct {
	Self    instance.Instance
	Manager *LimitManager
	Client  CoordinatorClient
	Timer   port.Timer
	// Instances returns the list of instances.
	Instances func() instance.List
}

// CoordinatedRateLimit is a RateLimit under which one instance of a data centre, the steward, holds the share of a limit for all. The
// others take batches from it. A batch comes out of the steward's share, so the sum over the fleet stays what the ledger
// says, also while instances differ about the steward.
type CoordinatedRateLimit struct {
	cfg CoordinatedRateLimitConfig

	rankings *rankings
	silent   *silences

	mu     sync.Mutex
	takers map[string]*taker
}

var _ RateLimit = (*CoordinatedRateLimit)(nil)

// NewCoordinatedRateLimit returns a RateLimit over the keeper.
func NewCoordinatedRateLimit(cfg CoordinatedRateLimitConfig) *CoordinatedRateLimit {
	return &CoordinatedRateLimit{
		cfg: cfg, rankings: newRankings(cfg.Self, cfg.Instances), silent: newSilences(cfg.Timer), takers: make(map[string]*taker),
	}
}

// Take takes one statement from a batch of the steward, or from this instance's share when the limit has no steward here
// or the steward does not answer.
func (s *CoordinatedRateLimit) Take(ctx context.Context, limit string) error {
	known, ok := s.cfg.Manager.Limit(limit)
	if !ok {
		return s.cfg.Manager.Take(ctx, limit)
	}
	steward, ok := s.steward(known)
	if !ok || s.silent.has(steward.Address) {
		return s.cfg.Manager.Take(ctx, limit)
	}
	err := s.taker(limit).take(ctx, steward.Address, known)
	if err == nil || port.KindOf(err) != port.Unavailable {
		return err
	}
	s.silent.note(steward.Address)
	return s.cfg.Manager.Take(ctx, limit)
}

// steward returns the limit's steward in this data centre, and false when there is none or it is this instance.
func (s *CoordinatedRateLimit) steward(limit allotment.Limit) (instance.Instance, bool) {
	r := s.rankings.find(stewardKey + limit.Name)
	if limit.HasHome(r.live) {
		return instance.Instance{}, false
	}
	return r.firstNear, r.near > StewardInstances && r.firstNear.Incarnation != s.cfg.Self.Incarnation
}

func (s *CoordinatedRateLimit) taker(limit string) *taker {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.takers[limit]
	if !ok {
		t = &taker{cfg: s.cfg, queue: newPendingQueue()}
		s.takers[limit] = t
	}
	return t
}

// taker spends the batches of one limit. One request for a batch is under way at a time; meanwhile statements wait in
// order of arrival.
type taker struct {
	cfg CoordinatedRateLimitConfig

	mu     sync.Mutex
	limit  allotment.Limit
	batch  allotment.Batch
	number uint64
	asking bool
	queue  pendingQueue
	meter  meter
}

// take takes one statement from the batch, or waits for one of the next batches.
func (t *taker) take(ctx context.Context, address string, limit allotment.Limit) error {
	t.mu.Lock()
	now := t.cfg.Timer.Now()
	t.meter.count(now)
	t.adopt(limit)
	if t.queue.len() == 0 && t.spend(now) {
		t.mu.Unlock()
		return confirmCheck(t.cfg.Timer, limit.Name, now)
	}
	w := &pendingTake{arrived: now}
	if !t.queue.offer(w) {
		t.mu.Unlock()
		return refuseTake(port.ShareUnavailable, limit.Name, "too many statements wait")
	}
	if !t.asking {
		t.begin(now, address)
	}
	t.mu.Unlock()
	return w.await(ctx, t.cfg.Timer, limit.Name)
}

// adopt takes over the limit in force. A batch of a limit that has fallen is dropped. The lock is held.
func (t *taker) adopt(limit allotment.Limit) {
	if !limit.Total.Covers(t.limit.Total) {
		t.batch = allotment.Batch{}
	}
	t.limit = limit
}

// spend takes one statement of the batch. The lock is held.
func (t *taker) spend(now time.Duration) bool {
	batch, ok := t.batch.Take(now)
	t.batch = batch
	return ok
}

// begin sends a request for a batch. What is left of the last one is given up. The lock is held.
func (t *taker) begin(now time.Duration, address string) {
	demand := t.meter.demand(now)
	demand.Waiting = t.queue.len()
	t.batch = allotment.Batch{}
	t.number++
	t.asking = true
	go t.run(address, now, BatchRequest{
		Limit: t.limit.Name, Borrower: t.cfg.Self.Incarnation, Number: t.number, Finished: t.number - 1,
		Statements: allotment.BatchSize(demand, t.limit),
	})
}

// run asks for a batch and serves the statements that wait.
func (t *taker) run(address string, sent time.Duration, ask BatchRequest) {
	ctx, cancel := port.WithTimeout(context.Background(), t.cfg.Timer, HomeTimeout)
	defer cancel()
	n, err := t.cfg.Client.TakeBatch(ctx, address, ask)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asking = false
	if err != nil {
		t.refuse(err, sent)
	} else {
		t.batch = allotment.NewBatch(sent, min(n, ask.Statements))
		t.serve()
	}
	if t.queue.next() {
		t.begin(t.cfg.Timer.Now(), address)
	}
}

// serve admits as many of the waiting statements as the batch has. The lock is held.
func (t *taker) serve() {
	now := t.cfg.Timer.Now()
	for t.queue.next() && t.spend(now) {
		t.queue.admit(now)
	}
}

// refuse gives an error to the waiting statements: to all of them when the steward did not answer, and otherwise to
// those that came before the request that was sent at the instant, which says nothing of later ones. The lock is held.
func (t *taker) refuse(err error, sent time.Duration) {
	silent := port.KindOf(err) == port.Unavailable
	for t.queue.next() && (silent || t.queue.head.arrived <= sent) {
		t.queue.settle(err)
	}
}
