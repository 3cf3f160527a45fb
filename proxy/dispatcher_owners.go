package proxy

import (
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// ownerProbeTimeout is how long an owner may take to answer a probe. It is far above the way between data centres.
	ownerProbeTimeout = 300 * time.Millisecond
	// maxOwnerResponseAge is how recently an owner must have heard from a server to be trusted with its silence.
	maxOwnerResponseAge = 700 * time.Millisecond
)

// remoteOwner returns the owner through which the server is reached, and false when this instance connects by itself.
func (d *Dispatcher) remoteOwner(s *serverState, now time.Duration) (Member, bool) {
	if d.cfg.Lending == nil {
		return Member{}, false
	}
	s.ownership = s.ownership.withMembers(d.members, s.server.Listing)
	return s.ownership.remoteOwner(d.cfg.Self.Incarnation, d.unreachableOwners, now)
}

// remoteOwnerFor is route for a waiter. A statement of another instance is not passed on again.
func (d *Dispatcher) remoteOwnerFor(w *waiter, s *serverState, now time.Duration) (Member, bool) {
	if _, isLent := w.request.Need.(dispatch.NeedServer); isLent {
		return Member{}, false
	}
	return d.remoteOwner(s, now)
}

// updateMembers takes over the instances by the newest records.
func (d *Dispatcher) updateMembers() {
	if records, known := d.cfg.Members(); known && records.Version() != d.members.version {
		d.members = newPoolMembers(records)
	}
}

// handleConnectionFailure passes the owner of a connection that was not lent over: for all servers if it lends nothing or cannot be
// reached, and otherwise for this server.
func (d *Dispatcher) handleConnectionFailure(c connectionFailed, now time.Duration) {
	s := d.server(c.connection.Endpoint.Server)
	owner, _ := c.connection.owner()
	switch {
	case s == nil:
	case c.notSent == nil:
		// A single connection may be reset, and a single answer lost. Whether there is still a way to the server shows when
		// the next connection is opened.
	case c.notSent.Closed:
		d.excludeOwner(owner, c.notSent.Error(), now)
	case port.KindOf(c.notSent) == port.Busy:
		// The owner has too much work for the server; others have no shorter way.
	default:
		d.cfg.Recorder.Note(OwnerPassedOver{Owner: owner.Name, Server: c.connection.Endpoint.Server, Reason: c.notSent.Error()})
		d.excludePath(s, owner.Incarnation, now)
	}
}

// excludeOwner borrows nothing from the owner for a while.
func (d *Dispatcher) excludeOwner(owner Member, reason string, now time.Duration) {
	if !d.unreachableOwners.has(owner.Incarnation, now) {
		d.cfg.Recorder.Note(OwnerPassedOver{Owner: owner.Name, Reason: reason})
	}
	d.unreachableOwners = d.unreachableOwners.with(owner.Incarnation, now, now+ownerExclusionTime)
}

// excludePath passes the owner over for the server. When no owner is left, the server itself is passed over for a while.
func (d *Dispatcher) excludePath(s *serverState, incarnation string, now time.Duration) {
	s.ownership = s.ownership.withFailure(incarnation, now)
	if _, found := d.remoteOwner(s, now); found || !s.ownership.failed.has(d.cfg.Self.Incarnation, now) {
		return
	}
	s.server = s.server.WithFailure(now)
	s.ownership.failed = nil
}

// probeOwner asks an owner that does not answer for a server, unless that is being done.
func (d *Dispatcher) probeOwner(c ownerSuspected) {
	if d.probing[c.owner.Incarnation] || d.cfg.Probe == nil {
		return
	}
	d.probing[c.owner.Incarnation] = true
	p := &ownerProbe{dispatcher: d, suspected: c}
	d.running.Add(1)
	go p.run()
}

// ownerProbe is the duty that asks one owner.
type ownerProbe struct {
	dispatcher *Dispatcher
	suspected  ownerSuspected
}

func (p *ownerProbe) run() {
	d := p.dispatcher
	defer d.running.Done()
	limited, cancel := port.WithTimeout(d.stopped, d.cfg.Timer, ownerProbeTimeout)
	defer cancel()
	hearing, err := d.cfg.Probe(limited, p.suspected.owner.Address, Question{Server: p.suspected.server})
	d.send(ownerProbeResult{ownerSuspected: p.suspected, response: hearing, err: err})
}

// handleProbeResult gives an owner up that is silent, so that its loans end and their reads run elsewhere. An owner that lives and
// has not heard from the server either says that the server may be gone.
func (d *Dispatcher) handleProbeResult(c ownerProbeResult, now time.Duration) {
	delete(d.probing, c.owner.Incarnation)
	if c.err != nil || c.response.Incarnation != c.owner.Incarnation {
		d.excludeOwner(c.owner, "the owner does not answer", now)
		d.cfg.Lending.Abort(c.owner)
		return
	}
	if !c.response.Heard || c.response.Age > maxOwnerResponseAge {
		d.Suspect(c.server)
	}
}
