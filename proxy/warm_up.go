package proxy

import (
	"slices"
	"time"

	"github.com/rhubarbwick/rhubarbwick/admission"
	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// maxWarmUpRecordsAge is the age of the records above which an instance spends nothing of a cold server's budget, and
	// how long it must have held a better rank before it acts on it. It is above the age that the records reach while the
	// store is down and leases are extended, and far below unresponsiveTimeout, after which another instance is given the
	// rank.
	maxWarmUpRecordsAge = 2500 * time.Millisecond
	// restartConfirmationTime is how long after the loss of all connections to a server the list may still describe its
	// earlier process: one heartbeat of 1,200 ms, and the way of the entry to the store.
	restartConfirmationTime = 1500 * time.Millisecond
	// maxBudgetWait limits how long a statement of an open transaction waits for a cold server's budget. It leaves half of
	// the shortest time limit of a route for the statement itself and for a retry.
	maxBudgetWait = 500 * time.Millisecond
)

// warmUpState is the dispatcher's state for one server that may be cold. The zero value is not usable; use
// newWarmUpState.
type warmUpState struct {
	claim  admission.WarmUpClaim
	budget admission.WarmUp
	// coldSince is when the list first showed that the present process is cold.
	coldSince time.Duration
	// isSuspected is true if the server may have been restarted at suspectedAt without a change of the list.
	isSuspected bool
	suspectedAt time.Duration
	// isLimited is whether the server was limited when this was last checked.
	isLimited bool
	// granted and refused count statements since the last WarmUpProgress event.
	granted, refused int
}

func newWarmUpState() warmUpState { return warmUpState{claim: admission.NewWarmUpClaim()} }

// withListing returns the state after the server's entry changed from one to another.
func (w warmUpState) withListing(from, to dispatch.Listing, now time.Duration) warmUpState {
	isNewProcess := from.Incarnation != to.Incarnation
	if isNewProcess {
		w.isSuspected = false
	}
	if to.Cold && (isNewProcess || !from.Cold || w.coldSince == 0) {
		w.coldSince = now
	}
	return w
}

// warmUpRank returns this instance's rank in the order of the pool's owners. Owners that could not be reached keep their
// place, because they may still send statements.
func (o ownership) warmUpRank(self string) admission.WarmUpRank {
	i := slices.IndexFunc(o.owners, func(m Member) bool { return m.Incarnation == self })
	switch i {
	case 0:
		return admission.WarmUpFirst
	case 1:
		return admission.WarmUpSecond
	default:
		return admission.WarmUpNone
	}
}

// coldRate returns the rate of the server's group, and whether its cold servers are limited.
func (d *Dispatcher) coldRate(s *serverState) (admission.ColdRate, bool) {
	if !d.cfg.WarmUp.IsEnabled() || d.cfg.ColdRate == nil {
		return admission.ColdRate{}, false
	}
	rate := d.cfg.ColdRate(s.server.Listing.Group)
	return rate, rate.PerSecond > 0
}

// checkWarmUp updates the server's budget and reports whether the server is limited. A server is limited while the list
// says that it is cold, and while it may have been restarted without the list showing it yet.
func (d *Dispatcher) checkWarmUp(s *serverState, now time.Duration) bool {
	rate, isConfigured := d.coldRate(s)
	if !isConfigured {
		d.setLimited(s, false)
		return false
	}
	w := &s.warmUp
	records, known := d.cfg.Members()
	rank := s.ownership.warmUpRank(d.cfg.Self.Incarnation)
	if !known || now-records.RequestedAt > maxWarmUpRecordsAge {
		rank = admission.WarmUpNone
	}
	w.claim = w.claim.WithRank(rank, now, maxWarmUpRecordsAge)
	w.budget = w.budget.WithShare(d.cfg.WarmUp.Share(rate.PerSecond, w.claim.Rank()), now)
	// An outage of the store keeps an entry from changing, but a server is cold only for a limited time.
	mayBeColdSince := func(at time.Duration) bool {
		return rate.Duration == 0 || now-at < rate.Duration+restartConfirmationTime
	}
	if w.isSuspected && (d.serversReadAt(now)-w.suspectedAt >= restartConfirmationTime || !mayBeColdSince(w.suspectedAt)) {
		w.isSuspected = false
	}
	isCold := s.server.Listing.Cold && mayBeColdSince(w.coldSince)
	d.setLimited(s, isCold || w.isSuspected)
	return w.isLimited
}

// serversReadAt returns when the list of servers was last requested from the store. Without a source of that time, the list
// counts as read at any time.
func (d *Dispatcher) serversReadAt(now time.Duration) time.Duration {
	if d.cfg.ServersReadAt == nil {
		return now
	}
	return d.cfg.ServersReadAt()
}

// setLimited records whether the server is limited, and publishes it to the sessions.
func (d *Dispatcher) setLimited(s *serverState, isLimited bool) {
	if s.warmUp.isLimited == isLimited {
		return
	}
	s.warmUp.isLimited = isLimited
	name := s.server.Listing.Name
	if isLimited {
		d.limited.Store(name, struct{}{})
	} else {
		d.limited.Delete(name)
	}
	d.cfg.Recorder.Record(WarmUpChanged{
		Server: name, Limited: isLimited, Listed: s.server.Listing.Cold, PerSecond: d.cfg.WarmUp.Share(d.perSecond(s), s.warmUp.claim.Rank()).Rate,
	})
}

