package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// takeWait is how long a statement waits for a token at least.
	takeWait = 250 * time.Millisecond
	// shareWait is how long a statement waits while it is not known that the rate is used up.
	shareWait = 2 * time.Second
)

// limiter admits statements from the local holding of one limit. Its lock is never held over a message.
type limiter struct {
	name  string
	timer port.Timer
	// need is called when a statement found no token. It must not block.
	need func()

	mu      sync.Mutex
	holding allotment.Holding
	// withheld are the tokens of updates whose outcome is not known.
	withheld allotment.Statements
	queue    pendingQueue
	// granted is the limit under which the holding was granted or to which it shrank.
	granted allotment.Limit
	// ceiling is the number of connections that is due, which may be less than the share.
	ceiling int
	// usedUp is when the last exchange began that found the rate used up.
	usedUp time.Duration
	// frozen is true while no batch may be lent.
	frozen bool
	stop   func()
	meter  meter
}

func newLimiter(name string, timer port.Timer, need func()) *limiter {
	return &limiter{name: name, timer: timer, need: need, queue: newPendingQueue()}
}

// take takes one token, or waits for one in order of arrival.
func (l *limiter) take(ctx context.Context) error {
	return l.admit(ctx, &pendingTake{})
}

// lend takes a batch for another instance, as far as there are tokens, or waits for one statement of it.
func (l *limiter) lend(ctx context.Context, ask BatchRequest) (allotment.Statements, error) {
	w := &pendingTake{ask: &ask}
	l.mu.Lock()
	l.holding = l.holding.WithClosedBatches(l.timer.Now(), ask.Borrower, ask.Finished)
	l.mu.Unlock()
	if err := l.admit(ctx, w); err != nil {
		return 0, err
	}
	return w.granted, nil
}

func (l *limiter) admit(ctx context.Context, w *pendingTake) error {
	l.mu.Lock()
	now := l.timer.Now()
	w.arrived = now
	l.meter.add(now, w.statements())
	if l.queue.len() == 0 && l.spend(now, w) {
		l.mu.Unlock()
		return confirmCheck(l.timer, l.name, now)
	}
	if !l.queue.offer(w) {
		l.mu.Unlock()
		return refuseTake(port.ShareUnavailable, l.name, "too many statements wait")
	}
	l.serve(now)
	l.mu.Unlock()
	l.need()
	return w.await(ctx, l.timer, l.name)
}

// exhaust notes that an exchange with the ledger which began at the instant found the rate used up.
func (l *limiter) exhaust(began time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usedUp = max(l.usedUp, began)
	l.serve(l.timer.Now())
}

// deadline returns when a waiting statement is refused.
func (l *limiter) deadline(w *pendingTake) time.Duration {
	if l.usedUp > w.arrived {
		return w.arrived + takeWait
	}
	return w.arrived + shareWait
}

// overdue returns why a statement is refused that has waited until its deadline. It is called for a refused statement
// only, because an error with its stack costs more than the whole look at a queue.
func (l *limiter) overdue(w *pendingTake) error {
	if l.usedUp > w.arrived {
		return refuseTake(port.OverRate, l.name, "rate is used up")
	}
	return refuseTake(port.ShareUnavailable, l.name, "no share could be had in time")
}

func (l *limiter) spend(now time.Duration, w *pendingTake) bool {
	if w.ask == nil {
		holding, ok := l.holding.Take(now)
		l.holding = holding
		return ok
	}
	if l.frozen {
		return false
	}
	holding, n, ok := l.holding.IssueBatch(now, w.ask.Borrower, w.ask.Number, w.ask.Statements)
	l.holding, w.granted = holding, n
	return ok
}

// freeze keeps batches from being lent while an update is planned, which must leave burst for those that are
// outstanding, and returns their tokens.
func (l *limiter) freeze() allotment.Statements {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen = true
	l.holding = l.holding.At(l.timer.Now())
	return l.holding.Outstanding()
}

// thaw ends a freeze.
func (l *limiter) thaw() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen = false
	l.serve(l.timer.Now())
}

