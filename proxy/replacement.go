package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/primacy"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

const (
	// leaseMargin is waited beyond the lease of an instance that does not answer; it covers clocks that run at slightly
	// different speeds.
	leaseMargin = 250 * time.Millisecond
	// suspendRetryDelay is the pause before an instance that did not confirm is asked again.
	suspendRetryDelay = 100 * time.Millisecond
	// catchUpTimeout is how long a successor may take to receive what a departing primary holds.
	catchUpTimeout = 1500 * time.Millisecond
	// statusInterval is the pause between two looks at the servers of the group.
	statusInterval = 60 * time.Millisecond
	// successorTimeout is how long a promoter looks for a successor, and leadLimit how long a promoted server may take to
	// lead, before the replacement starts anew.
	successorTimeout = 5 * time.Second
	leadTimeout      = 5 * time.Second
)

// replacement is the duty that replaces one group's primary.
type replacement struct {
	promoter *Promoter
	group    document.Group
	reason   string
	stored   StoredPrimacy
	epoch    uint64
	planned  bool
}

func (r *replacement) run(ctx context.Context) {
	defer r.promoter.finish(r.group.Name)
	if err := r.execute(ctx); err != nil {
		r.recordStep("gave up", "", err.Error())
		_ = port.Wait(ctx, r.promoter.cfg.Timer, statusInterval)
	}
}

func (r *replacement) recordStep(step, server, reason string) {
	r.promoter.cfg.Recorder.Note(PromotionStep{Group: r.group.Name, Step: step, Server: server, Epoch: r.epoch, Reason: reason})
}

