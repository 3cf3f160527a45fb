package proxy

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/primacy"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

const (
	// leaseMargin is added to the lease of an instance that does not respond. It covers clocks that run at slightly
	// different speeds.
	leaseMargin = 250 * time.Millisecond
	// suspendRetryDelay is the delay before an unconfirmed instance is asked again.
	suspendRetryDelay = 100 * time.Millisecond
	// catchUpTimeout limits how long a successor may take to replicate what a draining primary holds.
	catchUpTimeout = 1500 * time.Millisecond
	// statusInterval is the delay between two status queries to the servers of the group.
	statusInterval = 60 * time.Millisecond
	// successorTimeout limits how long a promoter looks for a successor, and becomePrimaryTimeout how long a promoted
	// server may take to become primary, before the replacement is restarted.
	successorTimeout     = 5 * time.Second
	becomePrimaryTimeout = 5 * time.Second
	// lateAnswerWait is how long a promoter waits for the status of a primary that no instance reaches, once all others have
	// answered. A server that is reached answers within some ten milliseconds.
	lateAnswerWait = 100 * time.Millisecond
	// promotionSettleTime is how long after the call a promotion has certainly taken effect. The platform announces some
	// hundred milliseconds, and the slowest known deployment takes 1.5 s.
	promotionSettleTime = 3 * time.Second
)

// candidateError is a failure that concerns one candidate only. The next one may be promoted.
type candidateError struct{ err error }

func (e *candidateError) Error() string { return e.err.Error() }

func (e *candidateError) Unwrap() error { return e.err }

// replacement replaces one group's primary.
type replacement struct {
	promoter *Promoter
	group    document.Group
	reason   string
	stored   StoredPrimacy
	epoch    uint64
	planned  bool
	// isSwitchover is true if the old primary was in maintenance when the replacement was announced.
	isSwitchover bool
	// lostSince is when no instance was first found to reach the old primary; zero while one does.
	lostSince time.Duration
	// pending is the server whose promotion an earlier attempt may have requested, and pendingUntil when that has certainly
	// taken effect.
	pending      string
	pendingUntil time.Duration
}

func (r *replacement) run(ctx context.Context) {
	defer r.promoter.finish(r.group.Name)
	if err := r.execute(ctx); err != nil {
		r.recordStep("gave up", "", err.Error())
		_ = port.Sleep(ctx, r.promoter.cfg.Timer, statusInterval)
	}
}

func (r *replacement) recordStep(step, server, reason string) {
	r.promoter.cfg.Recorder.Record(PromotionStep{Group: r.group.Name, Step: step, Server: server, Epoch: r.epoch, Reason: reason})
}

func (r *replacement) execute(ctx context.Context) error {
	p := r.promoter
	epoch, err := p.lock.acquire(ctx)
	if err != nil {
		return err
	}
	r.epoch = epoch
	snapshot, _ := p.cfg.State.Records()
	stored, found := snapshot.Primacies[r.group.Name]
	if !found {
		return port.Errorf(port.NotFound, "the group's record does not exist")
	}
	r.stored = stored
	if err := r.announce(ctx); err != nil {
		return err
	}
	if err := r.suspendAll(ctx); err != nil {
		return err
	}
	r.recordStep("every instance has let go", r.stored.Record.Primary, "")
	successor, err := r.promote(ctx)
	if err != nil {
		return err
	}
	return r.writeSuccessor(ctx, successor)
}

// announce records in the store that the primary is being replaced. Instances that read the record stop using the
// primary.
func (r *replacement) announce(ctx context.Context) error {
	p := r.promoter
	oldPrimary, listed := r.oldPrimary()
	r.isSwitchover = r.isSwitchoverOf(oldPrimary)
	r.notePending()
	r.planned = listed && (r.isPlannedFor(oldPrimary) || r.isSwitchover)
	record := r.stored.Record.WithReplacement(primacy.Replacement{
		Promoter: p.cfg.Self.Incarnation, Epoch: r.epoch, Planned: r.planned,
	})
	version, err := p.putRecord(ctx, record, r.stored.Version)
	if err != nil {
		return err
	}
	r.stored = StoredPrimacy{Record: record, Version: version}
	r.recordStep("announced", record.Primary, r.reason)
	return nil
}

