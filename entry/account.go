package entry

import (
	"context"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// account is the duty that keeps one ledger for this instance. Its loop owns the fields below wake.
type account struct {
	cfg     KeeperConfig
	limiter *limiter
	// wake has room for one item: one that waits already makes the loop look at everything.
	wake *ring.Ring[struct{}]

	mu    sync.Mutex
	limit allotment.Limit
	units int64
	open  int64
	told  bool

	// base is the ledger as it was last read or written, and version its version.
	base    allotment.Ledger
	version port.Version
	// held is true while an entry of this holder may be in the ledger.
	held      bool
	sightings allotment.Sightings
	// lease is the greatest lease number that was sent.
	lease uint64
	// attempts are updates of which it is not known whether they took effect. All have the same base version.
	attempts []attempt
	wrote    time.Duration
	synced   time.Duration
	failed   time.Duration
	down     bool
	written  bool
	// quietUntil is when unmet demand is looked at again after nothing could be had.
	quietUntil time.Duration
	// ceiling is how many connections are due to this holder.
	ceiling int64
	// misses counts the looks since the last update that brought something.
	misses int
	alarm  func()

	// calls are the wishes that the watch brought, callers those that were not answered yet.
	calls    *ring.Ring[call]
	callers  []call
	calledAt time.Duration
	// asked are the holders that this one called, conflicts the updates in a row that another holder's update preceded.
	asked     map[string]asking
	conflicts uint64
	// unwatch ends the watch while the ledger is held.
	unwatch context.CancelFunc
	watches sync.WaitGroup
}

// minUnits is the number of connections that an instance keeps to each server, also while it uses none. A server that
// becomes primary while the store is down can be reached only by connections that were held before.
const minUnits = 1

// attempt is an update that was sent.
type attempt struct {
	sent    time.Duration
	version port.Version
	ledger  allotment.Ledger
	entry   allotment.Entry
	// taken are tokens that came from the pool, given those that went to it.
	taken allotment.Statements
	given allotment.Statements
	// gained is true when the share grew.
	gained bool
}

func newAccount(cfg KeeperConfig, limit allotment.Limit) *account {
	a := &account{cfg: cfg, limit: limit, wake: ring.New[struct{}](1), calls: ring.New[call](maxCalls), calledAt: -callGap, asked: map[string]asking{}}
	a.limiter = newLimiter(limit.Name, cfg.Timer, a.notify)
	a.setFixed(limit)
	return a
}

// setFixed gives the share of a policy that needs no ledger.
func (a *account) setFixed(limit allotment.Limit) bool {
	share, ok := allotment.Fixed(a.cfg.Policy, limit)
	if ok {
		a.limiter.fix(share)
	}
	return ok
}

func (a *account) notify() { a.wake.Offer(struct{}{}) }

// setLimit puts a newer limit in force. Where it is lower, the local share falls at once, before the ledger changes.
func (a *account) setLimit(limit allotment.Limit) {
	a.mu.Lock()
	old := a.limit
	if limit.Revision > old.Revision {
		a.limit = limit
	}
	a.mu.Unlock()
	if limit.Revision <= old.Revision || a.setFixed(limit) {
		return
	}
	a.limiter.shrink(limit)
	a.notify()
}

func (a *account) want(n int) {
	a.mu.Lock()
	a.units = int64(max(n, 0))
	a.mu.Unlock()
	a.notify()
}

func (a *account) hold(n int) {
	a.mu.Lock()
	changed := a.open != int64(n) || !a.told
	a.open, a.told = int64(max(n, 0)), true
	a.mu.Unlock()
	if changed {
		a.notify()
	}
}

// run keeps the ledger until ctx ends, then gives everything back.
func (a *account) run(ctx context.Context) {
	if _, fixed := allotment.Fixed(a.cfg.Policy, a.currentLimit()); fixed {
		return
	}
	stop := a.cfg.Timer.Every(beat, func(time.Duration) { a.notify() })
	defer stop()
	a.loop(ctx)
	if a.unwatch != nil {
		a.unwatch()
	}
	a.watches.Wait()
	a.leave(context.WithoutCancel(ctx))
}

func (a *account) loop(ctx context.Context) {
	for {
		if _, err := a.wake.Take(ctx); err != nil {
			return
		}
		a.step(ctx)
	}
}

// step exchanges with the store when something is due.
func (a *account) step(ctx context.Context) {
	now := a.cfg.Timer.Now()
	a.takeCalls()
	demand, holding := a.demand(now)
	reason := a.due(now, demand, holding)
	if reason == nothing || a.down && now-a.failed < retryEvery {
		return
	}
	if reason == unmet && now < a.quietUntil {
		a.later(a.quietUntil - now)
		return
	}
	err := a.sync(ctx, demand, reason)
	a.down = err != nil
	if a.down {
		a.failed = a.cfg.Timer.Now()
		a.cfg.Report(a.limiter.name, err)
	}
	a.follow(ctx)
}

func (a *account) later(d time.Duration) {
	if a.alarm != nil {
		a.alarm()
	}
	a.alarm = a.cfg.Timer.After(d, func(time.Duration) { a.notify() })
}

func (a *account) demand(now time.Duration) (allotment.Demand, allotment.Holding) {
	d, holding := a.limiter.demand(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	d.Units, d.Held = a.units, a.open
	if a.limit.Total.Units > 0 {
		d.Units = max(d.Units, minUnits)
	}
	if !a.told {
		d.Held = a.units
	}
	return d, holding
}

func (a *account) currentLimit() allotment.Limit {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limit
}

// sync reads the ledger, decides, and writes it if there is something to write.
func (a *account) sync(ctx context.Context, d allotment.Demand, why reason) error {
	began := a.cfg.Timer.Now()
	if err := a.read(ctx); err != nil {
		return err
	}
	a.takeCalls()
	switch m := a.next(d, why, began).(type) {
	case wait:
		a.later(m.d)
		return nil
	case call:
		return a.call(ctx, m)
	case rest:
		return nil
	}
	t, err := a.plan(d)
	if err != nil {
		return err
	}
	wrote, written := a.wrote, a.written
	err = a.write(ctx, t)
	if port.KindOf(err) == port.Conflict {
		a.wrote, a.written = wrote, written
		a.conflicts++
		a.later(conflictPause(a.cfg.Holder, a.conflicts))
		return nil
	}
	a.conflicts = 0
	return err
}

// conflictPause returns how long a holder waits after another one has changed the ledger first. It differs between
// holders and attempts, so that the same ones do not meet again.
func conflictPause(holder string, attempt uint64) time.Duration {
	const shortest, spread = 5 * time.Millisecond, 36
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%d", holder, attempt)
	return shortest + time.Duration(h.Sum64()%spread)*time.Millisecond
}

// write updates the ledger now.
type write struct{}

// view is the ledger with the wishes that others have called out since.
func (a *account) view() allotment.Ledger {
	l := a.base
	if l.Limit.Name == "" {
		l, _, _ = l.Apply(allotment.Relimit{Limit: a.currentLimit()})
	}
	l, _, _ = l.Apply(allotment.Claim{Holder: a.cfg.Holder})
	for _, c := range a.callers {
		l, _, _ = l.Apply(allotment.Claim{Holder: c.Holder})
		l, _, _ = l.Apply(allotment.Want{Holder: c.Holder, Wanted: c.Wanted})
	}
	return l
}

func (a *account) object() string { return "ledger/" + a.limiter.name }

// read reads the ledger and settles the updates whose outcome was not known.
func (a *account) read(ctx context.Context) error {
	ctx, cancel := port.WithTimeout(ctx, a.cfg.Timer, storeTimeout)
	defer cancel()
	object, err := a.cfg.Store.Get(ctx, a.object())
	if port.KindOf(err) == port.NotFound {
		object, err = port.Object{}, nil
	}
	if err != nil {
		return port.Wrapf(err, port.KindOf(err), "read ledger %s", a.limiter.name)
	}
	base := allotment.Ledger{}
	if object.Version != 0 {
		base, err = ParseLedger(object.Data)
	}
	if err != nil {
		return err
	}
	a.base, a.version = base, object.Version
	a.forgetAsked()
	a.sightings = a.sightings.WithLedger(a.cfg.Timer.Now(), base)
	a.settle()
	return nil
}

// settle finds out which of the attempts took effect. While the ledger still has the version on which they were
// built, each of them may take effect yet. After any other update of the ledger none can.
func (a *account) settle() {
	if len(a.attempts) == 0 || a.version == a.attempts[0].version {
		return
	}
	lease := uint64(0)
	if e, ok := a.base.Find(a.cfg.Holder); ok {
		lease = e.Lease
	} else if s, ok := a.base.FindSeat(a.cfg.Holder); ok {
		lease = s.Lease
	}
	attempts := a.attempts
	a.attempts = nil
	for _, t := range attempts {
		if t.entry.Lease == lease {
			a.confirm(t)
			return
		}
	}
	a.limiter.restore()
}

// confirm takes over an attempt that is known to have taken effect.
func (a *account) confirm(t attempt) {
	a.attempts = nil
	a.held = t.entry.Holder != ""
	a.limiter.grant(t)
}

// plan returns the update that is due on the ledger as it was read.
func (a *account) plan(d allotment.Demand) (attempt, error) {
	now := a.cfg.Timer.Now()
	p := planner{ledger: a.base, sightings: a.sightings, now: now}
	if limit := a.currentLimit(); limit.Revision > a.base.Limit.Revision || a.base.Limit.Name == "" {
		p.apply(allotment.Relimit{Limit: limit})
	}
	for _, edit := range a.sightings.Lapsed(now, p.ledger, a.cfg.Holder) {
		p.apply(edit)
	}
	if a.held && d.IsIdle() {
		return a.planLeave(p)
	}
	p.apply(allotment.Claim{Holder: a.cfg.Holder})
	view := p.ledger
	for _, c := range a.callers {
		view, _, _ = view.Apply(allotment.Claim{Holder: c.Holder})
		view, _, _ = view.Apply(allotment.Want{Holder: c.Holder, Wanted: c.Wanted})
	}
	plan := allotment.Decide(view, a.cfg.Holder, d)
	if d.Waiting > 0 {
		p.fill(now)
	}
	entry, _ := p.ledger.Find(a.cfg.Holder)
	p.apply(allotment.Want{Holder: a.cfg.Holder, Wanted: plan.Wanted})
	a.setCeiling(plan)
	give := entry.Share.Minus(plan.Target)
	// The tokens are taken from the bucket before they are given, by way of the withheld.
	low := entry
	low.Share = entry.Share.Min(plan.Target)
	given := min(a.limiter.withhold(low), give.Burst)
	p.apply(allotment.GiveBack{Holder: a.cfg.Holder, Share: give, Tokens: given})
	p.apply(allotment.Take{Holder: a.cfg.Holder, Ask: plan.Target.Minus(entry.Share), Tokens: plan.Tokens})
	a.lease++
	p.apply(allotment.Renew{Holder: a.cfg.Holder, Lease: a.lease})
	return a.attempt(p, given)
}

func (a *account) planLeave(p planner) (attempt, error) {
	given := a.limiter.withhold(allotment.Entry{})
	p.apply(allotment.Leave{Holder: a.cfg.Holder, Tokens: given})
	return a.attempt(p, given)
}

func (a *account) attempt(p planner, given allotment.Statements) (attempt, error) {
	if p.err != nil {
		return attempt{}, port.Wrapf(p.err, port.Internal, "ledger %s", a.limiter.name)
	}
	t := attempt{version: a.version, ledger: p.ledger, taken: p.tokens, given: given, gained: p.gained}
	t.entry, _ = p.ledger.Find(a.cfg.Holder)
	a.lease = max(a.lease, t.entry.Lease)
	a.limiter.withhold(t.entry.Pending(t.taken))
	return t, nil
}

// write sends an update. Whatever the answer is but success, the next read settles it.
func (a *account) write(ctx context.Context, t attempt) error {
	data, err := EncodeLedger(t.ledger)
	if err != nil {
		return err
	}
	t.sent = a.cfg.Timer.Now()
	a.attempts = append(a.attempts, t)
	a.wrote, a.written = t.sent, true
	ctx, cancel := port.WithTimeout(ctx, a.cfg.Timer, storeTimeout)
	defer cancel()
	version, err := a.cfg.Store.Put(ctx, a.object(), data, t.version)
	if err != nil {
		return port.Wrapf(err, port.KindOf(err), "write ledger %s", a.limiter.name)
	}
	a.base, a.version, a.synced = t.ledger, version, t.sent
	a.callers = nil
	if t.taken > 0 || t.gained {
		a.misses = 0
	}
	a.sightings = a.sightings.WithLedger(a.cfg.Timer.Now(), t.ledger)
	a.confirm(t)
	return nil
}

// leave gives everything back when the instance stops.
func (a *account) leave(ctx context.Context) {
	if !a.held {
		return
	}
	ctx, cancel := port.WithTimeout(ctx, a.cfg.Timer, leaveTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if err := a.read(ctx); err != nil {
			return
		}
		t, err := a.planLeave(planner{ledger: a.base, filled: true})
		if err != nil || port.KindOf(a.write(ctx, t)) != port.Conflict {
			return
		}
	}
}

// planner collects the edits of one update.
type planner struct {
	ledger    allotment.Ledger
	sightings allotment.Sightings
	now       time.Duration
	// filled is true when the pool's tokens were filled up for the time before this update.
	filled bool
	tokens allotment.Statements
	gained bool
	err    error
}

// fill adds what the pool's free rate brought before this update. It comes before any change of that rate, which
// starts another epoch.
func (p *planner) fill(now time.Duration) {
	if p.filled || p.err != nil {
		return
	}
	p.filled = true
	if fill, ok := p.sightings.Fill(now, p.ledger); ok {
		p.ledger, _, p.err = p.ledger.Apply(fill)
	}
}

func (p *planner) apply(edit allotment.Edit) {
	if p.err != nil {
		return
	}
	next, grant, err := p.ledger.Apply(edit)
	if err != nil {
		p.err = err
		return
	}
	if next.Epoch != p.ledger.Epoch && !p.filled {
		p.fill(p.now)
		next, grant, p.err = p.ledger.Apply(edit)
	}
	p.ledger = next
	p.tokens += grant.Tokens
	p.gained = p.gained || !grant.Share.IsZero()
}