func (r *replacement) execute(ctx context.Context) error {
	p := r.promoter
	epoch, err := p.lock.acquire(ctx)
	if err != nil {
		return err
	}
	r.epoch = epoch
	snapshot, _ := p.cfg.Knowledge.Records()
	stored, found := snapshot.Primacies[r.group.Name]
	if !found {
		return port.Failf(port.NotFound, "the record of the group is gone")
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

// announce writes to the store that the primary is being replaced. Whoever reads the record from then on does not use
// the primary.
func (r *replacement) announce(ctx context.Context) error {
	p := r.promoter
	servers, _ := p.cfg.Knowledge.Servers()
	old, listed := servers[r.stored.Record.Primary]
	r.planned = listed && old.Departing
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

// suspendAll returns when no instance uses the old primary any more: each has confirmed it, its process was replaced by
// another one, or its lease has run out since the announcement. Leases are extended only until a majority of the instances
// has confirmed; without it, the longest lease is waited for. The announcement is withdrawn when the old
// primary answers again meanwhile.
func (r *replacement) suspendAll(ctx context.Context) error {
	p := r.promoter
	until := p.cfg.Timer.Now() + primacy.MaxLease + leaseMargin
	confirmed := NewConfirmations()
	for {
		// Instances that register after this read know the announcement before they use a primary.
		members, err := r.members(ctx)
		if port.KindOf(err) == port.Conflict {
			return err
		}
		if err == nil {
			if r.suspendMembers(ctx, members, confirmed) {
				return nil
			}
			if confirmed.PreventExtensions(members, p.cfg.Knowledge.MembershipHistory().RemovedCount(members)) {
				until = min(until, p.cfg.Timer.Now()+primacy.Lease+leaseMargin)
			}
		}
		if p.cfg.Timer.Now() >= until {
			return err
		}
		if err := p.lock.renew(ctx, r.epoch); port.KindOf(err) == port.Conflict {
			return err
		}
		if !r.planned && err == nil && r.hasRecovered(ctx) {
			return r.withdraw(ctx)
		}
		if err := port.Wait(ctx, p.cfg.Timer, suspendRetryDelay); err != nil {
			return err
		}
	}
}

// members reads the records and returns the instances that are listed now.
func (r *replacement) members(ctx context.Context) ([]Member, error) {
	p := r.promoter
	if err := p.cfg.Readers.ReadRecords(ctx); err != nil {
		return nil, err
	}
	snapshot, _ := p.cfg.Knowledge.Records()
	if snapshot.Primacies[r.group.Name].Version != r.stored.Version {
		return nil, port.Failf(port.Conflict, "another instance has changed the record")
	}
	return slices.Concat(snapshot.Members, snapshot.Stopped), nil
}

// suspendMembers asks the instances that have not confirmed yet, and reports whether all have.
func (r *replacement) suspendMembers(ctx context.Context, members []Member, confirmed *Confirmations) bool {
	p := r.promoter
	limit := peerCallTimeout
	if r.planned {
		limit += plannedDrainTimeout
	}
	limited, cancel := port.WithTimeout(ctx, p.cfg.Timer, limit)
	defer cancel()
	silent := slices.DeleteFunc(slices.Clone(members), confirmed.Has)
	answers := callMembers(limited, silent, func(ctx context.Context, m Member) (port.Version, error) {
		return p.cfg.Fleet.Suspend(ctx, m.Address, r.stored)
	})
	for incarnation, settled := range answers {
		confirmed.Add(incarnation, settled)
	}
	return len(answers) == len(silent)
}

// hasRecovered reports whether the old primary answers as such.
func (r *replacement) hasRecovered(ctx context.Context) bool {
	p := r.promoter
	servers, _ := p.cfg.Knowledge.Servers()
	old, listed := servers[r.stored.Record.Primary]
	if !listed || old.Departing {
		return false
	}
	status, err := p.status(ctx, old)
	return err == nil && status.Leads && status.Term == r.stored.Record.Term
}

// withdraw takes the announcement back.
func (r *replacement) withdraw(ctx context.Context) error {
	record := r.stored.Record
	record.Replacement = nil
	if _, err := r.promoter.putRecord(ctx, record, r.stored.Version); err != nil {
		return err
	}
	r.notifyAll(ctx)
	return port.Failf(port.Conflict, "the primary answers again and stays")
}

// promote names the successor to the platform and returns its status once it leads.
func (r *replacement) promote(ctx context.Context) (primacy.Status, error) {
	p := r.promoter
	until := p.cfg.Timer.Now() + successorTimeout
	for p.cfg.Timer.Now() < until {
		order, complete := r.candidates(ctx)
		if complete {
			for _, candidate := range order {
				status, err := r.promoteOne(ctx, candidate)
				if err == nil {
					return status, nil
				}
				r.recordStep("candidate failed", candidate.Server, err.Error())
				if port.KindOf(err) != port.Conflict {
					return primacy.Status{}, err
				}
			}
		}
		if err := port.Wait(ctx, p.cfg.Timer, statusInterval); err != nil {
			return primacy.Status{}, err
		}
	}
	return primacy.Status{}, port.Failf(port.NoPrimary, "no server of the group can be promoted")
}

// candidates asks the group's servers and returns those that may be promoted, the best first. It reports false while one
// that did not answer may hold more.
func (r *replacement) candidates(ctx context.Context) ([]primacy.Status, bool) {
	p := r.promoter
	old := r.stored.Record.Primary
	until := p.cfg.Timer.Now() + catchUpTimeout
	for {
		succession := primacy.Succession{Synchronous: r.group.SynchronousReplicas}
		var held primacy.Status
		for _, s := range r.statuses(ctx) {
			switch {
			case s.err == nil && s.status.Leads && s.status.Term > r.stored.Record.Term:
				// An earlier promoter's choice leads already.
				return []primacy.Status{s.status}, true
			case s.listing.Name == old:
				held = s.status
				continue
			case s.listing.Departing:
				continue
			case s.err == nil:
				succession.Candidates = append(succession.Candidates, s.status)
			}
			succession.Replicas++
		}
		order, complete := succession.Order()
		isBehind := complete && r.planned && held.Received.Compare(order[0].Received) > 0
		if !isBehind || p.cfg.Timer.Now() >= until || port.Wait(ctx, p.cfg.Timer, statusInterval) != nil {
			return order, complete
		}
	}
}

// serverStatus is what one server said when asked for its status.
type serverStatus struct {
	listing dispatch.Listing
	status  primacy.Status
	err     error
}

// statuses asks all servers of the group at the same time.
func (r *replacement) statuses(ctx context.Context) []serverStatus {
	p := r.promoter
	servers := p.servers(r.group.Name)
	answers := make([]serverStatus, len(servers))
	var asked sync.WaitGroup
	for i, l := range servers {
		answers[i].listing = l
		asked.Go(func() { answers[i].status, answers[i].err = p.status(ctx, l) })
	}
	asked.Wait()
	return answers
}

// promoteOne has the old primary step down if it can be reached, names the candidate, and waits until it leads.
func (r *replacement) promoteOne(ctx context.Context, candidate primacy.Status) (primacy.Status, error) {
	p := r.promoter
	next := max(r.stored.Record.Term, candidate.Term) + 1
	servers, _ := p.cfg.Knowledge.Servers()
	if old, listed := servers[r.stored.Record.Primary]; listed && !candidate.Leads {
		// A primary that cannot be reached is kept from being used by the suspension.
		_, _ = p.sendOrders(ctx, old, statement.StepDown{Term: next})
	}
	until := p.cfg.Timer.Now() + leadTimeout
	for !candidate.Leads {
		if err := p.lock.renew(ctx, r.epoch); err != nil {
			return primacy.Status{}, err
		}
		limited, cancel := port.WithTimeout(ctx, p.cfg.Timer, callTimeout)
		err := p.cfg.Promotions.Promote(limited, r.group.Name, candidate.Server, p.cfg.Self.Incarnation, r.epoch)
		cancel()
		if err == nil {
			break
		}
		if port.KindOf(err) == port.Conflict || p.cfg.Timer.Now() >= until {
			return primacy.Status{}, err
		}
		if err := port.Wait(ctx, p.cfg.Timer, suspendRetryDelay); err != nil {
			return primacy.Status{}, err
		}
	}
	r.recordStep("named", candidate.Server, "")
	return r.awaitLead(ctx, candidate.Server, until)
}

// awaitLead waits until the server leads a term after the old one.
func (r *replacement) awaitLead(ctx context.Context, server string, until time.Duration) (primacy.Status, error) {
	p := r.promoter
	for p.cfg.Timer.Now() < until {
		servers, _ := p.cfg.Knowledge.Servers()
		l, listed := servers[server]
		if listed {
			status, err := p.status(ctx, l)
			if err == nil && status.Leads && status.Term > r.stored.Record.Term {
				return status, nil
			}
		}
		if err := port.Wait(ctx, p.cfg.Timer, statusInterval); err != nil {
			return primacy.Status{}, err
		}
	}
	return primacy.Status{}, port.Failf(port.Conflict, "server %s was promoted and does not lead", server)
}

// writeSuccessor writes the successor's term to the record and tells all instances.
func (r *replacement) writeSuccessor(ctx context.Context, s primacy.Status) error {
	p := r.promoter
	if _, err := p.putRecord(ctx, r.stored.Record.WithPrimary(s.Server, s.Term), r.stored.Version); err != nil {
		return err
	}
	r.recordStep("leads", s.Server, "")
	r.notifyAll(ctx)
	return nil
}

// notifyAll has all instances ask this one for the newest records.
func (r *replacement) notifyAll(ctx context.Context) {
	p := r.promoter
	if err := p.cfg.Readers.ReadRecords(ctx); err != nil {
		// They read the records themselves within a second or two.
		return
	}
	snapshot, _ := p.cfg.Knowledge.Records()
	limited, cancel := port.WithTimeout(ctx, p.cfg.Timer, peerCallTimeout)
	defer cancel()
	// Who cannot be told reads the records within a second or two.
	callMembers(limited, withoutIncarnation(snapshot.Members, p.cfg.Self.Incarnation), func(ctx context.Context, m Member) (struct{}, error) {
		return struct{}{}, p.cfg.Fleet.Notify(ctx, m.Address, p.cfg.Self)
	})
}
