package proxy

import (
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// ownerProbeTimeout limits how long an owner may take to answer a probe. It is far above the latency between data
	// centres.
	ownerProbeTimeout = 300 * time.Millisecond
	// maxOwnerResponseAge is the age up to which the server's last response to the owner shows that the server is
	// alive. If it is older, the server itself is suspected.
	maxOwnerResponseAge = 700 * time.Millisecond
)

// remoteOwner returns the instance through whose pool the server is reached, or false if this instance connects directly.
func (d *Dispatcher) remoteOwner(s *serverState, now time.Duration) (Member, bool) {
	return d.remoteOwnerOf(s.ownership, now)
}

func (d *Dispatcher) remoteOwnerOf(o ownership, now time.Duration) (Member, bool) {
	if d.cfg.RemotePools == nil {
		return Member{}, false
	}
	return o.remoteOwner(d.cfg.Self.Incarnation, d.unreachableOwners, now)
}

// hasRemoteOwner reports whether the server is reached through another instance's pool.
func (d *Dispatcher) hasRemoteOwner(s *serverState, now time.Duration) bool {
	_, found := d.remoteOwner(s, now)
	return found
}

// remoteOwnerFor returns the instance through whose pool a waiter reaches the server, or false if this instance connects
// directly. A statement that another instance sent here is not forwarded again.
func (d *Dispatcher) remoteOwnerFor(w *waiter, s *serverState, now time.Duration) (Member, bool) {
	if _, isLent := w.request.Need.(dispatch.NeedServer); isLent {
		return Member{}, false
	}
	return d.remoteOwnerOf(s.ownership.within(w.request.Homes, d.cfg.Regions), now)
}

// updateMembers updates the candidate pool owners if the records have changed.
func (d *Dispatcher) updateMembers() {
	if records, known := d.cfg.Members(); known && records.Version() != d.members.version {
		d.members = newPoolMembers(records)
		d.updateOwners()
	}
}

// updateOwners updates the owners of all pools after the members or the servers have changed.
func (d *Dispatcher) updateOwners() {
	owners := d.members.owners(d.servers)
	for name, s := range d.servers {
		s.ownership = s.ownership.withOwners(owners[name])
		d.checkWarmUp(s, d.cfg.Timer.Now())
	}
}

// handleConnectionFailure excludes the owner of a connection that was not lent: for all servers if it lends none or
// cannot be reached, otherwise for this server only.
func (d *Dispatcher) handleConnectionFailure(c connectionFailed, now time.Duration) {
	s := d.server(c.connection.Endpoint.Server)
	owner, _ := c.connection.owner()
	switch {
	case s == nil:
	case c.notSent == nil:
		d.recordLostRead(s, c.readTime, now)
		// A single connection may be reset, and a single answer lost. Whether the server is still reachable becomes
		// clear when the next connection is opened.
	case c.notSent.OwnerUnavailable:
		d.excludeOwner(owner, c.notSent.Error(), now)
	case port.KindOf(c.notSent) == port.KeyRefused:
		// The owner has a newer document, in which the client's key was withdrawn.
	case port.KindOf(c.notSent) == port.Busy:
		// The owner has too much work for this server, and no other instance reaches the server faster.
	case port.KindOf(c.notSent) == port.NoPrimary, port.KindOf(c.notSent) == port.NotKept:
		// The owner knows that the server's data centre is in maintenance.
	default:
		d.cfg.Recorder.Record(PoolOwnerExcluded{Owner: owner.Name, Server: c.connection.Endpoint.Server, Reason: c.notSent.Error()})
		d.excludePath(s, owner.Incarnation, now)
	}
}

// excludeOwner stops borrowing from the owner for ownerExclusionTime.
func (d *Dispatcher) excludeOwner(owner Member, reason string, now time.Duration) {
	if !d.unreachableOwners.has(owner.Incarnation, now) {
		d.cfg.Recorder.Record(PoolOwnerExcluded{Owner: owner.Name, Reason: reason})
	}
	d.unreachableOwners = d.unreachableOwners.with(owner.Incarnation, now, now+ownerExclusionTime)
}

// excludePath excludes the owner for this server. When every owner is excluded, the server itself is avoided for a
// while.
func (d *Dispatcher) excludePath(s *serverState, incarnation string, now time.Duration) {
	s.ownership = s.ownership.withFailure(incarnation, now)
	if d.hasRemoteOwner(s, now) || !s.ownership.failed.has(d.cfg.Self.Incarnation, now) {
		return
	}
	s.server = s.server.WithFailure(now)
	s.ownership.failed = nil
}

// probeOwner starts a probe of an owner that does not answer for a server, unless one is already running.
func (d *Dispatcher) probeOwner(c ownerSuspected) {
	if d.probing[c.owner.Incarnation] || d.cfg.SurveyPeer == nil {
		return
	}
	d.probing[c.owner.Incarnation] = true
	p := &ownerProbe{dispatcher: d, suspected: c}
	d.running.Add(1)
	go p.run()
}

// ownerProbe asks one owner about a server.
type ownerProbe struct {
	dispatcher *Dispatcher
	suspected  ownerSuspected
}

func (p *ownerProbe) run() {
	d := p.dispatcher
	defer d.running.Done()
	response, err := d.survey(p.suspected.owner, SurveyRequest{Server: p.suspected.server}, ownerProbeTimeout)
	d.send(ownerProbeResult{ownerSuspected: p.suspected, response: response, err: err})
}

// survey asks the owner of a pool about a server. It fails if another process answers in the owner's place.
func (d *Dispatcher) survey(owner Member, q SurveyRequest, timeout time.Duration) (SurveyResponse, error) {
	ctx, cancel := port.WithTimeout(d.stopped, d.cfg.Timer, timeout)
	defer cancel()
	response, err := d.cfg.SurveyPeer(ctx, owner.Address, q)
	if err == nil && response.Incarnation != owner.Incarnation {
		err = port.Errorf(port.Unavailable, "the owner was replaced")
	}
	return response, err
}

// handleProbeResult excludes an owner that did not respond and aborts its loans, so that their reads run elsewhere. If
// the owner is alive but has had no response from the server either, the server is suspected.
func (d *Dispatcher) handleProbeResult(c ownerProbeResult, now time.Duration) {
	delete(d.probing, c.owner.Incarnation)
	if c.err != nil {
		d.excludeOwner(c.owner, "the owner did not respond to a probe", now)
		d.cfg.RemotePools.Abort(c.owner)
		// Its data centre may be cut off, with the server in it. Otherwise that would become clear only after every other
		// owner of the pool has been tried, and after a direct connection to the server.
		d.Suspect(c.server)
		return
	}
	if !c.response.HasAnswered || c.response.Age > maxOwnerResponseAge {
		d.Suspect(c.server)
	}
}
