package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// minTokenWait is how long a statement waits for a token once the rate is known to be used up.
	minTokenWait = 250 * time.Millisecond
	// maxTokenWait is how long a statement waits while the rate is not known to be used up.
	maxTokenWait = 2 * time.Second
)

// limiter admits statements from this instance's holding of one limit. Its lock is never held during a call to the store
// or another instance.
type limiter struct {
	name  string
	timer port.Timer
	// requestSync is called when a statement finds no token. It must not block.
	requestSync func()

	mu      sync.Mutex
	holding allotment.Holding
	// withheld are the tokens that updates of unknown outcome return to the pool.
	withheld allotment.Statements
	queue    tokenQueue
	// limit is the limit under which the holding was granted, or to which it was lowered since.
	limit allotment.Limit
	// ceiling is the number of connections due to this instance, which may be less than its share.
	ceiling int
	// exhaustedAt is when the last synchronisation began that found the rate used up.
	exhaustedAt      time.Duration
	batchesSuspended bool
	stopTimer        func()
	meter            meter
}

func newLimiter(name string, timer port.Timer, requestSync func()) *limiter {
	return &limiter{name: name, timer: timer, requestSync: requestSync, queue: newTokenQueue()}
}

// take takes one token, or waits for one in order of arrival.
func (l *limiter) take(ctx context.Context) error {
	return l.admit(ctx, &tokenWaiter{})
}

// issueBatch takes the tokens of a batch for another instance. It returns fewer statements than requested if tokens are
// short, and waits if there are none.
func (l *limiter) issueBatch(ctx context.Context, request BatchRequest) (allotment.Statements, error) {
	w := &tokenWaiter{batch: &request}
	l.mu.Lock()
	l.holding = l.holding.WithClosedBatches(l.timer.Now(), request.Borrower, request.Finished)
	l.mu.Unlock()
	if err := l.admit(ctx, w); err != nil {
		return 0, err
	}
	return w.granted, nil
}

func (l *limiter) admit(ctx context.Context, w *tokenWaiter) error {
	l.mu.Lock()
	now := l.timer.Now()
	w.arrivedAt = now
	l.meter.add(now, w.statements())
	if l.queue.len() == 0 && l.tryTake(now, w) {
		l.mu.Unlock()
		return rejectSlowCheck(l.timer, l.name, now)
	}
	if !l.queue.push(w) {
		l.mu.Unlock()
		return limitError(port.ShareUnavailable, l.name, "too many statements are waiting")
	}
	l.admitWaiting(now)
	l.mu.Unlock()
	l.requestSync()
	return w.await(ctx, l.timer, l.name)
}

// markExhausted records that a synchronisation that began at start found the rate used up.
func (l *limiter) markExhausted(start time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exhaustedAt = max(l.exhaustedAt, start)
	l.admitWaiting(l.timer.Now())
}

// deadline returns the instant at which a waiting statement is refused.
func (l *limiter) deadline(w *tokenWaiter) time.Duration {
	if l.exhaustedAt > w.arrivedAt {
		return w.arrivedAt + minTokenWait
	}
	return w.arrivedAt + maxTokenWait
}

// timeoutError returns the error of a statement that has waited until its deadline. It is called only for refused
// statements, because an error with its stack costs more than a pass over the queue.
func (l *limiter) timeoutError(w *tokenWaiter) error {
	if l.exhaustedAt > w.arrivedAt {
		return limitError(port.OverRate, l.name, "rate is used up")
	}
	return limitError(port.ShareUnavailable, l.name, "no share became available in time")
}

func (l *limiter) tryTake(now time.Duration, w *tokenWaiter) bool {
	if w.batch == nil {
		holding, ok := l.holding.Take(now)
		l.holding = holding
		return ok
	}
	if l.batchesSuspended {
		return false
	}
	holding, n, ok := l.holding.IssueBatch(now, w.batch.Borrower, w.batch.Number, w.batch.Statements)
	l.holding, w.granted = holding, n
	return ok
}

// suspendBatches issues no batches while an update is planned, and returns the tokens of outstanding batches, for which the
// update must leave burst.
func (l *limiter) suspendBatches() allotment.Statements {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.batchesSuspended = true
	l.holding = l.holding.At(l.timer.Now())
	return l.holding.Outstanding()
}

