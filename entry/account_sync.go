package entry

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// sync reads the ledger, decides, and writes it if there is something to write.
func (a *account) sync(ctx context.Context, d allotment.Demand, why reason) error {
	began := a.cfg.Timer.Now()
	if err := a.read(ctx); err != nil {
		return err
	}
	a.takeCalls()
	switch m := a.next(d, why, began).(type) {
	case wait:
		if why == unmet {
			// Each statement that arrives meanwhile would read the ledger otherwise.
			a.quietUntil = a.cfg.Timer.Now() + m.d
		}
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

// view is the ledger without the shares of silent holders, and with the wishes that others have called out since.
func (a *account) view() allotment.Ledger {
	l := a.base
	if l.Limit.Name == "" {
		l, _, _ = l.Apply(allotment.SetLimit{Limit: a.currentLimit()})
	}
	for _, edit := range a.sightings.ReclaimEdits(a.cfg.Timer.Now(), l, a.cfg.Holder) {
		l, _, _ = l.Apply(edit)
	}
	l, _, _ = l.Apply(allotment.Register{Holder: a.cfg.Holder})
	for _, c := range a.callers {
		l, _, _ = l.Apply(allotment.Register{Holder: c.Holder})
		l, _, _ = l.Apply(allotment.SetWanted{Holder: c.Holder, Wanted: c.Wanted})
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
	} else if s, ok := a.base.FindReservation(a.cfg.Holder); ok {
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
	if a.limiter.freeze() > 0 {
		// The burst of outstanding batches is given back after they have expired.
		_ = port.Sleep(ctx, a.cfg.Timer, allotment.BatchReservation)
	}
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
