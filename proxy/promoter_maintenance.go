package proxy

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/primacy"
)

const (
	// maxSwitchovers is how many primaries in maintenance one promoter replaces at once. Each switchover calls all
	// instances and queries all servers of its group.
	maxSwitchovers = 4
	// lostPrimaryDelay is how long no instance may reach a primary in a switchover before it counts as lost. A primary that
	// stands still for a moment holds confirmed writes that its successors may lack.
	lostPrimaryDelay = 1500 * time.Millisecond
	// reasonMaintenance is the reason of a switchover.
	reasonMaintenance = "the data centre of the primary is in maintenance"
)

// switchovers limits how many primaries in maintenance are replaced at once. It is guarded by Promoter.mu.
type switchovers struct {
	// active holds the groups whose primary is being replaced.
	active map[string]bool
	// startedAt is when the last attempt for a group began. A group whose successors do not catch up must not keep the
	// others from being switched over.
	startedAt map[string]time.Duration
	// leaders holds since when this instance knows the primary of each group.
	leaders map[string]knownLeader
}

// knownLeader is a primary and when this instance first saw the record that names it.
type knownLeader struct {
	term  group.Term
	since time.Duration
}

// observeLeader records since when the primary of the record is known.
func (p *Promoter) observeLeader(r primacy.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, found := p.switchovers.leaders[r.Group]; !found || known.term != r.Term {
		p.switchovers.leaders[r.Group] = knownLeader{term: r.Term, since: p.cfg.Timer.Now()}
	}
}

// leaderSince returns since when the primary of the record is known.
func (p *Promoter) leaderSince(r primacy.Record) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, found := p.switchovers.leaders[r.Group]; found && known.term == r.Term {
		return known.since
	}
	return p.cfg.Timer.Now()
}

// isInMaintenance reports whether the server is in a data centre in maintenance.
func (p *Promoter) isInMaintenance(l dispatch.Listing) bool {
	return p.cfg.State.Maintenance().Has(l.DataCentre)
}

// hasSuccessor reports whether a server of the group outside maintenance other than its primary could be promoted.
func (p *Promoter) hasSuccessor(groupName, primary string) bool {
	return slices.ContainsFunc(p.listedServers(groupName), func(l dispatch.Listing) bool {
		return l.Name != primary && !l.Draining && !p.isInMaintenance(l)
	})
}

// mustSwitchOver reports whether the primary must be replaced because of a maintenance. A group without a successor
// elsewhere keeps its primary, which is not used meanwhile.
func (p *Promoter) mustSwitchOver(primary dispatch.Listing) bool {
	return p.isInMaintenance(primary) && p.hasSuccessor(primary.Group, primary.Name)
}

// mayStart decides whether a replacement may begin. While all servers of the group are in maintenance, none may become
// primary. mu must be held.
func (p *Promoter) mayStart(g document.Group) bool {
	if p.cfg.State.Maintenance().IsEmpty() {
		return true
	}
	if !slices.ContainsFunc(p.listedServers(g.Name), func(l dispatch.Listing) bool { return !p.isInMaintenance(l) }) {
		return false
	}
	servers, _ := p.cfg.State.Servers()
	if !p.isInMaintenance(servers[p.cfg.Views.View(g.Name).Record.Primary]) {
		return true
	}
	if len(p.switchovers.active) >= maxSwitchovers {
		return false
	}
	p.switchovers.active[g.Name], p.switchovers.startedAt[g.Name] = true, p.cfg.Timer.Now()
	return true
}

// inCheckOrder returns the groups in the order in which they are checked: during a maintenance, those first whose last
// switchover began the longest ago.
func (p *Promoter) inCheckOrder(groups []document.Group) []document.Group {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cfg.State.Maintenance().IsEmpty() {
		clear(p.switchovers.startedAt)
		return groups
	}
	return slices.SortedStableFunc(slices.Values(groups), func(a, b document.Group) int {
		return cmp.Compare(p.switchovers.startedAt[a.Name], p.switchovers.startedAt[b.Name])
	})
}

// oldPrimary returns the listing of the primary that is being replaced.
func (r *replacement) oldPrimary() (dispatch.Listing, bool) {
	servers, _ := r.promoter.cfg.State.Servers()
	l, listed := servers[r.stored.Record.Primary]
	return l, listed
}

// isPlannedFor reports whether the old primary is replaced although it is healthy.
func (r *replacement) isPlannedFor(oldPrimary dispatch.Listing) bool {
	return oldPrimary.Draining || r.promoter.isInMaintenance(oldPrimary)
}

