package proxy

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/primacy"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	// exchangeWait is how long a relay may hold an answer back, and so the most time between two exchanges.
	exchangeWait = 300 * time.Millisecond
	// exchangeTimeout is how long an exchange may take beyond that.
	exchangeTimeout = 700 * time.Millisecond
	// cleanInterval is how often a relay looks for instances that are gone.
	cleanInterval = time.Second
	// headRelayKey ranks the data centres for the relay that reads the store for all.
	headRelayKey = "head"
	// relayExclusionTime is how long a relay that did not answer is passed over.
	relayExclusionTime = 5 * time.Second
	// extendRecordsAge is the age of the records from which a relay has their lease extended. It is above the age that they reach
	// while the store answers.
	extendRecordsAge = 1400 * time.Millisecond
	// extendCheckInterval is how often that age is looked at.
	extendCheckInterval = 100 * time.Millisecond
	// staleRelayExclusionTime is how long a relay is passed over that answers and has lost the store.
	staleRelayExclusionTime = 400 * time.Millisecond
	// firstReadTimeout is how long a relay that has begun to read the store waits for its first answer.
	firstReadTimeout = 500 * time.Millisecond
	// storeLostAge is the age of the records from which an instance no longer leaves it to the relays to find the store.
	storeLostAge = 1500 * time.Millisecond
	// maxFailedRelays is how many silent relays of its data centre an instance passes over before it reads the store by itself.
	maxFailedRelays = 2
	// maxStaleRelays is how many relays are passed over because they have lost the store. When the store turns away a third of
	// the instances, one in a hundred data centres finds no other relay; when it is away, so many of each read in vain.
	maxStaleRelays = 4
	// minExchangeInterval is the least time between two exchanges, also when the relay has news all the time.
	minExchangeInterval = 50 * time.Millisecond
)

// SyncerConfig is what a Syncer needs.
type SyncerConfig struct {
	Self        Member
	Timer       port.Timer
	State       *ClusterState
	Peers       PeerClient
	PeerService *PeerService
	Readers     *StoreReaders
	// Recorder may be nil.
	Recorder Recorder
	// SetIsolated is told whether the instance reaches neither the store nor a majority of the instances.
	SetIsolated func(isolated bool)
	// Notifications gives the members that have newer records.
	Notifications *ring.Ring[Member]
}

// Syncer is the duty that keeps the instance's knowledge fresh: from the relay of its data centre, or from the store
// while it is the relay itself or no relay knows more.
type Syncer struct {
	cfg SyncerConfig
	// failed holds until when instances are passed over because they were silent, and stale until when others are because they
	// had lost the store.
	failed      exclusions
	stale       exclusions
	cleaner     *cleaner
	lastCleaned time.Duration
	stopReading context.CancelFunc
	// readingSince is when this instance began to read the store.
	readingSince time.Duration
	running      sync.WaitGroup
	// readBackoff counts the reads of the records that failed while no member was known.
	readBackoff backoff
}

// NewSyncer returns a syncer.
func NewSyncer(cfg SyncerConfig) *Syncer {
	cfg.Recorder = orNopRecorder(cfg.Recorder)
	c := &Syncer{cfg: cfg}
	c.cleaner = newCleaner(&c.cfg)
	return c
}

// Run keeps the knowledge fresh until ctx ends.
func (c *Syncer) Run(ctx context.Context) {
	n := &notificationReader{syncer: c}
	c.running.Go(func() { n.loop(ctx) })
	e := &extender{syncer: c}
	c.running.Go(func() { e.loop(ctx) })
	c.loop(ctx)
	c.stopReaders()
	c.running.Wait()
}

func (c *Syncer) loop(ctx context.Context) {
	for ctx.Err() == nil {
		began := c.cfg.Timer.Now()
		relay, found := c.relay(began)
		isRelay := found && relay.Incarnation == c.cfg.Self.Incarnation
		c.cfg.PeerService.SetRelay(isRelay)
		switch {
		case isRelay:
			c.runRelay(ctx, began)
		case found:
			c.follow(ctx, relay, false)
		default:
			c.findMembers(ctx)
		}
		if took := c.cfg.Timer.Now() - began; took < minExchangeInterval {
			_ = port.Sleep(ctx, c.cfg.Timer, minExchangeInterval-took)
		}
	}
}

// findMembers reads the records once. An instance that has just started needs nothing else of the store: the relay among
// the members tells the rest.
func (c *Syncer) findMembers(ctx context.Context) {
	if c.countExcluded(c.failed) >= maxFailedRelays {
		c.startReaders(ctx)
		return
	}
	if c.cfg.Readers.ReadRecords(ctx) != nil {
		c.readBackoff.wait(ctx, c.cfg.Timer)
		return
	}
	c.readBackoff.reset()
}

// countExcluded returns how many other instances of the data centre are passed over.
func (c *Syncer) countExcluded(f exclusions) int {
	n, now := 0, c.cfg.Timer.Now()
	for _, m := range c.rankedRelays(c.cfg.Self.DataCentre) {
		if f.has(m.Incarnation, now) && m.Incarnation != c.cfg.Self.Incarnation {
			n++
		}
	}
	return n
}

