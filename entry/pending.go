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
	// maxWaiting bounds the statements that wait for one limit; a further one is refused at once.
	maxWaiting = 1024
	// maxCheckTime is less than the time between the end of a lease and its reclaim, and not more than a batch is valid. A
	// statement whose check took longer may have been checked in a lease that others have taken since.
	maxCheckTime = time.Second
)

// pendingTake is a statement, or a batch for another instance, that waits for a token.
type pendingTake struct {
	arrived time.Duration
	// admitted is the instant at which a token was taken.
	admitted time.Duration
	// outcome is set while it waits.
	outcome chan error
	gone    atomic.Bool
	// ask is set for a batch, of which granted is what was taken.
	ask     *BatchRequest
	granted allotment.Statements
}

// statements is the number of statements that were asked for.
func (w *pendingTake) statements() int {
	if w.ask == nil {
		return 1
	}
	return max(int(w.ask.Statements/allotment.Statement), 1)
}

// await returns the outcome, or a refusal when ctx ends first.
func (w *pendingTake) await(ctx context.Context, timer port.Timer, limit string) error {
	select {
	case err := <-w.outcome:
		if err == nil {
			err = confirmCheck(timer, limit, w.admitted)
		}
		return err
	case <-ctx.Done():
		w.gone.Store(true)
		return refuseTake(port.ShareUnavailable, limit, "caller left")
	}
}

// confirmCheck refuses a statement whose check at the instant took so long that its lease or its batch may have ended.
func confirmCheck(timer port.Timer, limit string, checked time.Duration) error {
	if timer.Now()-checked >= maxCheckTime {
		return refuseTake(port.ShareUnavailable, limit, "check was interrupted")
	}
	return nil
}

func refuseTake(kind port.Kind, limit, why string) error {
	return port.Errorf(kind, "limit %s: %s", limit, why)
}

// pendingQueue holds what waits for tokens of one limit, in order of arrival. The lock of its owner is held over each
// method.
type pendingQueue struct {
	ring *ring.Ring[*pendingTake]
	head *pendingTake
}

func newPendingQueue() pendingQueue { return pendingQueue{ring: ring.New[*pendingTake](maxWaiting)} }

// offer reports false when too many wait.
func (q *pendingQueue) offer(w *pendingTake) bool {
	w.outcome = make(chan error, 1)
	return q.ring.TryPut(w)
}

func (q *pendingQueue) len() int {
	n := q.ring.Len()
	if q.head != nil {
		n++
	}
	return n
}

// next reports whether something waits whose caller has not left; it is the head then.
func (q *pendingQueue) next() bool {
	for q.head == nil || q.head.gone.Load() {
		w, ok := q.ring.TryTake()
		if q.head = w; !ok {
			return false
		}
	}
	return true
}

// admit gives the head a token that was taken at the instant.
func (q *pendingQueue) admit(now time.Duration) {
	q.head.admitted = now
	q.settle(nil)
}

// settle gives the head its outcome.
func (q *pendingQueue) settle(err error) {
	q.head.outcome <- err
	q.head = nil
}
