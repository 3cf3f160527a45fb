package proxy

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/primacy"
)

const (
	// extendRecordsAge is the age of the records above which a relay requests lease extensions. It is above the age that
	// they reach while the store responds.
	extendRecordsAge = 1100 * time.Millisecond
	// followerAskRecordsAge is the age above which the other instances ask that relay for extended records, and
	// followerExtendRecordsAge that above which they request extensions themselves.
	followerAskRecordsAge    = 1300 * time.Millisecond
	followerExtendRecordsAge = 1600 * time.Millisecond
	// extendCheckInterval is how often that age is checked.
	extendCheckInterval = 100 * time.Millisecond
)

// extender requests lease extensions. It runs separately, so that it and the exchanges with relays do not wait for each
// other.
type extender struct{ syncer *Syncer }

func (e *extender) loop(ctx context.Context) {
	for ctx.Err() == nil {
		e.syncer.extend(ctx)
		_ = port.Sleep(ctx, e.syncer.cfg.Timer, extendCheckInterval)
	}
}

// extend requests lease extensions from the other instances while neither this instance nor a relay can read the store.
// The relays do so for their data centres: if every instance asked all others, an outage of the store would cost calls
// with the square of their number.
func (c *Syncer) extend(ctx context.Context) {
	s, known := c.cfg.State.Records()
	requestedAt := c.cfg.Timer.Now()
	limit := extendRecordsAge
	if relay := c.extendingRelay.Load(); relay != nil && relay.Incarnation != c.cfg.Self.Incarnation {
		limit = followerExtendRecordsAge
		if age := requestedAt - s.RequestedAt; known && age >= followerAskRecordsAge && age < limit {
			// If the relay does not respond, the extension is requested next time.
			_, _ = c.exchange(ctx, *relay, 0)
			return
		}
	}
	if !known || requestedAt-s.RequestedAt < limit {
		c.cfg.SetIsolated(false)
		return
	}
	versions := make(map[string]port.Version, len(s.Primacies))
	for name, p := range s.Primacies {
		versions[name] = p.Version
	}
	callCtx, cancel := port.WithTimeout(ctx, c.cfg.Timer, exchangeTimeout)
	defer cancel()
	majority := primacy.Majority(len(s.Members))
	var agreeing atomic.Int64
	responses := callMembers(callCtx, s.Members, func(ctx context.Context, m Member) (bool, error) {
		ok, err := c.cfg.Peers.Extend(ctx, m.Address, versions)
		if ok && err == nil && int(agreeing.Add(1)) >= majority {
			// Members that do not respond would delay the extension until leases have expired.
			cancel()
		}
		return ok, err
	})
	if int(agreeing.Load()) >= majority && requestedAt-s.ReadAt <= primacy.MaxLeaseTTL {
		c.cfg.State.SetRecords(s.WithRequestedAt(requestedAt))
	}
	newest, _ := c.cfg.State.Records()
	c.cfg.SetIsolated(len(responses) < majority && c.cfg.Timer.Now()-newest.RequestedAt >= limit)
}
