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

// serve grants connections to waiting statements in their order, opens connections for them, and refuses those whose turn
// would come too late.
func (d *Dispatcher) serve(now time.Duration) {
	if len(d.waiting) == 0 {
		return
	}
	entries := make([]admission.QueuedStatement, len(d.waiting))
	for i, w := range d.waiting {
		entries[i] = admission.QueuedStatement{Organisation: w.want.Organisation, Priority: w.want.Priority, Arrived: w.arrived}
	}
	ahead := make(map[string]int)
	ended := make(map[*waiter]bool)
	for _, i := range admission.Order(entries, d.shares) {
		if w := d.waiting[i]; d.serveOne(w, now, ahead) {
			ended[w] = true
		}
	}
	d.waiting = slices.DeleteFunc(d.waiting, func(w *waiter) bool { return ended[w] })
	if len(d.waiting) > 0 && !d.checking {
		d.checking = true
		d.cfg.Timer.After(waitCheck, func(time.Duration) { d.commands.TryPut(checkWaits{}) })
	}
}

// serveOne reports whether the waiter got its answer. ahead counts the waiters that have their turn before it, by server.
func (d *Dispatcher) serveOne(w *waiter, now time.Duration, ahead map[string]int) bool {
	waited := now - w.arrived
	switch choice := dispatch.Choose(w.want.Need, d.candidates(w, now), d.situation(w, now)).(type) {
	case dispatch.ToServer:
		if d.grant(w, choice, now) {
			return true
		}
		before := ahead[choice.Server]
		ahead[choice.Server]++
		return d.giveUp(w, choice.Server, before, waited)
	case dispatch.NoConnection:
		return d.giveUp(w, "", 0, waited)
	case dispatch.BeingReplaced:
		w.reply.TryPut(grant{err: port.Errorf(port.NoPrimary, "the primary of group %s is being replaced", w.want.Group)})
		return true
	default:
		if waited < w.want.ServerWait || w.opens != "" && waited < w.want.ConnectionWait {
			return false
		}
		w.reply.TryPut(grant{err: w.noServer()})
		return true
	}
}

// giveUp refuses a waiter whose turn at the server comes too late. A server without name is not known yet.
func (d *Dispatcher) giveUp(w *waiter, server string, ahead int, waited time.Duration) bool {
	var line admission.Server
	if s := d.at(server); s != nil {
		line = admission.Server{Slots: s.server.Listing.Slots, ServiceTime: s.server.Latency()}
	}
	refused, isRefused := admission.Decide(line, ahead, waited, w.want.ConnectionWait).(admission.Refused)
	if isRefused {
		w.reply.TryPut(grant{err: port.Errorf(port.Busy, "waited %s, the turn would come in %s, behind %d others",
			waited.Round(time.Millisecond), refused.Expected.Round(time.Millisecond), ahead)})
	}
	return isRefused
}

// noServer is the error of a statement that no server may run.
func (w *waiter) noServer() error {
	if need, isLent := w.want.Need.(dispatch.NeedServer); isLent {
		return port.Errorf(port.Unavailable, "server %s cannot be reached from here", need.Name)
	}
	return port.Errorf(port.NoPrimary, "no server of group %s may run the statement", w.want.Group)
}

// grant lends a connection, or opens one and reports false.
func (d *Dispatcher) grant(w *waiter, choice dispatch.ToServer, now time.Duration) bool {
	s := d.at(choice.Server)
	if owner, found := d.routeFor(w, s, now); found {
		d.borrow(w, s, owner, choice, now)
		return true
	}
	if s.isFull(now) {
		return false
	}
	if c, found := s.takeIdle(w.want); found {
		s.server, d.shares = s.server.WithOutstanding(1), d.shares.WithAdmission(w.want.Organisation, now)
		s.running[c.ID] = now
		w.reply.TryPut(grant{grant: Grant{Connection: c, Choice: choice, OverdueAfter: s.server.OverdueAfter()}})
		return true
	}
	if s.total >= d.share(s, now) && !s.evict(w.want.Organisation) {
		return false
	}
	w.opens = choice.Server
	d.open(s, w.want)
	return false
}

// borrow lends a connection of another instance's pool. The owner has the statement wait if need be.
func (d *Dispatcher) borrow(w *waiter, s *serverState, owner Member, choice dispatch.ToServer, now time.Duration) {
	s.server = s.server.WithOutstanding(1)
	d.nextID++
	c := &Connection{ID: d.nextID, Endpoint: d.endpoint(s, w.want), path: &borrowed{
		owner: owner, loan: d.cfg.RemotePools.Borrow(owner, LoanTerms{
			Server: choice.Server, Organisation: w.want.Organisation, Priority: w.want.Priority,
			Wait: max(w.want.ConnectionWait-(now-w.arrived), 0),
		}),
	}}
	w.reply.TryPut(grant{grant: Grant{Connection: c, Choice: choice}})
}

