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
	// suspendPause is the pause before an instance that did not confirm is asked again.
	suspendPause = 100 * time.Millisecond
	// catchUpLimit is how long a successor may take to receive what a departing primary holds.
	catchUpLimit = 1500 * time.Millisecond
	// statusPause is the pause between two looks at the servers of the group.
	statusPause = 60 * time.Millisecond
	// successorLimit is how long a promoter looks for a successor, and leadLimit how long a promoted server may take to
	// lead, before the replacement starts anew.
	successorLimit = 5 * time.Second
	leadLimit      = 5 * time.Second
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
	defer r.promoter.end(r.group.Name)
	if err := r.carryOut(ctx); err != nil {
		r.note("gave up", "", err.Error())
		_ = port.Sleep(ctx, r.promoter.cfg.Timer, statusPause)
	}
}

func (r *replacement) note(step, server, reason string) {
	r.promoter.cfg.Recorder.Record(PromotionStep{Group: r.group.Name, Step: step, Server: server, Epoch: r.epoch, Reason: reason})
}

func (r *replacement) carryOut(ctx context.Context) error {
	p := r.promoter
	epoch, err := p.duty.acquire(ctx)
	if err != nil {
		return err
	}
	r.epoch = epoch
	snapshot, _ := p.cfg.State.Records()
	stored, found := snapshot.Primacies[r.group.Name]
	if !found {
		return port.Errorf(port.NotFound, "the record of the group is gone")
	}
	r.stored = stored
	if err := r.announce(ctx); err != nil {
		return err
	}
	if err := r.suspendAll(ctx); err != nil {
		return err
	}
	r.note("every instance has let go", r.stored.Record.Primary, "")
	successor, err := r.promote(ctx)
	if err != nil {
		return err
	}
	return r.install(ctx, successor)
}

// announce writes to the store that the primary is being replaced. Whoever reads the record from then on does not use
// the primary.
func (r *replacement) announce(ctx context.Context) error {
	p := r.promoter
	servers, _ := p.cfg.State.Servers()
	old, listed := servers[r.stored.Record.Primary]
	r.planned = listed && old.Departing
	record := r.stored.Record.WithReplacement(primacy.Replacement{
		Promoter: p.cfg.Self.Incarnation, Epoch: r.epoch, Planned: r.planned,
	})
	version, err := p.put(ctx, record, r.stored.Version)
	if err != nil {
		return err
	}
	r.stored = StoredPrimacy{Record: record, Version: version}
	r.note("announced", record.Primary, r.reason)
	return nil
}