// runRelay is what the relay of a data centre does. The first of all relays reads the store; the others follow it, so
// that the calls to the store do not grow with the data centres.
func (c *Syncer) runRelay(ctx context.Context, now time.Duration) {
	if now-c.lastCleaned >= cleanInterval {
		c.lastCleaned = now
		c.cleaner.clean(ctx)
	}
	if now-c.readAt() > maxRelayRecordsAge {
		// Other relays may have lost the store as well; this one may reach it.
		c.startReaders(ctx)
	}
	head, found := c.head(now)
	if found && head.Incarnation != c.cfg.Self.Incarnation {
		c.follow(ctx, head, true)
		return
	}
	c.startReaders(ctx)
	_ = port.Sleep(ctx, c.cfg.Timer, exchangeWait)
	if now = c.cfg.Timer.Now(); now-c.readAt() > maxRelayRecordsAge && now-c.readingSince > firstReadTimeout {
		// The store turns this instance away or is gone; another relay may reach it.
		c.exclude(c.cfg.Self, relayExclusionTime)
	}
}

// readAt returns when the store was asked for the newest records.
func (c *Syncer) readAt() time.Duration {
	s, _ := c.cfg.State.Records()
	return s.ReadAt
}

// head returns the relay that reads the store for all: that of the first data centre in rank whose relay did not fail of
// late.
func (c *Syncer) head(now time.Duration) (Member, bool) {
	var best Member
	for area := range c.dataCentres() {
		relay, found := c.firstRelay(area, func(m Member) bool { return c.isExcluded(m, now) })
		if found && (best.Incarnation == "" || instance.RankOf(headRelayKey, area) > instance.RankOf(headRelayKey, best.DataCentre)) {
			best = relay
		}
	}
	return best, best.Incarnation != ""
}

// dataCentres returns the data centres with instances.
func (c *Syncer) dataCentres() map[string]bool {
	s, _ := c.cfg.State.Records()
	areas := make(map[string]bool)
	for _, m := range s.Members {
		areas[m.DataCentre] = true
	}
	return areas
}

// notificationReader is the duty that asks members that have newer records.
type notificationReader struct{ syncer *Syncer }

func (n *notificationReader) loop(ctx context.Context) {
	c := n.syncer
	for {
		m, err := c.cfg.Notifications.Take(ctx)
		if err != nil {
			return
		}
		// Without an answer, the relay or the store tells the same a little later.
		_, _ = c.exchange(ctx, m, 0)
	}
}

// relay returns the first in rank of the own data centre's instances that did not fail of late.
func (c *Syncer) relay(now time.Duration) (Member, bool) {
	return c.firstRelay(c.cfg.Self.DataCentre, func(m Member) bool {
		return c.isOtherExcluded(m, now) || c.stale.has(m.Incarnation, now) && m.Incarnation != c.cfg.Self.Incarnation
	})
}

// firstRelay returns the first in rank of the data centre's instances that is not passed over.
func (c *Syncer) firstRelay(dataCentre string, passedOver func(Member) bool) (Member, bool) {
	relays := slices.DeleteFunc(c.rankedRelays(dataCentre), passedOver)
	if len(relays) == 0 {
		return Member{}, false
	}
	return relays[0], true
}

// isOtherExcluded reports whether another instance failed of late.
func (c *Syncer) isOtherExcluded(m Member, now time.Duration) bool {
	return c.isExcluded(m, now) && m.Incarnation != c.cfg.Self.Incarnation
}

func (c *Syncer) isExcluded(m Member, now time.Duration) bool {
	return c.failed.has(m.Incarnation, now)
}

// rankedRelays returns the instances of a data centre in the order in which they are its relay.
func (c *Syncer) rankedRelays(dataCentre string) []Member {
	s, _ := c.cfg.State.Records()
	var members []Member
	for _, m := range s.Members {
		if m.DataCentre == dataCentre {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Compare(instance.RankOf(dataCentre, b.Incarnation), instance.RankOf(dataCentre, a.Incarnation))
	})
	return members
}

// follow exchanges with a relay, and passes one over that is silent or has lost the store. fromRelay is true for a relay that
// follows the head: it reads the store itself as soon as the head knows too little.
func (c *Syncer) follow(ctx context.Context, relay Member, fromRelay bool) {
	report, err := c.exchange(ctx, relay, exchangeWait)
	isLost := c.cfg.Timer.Now()-c.readAt() > storeLostAge
	switch {
	case err == nil && report.Fresh:
		c.stopReaders()
	case fromRelay && err == nil:
		// It may be about to read the store in the place of another one.
		c.exclude(relay, staleRelayExclusionTime)
		c.startReaders(ctx)
	case fromRelay:
		c.exclude(relay, relayExclusionTime)
		c.startReaders(ctx)
	case err != nil && (c.countExcluded(c.failed) >= maxFailedRelays || c.cfg.Timer.Now()-c.readAt() > maxRelayRecordsAge):
		// The cause may be on this side. Connections may have gone silent everywhere, so that no relay knows more for a while,
		// and documents have to be in force within seconds.
		c.exclude(relay, relayExclusionTime)
		c.startReaders(ctx)
	case err != nil:
		// The next in rank takes its place, for all instances that find the same. If each of them read the store by itself, an
		// outage of one relay would cost calls by the number of instances.
		c.exclude(relay, relayExclusionTime)
	case isLost && c.countExcluded(c.stale) < maxStaleRelays:
		now := c.cfg.Timer.Now()
		c.stale = c.stale.with(relay.Incarnation, now, now+relayExclusionTime)
	}
}

