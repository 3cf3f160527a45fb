package proxy

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/primacy"
)

const (
	// unresponsiveTimeout is how long an instance must be unresponsive before its record is marked as leaving. It is
	// above primacy.MaxLeaseTTL, so that promoters still wait for an unresponsive instance that may be extending its
	// lease.
	unresponsiveTimeout = 15 * time.Second
	// removalDelay is how long a record stays marked before it is removed. A live instance sees the mark and registers
	// again; the lease of one that does not see it has expired by then.
	removalDelay = primacy.LeaseTTL + time.Second
	// maxCleanGap is the time between two checks above which the cleaner does not know what happened in between.
	maxCleanGap = 3 * cleanInterval
)

// cleaner removes the records of failed instances in its data centre. Each replacement of a primary waits for every
// registered instance, and each registered instance is allotted a share of the connections.
type cleaner struct {
	cfg *SyncerConfig
	// lastSeen holds the time of each instance's last exchange, or the time at which the cleaner first saw its record.
	lastSeen map[string]time.Duration
	// markedAt holds the time at which a record was first seen marked.
	markedAt map[string]time.Duration
	// observingSince is when this instance became able to notice the others: it has checked them regularly and reached
	// the store since. While it was cut off or stood still itself, their silence means nothing.
	observingSince time.Duration
	lastChecked    time.Duration
}

func newCleaner(cfg *SyncerConfig) *cleaner {
	return &cleaner{cfg: cfg, lastSeen: make(map[string]time.Duration), markedAt: make(map[string]time.Duration)}
}

// clean checks the instances of the data centre once.
func (c *cleaner) clean(ctx context.Context) {
	s, _ := c.cfg.State.Records()
	now := c.cfg.Timer.Now()
	if now-s.ReadAt > maxRecordsReadAge || now-c.lastChecked > maxCleanGap {
		c.observingSince = now
	}
	c.lastChecked = now
	registered := make(map[string]bool, len(s.Members))
	for _, m := range s.Members {
		if m.DataCentre != c.cfg.Self.DataCentre || m.Incarnation == c.cfg.Self.Incarnation {
			continue
		}
		registered[m.Incarnation] = true
		c.checkMember(ctx, s, m, now)
	}
	for _, m := range s.Stopped {
		if m.DataCentre == c.cfg.Self.DataCentre {
			registered[m.Incarnation] = true
			c.removeAfterDelay(ctx, s, m, now)
		}
	}
	for incarnation := range c.markedAt {
		if !registered[incarnation] {
			delete(c.markedAt, incarnation)
		}
	}
	for incarnation := range c.lastSeen {
		if !registered[incarnation] {
			delete(c.lastSeen, incarnation)
		}
	}
}

func (c *cleaner) checkMember(ctx context.Context, s Snapshot, m Member, now time.Duration) {
	lastSeen, seen := c.lastSeen[m.Incarnation]
	if at, found := c.cfg.PeerService.LastExchangeFrom(m.Incarnation); found && at > lastSeen {
		lastSeen, seen = at, true
	}
	if !seen {
		lastSeen = now
	}
	c.lastSeen[m.Incarnation] = lastSeen
	if !m.Leaving {
		delete(c.markedAt, m.Incarnation)
		if now-max(lastSeen, c.observingSince) >= unresponsiveTimeout {
			c.markLeaving(ctx, s, m)
		}
		return
	}
	c.removeAfterDelay(ctx, s, m, now)
}

// removeAfterDelay removes a record that has been marked as leaving, or whose instance has stopped, for removalDelay.
func (c *cleaner) removeAfterDelay(ctx context.Context, s Snapshot, m Member, now time.Duration) {
	since, seen := c.markedAt[m.Incarnation]
	if !seen {
		c.markedAt[m.Incarnation], since = now, now
	}
	if now-since >= removalDelay {
		c.removeRecord(ctx, s, m)
	}
}

// markLeaving marks the instance as leaving. A version conflict or a lost answer is ignored: the next check retries.
func (c *cleaner) markLeaving(ctx context.Context, s Snapshot, m Member) {
	o, found := s.Find(instancePrefix + m.Name)
	m.Leaving, m.RegisteredAt = true, m.registeredAt()
	data, err := json.Marshal(m)
	if !found || err != nil {
		return
	}
	callCtx, cancel := port.WithTimeout(ctx, c.cfg.Timer, callTimeout)
	defer cancel()
	if _, err := c.cfg.Readers.Records.Put(callCtx, o.Name, data, o.Version); err == nil {
		c.cfg.Recorder.Record(MemberUnresponsive{Name: m.Name, Removed: false})
	}
}

func (c *cleaner) removeRecord(ctx context.Context, s Snapshot, m Member) {
	o, found := s.Find(instancePrefix + m.Name)
	if !found {
		return
	}
	callCtx, cancel := port.WithTimeout(ctx, c.cfg.Timer, callTimeout)
	defer cancel()
	if c.cfg.Readers.Records.Delete(callCtx, o.Name, o.Version) == nil {
		c.cfg.Recorder.Record(MemberUnresponsive{Name: m.Name, Removed: true})
	}
}
