package proxy

import (
	"slices"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/primacy"
)

// leaseWait determines how long a promoter waits for the leases of instances that do not confirm a replacement. It is
// safe for concurrent use.
type leaseWait struct {
	timer port.Timer

	mu        sync.Mutex
	confirmed *Confirmations
	// until is when every lease has expired. It is brought forward once no lease can be extended any more.
	until            time.Duration
	cannotBeExtended bool
}

// newLeaseWait returns the wait for leases that can still be extended.
func newLeaseWait(timer port.Timer) *leaseWait {
	return &leaseWait{timer: timer, confirmed: NewConfirmations(), until: timer.Now() + primacy.MaxLeaseTTL + leaseMargin}
}

// confirm records the confirmation of one of the members and its SettledVersion. The last leases are those that were
// extended right before the confirmation after which no majority is left. They are counted from then on, and not from
// when the calls to unresponsive instances have timed out.
func (w *leaseWait) confirm(m Member, settled port.Version, members []Member, removed int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirmed.Add(m.Incarnation, settled)
	// Fewer confirmations are enough only if many members have stopped. The check after the round finds that.
	if len(w.confirmed.incarnations) >= len(members)/2 {
		w.checkExtensions(members, removed)
	}
}

// endRound ends a round of calls to the members.
func (w *leaseWait) endRound(members []Member, removed int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkExtensions(members, removed)
}

// checkExtensions brings the end of the wait forward if no lease can be extended any more. mu must be held.
func (w *leaseWait) checkExtensions(members []Member, removed int) {
	if !w.cannotBeExtended && w.confirmed.PreventExtensions(members, removed) {
		w.cannotBeExtended = true
		w.until = min(w.until, w.timer.Now()+primacy.LeaseTTL+leaseMargin)
	}
}

// unconfirmed returns the members that have not confirmed.
func (w *leaseWait) unconfirmed(members []Member) []Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(members), w.confirmed.Has)
}

// remaining returns the time until every lease has expired.
func (w *leaseWait) remaining() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.until-w.timer.Now(), 0)
}

func (w *leaseWait) isOver() bool { return w.remaining() == 0 }