// suspendAll returns when no instance uses the old primary any more: each has confirmed it, its process was replaced by
// another one, or its lease has run out since the announcement. Leases are extended only until a majority of the instances
// has confirmed; without it, the longest lease is waited for. The announcement is withdrawn when the old
// primary answers again meanwhile.
func (r *replacement) suspendAll(ctx context.Context) error {
	p := r.promoter
	until := p.cfg.Timer.Now() + primacy.MaxLeaseTTL + leaseMargin
	confirmed := NewConfirmations()
	for {
		// Instances that register after this read know the announcement before they use a primary.
		members, err := r.members(ctx)
		if port.KindOf(err) == port.Conflict {
			return err
		}
		if err == nil {
			if r.askAll(ctx, members, confirmed) {
				return nil
			}
			if confirmed.Bar(members, p.cfg.State.MembershipHistory().Removed(members)) {
				until = min(until, p.cfg.Timer.Now()+primacy.LeaseTTL+leaseMargin)
			}
		}
		if p.cfg.Timer.Now() >= until {
			return err
		}
		if err := p.duty.confirm(ctx, r.epoch); port.KindOf(err) == port.Conflict {
			return err
		}
		if !r.planned && err == nil && r.isBack(ctx) {
			return r.withdraw(ctx)
		}
		if err := port.Sleep(ctx, p.cfg.Timer, suspendPause); err != nil {
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
	snapshot, _ := p.cfg.State.Records()
	if snapshot.Primacies[r.group.Name].Version != r.stored.Version {
		return nil, port.Errorf(port.Conflict, "another instance has changed the record")
	}
	return slices.Concat(snapshot.Members, snapshot.Stopped), nil
}

// askAll asks the instances that have not confirmed yet, and reports whether all have.
func (r *replacement) askAll(ctx context.Context, members []Member, confirmed *Confirmations) bool {
	p := r.promoter
	limit := callPeers
	if r.planned {
		limit += lastStatements
	}
	limited, cancel := port.WithTimeout(ctx, p.cfg.Timer, limit)
	defer cancel()
	silent := slices.DeleteFunc(slices.Clone(members), confirmed.Has)
	answers := askMembers(limited, silent, func(ctx context.Context, m Member) (port.Version, error) {
		return p.cfg.Peers.Suspend(ctx, m.Address, r.stored)
	})
	for incarnation, settled := range answers {
		confirmed.Add(incarnation, settled)
	}
	return len(answers) == len(silent)
}

// isBack reports whether the old primary answers as such.
func (r *replacement) isBack(ctx context.Context) bool {
	p := r.promoter
	servers, _ := p.cfg.State.Servers()
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
	if _, err := r.promoter.put(ctx, record, r.stored.Version); err != nil {
		return err
	}
	r.tellAll(ctx)
	return port.Errorf(port.Conflict, "the primary answers again and stays")
}

// promote names the successor to the platform and returns its status once it leads.
func (r *replacement) promote(ctx context.Context) (primacy.Status, error) {
	p := r.promoter
	until := p.cfg.Timer.Now() + successorLimit
	for p.cfg.Timer.Now() < until {
		order, complete := r.candidates(ctx)
		if complete {
			for _, candidate := range order {
				status, err := r.promoteOne(ctx, candidate)
				if err == nil {
					return status, nil
				}
				r.note("candidate failed", candidate.Server, err.Error())
				if port.KindOf(err) != port.Conflict {
					return primacy.Status{}, err
				}
			}
		}
		if err := port.Sleep(ctx, p.cfg.Timer, statusPause); err != nil {
			return primacy.Status{}, err
		}
	}
	return primacy.Status{}, port.Errorf(port.NoPrimary, "no server of the group can be promoted")
}

// candidates asks the group's servers and returns those that may be promoted, the best first. It reports false while one
// that did not answer may hold more.
func (r *replacement) candidates(ctx context.Context) ([]primacy.Status, bool) {
	p := r.promoter
	old := r.stored.Record.Primary
	until := p.cfg.Timer.Now() + catchUpLimit
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
		if !isBehind || p.cfg.Timer.Now() >= until || port.Sleep(ctx, p.cfg.Timer, statusPause) != nil {
			return order, complete
		}
	}
}

// answeredStatus is what one server said when asked for its status.
type answeredStatus struct {
	listing dispatch.Listing
	status  primacy.Status
	err     error
}

// statuses asks all servers of the group at the same time.
func (r *replacement) statuses(ctx context.Context) []answeredStatus {
	p := r.promoter
	servers := p.servers(r.group.Name)
	answers := make([]answeredStatus, len(servers))
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
	servers, _ := p.cfg.State.Servers()
	if old, listed := servers[r.stored.Record.Primary]; listed && !candidate.Leads {
		// A primary that cannot be reached is kept from being used by the suspension.
		_, _ = p.ask(ctx, old, statement.StepDown{Term: next})
	}
	until := p.cfg.Timer.Now() + leadLimit
	for !candidate.Leads {
		if err := p.duty.confirm(ctx, r.epoch); err != nil {
			return primacy.Status{}, err
		}
		limited, cancel := port.WithTimeout(ctx, p.cfg.Timer, callLimit)
		err := p.cfg.Promotions.Promote(limited, r.group.Name, candidate.Server, p.cfg.Self.Incarnation, r.epoch)
		cancel()
		if err == nil {
			break
		}
		if port.KindOf(err) == port.Conflict || p.cfg.Timer.Now() >= until {
			return primacy.Status{}, err
		}
		if err := port.Sleep(ctx, p.cfg.Timer, suspendPause); err != nil {
			return primacy.Status{}, err
		}
	}
	r.note("named", candidate.Server, "")
	return r.awaitLead(ctx, candidate.Server, until)
}

// awaitLead waits until the server leads a term after the old one.
func (r *replacement) awaitLead(ctx context.Context, server string, until time.Duration) (primacy.Status, error) {
	p := r.promoter
	for p.cfg.Timer.Now() < until {
		servers, _ := p.cfg.State.Servers()
		l, listed := servers[server]
		if listed {
			status, err := p.status(ctx, l)
			if err == nil && status.Leads && status.Term > r.stored.Record.Term {
				return status, nil
			}
		}
		if err := port.Sleep(ctx, p.cfg.Timer, statusPause); err != nil {
			return primacy.Status{}, err
		}
	}
	return primacy.Status{}, port.Errorf(port.Conflict, "server %s was promoted and does not lead", server)
}

// install writes the successor's term to the record and tells all instances.
func (r *replacement) install(ctx context.Context, s primacy.Status) error {
	p := r.promoter
	if _, err := p.put(ctx, r.stored.Record.WithPrimary(s.Server, s.Term), r.stored.Version); err != nil {
		return err
	}
	r.note("leads", s.Server, "")
	r.tellAll(ctx)
	return nil
}

// tellAll has all instances ask this one for the newest records.
func (r *replacement) tellAll(ctx context.Context) {
	p := r.promoter
	if err := p.cfg.Readers.ReadRecords(ctx); err != nil {
		// They read the records themselves within a second or two.
		return
	}
	snapshot, _ := p.cfg.State.Records()
	limited, cancel := port.WithTimeout(ctx, p.cfg.Timer, callPeers)
	defer cancel()
	// Who cannot be told reads the records within a second or two.
	askMembers(limited, others(snapshot.Members, p.cfg.Self.Incarnation), func(ctx context.Context, m Member) (struct{}, error) {
		return struct{}{}, p.cfg.Peers.Notify(ctx, m.Address, p.cfg.Self)
	})
}
