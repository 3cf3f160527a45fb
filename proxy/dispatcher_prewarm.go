package proxy

import (
	"time"
)

const (
	// prewarmInterval is the time between two connections that are opened ahead to one server. Each takes a slot for some 12 ms, so
	// that this takes a twentieth of the slots of a server of three.
	prewarmInterval = 100 * time.Millisecond
	// prewarmFraction is the part of the own connections that are opened ahead. The others are left to organisations with several
	// statements at a time.
	prewarmFraction = 0.9
)

// prewarm opens a connection for an organisation that has none to each server whose pool this instance owns, so that the first
// statement after a start or the loss of another owner does not wait for it. It goes on step by step while there is
// something to do.
func (d *Dispatcher) prewarm(now time.Duration) {
	if d.cfg.Organisations == nil || d.prewarming {
		return
	}
	names := d.cfg.Organisations()
	for _, s := range d.servers {
		if d.canPrewarm(s, now) {
			d.prewarming = d.prewarmOne(s, names) || d.prewarming
		}
	}
	if d.prewarming {
		d.cfg.Timer.After(prewarmInterval, func(time.Duration) { d.commands.Offer(prewarmTick{}) })
	}
}

// canPrewarm reports whether this instance owns the server's pool and the server has nothing better to do.
func (d *Dispatcher) canPrewarm(s *serverState, now time.Duration) bool {
	if s.delisted || s.server.Listing.Departing || !s.server.IsUp(now) || s.isFull(now) || s.dialing > 0 {
		return false
	}
	if _, found := d.remoteOwner(s, now); found || !s.ownership.isOwner(d.cfg.Self.Incarnation) {
		return false
	}
	return float64(s.total) < prewarmFraction*float64(d.connectionShare(s, now))
}

// prewarmOne opens a connection for the first organisation that has none, and reports whether there was one.
func (d *Dispatcher) prewarmOne(s *serverState, names []string) bool {
	for _, name := range names {
		if s.byOrganisation[name] == 0 {
			d.openConnection(s, AcquireRequest{Organisation: name})
			return true
		}
	}
	return false
}
