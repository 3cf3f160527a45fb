package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/primacy"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// candidateError is a failure that concerns one candidate only. The next one may be promoted.
type candidateError struct{ err error }

func (e *candidateError) Error() string { return e.err.Error() }

func (e *candidateError) Unwrap() error { return e.err }

// promoteFirst promotes the first candidate that can be promoted. It fails with a candidateError if there is none.
func (r *replacement) promoteFirst(ctx context.Context, order []primacy.Status) (primacy.Status, error) {
	var err error
	for _, candidate := range order {
		var status primacy.Status
		if status, err = r.promoteOne(ctx, candidate); err == nil {
			return status, nil
		}
		r.recordStep("candidate failed", candidate.Server, err.Error())
		var failed *candidateError
		if !errors.As(err, &failed) {
			break
		}
	}
	return primacy.Status{}, err
}

// promoteOne promotes the candidate and waits until it is the primary. Before that, it stores the candidate's name in the
// record and makes the old primary step down if it can be reached. It fails with a candidateError if another candidate
// may be promoted.
func (r *replacement) promoteOne(ctx context.Context, candidate primacy.Status) (primacy.Status, error) {
	p := r.promoter
	if err := r.storeSuccessor(ctx, candidate.Server); err != nil {
		return primacy.Status{}, err
	}
	// Neither a step-down nor a promotion may be sent after another promoter has taken over.
	if err := p.lock.renew(ctx, r.epoch); err != nil {
		return primacy.Status{}, err
	}
	next := max(r.stored.Record.Term, candidate.Term) + 1
	servers, _ := p.cfg.State.Servers()
	if oldPrimary, listed := servers[r.stored.Record.Primary]; listed && oldPrimary.Name != candidate.Server {
		r.stepDown(ctx, oldPrimary, next)
	}
	until := p.cfg.Timer.Now() + becomePrimaryTimeout
	for isFirst := true; ; isFirst = false {
		if err := p.lock.renew(ctx, r.epoch); err != nil {
			return primacy.Status{}, err
		}
		if err := r.checkCandidate(candidate, isFirst); err != nil {
			return primacy.Status{}, err
		}
		callCtx, cancel := port.WithTimeout(ctx, p.cfg.Timer, callTimeout)
		err := p.cfg.Promotions.Promote(callCtx, r.group.Name, candidate.Server, p.cfg.Self.Incarnation, r.epoch)
		cancel()
		if err == nil {
			break
		}
		if port.KindOf(err) == port.Conflict {
			return primacy.Status{}, &candidateError{err}
		}
		if p.cfg.Timer.Now() >= until {
			return primacy.Status{}, err
		}
		if err := port.Sleep(ctx, p.cfg.Timer, suspendRetryDelay); err != nil {
			return primacy.Status{}, err
		}
	}
	r.recordStep("named", candidate.Server, "")
	return r.awaitPrimary(ctx, candidate, until)
}

// stepDown makes the old primary step down if it can be reached. The suspension already keeps an unreachable one from
// being used, so the promotion does not wait for it.
func (r *replacement) stepDown(ctx context.Context, oldPrimary dispatch.Listing, next group.Term) {
	task := &stepDownTask{promoter: r.promoter, server: oldPrimary, term: next}
	if r.planned {
		task.run(ctx)
		return
	}
	r.promoter.running.Go(func() { task.run(ctx) })
}

// stepDownTask makes one old primary step down.
type stepDownTask struct {
	promoter *Promoter
	server   dispatch.Listing
	term     group.Term
}

func (t *stepDownTask) run(ctx context.Context) {
	// A failure changes nothing: instances use the old primary no longer.
	_, _ = t.promoter.sendCommands(ctx, t.server, statement.StepDown{Term: t.term})
}

// storeSuccessor stores the server that is about to be promoted. The old primary cannot be used again afterwards.
func (r *replacement) storeSuccessor(ctx context.Context, server string) error {
	record := r.stored.Record.WithSuccessor(server)
	version, err := r.promoter.putRecord(ctx, record, r.stored.Version)
	if err != nil {
		return err
	}
	r.stored = StoredPrimacy{Record: record, Version: version}
	r.recordStep("chosen", server, "")
	return nil
}

// awaitPrimary waits until the promoted server is the primary of a later term than before. If it was the primary
// already, the promotion may have changed nothing, which is certain only after promotionSettleTime.
func (r *replacement) awaitPrimary(ctx context.Context, before primacy.Status, until time.Duration) (primacy.Status, error) {
	p := r.promoter
	settled := p.cfg.Timer.Now() + promotionSettleTime
	for p.cfg.Timer.Now() < until {
		if l, known := p.knownServer(r.stored.Record, before.Server); known {
			status, err := p.status(ctx, l)
			isSettled := status.Term > before.Term || p.cfg.Timer.Now() >= settled
			if err == nil && r.stored.Record.IsLedBy(status) && isSettled {
				return status, nil
			}
		}
		if err := port.Sleep(ctx, p.cfg.Timer, statusInterval); err != nil {
			return primacy.Status{}, err
		}
	}
	return primacy.Status{}, &candidateError{
		port.Errorf(port.Conflict, "server %s was promoted but did not become primary", before.Server),
	}
}

// writeSuccessor writes the successor and its term to the record and notifies all instances.
func (r *replacement) writeSuccessor(ctx context.Context, s primacy.Status) error {
	p := r.promoter
	if _, err := p.putRecord(ctx, r.stored.Record.WithPrimary(s), r.stored.Version); err != nil {
		return err
	}
	r.recordStep("leads", s.Server, s.String())
	r.notifyAll(ctx)
	return nil
}

// notifyAll makes all instances fetch the newest records from this one.
func (r *replacement) notifyAll(ctx context.Context) {
	p := r.promoter
	if err := p.cfg.Readers.ReadRecords(ctx); err != nil {
		// They read the records themselves within a second or two.
		return
	}
	snapshot, _ := p.cfg.State.Records()
	callCtx, cancel := port.WithTimeout(ctx, p.cfg.Timer, peerCallTimeout)
	defer cancel()
	// An instance that is not notified reads the records itself within a second or two.
	callMembers(callCtx, withoutIncarnation(snapshot.Members, p.cfg.Self.Incarnation), func(ctx context.Context, m Member) (struct{}, error) {
		return struct{}{}, p.cfg.Peers.Notify(ctx, m.Address, p.cfg.Self)
	})
}