// exclude has the instance passed over for a while.
func (c *Syncer) exclude(m Member, pause time.Duration) {
	now := c.cfg.Timer.Now()
	c.failed = c.failed.with(m.Incarnation, now, now+pause)
}

// extender is the duty that has leases extended. It does not wait for relays, nor they for it.
type extender struct{ syncer *Syncer }

func (e *extender) loop(ctx context.Context) {
	for ctx.Err() == nil {
		e.syncer.extend(ctx)
		_ = port.Sleep(ctx, e.syncer.cfg.Timer, extendCheckInterval)
	}
}

// extend has the other instances extend the leases while the store cannot be read, here or by a relay.
func (c *Syncer) extend(ctx context.Context) {
	s, known := c.cfg.State.Records()
	asked := c.cfg.Timer.Now()
	if !known || asked-s.AskedAt < extendRecordsAge {
		c.cfg.SetIsolated(false)
		return
	}
	versions := make(map[string]port.Version, len(s.Primacies))
	for name, p := range s.Primacies {
		versions[name] = p.Version
	}
	limited, cancel := port.WithTimeout(ctx, c.cfg.Timer, exchangeTimeout)
	defer cancel()
	answers := callMembers(limited, s.Members, func(ctx context.Context, m Member) (bool, error) {
		return c.cfg.Peers.Extend(ctx, m.Address, versions)
	})
	agreed := 0
	for _, ok := range answers {
		if ok {
			agreed++
		}
	}
	majority := primacy.Majority(len(s.Members))
	if agreed >= majority && asked-s.ReadAt <= primacy.MaxLeaseTTL {
		c.cfg.State.SetRecords(s.WithAskedAt(asked))
	}
	newest, _ := c.cfg.State.Records()
	c.cfg.SetIsolated(len(answers) < majority && c.cfg.Timer.Now()-newest.AskedAt >= extendRecordsAge)
}

// exchange asks a relay and takes over what it knows.
func (c *Syncer) exchange(ctx context.Context, relay Member, wait time.Duration) (ExchangeResponse, error) {
	k := c.cfg.State
	index, _ := k.CurrentDocument()
	_, serversAt := k.Servers()
	records, _ := k.Records()
	asked := c.cfg.Timer.Now()
	limited, cancel := port.WithTimeout(ctx, c.cfg.Timer, wait+exchangeTimeout)
	defer cancel()
	report, err := c.cfg.Peers.Exchange(limited, relay.Address, ExchangeRequest{
		From: c.cfg.Self, KnownRevision: index.Document().Revision, KnownRecords: records.Version(), KnownServers: serversAt, Wait: wait,
	})
	if err != nil {
		return ExchangeResponse{}, err
	}
	c.applyResponse(report, asked)
	return report, nil
}

// applyResponse takes over a report. Its ages count back from the instant at which it left, which is at the earliest the instant
// of the question plus the time that it was held.
func (c *Syncer) applyResponse(r ExchangeResponse, asked time.Duration) {
	k := c.cfg.State
	left := asked + r.Held
	if r.Document != nil {
		k.SetDocument(*r.Document, left-r.DocumentAge)
	} else {
		index, _ := k.CurrentDocument()
		k.ConfirmDocument(index.Document().Revision, left-r.DocumentAge)
	}
	if r.Servers != nil {
		k.SetServers(r.Servers, r.ServersVersion)
	}
	records, known := k.Records()
	switch {
	case r.Records != nil:
		records = NewSnapshot(r.Records, left-r.ReadAge)
	case !known || records.Version() != r.RecordsVersion:
		return
	default:
		records = records.WithReadAt(left - r.ReadAge)
	}
	k.SetRecords(records.WithAskedAt(left - r.RecordsAge))
}

func (c *Syncer) startReaders(ctx context.Context) {
	if c.stopReading != nil {
		return
	}
	ctx, c.stopReading = context.WithCancel(ctx)
	c.readingSince = c.cfg.Timer.Now()
	c.cfg.Recorder.Record(SourceChanged{Source: "store", Reason: "this instance reads for others, or its relay knows too little"})
	c.running.Go(func() { c.cfg.Readers.Run(ctx) })
}

func (c *Syncer) stopReaders() {
	if c.stopReading != nil {
		c.stopReading()
		c.stopReading = nil
		c.cfg.Recorder.Record(SourceChanged{Source: "relay", Reason: "the relay's knowledge is fresh"})
	}
}
