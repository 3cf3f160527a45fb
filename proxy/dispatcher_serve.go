package proxy

import (
	"slices"
	"strings"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// serve grants connections to waiting statements in order, opens connections for them, and refuses those whose time is
// over.
func (d *Dispatcher) serve(now time.Duration) {
	d.waiting = slices.DeleteFunc(d.waiting, func(w *waiter) bool { return d.serveOne(w, now) })
	if len(d.waiting) > 0 && !d.checking {
		d.checking = true
		d.cfg.Timer.After(waitCheck, func(time.Duration) { d.commands.Offer(checkWaits{}) })
	}
}

// serveOne reports whether the waiter got its answer.
func (d *Dispatcher) serveOne(w *waiter, now time.Duration) bool {
	candidates := d.candidates(w, now)
	situation := d.situation(w, now)
	waited := now - w.arrived
	switch choice := dispatch.Choose(w.want.Need, candidates, situation).(type) {
	case dispatch.ToServer:
		return d.grant(w, choice, now)
	case dispatch.NoConnection:
		if waited < w.want.ConnectionWait {
			return false
		}
		w.reply.Offer(grant{err: port.Failf(port.Busy, "no connection was free within %s", waited.Round(time.Millisecond))})
		return true
	default:
		if waited < w.want.ServerWait || w.opens != "" && waited < w.want.ConnectionWait {
			return false
		}
		w.reply.Offer(grant{err: port.Failf(port.NoPrimary, "no server of group %s may run the statement", w.want.Group)})
		return true
	}
}

// grant lends an unused connection, or opens one and reports false.
func (d *Dispatcher) grant(w *waiter, choice dispatch.ToServer, now time.Duration) bool {
	s := d.at(choice.Server)
	if c, found := s.takeIdle(w.want); found {
		s.server = s.server.WithOutstanding(1)
		w.reply.Offer(grant{grant: Grant{Connection: c, Choice: choice}})
		return true
	}
	if s.total >= d.share(s, now) && !s.evict(w.want.Organisation) {
		return false
	}
	w.opens = choice.Server
	d.open(s, w.want)
	return false
}

// open starts to open a connection.
func (d *Dispatcher) open(s *serverState, want Want) {
	s.total++
	s.server = s.server.WithOutstanding(1)
	endpoint := Endpoint{
		Group: s.server.Listing.Group, Server: s.server.Listing.Name, Address: s.server.Listing.Address,
		Organisation: want.Organisation,
	}
	d.nextID++
	o := &opener{dispatcher: d, endpoint: endpoint, id: d.nextID}
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
		connection: &Connection{ID: o.id, Endpoint: o.endpoint, Link: link},
		answer:     Answered{Server: o.endpoint.Server, Position: answer.Position, SentAt: sent, At: timer.Now()},
	})
}

// candidates returns the servers of the waiter's group with what this instance has there.
func (d *Dispatcher) candidates(w *waiter, now time.Duration) []dispatch.Candidate {
	var candidates []dispatch.Candidate
	for _, s := range d.servers {
		if s.server.Listing.Group != w.want.Group || s.delisted {
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

func (d *Dispatcher) situation(w *waiter, now time.Duration) dispatch.Situation {
	primary, _, _ := d.cfg.Views.View(w.want.Group).PrimaryAt(now)
	evidence := d.evidence[w.want.Group]
	return dispatch.Situation{
		Now: now, DataCentre: d.cfg.DataCentre, Primary: primary, Excluded: w.want.Excluded,
		Floor: func(age time.Duration) (group.Position, bool) { return evidence.Floor(w.arrived, age) },
	}
}

// share returns how many connections the instance may hold to the server: an even part of the limit, and fewer for a
// while after the server had too many.
func (d *Dispatcher) share(s *serverState, now time.Duration) int {
	limit := d.cfg.Limit(s.server.Listing.Group)
	if limit == 0 {
		limit = defaultConnections
	}
	share := max(limit/max(d.cfg.Instances(), 1), 1)
	if now < s.cutUntil {
		share = min(share, s.cutTo)
	}
	return share
}
