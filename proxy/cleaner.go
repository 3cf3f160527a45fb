package proxy

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/primacy"
)

const (
	// silentLimit is how long an instance has to be silent before its record is marked. It is above MaxLease, so that a
	// silent instance that still extends its lease is waited for.
	silentLimit = 15 * time.Second
	// leavingLimit is how long a record stays marked before it is removed. An instance that lives sees the mark and lists
	// itself anew; the lease of one that does not see it has run out by then.
	leavingLimit = primacy.LeaseTTL + time.Second
)

// cleaner removes the records of instances of its data centre that are gone. Each replacement of a primary waits for
// every listed instance, and each takes its part of the connections.
type cleaner struct {
	cfg *SyncerConfig
	// heard holds since when each instance is known to be silent: the instant of its last exchange, or that at which it
	// was first missed.
	heard map[string]time.Duration
	// marked holds since when a record was seen marked.
	marked map[string]time.Duration
}

func newCleaner(cfg *SyncerConfig) *cleaner {
	return &cleaner{cfg: cfg, heard: make(map[string]time.Duration), marked: make(map[string]time.Duration)}
}

// clean looks at the instances of the data centre once.
func (c *cleaner) clean(ctx context.Context) {
	s, _ := c.cfg.State.Records()
	now := c.cfg.Timer.Now()
	listed := make(map[string]bool, len(s.Members))
	for _, m := range s.Members {
		if m.DataCentre != c.cfg.Self.DataCentre || m.Incarnation == c.cfg.Self.Incarnation {
			continue
		}
		listed[m.Incarnation] = true
		c.look(ctx, s, m, now)
	}
	for _, m := range s.Stopped {
		if m.DataCentre == c.cfg.Self.DataCentre {
			listed[m.Incarnation] = true
			c.removeLater(ctx, s, m, now)
		}
	}
	for incarnation := range c.marked {
		if !listed[incarnation] {
			delete(c.marked, incarnation)
		}
	}
	for incarnation := range c.heard {
		if !listed[incarnation] {
			delete(c.heard, incarnation)
		}
	}
}

func (c *cleaner) look(ctx context.Context, s Snapshot, m Member, now time.Duration) {
	heard, known := c.heard[m.Incarnation]
	if at, found := c.cfg.PeerService.HeardFrom(m.Incarnation); found && at > heard {
		heard, known = at, true
	}
	if !known {
		heard = now
	}
	c.heard[m.Incarnation] = heard
	if !m.Leaving {
		delete(c.marked, m.Incarnation)
		if now-heard >= silentLimit {
			c.mark(ctx, s, m)
		}
		return
	}
	c.removeLater(ctx, s, m, now)
}

// removeLater removes a record that has been marked, or is that of a stopped instance, for leavingLimit.
func (c *cleaner) removeLater(ctx context.Context, s Snapshot, m Member, now time.Duration) {
	since, seen := c.marked[m.Incarnation]
	if !seen {
		c.marked[m.Incarnation], since = now, now
	}
	if now-since >= leavingLimit {
		c.remove(ctx, s, m)
	}
}

// mark writes that the instance is leaving. A lost race or answer is made up for at the next look.
func (c *cleaner) mark(ctx context.Context, s Snapshot, m Member) {
	o, found := s.Find(instancePrefix + m.Name)
	m.Leaving, m.Listed = true, m.listedAt()
	data, err := json.Marshal(m)
	if !found || err != nil {
		return
	}
	limited, cancel := port.WithTimeout(ctx, c.cfg.Timer, callLimit)
	defer cancel()
	if _, err := c.cfg.Readers.Records.Put(limited, o.Name, data, o.Version); err == nil {
		c.cfg.Recorder.Record(MemberUnresponsive{Name: m.Name, Removed: false})
	}
}

func (c *cleaner) remove(ctx context.Context, s Snapshot, m Member) {
	o, found := s.Find(instancePrefix + m.Name)
	if !found {
		return
	}
	limited, cancel := port.WithTimeout(ctx, c.cfg.Timer, callLimit)
	defer cancel()
	if c.cfg.Readers.Records.Delete(limited, o.Name, o.Version) == nil {
		c.cfg.Recorder.Record(MemberUnresponsive{Name: m.Name, Removed: true})
	}
}
