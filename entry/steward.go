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

// BatchAsk asks a steward for statements of a limit.
type BatchAsk struct {
	Limit string
	// Taker is the incarnation of the asking instance, Number the number of its request, and Finished the last of its
	// batches that it spends no more of.
	Taker      string
	Number     uint64
	Finished   uint64
	Statements allotment.Statements
}

// StewardClient takes batches at another instance.
type StewardClient interface {
	// TakeBatch takes at least one statement and at most those of the ask at the instance of the address. Errors are of
	// kind OverRate, or Unavailable when the instance did not answer or has no share.
	TakeBatch(ctx context.Context, address string, ask BatchAsk) (allotment.Statements, error)
}

// StewardsConfig is what Stewards needs.
type StewardsConfig struct {
	Self   instance.Instance
	Keeper *Keeper
	Client StewardClient
	Timer  port.Timer
	// List returns the list of instances.
	List func() instance.List
}

// Stewards is a RateLimit under which one instance of a data centre, the steward, holds the share of a limit for all. The
// others take batches from it. A batch comes out of the steward's share, so the sum over the fleet stays what the ledger
// says, also while instances differ about the steward.
type Stewards struct {
	cfg StewardsConfig

	mu     sync.Mutex
	takers map[string]*taker
	silent *silences
}

var _ RateLimit = (*Stewards)(nil)

// NewStewards returns a RateLimit over the keeper.
func NewStewards(cfg StewardsConfig) *Stewards {
	return &Stewards{cfg: cfg, takers: make(map[string]*taker), silent: newSilences(cfg.Timer)}
}

// Take takes one statement from a batch of the steward, or from this instance's share when the limit has no steward here
// or the steward does not answer.
func (s *Stewards) Take(ctx context.Context, limit string) error {
	known, ok := s.cfg.Keeper.Limit(limit)
	if !ok {
		return s.cfg.Keeper.Take(ctx, limit)
	}
	steward, ok := s.steward(known)
	if !ok || s.silent.has(steward.Address) {
		return s.cfg.Keeper.Take(ctx, limit)
	}
	err := s.taker(limit).take(ctx, steward.Address, known)
	if err == nil || port.KindOf(err) != port.Unavailable {
		return err
	}
	s.silent.note(steward.Address)
	return s.cfg.Keeper.Take(ctx, limit)
}

// steward returns the limit's steward in this data centre, and false when there is none or it is this instance.
func (s *Stewards) steward(limit allotment.Limit) (instance.Instance, bool) {
	live := s.cfg.List().WithInstance(s.cfg.Self).Ranked(stewardKey + limit.Name)
	if limit.HasHome(len(live)) {
		return instance.Instance{}, false
	}
	first, n := instance.Instance{}, 0
	for _, i := range live {
		if i.DataCentre != s.cfg.Self.DataCentre {
			continue
		}
		if n++; n == 1 {
			first = i
		}
	}
	return first, n > StewardInstances && first.Incarnation != s.cfg.Self.Incarnation
}

func (s *Stewards) taker(limit string) *taker {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.takers[limit]
	if !ok {
		t = &taker{cfg: s.cfg}
		s.takers[limit] = t
	}
	return t
}

// taker spends the batches of one limit. One request for a batch is under way at a time.
type taker struct {
	cfg StewardsConfig

	mu     sync.Mutex
	limit  allotment.Limit
	batch  allotment.Batch
	number uint64
	// round is the request that is under way.
	round   *round
	waiting int
	meter   meter
}

// round is one request for a batch. err is set before done is closed.
type round struct {
	done chan struct{}
	err  error
}

// take takes one statement, and asks for batches until one has a statement left.
func (t *taker) take(ctx context.Context, address string, limit allotment.Limit) error {
	t.mu.Lock()
	t.meter.count(t.cfg.Timer.Now())
	t.waiting++
	defer t.leave()
	for {
		now := t.cfg.Timer.Now()
		if t.spend(now, limit) {
			t.mu.Unlock()
			return t.confirm(now)
		}
		r := t.round
		if r == nil {
			r = t.begin(now, address)
		}
		t.mu.Unlock()
		select {
		case <-r.done:
		case <-ctx.Done():
			return port.Failf(port.ShareUnavailable, "limit %s: caller left", limit.Name)
		}
		if r.err != nil {
			return r.err
		}
		t.mu.Lock()
	}
}

func (t *taker) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting--
}

// spend takes one statement of the batch. A batch of a limit that has fallen is dropped. The lock is held.
func (t *taker) spend(now time.Duration, limit allotment.Limit) bool {
	if !limit.Total.Covers(t.limit.Total) {
		t.batch = allotment.Batch{}
	}
	t.limit = limit
	batch, ok := t.batch.Take(now)
	t.batch = batch
	return ok
}

// confirm refuses a statement whose check took so long that the batch may have expired for the steward.
func (t *taker) confirm(checked time.Duration) error {
	if t.cfg.Timer.Now()-checked >= maxCheckTime {
		return port.Failf(port.ShareUnavailable, "check was interrupted")
	}
	return nil
}

// begin sends a request for a batch. What is left of the last one is given up. The lock is held.
func (t *taker) begin(now time.Duration, address string) *round {
	demand := t.meter.demand(now)
	demand.Waiting = t.waiting
	t.batch = allotment.Batch{}
	t.number++
	t.round = &round{done: make(chan struct{})}
	go t.run(address, now, t.round, BatchAsk{
		Limit: t.limit.Name, Taker: t.cfg.Self.Incarnation, Number: t.number, Finished: t.number - 1,
		Statements: allotment.BatchSize(demand, t.limit),
	})
	return t.round
}

// run asks for a batch and ends the round with the outcome.
func (t *taker) run(address string, sent time.Duration, r *round, ask BatchAsk) {
	ctx, cancel := port.WithTimeout(context.Background(), t.cfg.Timer, HomeLimit)
	defer cancel()
	n, err := t.cfg.Client.TakeBatch(ctx, address, ask)
	t.mu.Lock()
	defer t.mu.Unlock()
	r.err = err
	t.round = nil
	if err == nil {
		t.batch = allotment.NewBatch(sent, min(n, ask.Statements))
	}
	close(r.done)
}
