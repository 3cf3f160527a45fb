package proxy

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/primacy"
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
	oldPrimary, _ := r.oldPrimary()
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
		decision := succession.Decide(attempt)
		if _, isWaiting := decision.(primacy.AwaitSuccessor); !isWaiting || isLast {
			r.recordStep("logs compared", r.stored.Record.Primary, succession.String())
		}
		switch d := decision.(type) {
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