func (l *limiter) resumeBatches() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.batchesSuspended = false
	l.admitWaiting(l.timer.Now())
}

// admitWaiting admits the waiting statements for which there are tokens, refuses those past their deadline, and sets the
// timer for the next one. The caller holds the lock.
func (l *limiter) admitWaiting(now time.Duration) {
	for l.queue.advance() {
		deadline := l.deadline(l.queue.head)
		switch {
		case now >= deadline:
			l.queue.complete(l.timeoutError(l.queue.head))
		case l.tryTake(now, l.queue.head):
			l.queue.admit(now)
		default:
			l.setTimer(deadline - now)
			return
		}
	}
}

// setTimer schedules the next admitWaiting, at most d from now. The caller holds the lock.
func (l *limiter) setTimer(d time.Duration) {
	if next, ok := l.holding.Delay(); ok {
		d = min(d, next)
	}
	if l.stopTimer != nil {
		l.stopTimer()
	}
	l.stopTimer = l.timer.After(max(d, time.Microsecond), l.onTimer)
}

// onTimer reads the clock instead of using the timer's instant, which is in the past when the process was paused.
func (l *limiter) onTimer(time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopTimer = nil
	l.admitWaiting(l.timer.Now())
}

// demand returns the measured demand and the holding.
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

// maxConnections returns the number of connections that may be open now.
func (l *limiter) maxConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holding = l.holding.At(l.timer.Now())
	return min(l.holding.MaxConnections(), l.ceiling)
}

// setCeiling bounds the connections that may be open, so that the excess is closed before it is returned to the ledger.
func (l *limiter) setCeiling(connections int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ceiling = int(connections)
}

// withhold lowers the holding to the entry that an update is about to write, and returns the tokens withheld for all
// updates of unknown outcome.
func (l *limiter) withhold(e allotment.Entry) allotment.Statements {
	l.mu.Lock()
	defer l.mu.Unlock()
	holding, tokens := l.holding.WithShareAtMost(l.timer.Now(), e)
	l.holding = holding
	l.withheld += tokens
	return l.withheld
}

// restore puts the withheld tokens back once the updates that would have returned them to the pool are known to
// have failed.
func (l *limiter) restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	l.holding = l.holding.At(now).WithReturned(now, l.clearWithheld())
	l.admitWaiting(now)
}

// applyUpdate adopts the share and tokens of an update that is known to be in the ledger.
func (l *limiter) applyUpdate(u ledgerUpdate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	l.holding = l.holding.At(now)
	restored := max(l.clearWithheld()-u.returned, 0)
	l.holding = l.holding.WithEntry(now, u.sent, u.entry, u.taken+restored)
	l.capToKnownLimit(now, u.ledger.Limit)
	l.admitWaiting(now)
}

// capToKnownLimit lowers a share that was granted under an older limit than the known one, which happens when the limit
// falls while the update is under way. The caller holds the lock.
func (l *limiter) capToKnownLimit(now time.Duration, granted allotment.Limit) {
	if granted.Revision >= l.limit.Revision {
		l.limit = granted
		return
	}
	l.holding, _ = l.holding.WithLimitAtMost(now, granted.Total, l.limit.Total)
}

// clearWithheld resets the withheld tokens and returns them.
func (l *limiter) clearWithheld() allotment.Statements {
	withheld := l.withheld
	l.withheld = 0
	return withheld
}

// setFixedShare sets a share that does not depend on a ledger.
func (l *limiter) setFixedShare(share allotment.Amount) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	l.holding = l.holding.WithFixedShare(now, share)
	l.ceiling = int(share.Connections)
	l.admitWaiting(now)
}

// lowerLimit lowers the share in proportion when the limit falls below the one under which the share was granted. The
// tokens cut off or withheld count as spent, because returned later they would exceed the lower burst.
func (l *limiter) lowerLimit(limit allotment.Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit.Revision <= l.limit.Revision {
		return
	}
	now := l.timer.Now()
	l.holding, _ = l.holding.WithLimitAtMost(now, l.limit.Total, limit.Total)
	if !limit.Total.Covers(l.limit.Total) {
		l.withheld = 0
	}
	l.limit = limit
}