func (d *Dispatcher) endpoint(s *serverState, want Want) Endpoint {
	return Endpoint{
		Group: s.server.Listing.Group, Server: s.server.Listing.Name, Address: s.server.Listing.Address,
		Organisation: want.Organisation,
	}
}

// open starts to open a connection.
func (d *Dispatcher) open(s *serverState, want Want) {
	s.add(want.Organisation)
	s.opening++
	s.server = s.server.WithOutstanding(1)
	d.nextID++
	o := &opener{dispatcher: d, endpoint: d.endpoint(s, want), id: d.nextID}
	d.duties.Add(1)
	go o.run()
}

// opener is the duty that opens one connection.
type opener struct {
	dispatcher *Dispatcher
	endpoint   Endpoint
	id         uint64
}

func (o *opener) run() {
	defer o.dispatcher.duties.Done()
	timer := o.dispatcher.cfg.Timer
	ctx, cancel := port.WithTimeout(o.dispatcher.ended, timer, dialLimit)
	defer cancel()
	sent := timer.Now()
	link, answer, err := o.dispatcher.cfg.Dialer.Dial(ctx, o.endpoint)
	if err != nil {
		o.dispatcher.tell(notOpened{endpoint: o.endpoint, err: err})
		return
	}
	o.dispatcher.tell(opened{
		connection: &Connection{ID: o.id, Endpoint: o.endpoint, path: &pooled{link: link}},
		answer:     Answered{Server: o.endpoint.Server, Position: answer.Position, SentAt: sent, At: timer.Now()},
	})
}

// candidates returns the servers of the waiter's group with what this instance has there.
func (d *Dispatcher) candidates(w *waiter, now time.Duration) []dispatch.Candidate {
	var candidates []dispatch.Candidate
	for _, s := range d.servers {
		if !w.mayUse(s) || d.isUnreachable(w, s, now) {
			continue
		}
		if _, found := d.routeFor(w, s, now); found {
			candidates = append(candidates, dispatch.Candidate{Server: s.server, HasIdle: true})
			continue
		}
		_, hasIdle := s.findIdle(w.want)
		mayOpen := w.opens == "" && (s.total < d.share(s, now) || s.hasEvictable(w.want.Organisation))
		candidates = append(candidates, dispatch.Candidate{Server: s.server, HasIdle: hasIdle, MayOpen: mayOpen})
	}
	slices.SortFunc(candidates, func(a, b dispatch.Candidate) int {
		return strings.Compare(a.Server.Listing.Name, b.Server.Listing.Name)
	})
	return candidates
}

// isUnreachable reports whether a statement of another instance came in vain: another owner may reach the server.
func (d *Dispatcher) isUnreachable(w *waiter, s *serverState, now time.Duration) bool {
	_, isLent := w.want.Need.(dispatch.NeedServer)
	return isLent && s.ownership.failed.has(d.cfg.Self.Incarnation, now)
}

// mayUse reports whether the server is one of those that the statement is for.
func (w *waiter) mayUse(s *serverState) bool {
	if need, isLent := w.want.Need.(dispatch.NeedServer); isLent {
		return s.server.Listing.Name == need.Name && !s.delisted
	}
	return s.server.Listing.Group == w.want.Group && !s.delisted
}

func (d *Dispatcher) situation(w *waiter, now time.Duration) dispatch.RoutingContext {
	view := d.cfg.Views.View(w.want.Group)
	primary, _, _ := view.PrimaryAt(now)
	evidence := d.evidence[w.want.Group]
	return dispatch.RoutingContext{
		Now: now, DataCentre: d.cfg.DataCentre, Primary: primary, Replacing: view.Record.Replacement != nil, Excluded: w.want.Excluded,
		Floor: func(age time.Duration) (group.Position, bool) { return evidence.Floor(w.arrived, age) },
	}
}

// share returns how many connections the instance may hold to the server, and fewer for a while after the server had too
// many. Without other instances to borrow from, all of them share the limit evenly.
func (d *Dispatcher) share(s *serverState, now time.Duration) int {
	limit := d.cfg.ConnectionLimit(s.server.Listing.Group)
	if limit == 0 {
		limit = defaultConnections
	}
	s.ownership = s.ownership.withMembers(d.members, s.server.Listing)
	share := int(float64(limit) * s.ownership.part(d.cfg.Self.Incarnation, d.silent, now, len(d.members.all)))
	if now < s.cutUntil {
		share = min(share, s.cutTo)
	}
	return max(share, 1)
}
