package proxy

import (
	"time"
)

const (
	// warmStep is the time between two connections that are opened ahead to one server. Each takes a slot for some 12 ms, so
	// that this takes a twentieth of the slots of a server of three.
	warmStep = 100 * time.Millisecond
	// warmPart is the part of the own connections that are opened ahead. The others are left to organisations with several
	// statements at a time.
	warmPart = 0.9
)

// warm opens a connection for an organisation that has none to each server whose pool this instance owns, so that the first
// statement after a start or the loss of another owner does not wait for it. It goes on step by step while there is
// something to do.
func (d *Dispatcher) warm(now time.Duration) {
	if d.cfg.OrganisationNames == nil || d.warming {
		return
	}
	names := d.cfg.OrganisationNames()
	for _, s := range d.servers {
		if d.mayWarm(s, now) {
			d.warming = d.warmOne(s, names) || d.warming
		}
	}
	if d.warming {
		d.cfg.Timer.After(warmStep, func(time.Duration) { d.commands.TryPut(warmed{}) })
	}
}

// mayWarm reports whether this instance owns the server's pool and the server has nothing better to do.
func (d *Dispatcher) mayWarm(s *serverState, now time.Duration) bool {
	if s.delisted || s.server.Listing.Departing || !s.server.IsUp(now) || s.isFull(now) || s.opening > 0 {
		return false
	}
	if _, found := d.route(s, now); found || !s.ownership.isListed(d.cfg.Self.Incarnation) {
		return false
	}
	return float64(s.total) < warmPart*float64(d.share(s, now))
}

// warmOne opens a connection for the first organisation that has none, and reports whether there was one.
func (d *Dispatcher) warmOne(s *serverState, names []string) bool {
	for _, name := range names {
		if s.held[name] == 0 {
			d.open(s, Want{Organisation: name})
			return true
		}
	}
	return false
}