// serve admits the waiting statements for which there are tokens, refuses those that waited too long, and sets the
// timer for the next one. The lock is held.
func (l *limiter) serve(now time.Duration) {
	for l.queue.next() {
		deadline := l.deadline(l.queue.head)
		switch {
		case now >= deadline:
			l.queue.settle(l.overdue(l.queue.head))
		case l.spend(now, l.queue.head):
			l.queue.admit(now)
		default:
			l.wait(deadline - now)
			return
		}
	}
}

// wait sets the timer for the next look at the waiting statements, at most d from now.
func (l *limiter) wait(d time.Duration) {
	if next, ok := l.holding.Delay(); ok {
		d = min(d, next)
	}
	if l.stop != nil {
		l.stop()
	}
	l.stop = l.timer.After(max(d, time.Microsecond), l.ring)
}

// ring reads the clock itself: the instant of a delivered timer is old when the process was paused.
func (l *limiter) ring(time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stop = nil
	l.serve(l.timer.Now())
}

// demand returns what was measured, and the holding.
func (l *limiter) demand(now time.Duration) (allotment.Demand, allotment.Holding) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holding = l.holding.At(now)
	d := l.meter.demand(now)
	d.Waiting = l.queue.len()
	d.Outstanding = l.holding.Outstanding()
	d.Tokens = l.holding.Tokens()
	d.Full = l.holding.Tokens() >= l.holding.Share().Burst
	return d, l.holding
}

// allowed returns the connections that may be held now.
func (l *limiter) allowed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holding = l.holding.At(l.timer.Now())
	return min(l.holding.MaxConnections(), l.ceiling)
}

// setCeiling bounds the connections that may be held, so that some are closed before they are given back.
func (l *limiter) setCeiling(units int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ceiling = int(units)
}

// withhold lowers the holding to an entry that an update will write, and returns all tokens that were withheld for
// updates without an answer.
func (l *limiter) withhold(e allotment.Entry) allotment.Statements {
	l.mu.Lock()
	defer l.mu.Unlock()
	holding, tokens := l.holding.WithShareAtMost(l.timer.Now(), e)
	l.holding = holding
	l.withheld += tokens
	return l.withheld
}

// restore puts withheld tokens back after the updates that were to give them away are known to have failed.
func (l *limiter) restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	l.holding = l.holding.At(now).WithReturned(now, l.takeWithheld())
	l.serve(now)
}

// grant takes over an update that is known to have taken effect.
func (l *limiter) grant(t attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	l.holding = l.holding.At(now)
	back := max(l.takeWithheld()-t.given, 0)
	l.holding = l.holding.WithEntry(now, t.sent, t.entry, t.taken+back)
	l.keepFall(now, t.ledger.Limit)
	l.serve(now)
}

// keepFall lowers a share that was granted under an older limit than the known one. The update was sent before the limit
// fell and is answered after that. The lock is held.
func (l *limiter) keepFall(now time.Duration, under allotment.Limit) {
	if under.Revision >= l.granted.Revision {
		l.granted = under
		return
	}
	l.holding, _ = l.holding.WithLimitAtMost(now, under.Total, l.granted.Total)
}

// takeWithheld returns the withheld tokens and forgets them.
func (l *limiter) takeWithheld() allotment.Statements {
	withheld := l.withheld
	l.withheld = 0
	return withheld
}

// fix sets a share that depends on no ledger.
func (l *limiter) fix(share allotment.Amount) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	l.holding = l.holding.WithFixedShare(now, share)
	l.ceiling = int(share.Connections)
	l.serve(now)
}

// shrink lowers the share in proportion when the limit falls below the one under which the share was granted. The tokens
// that are cut off or withheld then count as spent: given back later, they would come on top of the lower burst.
func (l *limiter) shrink(limit allotment.Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit.Revision <= l.granted.Revision {
		return
	}
	now := l.timer.Now()
	l.holding, _ = l.holding.WithLimitAtMost(now, l.granted.Total, limit.Total)
	if !limit.Total.Covers(l.granted.Total) {
		l.withheld = 0
	}
	l.granted = limit
}