func (d *Dispatcher) perSecond(s *serverState) float64 {
	rate, _ := d.coldRate(s)
	return rate.PerSecond
}

// maintainWarmUp updates the server, and reports what was granted since the last call.
func (d *Dispatcher) maintainWarmUp(s *serverState, now time.Duration) {
	d.noteLostIdle(s, now)
	d.checkWarmUp(s, now)
	if w := &s.warmUp; w.granted+w.refused > 0 {
		d.cfg.Recorder.Record(WarmUpProgress{Server: s.server.Listing.Name, Granted: w.granted, Refused: w.refused})
		w.granted, w.refused = 0, 0
	}
}

// noteOpening limits a server that is connected to again after all connections were lost, or while this instance cannot
// learn of a restart.
func (d *Dispatcher) noteOpening(s *serverState, now time.Duration) {
	if !d.cfg.WarmUp.IsEnabled() {
		return
	}
	if records, _ := d.cfg.Members(); now-records.RequestedAt > maxWarmUpRecordsAge {
		d.noteConnectionLoss(s, now)
		return
	}
	d.noteLostIdle(s, now)
}

// noteLostIdle limits a server that has closed unused connections, if no other connection is left.
func (d *Dispatcher) noteLostIdle(s *serverState, now time.Duration) {
	if d.cfg.WarmUp.IsEnabled() && slices.ContainsFunc(s.idle, (*Connection).isLost) {
		d.noteConnectionLoss(s, now)
	}
}

// noteConnectionLoss limits a server to which no connection is left: its process may have been replaced by one that is
// cold. A process that still has a connection was not replaced.
func (d *Dispatcher) noteConnectionLoss(s *serverState, now time.Duration) {
	if _, isConfigured := d.coldRate(s); !isConfigured || s.hasOpenConnection() {
		return
	}
	s.warmUp.isSuspected, s.warmUp.suspectedAt = true, now
	d.checkWarmUp(s, now)
}

// hasOpenConnection reports whether a connection of the pool is in use, or unused and not known to be lost.
func (s *serverState) hasOpenConnection() bool {
	return s.total-s.dialing-len(s.idle) > 0 || slices.ContainsFunc(s.idle, (*Connection).isUsable)
}

// warmUpOf returns the server's state for a choice. A remote owner decides by itself whether a statement is granted.
func (d *Dispatcher) warmUpOf(w *waiter, s *serverState, isRemote bool, now time.Duration) dispatch.WarmUp {
	switch {
	case !d.checkWarmUp(s, now):
		return dispatch.Warm
	case isRemote || d.mayStart(w, s, now):
		return dispatch.Cold
	default:
		return dispatch.ColdExhausted
	}
}

// mayStart reports whether the waiter's first statements may be sent to a limited server now. Statements of open transactions that
// wait for the budget go first.
func (d *Dispatcher) mayStart(w *waiter, s *serverState, now time.Duration) bool {
	if !d.checkWarmUp(s, now) {
		return true
	}
	_, isGranted := s.warmUp.budget.WithSpent(w.request.statements(), now)
	return isGranted && !d.hasSpender(s)
}

// spend takes the statements of a new grant from the budget of a limited server.
func (d *Dispatcher) spend(s *serverState, n int, now time.Duration) bool {
	if !d.checkWarmUp(s, now) {
		return true
	}
	budget, granted := s.warmUp.budget.WithSpent(n, now)
	if granted {
		s.warmUp.budget = budget
		s.warmUp.granted += n
	}
	return granted
}

// queueOf returns what is needed to estimate the wait for the server. One that is limited works off one statement after
// the other at the rate of its budget.
func (d *Dispatcher) queueOf(s *serverState, now time.Duration) admission.Server {
	queue := admission.Server{Slots: s.server.Listing.Slots, ServiceTime: s.server.Latency()}
	if !d.checkWarmUp(s, now) {
		return queue
	}
	if interval := s.warmUp.budget.Interval(); interval > queue.ServiceTime/time.Duration(max(queue.Slots, 1)) {
		return admission.Server{Slots: 1, ServiceTime: interval}
	}
	return queue
}

// refusesCold refuses a waiter whose server is limited and grants this instance nothing, and reports whether it did.
func (d *Dispatcher) refusesCold(w *waiter, server string, ahead int, now time.Duration) bool {
	s := d.server(server)
	if s == nil || !d.checkWarmUp(s, now) {
		return false
	}
	delay, possible := s.warmUp.budget.Delay(w.request.statements(), now)
	delay += time.Duration(ahead) * s.warmUp.budget.Interval()
	if possible && now-w.arrived+delay <= w.request.ConnectionWait {
		return false
	}
	s.warmUp.refused++
	w.reply.TryPut(grantResult{err: errExhausted(server)})
	return true
}

// errExhausted is the error of a statement for which the budget of a cold server does not suffice in time.
func errExhausted(server string) error {
	return port.Errorf(port.Busy, "server %s is cold and gets no more statements at present", server)
}
