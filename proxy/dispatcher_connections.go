package proxy

import (
	"slices"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
)

// poolUse is what the dispatcher knows about the use of the connections to one server. The zero value knows nothing.
type poolUse struct {
	demand     dispatch.Demand
	report     PoolReport
	reportedAt time.Duration
}

// granted records that a statement or transaction begins to use the connection. Borrowed connections count too: if this
// instance becomes the owner of the pool, it knows what its own clients need.
func (u *poolUse) granted(c *Connection, now time.Duration) {
	c.grantedAt = now
	u.demand = u.demand.WithStatement(c.Endpoint.Organisation, now)
}

// released records that the connection is no longer used.
func (u *poolUse) released(c *Connection, now time.Duration) {
	if c.grantedAt == 0 {
		return
	}
	u.demand = u.demand.WithRelease(c.Endpoint.Organisation, now-c.grantedAt)
	c.grantedAt = 0
}

// queuePass counts the statements that keep waiting while the queue is worked through once, in order.
type queuePass struct {
	// ahead counts them by server.
	ahead map[string]int
	// before holds the counts of the pass before, which include the statements at the end of the queue.
	before map[string]int
	// sameOrganisation counts them by server and organisation.
	sameOrganisation map[organisationAtServer]int
}

type organisationAtServer struct{ server, organisation string }

// next returns an empty pass that follows this one.
func (p queuePass) next() queuePass {
	return queuePass{ahead: make(map[string]int), before: p.ahead, sameOrganisation: make(map[organisationAtServer]int)}
}

// add counts a statement that keeps waiting for the server, and returns how many were ahead of it.
func (p queuePass) add(w *waiter, server string) int {
	n := p.ahead[server]
	p.ahead[server]++
	p.sameOrganisation[organisationAtServer{server, w.request.Organisation}]++
	return n
}

// connectionPool returns what the choice of connections to the server depends on.
func (d *Dispatcher) connectionPool(s *serverState, now time.Duration) dispatch.Pool {
	p := dispatch.Pool{
		Now: now, Demand: s.use.demand, Limit: d.connectionShare(s, now), Total: s.total, Slots: s.server.Listing.Slots,
		Waiting: d.pass.before[s.server.Listing.Name], Organisations: make(map[string]dispatch.OrganisationPool, len(s.byOrganisation)),
	}
	for name, n := range s.byOrganisation {
		p.Organisations[name] = dispatch.OrganisationPool{Total: n}
	}
	for _, c := range s.idle {
		o := p.Organisations[c.Endpoint.Organisation]
		o.Idle++
		p.Organisations[c.Endpoint.Organisation] = o
	}
	return p
}

// makePlace reports whether a connection may be opened for the waiter. It closes an idle one if none may be added.
func (d *Dispatcher) makePlace(s *serverState, w *waiter, now time.Duration) bool {
	name := w.request.Organisation
	wait := dispatch.ConnectionWait{
		Organisation: name, Ahead: d.pass.sameOrganisation[organisationAtServer{s.server.Listing.Name, name}],
		Limit: w.request.ConnectionWait - (now - w.arrived),
	}
	if w.awaitsSince > 0 {
		wait.Awaited = now - w.awaitsSince
	}
	switch choice := d.connectionPool(s, now).ChooseConnection(wait).(type) {
	case dispatch.OpenConnection:
		if choice.InsteadOf != "" {
			s.closeLeastRecent(choice.InsteadOf)
			s.use.report.Replaced++
		}
		s.use.report.Opened++
		return true
	case dispatch.AwaitConnection:
		if w.awaitsSince == 0 {
			w.awaitsSince = now
			s.use.report.Awaited++
		}
		return false
	default:
		return false
	}
}

// closeLeastRecent closes the least recently used idle connection of the organisation.
func (s *serverState) closeLeastRecent(organisation string) {
	i := slices.IndexFunc(s.idle, func(c *Connection) bool { return c.Endpoint.Organisation == organisation })
	if i < 0 {
		return
	}
	c := s.idle[i]
	s.idle = slices.Delete(s.idle, i, i+1)
	c.close()
	s.removeConnection(organisation)
}

// closeExcess closes the least needed of the connections above the instance's share that have been unused for
// idleTimeout.
func (d *Dispatcher) closeExcess(s *serverState, now time.Duration) {
	excess := s.total - d.connectionShare(s, now)
	if excess <= 0 {
		return
	}
	p := d.connectionPool(s, now)
	for name := range p.Organisations {
		idle := 0
		for _, c := range s.idle {
			if c.Endpoint.Organisation == name && now-c.lastUsed > idleTimeout {
				idle++
			}
		}
		p.Organisations[name] = dispatch.OrganisationPool{Total: p.Organisations[name].Total, Idle: idle}
	}
	for ; excess > 0; excess-- {
		name, found := p.LeastNeeded("")
		if !found {
			return
		}
		s.closeLeastRecent(name)
		o := p.Organisations[name]
		p.Organisations[name] = dispatch.OrganisationPool{Total: o.Total - 1, Idle: o.Idle - 1}
	}
}
