package proxy

import (
	"time"
)

const (
	// prewarmInterval is the time between two prewarmed connections to one server. Opening one occupies a slot for
	// about 12 ms, so prewarming takes about a twentieth of the slots of a server with three.
	prewarmInterval = 100 * time.Millisecond
	// prewarmFraction is the fraction of the instance's own connections that are prewarmed. The rest is left to
	// organisations that run several statements at once.
	prewarmFraction = 0.9
)

// prewarm opens a connection to each server whose pool this instance owns, for an organisation that is expected to need
// it. The first statement after a start, or after the loss of another owner, then does not wait for a connection. It
// repeats every prewarmInterval while connections remain to be opened.
func (d *Dispatcher) prewarm(now time.Duration) {
	if d.cfg.OrganisationNames == nil || d.prewarming {
		return
	}
	names := d.cfg.OrganisationNames()
	for _, s := range d.servers {
		if d.canPrewarm(s, now) {
			d.prewarming = d.prewarmOne(s, names, now) || d.prewarming
		}
	}
	if d.prewarming {
		d.cfg.Timer.After(prewarmInterval, func(time.Duration) { d.commands.TryPut(prewarmTick{}) })
	}
}

// canPrewarm reports whether this instance owns the server's pool and the server has spare capacity.
func (d *Dispatcher) canPrewarm(s *serverState, now time.Duration) bool {
	if !d.isAvailable(s, now) || s.isFull(now) || s.dialing > 0 {
		return false
	}
	if d.hasRemoteOwner(s, now) || !s.ownership.isOwner(d.cfg.Self.Incarnation) {
		return false
	}
	return float64(s.total) < prewarmFraction*float64(d.connectionShare(s, now))
}

// prewarmOne opens a connection for the organisation that is expected to need one most. It reports whether it opened one.
func (d *Dispatcher) prewarmOne(s *serverState, names []string, now time.Duration) bool {
	name, found := d.connectionPool(s, now).MostNeeded(names)
	if found {
		s.use.report.Prewarmed++
		d.openConnection(s, AcquireRequest{Organisation: name})
	}
	return found
}
