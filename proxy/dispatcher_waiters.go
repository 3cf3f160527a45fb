package proxy

import (
	"slices"
	"strings"
	"time"

	"github.com/rhubarbwick/rhubarbwick/admission"
	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// serveWaiters grants connections to waiting statements in order, opens connections for them, and rejects those that
// would be served too late.
func (d *Dispatcher) serveWaiters(scope queueScope, now time.Duration) {
	d.serveSpenders(now)
	if _, isEmpty := scope.(noGroup); isEmpty || len(d.waiters) == 0 {
		d.scheduleCheck()
		return
	}
	ended := make(map[*waiter]bool)
	for name, waiters := range d.scopedWaiters(scope) {
		d.pass = d.passes[name].next()
		d.passes[name] = d.pass
		queued := make([]admission.QueuedStatement, len(waiters))
		for i, w := range waiters {
			queued[i] = admission.QueuedStatement{Organisation: w.request.Organisation, Priority: w.request.Priority, Arrived: w.arrived}
		}
		for _, i := range admission.Order(queued, d.admissions) {
			if w := waiters[i]; d.serveWaiter(w, now) {
				ended[w] = true
			}
		}
	}
	if len(ended) > 0 {
		d.waiters = slices.DeleteFunc(d.waiters, func(w *waiter) bool { return ended[w] })
	}
	d.scheduleCheck()
}

// scheduleCheck schedules the next check of the waiting statements, if there are any.
func (d *Dispatcher) scheduleCheck() {
	if len(d.waiters)+len(d.spenders) > 0 && !d.checkScheduled {
		d.checkScheduled = true
		d.cfg.Timer.After(waiterCheckInterval, func(time.Duration) { d.commands.TryPut(waiterTick{}) })
	}
}

// serveWaiter reports whether the waiter received a result.
func (d *Dispatcher) serveWaiter(w *waiter, now time.Duration) bool {
	waited := now - w.arrived
	if server, mustWait := d.mustWait(w, now); mustWait {
		return d.rejectIfTooLate(w, server, d.pass.add(w, server), waited)
	}
	placed, ended := d.place(w, now, d.pass.ahead)
	if ended {
		return true
	}
	switch choice := placed.(type) {
	case dispatch.ToServer:
		if w.checkOnly {
			w.reply.TryPut(grantResult{})
			return true
		}
		if d.tryGrant(w, choice, now) {
			return true
		}
		before := d.pass.add(w, choice.Server)
		return d.refusesCold(w, choice.Server, before, now) || d.rejectIfTooLate(w, choice.Server, before, waited)
	case dispatch.NoConnection:
		if w.checkOnly {
			w.reply.TryPut(grantResult{})
			return true
		}
		return d.rejectIfTooLate(w, "", 0, waited)
	case dispatch.OutsideHomes:
		w.reply.TryPut(grantResult{err: port.Errorf(port.NoPrimary, "no server of group %s in the homes of the statement can run it", w.request.Group)})
		return true
	case dispatch.BeingReplaced:
		w.reply.TryPut(grantResult{err: port.Errorf(port.NoPrimary, "the primary of group %s is being replaced", w.request.Group)})
		return true
	case dispatch.InMaintenance:
		w.reply.TryPut(grantResult{err: w.maintenanceError()})
		return true
	default:
		if waited < w.request.ServerWait || w.dialing != "" && waited < w.request.ConnectionWait {
			return false
		}
		w.reply.TryPut(grantResult{err: w.noServerError()})
		return true
	}
}

// rejectIfTooLate rejects a waiter that would be served too late, and reports whether it did. server is empty if no
// server has been chosen yet.
func (d *Dispatcher) rejectIfTooLate(w *waiter, server string, ahead int, waited time.Duration) bool {
	var queue admission.Server
	if s := d.server(server); s != nil {
		queue = d.queueOf(s, d.cfg.Timer.Now())
	}
	refused, isRefused := admission.Decide(queue, ahead, waited, w.request.ConnectionWait).(admission.Refused)
	if isRefused {
		w.reply.TryPut(grantResult{err: port.Errorf(port.Busy, "no connection after %s; expected wait is another %s, behind %d statements",
			waited.Round(time.Millisecond), refused.Expected.Round(time.Millisecond), ahead)})
	}
	return isRefused
}

// noServerError returns the error for a statement that no server may run.
func (w *waiter) noServerError() error {
	if need, isLent := w.request.Need.(dispatch.NeedServer); isLent {
		return port.Errorf(port.Unavailable, "server %s cannot be reached from this instance", need.Name)
	}
	return port.Errorf(port.NoPrimary, "no server of group %s can run the statement", w.request.Group)
}

// tryGrant grants a connection to the waiter. If none is free, it starts to open one if allowed and returns false.
func (d *Dispatcher) tryGrant(w *waiter, choice dispatch.ToServer, now time.Duration) bool {
	s := d.server(choice.Server)
	if owner, found := d.remoteOwnerFor(w, s, now); found {
		d.borrow(w, s, owner, choice, now)
		return true
	}
	if s.isFull(now) || !d.mayStart(w, s, now) {
		return false
	}
	if c, found := s.takeIdle(w.request); found {
		d.spend(s, w.request.statements(), now)
		s.server, d.admissions = s.server.WithOutstanding(1), d.admissions.WithAdmission(w.request.Organisation, now)
		s.use.granted(c, now)
		s.running[c.ID] = now
		w.reply.TryPut(grantResult{grant: Grant{Connection: c, Choice: choice, OverdueAfter: s.server.OverdueAfter()}})
		return true
	}
	if w.dialing == "" && d.makePlace(s, w, now) {
		w.dialing = choice.Server
		d.openConnection(s, w.request)
	}
	return false
}

// borrow grants a connection from another instance's pool. If the pool has none free, the statement waits at its owner.
func (d *Dispatcher) borrow(w *waiter, s *serverState, owner Member, choice dispatch.ToServer, now time.Duration) {
	s.server = s.server.WithOutstanding(1)
	d.nextID++
	c := &Connection{ID: d.nextID, Endpoint: d.endpoint(s, w.request), path: &borrowed{
		owner: owner, loan: d.cfg.RemotePools.Borrow(owner, LoanTerms{
			Server: choice.Server, Organisation: w.request.Organisation, KeyID: w.request.KeyID, Revision: w.request.Revision,
			Priority: w.request.Priority, Wait: max(w.request.ConnectionWait-(now-w.arrived), 0), Spill: w.request.Spill,
		}),
	}}
	s.use.granted(c, now)
	w.reply.TryPut(grantResult{grant: Grant{Connection: c, Choice: choice, Spill: w.request.Spill}})
}

func (d *Dispatcher) endpoint(s *serverState, req AcquireRequest) Endpoint {
	return Endpoint{
		Group: s.server.Listing.Group, Server: s.server.Listing.Name, Address: s.server.Listing.Address,
		DataCentre:   s.server.Listing.DataCentre,
		Organisation: req.Organisation,
	}
}

// openConnection starts to open a connection.
func (d *Dispatcher) openConnection(s *serverState, req AcquireRequest) {
	d.noteOpening(s, d.cfg.Timer.Now())
	s.addConnection(req.Organisation)
	s.dialing++
	s.server = s.server.WithOutstanding(1)
	d.nextID++
	o := &connectionOpener{dispatcher: d, endpoint: d.endpoint(s, req), id: d.nextID}
	d.running.Add(1)
	go o.run()
}

// connectionOpener opens one connection.
type connectionOpener struct {
	dispatcher *Dispatcher
	endpoint   Endpoint
	id         uint64
}

func (o *connectionOpener) run() {
	defer o.dispatcher.running.Done()
	var outcome dispatcherCommand = openFailed{endpoint: o.endpoint, err: port.Errorf(port.Internal, "opening the connection panicked")}
	defer func() { o.dispatcher.send(outcome) }()
	defer RecoverPeer(o.dispatcher.cfg.Recorder, "server")
	timer := o.dispatcher.cfg.Timer
	ctx, cancel := port.WithTimeout(o.dispatcher.stopped, timer, dialTimeout)
	defer cancel()
	sent := timer.Now()
	conn, result, err := o.dispatcher.cfg.Dialer.Dial(ctx, o.endpoint)
	if err != nil {
		outcome = openFailed{endpoint: o.endpoint, err: err}
		return
	}
	outcome = connectionOpened{
		connection:  &Connection{ID: o.id, Endpoint: o.endpoint, path: &pooled{conn: conn}},
		observation: Observation{Server: o.endpoint.Server, Position: result.Position, SentAt: sent, ReceivedAt: timer.Now()},
	}
}

// candidates returns the servers that the waiter may use, with the state of this instance's connections to them.
func (d *Dispatcher) candidates(w *waiter, now time.Duration) []dispatch.Candidate {
	var candidates []dispatch.Candidate
	for _, s := range d.acceptable(w) {
		if d.isUnreachable(w, s, now) {
			continue
		}
		if _, found := d.remoteOwnerFor(w, s, now); found {
			candidates = append(candidates, dispatch.Candidate{Server: s.server, HasIdle: true, WarmUp: d.warmUpOf(w, s, true, now), Ejected: w.avoids(s, now)})
			continue
		}
		_, hasIdle := s.findIdle(w.request)
		mayOpen := w.dialing == "" && (s.total < d.connectionShare(s, now) || s.hasEvictable(w.request.Organisation))
		candidates = append(candidates, dispatch.Candidate{Server: s.server, HasIdle: hasIdle, MayOpen: mayOpen, Opening: w.dialing == s.server.Listing.Name, WarmUp: d.warmUpOf(w, s, false, now), Ejected: w.avoids(s, now)})
	}
	slices.SortFunc(candidates, func(a, b dispatch.Candidate) int {
		return strings.Compare(a.Server.Listing.Name, b.Server.Listing.Name)
	})
	return candidates
}

// acceptable returns the servers that the waiter may use.
func (d *Dispatcher) acceptable(w *waiter) []*serverState {
	var servers []*serverState
	if need, isLent := w.request.Need.(dispatch.NeedServer); isLent {
		if s := d.server(need.Name); s != nil && !s.delisted {
			servers = append(servers, s)
		}
		return servers
	}
	for _, s := range d.servers {
		if s.server.Listing.Group == w.request.Group && !s.delisted {
			servers = append(servers, s)
		}
	}
	return servers
}

// isUnreachable reports whether this instance cannot reach the server on behalf of another instance. Another owner may
// be able to.
func (d *Dispatcher) isUnreachable(w *waiter, s *serverState, now time.Duration) bool {
	_, isLent := w.request.Need.(dispatch.NeedServer)
	return isLent && s.ownership.failed.has(d.cfg.Self.Incarnation, now)
}

func (d *Dispatcher) routingContext(w *waiter, now time.Duration) dispatch.RoutingContext {
	view := d.cfg.Views.View(w.request.Group)
	primary, _, _ := view.PrimaryAt(now)
	samples := d.samples[w.request.Group]
	return dispatch.RoutingContext{
		Now: now, DataCentre: d.cfg.DataCentre, Primary: primary, Replacing: view.Record.Replacement != nil, Excluded: w.request.Excluded,
		Maintenance: d.maintenance, Homes: w.request.Homes, Regions: d.cfg.Regions,
		Floor: func(age time.Duration) (group.Position, bool) { return samples.Floor(w.arrived, age) },
	}
}

// connectionShare returns how many connections the instance may hold to the server, at least one. The share is reduced
// for a while after the server refused a connection because all instances together had reached its limit.
func (d *Dispatcher) connectionShare(s *serverState, now time.Duration) int {
	limit := d.cfg.ConnectionLimit(s.server.Listing.Group)
	if limit == 0 {
		limit = defaultConnectionLimit
	}
	share := int(float64(limit) * s.ownership.connectionFraction(d.cfg.Self.Incarnation, d.unreachableOwners, now, len(d.members.all)))
	if now < s.reducedUntil {
		share = min(share, s.reducedLimit)
	}
	return max(share, 1)
}
