package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	// maxWaiters bounds the statements that wait for one limit; more are refused at once.
	maxWaiters = 1024
	// maxCheckDuration is less than the time between the end of a lease and its reclaim, and at most the time for which a
	// batch is valid. If the check of a statement took longer, another holder may have taken over the share since.
	maxCheckDuration = time.Second
)

// tokenWaiter is a statement, or a request for a batch by another instance, that waits for a token.
type tokenWaiter struct {
	arrivedAt time.Duration
	// admittedAt is the instant at which a token was taken.
	admittedAt time.Duration
	// outcome receives the result. It is nil for a statement that was not queued.
	outcome   chan error
	cancelled atomic.Bool
	// batch is nil for a single statement. Of a batch, granted statements were taken.
	batch   *BatchRequest
	granted allotment.Statements
}

// statements returns the number of statements requested.
func (w *tokenWaiter) statements() int {
	if w.batch == nil {
		return 1
	}
	return max(int(w.batch.Statements/allotment.Statement), 1)
}

// await returns the outcome, or an error when ctx ends first.
func (w *tokenWaiter) await(ctx context.Context, timer port.Timer, limit string) error {
	select {
	case err := <-w.outcome:
		if err == nil {
			err = rejectSlowCheck(timer, limit, w.admittedAt)
		}
		return err
	case <-ctx.Done():
		w.cancelled.Store(true)
		return limitError(port.ShareUnavailable, limit, "request was cancelled")
	}
}

// rejectSlowCheck refuses a statement if so much time has passed since its check that the lease or batch may have ended.
func rejectSlowCheck(timer port.Timer, limit string, checkedAt time.Duration) error {
	if timer.Now()-checkedAt >= maxCheckDuration {
		return limitError(port.ShareUnavailable, limit, "admission check took too long")
	}
	return nil
}

func limitError(kind port.Kind, limit, reason string) error {
	return port.Errorf(kind, "limit %s: %s", limit, reason)
}

// tokenQueue is a FIFO queue of the waiters of one limit. The caller of each method holds the lock of its owner.
type tokenQueue struct {
	ring *ring.Ring[*tokenWaiter]
	head *tokenWaiter
}

func newTokenQueue() tokenQueue { return tokenQueue{ring: ring.New[*tokenWaiter](maxWaiters)} }

// push reports false when the queue is full.
func (q *tokenQueue) push(w *tokenWaiter) bool {
	w.outcome = make(chan error, 1)
	return q.ring.TryPut(w)
}

func (q *tokenQueue) len() int {
	n := q.ring.Len()
	if q.head != nil {
		n++
	}
	return n
}

// advance moves the next waiter to the head if the head is empty or cancelled, and reports false when the queue is empty.
func (q *tokenQueue) advance() bool {
	for q.head == nil || q.head.cancelled.Load() {
		w, ok := q.ring.TryTake()
		if q.head = w; !ok {
			return false
		}
	}
	return true
}

// admit completes the head with a token that was taken at now.
func (q *tokenQueue) admit(now time.Duration) {
	q.head.admittedAt = now
	q.complete(nil)
}

// complete removes the head and sends it its outcome.
func (q *tokenQueue) complete(err error) {
	q.head.outcome <- err
	q.head = nil
}