// suspendAll returns once no instance uses the old primary: each has confirmed that, its process has been replaced, or
// its lease has expired since the announcement. Leases can be extended only until a majority of the instances has
// confirmed; without that majority, it waits for the longest possible lease. It withdraws the announcement if the old
// primary responds again in the meantime and no promotion can have been requested.
func (r *replacement) suspendAll(ctx context.Context) error {
	p := r.promoter
	wait := newLeaseWait(p.cfg.Timer)
	for {
		// Instances that register after this read see the announcement before they use a primary.
		members, err := r.members(ctx)
		if port.KindOf(err) == port.Conflict {
			return err
		}
		if err == nil {
			if r.suspendMembers(ctx, members, wait) {
				return nil
			}
		}
		if wait.isOver() {
			return err
		}
		if err := p.lock.renew(ctx, r.epoch); port.KindOf(err) == port.Conflict {
			return err
		}
		if err == nil && r.mayWithdraw() && r.hasRecovered(ctx, wait) {
			return r.withdraw(ctx)
		}
		if r.isSwitchover {
			r.probeOldPrimary(ctx)
		}
		if err := port.Sleep(ctx, p.cfg.Timer, min(suspendRetryDelay, wait.remaining())); err != nil {
			return err
		}
	}
}

// members reads the records and returns the currently registered instances, including stopped ones.
func (r *replacement) members(ctx context.Context) ([]Member, error) {
	p := r.promoter
	if err := p.cfg.Readers.ReadRecords(ctx); err != nil {
		return nil, err
	}
	snapshot, _ := p.cfg.State.Records()
	if snapshot.Primacies[r.group.Name].Version != r.stored.Version {
		return nil, port.Errorf(port.Conflict, "another instance has modified the group's record")
	}
	return slices.Concat(snapshot.Members, snapshot.Stopped), nil
}

// suspendMembers asks the instances that have not confirmed yet. It reports whether all did.
func (r *replacement) suspendMembers(ctx context.Context, members []Member, wait *leaseWait) bool {
	p := r.promoter
	timeout := peerCallTimeout
	if r.planned {
		timeout += r.drainTimeout()
	}
	callCtx, cancel := port.WithTimeout(ctx, p.cfg.Timer, min(timeout, wait.remaining()))
	defer cancel()
	removed := p.cfg.State.MembershipHistory().RemovedCount(members)
	unconfirmed := wait.unconfirmed(members)
	confirmations := callMembers(callCtx, unconfirmed, func(ctx context.Context, m Member) (port.Version, error) {
		settled, err := p.cfg.Peers.Suspend(ctx, m.Address, r.stored)
		if err == nil {
			wait.confirm(m, settled, members, removed)
		}
		return settled, err
	})
	wait.endRound(members, removed)
	return len(confirmations) == len(unconfirmed)
}

// hasRecovered reports whether the old primary responds, before the wait is over, and is still the primary in its term.
func (r *replacement) hasRecovered(ctx context.Context, wait *leaseWait) bool {
	p := r.promoter
	ctx, cancel := port.WithTimeout(ctx, p.cfg.Timer, wait.remaining())
	defer cancel()
	oldPrimary, listed := r.oldPrimary()
	if !listed || r.isPlannedFor(oldPrimary) {
		return false
	}
	status, err := p.status(ctx, oldPrimary)
	return err == nil && status.IsPrimary && status.Term == r.stored.Record.Term
}

// withdraw removes the announcement.
func (r *replacement) withdraw(ctx context.Context) error {
	if _, err := r.promoter.putRecord(ctx, r.stored.Record.WithoutReplacement(), r.stored.Version); err != nil {
		return err
	}
	r.notifyAll(ctx)
	return port.Errorf(port.Conflict, "the primary responds again and is kept")
}