// isSwitchoverOf reports whether the replacement of the old primary is a switchover, or takes over one that another
// promoter has announced. The maintenance may have ended since.
func (r *replacement) isSwitchoverOf(oldPrimary dispatch.Listing) bool {
	announced := r.stored.Record.Replacement
	return r.promoter.isInMaintenance(oldPrimary) ||
		announced != nil && announced.Planned && r.promoter.cfg.State.MaintenanceVersion() != nil
}

// mayWithdraw reports whether the old primary may be used again if it responds. That includes one whose maintenance has
// ended.
func (r *replacement) mayWithdraw() bool {
	l, listed := r.oldPrimary()
	return listed && r.stored.Record.CanWithdraw() && !r.isPlannedFor(l) && (!r.planned || r.isSwitchover)
}

// drainTimeout returns how long instances wait for the statements that run at the old primary.
func (r *replacement) drainTimeout() time.Duration {
	if l, listed := r.oldPrimary(); listed {
		return r.promoter.cfg.State.drainTimeout(l)
	}
	return plannedDrainTimeout
}

// drainTimeout returns how long the statements at a primary that is replaced as planned may take to finish. Transactions
// at a primary in maintenance use up the time that is left to them.
func (c *ClusterState) drainTimeout(primary dispatch.Listing) time.Duration {
	m := c.Maintenance()
	if !m.Has(primary.DataCentre) {
		return plannedDrainTimeout
	}
	return max(plannedDrainTimeout, m.Since(primary.DataCentre)+dispatch.TransactionGrace-c.timer.Now())
}

// isOldPrimaryLost reports whether no instance has reached the old primary for lostPrimaryDelay. One that is not listed
// counts as lost only at the end of the attempt, because an entry that expired during an outage of the store comes back.
func (r *replacement) isOldPrimaryLost(ctx context.Context, s primacy.Succession, isLast bool) bool {
	if !s.Restricted && !r.isSwitchover {
		return false
	}
	if s.OldPrimary.HasAnswered {
		r.lostSince = 0
		return false
	}
	if _, listed := r.oldPrimary(); !listed {
		return isLast
	}
	r.probeOldPrimary(ctx)
	return r.lostSince > 0 && r.promoter.cfg.Timer.Now()-r.lostSince >= lostPrimaryDelay
}

// probeOldPrimary updates lostSince.
func (r *replacement) probeOldPrimary(ctx context.Context) {
	l, listed := r.oldPrimary()
	snapshot, _ := r.promoter.cfg.State.Records()
	before := r.promoter.cfg.Timer.Now()
	switch {
	case !listed || r.promoter.isReachable(ctx, snapshot, l):
		r.lostSince = 0
	case r.lostSince == 0:
		r.lostSince = before
	}
}

// keepLock renews the promoter lock while a replacement during a maintenance waits for a successor, so that no other
// promoter takes it over and starts to wait again.
func (r *replacement) keepLock(ctx context.Context) error {
	if !r.isSwitchover && r.promoter.cfg.State.Maintenance().IsEmpty() {
		return nil
	}
	return r.promoter.lock.renew(ctx, r.epoch)
}

// checkCandidate fails if the candidate is in maintenance. Before the first call that promotes it, another candidate may be
// promoted instead. Afterwards the promotion may still take effect, which the next attempt waits for.
func (r *replacement) checkCandidate(candidate primacy.Status, isFirst bool) error {
	l, known := r.promoter.knownServer(r.stored.Record, candidate.Server)
	if !known || !r.promoter.isInMaintenance(l) {
		return nil
	}
	err := port.Errorf(port.Conflict, "the data centre of server %s is in maintenance", candidate.Server)
	if isFirst {
		return &candidateError{err}
	}
	return err
}

// notePending records the server whose promotion may still take effect: the successor of an earlier attempt, or the
// primary itself if it has led only for a short time, because its promotion may have been requested twice. Without
// maintenance, the next attempt chooses the same server again.
func (r *replacement) notePending() {
	p, earlier := r.promoter, r.stored.Record.Replacement
	switch {
	case !r.isSwitchover && p.cfg.State.Maintenance().IsEmpty():
	case earlier != nil && earlier.Successor != "":
		r.pending, r.pendingUntil = earlier.Successor, p.cfg.Timer.Now()+promotionSettleTime
	default:
		r.pending, r.pendingUntil = r.stored.Record.Primary, p.leaderSince(r.stored.Record)+promotionSettleTime
	}
}

// pendingServer returns the server whose promotion may still take effect; empty if there is none.
func (r *replacement) pendingServer() string {
	if r.promoter.cfg.Timer.Now() >= r.pendingUntil {
		return ""
	}
	return r.pending
}
