package proxy

import (
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// probeOwnerLimit is how long an owner may take to answer a probe. It is far above the way between data centres.
	probeOwnerLimit = 300 * time.Millisecond
	// hearingFresh is how recently an owner must have heard from a server to be trusted with its silence.
	hearingFresh = 700 * time.Millisecond
)

// route returns the owner through which the server is reached, and false when this instance connects by itself.
func (d *Dispatcher) route(s *serverState, now time.Duration) (Member, bool) {
	if d.cfg.RemotePools == nil {
		return Member{}, false
	}
	s.ownership = s.ownership.withMembers(d.members, s.server.Listing)
	return s.ownership.route(d.cfg.Self.Incarnation, d.silent, now)
}

// routeFor is route for a waiter. A statement of another instance is not passed on again.
func (d *Dispatcher) routeFor(w *waiter, s *serverState, now time.Duration) (Member, bool) {
	if _, isLent := w.want.Need.(dispatch.NeedServer); isLent {
		return Member{}, false
	}
	return d.route(s, now)
}

// takeMembers takes over the instances by the newest records.
func (d *Dispatcher) takeMembers() {
	if records, known := d.cfg.Members(); known && records.Version() != d.members.version {
		d.members = newMembers(records)
	}
}

// noteLostPath passes the owner of a connection that was not lent over: for all servers if it lends nothing or cannot be
// reached, and otherwise for this server.
func (d *Dispatcher) noteLostPath(c lostPath, now time.Duration) {
	s := d.at(c.connection.Endpoint.Server)
	owner, _ := c.connection.owner()
	switch {
	case s == nil:
	case c.unsent == nil:
		// A single connection may be reset, and a single answer lost. Whether there is still a way to the server shows when
		// the next connection is opened.
	case c.unsent.OwnerUnavailable:
		d.passOver(owner, c.unsent.Error(), now)
	case port.KindOf(c.unsent) == port.Busy:
		// The owner has too much work for the server; others have no shorter way.
	default:
		d.cfg.Recorder.Record(PoolOwnerExcluded{Owner: owner.Name, Server: c.connection.Endpoint.Server, Reason: c.unsent.Error()})
		d.failPath(s, owner.Incarnation, now)
	}
}

// passOver borrows nothing from the owner for a while.
func (d *Dispatcher) passOver(owner Member, reason string, now time.Duration) {
	if !d.silent.has(owner.Incarnation, now) {
		d.cfg.Recorder.Record(PoolOwnerExcluded{Owner: owner.Name, Reason: reason})
	}
	d.silent = d.silent.with(owner.Incarnation, now, now+ownerPause)
}

// failPath passes the owner over for the server. When no owner is left, the server itself is passed over for a while.
func (d *Dispatcher) failPath(s *serverState, incarnation string, now time.Duration) {
	s.ownership = s.ownership.withFailure(incarnation, now)
	if _, found := d.route(s, now); found || !s.ownership.failed.has(d.cfg.Self.Incarnation, now) {
		return
	}
	s.server = s.server.WithFailure(now)
	s.ownership.failed = nil
}

// probe asks an owner that does not answer for a server, unless that is being done.
func (d *Dispatcher) probe(c ownerDoubted) {
	if d.probing[c.owner.Incarnation] || d.cfg.SurveyPeer == nil {
		return
	}
	d.probing[c.owner.Incarnation] = true
	p := &ownerProbe{dispatcher: d, doubted: c}
	d.duties.Add(1)
	go p.run()
}

// ownerProbe is the duty that asks one owner.
type ownerProbe struct {
	dispatcher *Dispatcher
	doubted    ownerDoubted
}

func (p *ownerProbe) run() {
	d := p.dispatcher
	defer d.duties.Done()
	limited, cancel := port.WithTimeout(d.ended, d.cfg.Timer, probeOwnerLimit)
	defer cancel()
	hearing, err := d.cfg.SurveyPeer(limited, p.doubted.owner.Address, SurveyRequest{Server: p.doubted.server})
	d.tell(ownerProbed{ownerDoubted: p.doubted, hearing: hearing, err: err})
}

// noteProbe gives an owner up that is silent, so that its loans end and their reads run elsewhere. An owner that lives and
// has not heard from the server either says that the server may be gone.
func (d *Dispatcher) noteProbe(c ownerProbed, now time.Duration) {
	delete(d.probing, c.owner.Incarnation)
	if c.err != nil || c.hearing.Incarnation != c.owner.Incarnation {
		d.passOver(c.owner, "the owner does not answer", now)
		d.cfg.RemotePools.Abort(c.owner)
		return
	}
	if !c.hearing.HasAnswered || c.hearing.Age > hearingFresh {
		d.Doubt(c.server)
	}
}