// promote promotes a successor through the platform and returns its status once it is the primary.
func (r *replacement) promote(ctx context.Context) (primacy.Status, error) {
	p := r.promoter
	until := p.cfg.Timer.Now() + successorTimeout
	for {
		succession := r.succession(ctx)
		if leader, found := succession.Leader(); found {
			return leader, nil
		}
		isLast := p.cfg.Timer.Now() >= until
		attempt := primacy.Attempt{
			IsPlanned: r.planned && !r.mayWithdraw(), IsSwitchover: r.isSwitchover, IsOldPrimaryLost: r.isOldPrimaryLost(ctx, succession, isLast),
			Pending: r.pendingServer(), IsLast: isLast,
		}
		switch d := succession.Decide(attempt).(type) {
		case primacy.Promote:
			status, err := r.promoteFirst(ctx, d.Order)
			var failed *candidateError
			if err == nil || !errors.As(err, &failed) {
				return status, err
			}
		case primacy.KeepPrimary:
			return r.keep(ctx, d.Primary)
		}
		if isLast {
			return primacy.Status{}, port.Errorf(port.NoPrimary, "no server of the group could be promoted")
		}
		if err := r.keepLock(ctx); port.KindOf(err) == port.Conflict {
			return primacy.Status{}, err
		}
		if err := port.Sleep(ctx, p.cfg.Timer, statusInterval); err != nil {
			return primacy.Status{}, err
		}
	}
}

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

// keep uses the old primary again, because too few other servers respond. If the promotion of another server may have
// been requested, the old primary is promoted as well.
func (r *replacement) keep(ctx context.Context, oldPrimary primacy.Status) (primacy.Status, error) {
	if oldPrimary.IsPrimary && r.stored.Record.CanWithdraw() {
		return primacy.Status{}, r.withdraw(ctx)
	}
	return r.promoteOne(ctx, oldPrimary)
}

// succession queries the group's servers. In a planned replacement it waits up to catchUpTimeout until the first
// candidate has received what the old primary holds.
func (r *replacement) succession(ctx context.Context) primacy.Succession {
	p := r.promoter
	until := p.cfg.Timer.Now() + catchUpTimeout
	for {
		succession := primacy.NewSuccession(r.stored.Record, r.group.SynchronousReplicas, r.answers(ctx))
		order, complete := succession.Order()
		isBehind := complete && r.planned && succession.IsBehind(order[0])
		if !isBehind || p.cfg.Timer.Now() >= until || port.Sleep(ctx, p.cfg.Timer, statusInterval) != nil {
			return succession
		}
	}
}

// answers queries all known servers of the group concurrently. A primary that no instance reaches is hardly waited for,
// unless others are waited for anyway.
func (r *replacement) answers(ctx context.Context) []primacy.Answer {
	p := r.promoter
	servers := p.knownServers(r.stored.Record)
	answers := make([]primacy.Answer, len(servers))
	primaryCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var running, others sync.WaitGroup
	for i, l := range servers {
		callCtx, group := ctx, &others
		if l.Name == r.stored.Record.Primary && !r.planned {
			callCtx, group = primaryCtx, &running
		}
		group.Go(func() {
			status, err := p.status(callCtx, l.Listing)
			if err != nil {
				status = primacy.Status{Server: l.Name}
			}
			status.Draining, status.Unlisted, status.Ineligible = l.Draining, l.isUnlisted, p.isInMaintenance(l.Listing)
			answers[i] = primacy.Answer{Status: status, HasAnswered: err == nil}
		})
	}
	others.Wait()
	stop := p.cfg.Timer.After(lateAnswerWait, func(time.Duration) { cancel() })
	defer stop()
	running.Wait()
	return answers
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
	if _, err := p.putRecord(ctx, r.stored.Record.WithPrimary(s.Server, s.Term), r.stored.Version); err != nil {
		return err
	}
	r.recordStep("leads", s.Server, "")
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
