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
	// exchangeLimit is how long an exchange may take beyond that.
	exchangeLimit = 700 * time.Millisecond
	// cleanPeriod is how often a relay looks for instances that are gone.
	cleanPeriod = time.Second
	// headRole ranks the data centres for the relay that reads the store for all.
	headRole = "head"
	// relayPause is how long a relay that did not answer is passed over.
	relayPause = 5 * time.Second
	// extendAge is the age of the records from which a relay has their lease extended. It is above the age that they reach
	// while the store answers.
	extendAge = 1400 * time.Millisecond
	// extendCheck is how often that age is looked at.
	extendCheck = 100 * time.Millisecond
	// stalePause is how long a relay is passed over that answers and has lost the store.
	stalePause = 400 * time.Millisecond
	// firstRead is how long a relay that has begun to read the store waits for its first answer.
	firstRead = 500 * time.Millisecond
	// lostRecords is the age of the records from which an instance no longer leaves it to the relays to find the store.
	lostRecords = 1500 * time.Millisecond
	// relaysTried is how many silent relays of its data centre an instance passes over before it reads the store by itself.
	relaysTried = 2
	// staleTried is how many relays are passed over because they have lost the store. When the store turns away a third of
	// the instances, one in a hundred data centres finds no other relay; when it is away, so many of each read in vain.
	staleTried = 4
	// soonest is the least time between two exchanges, also when the relay has news all the time.
	soonest = 50 * time.Millisecond
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
	failed  failures
	stale   failures
	cleaner *cleaner
	cleaned time.Duration
	reading context.CancelFunc
	// readingSince is when this instance began to read the store.
	readingSince time.Duration
	running      sync.WaitGroup
	// unread counts the reads of the records that failed while no member was known.
	unread pauses
}

// NewSyncer returns a syncer.
func NewSyncer(cfg SyncerConfig) *Syncer {
	cfg.Recorder = orDiscard(cfg.Recorder)
	c := &Syncer{cfg: cfg}
	c.cleaner = newCleaner(&c.cfg)
	return c
}

// Run keeps the knowledge fresh until ctx ends.
func (c *Syncer) Run(ctx context.Context) {
	n := &noticeReader{syncer: c}
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
			c.relayOthers(ctx, began)
		case found:
			c.follow(ctx, relay, false)
		default:
			c.findMembers(ctx)
		}
		if took := c.cfg.Timer.Now() - began; took < soonest {
			_ = port.Sleep(ctx, c.cfg.Timer, soonest-took)
		}
	}
}

// findMembers reads the records once. An instance that has just started needs nothing else of the store: the relay among
// the members tells the rest.
func (c *Syncer) findMembers(ctx context.Context) {
	if c.count(c.failed) >= relaysTried {
		c.startReaders(ctx)
		return
	}
	if c.cfg.Readers.ReadRecords(ctx) != nil {
		c.unread.wait(ctx, c.cfg.Timer)
		return
	}
	c.unread.reset()
}

// count returns how many other instances of the data centre are passed over.
func (c *Syncer) count(f failures) int {
	n, now := 0, c.cfg.Timer.Now()
	for _, m := range c.ranked(c.cfg.Self.DataCentre) {
		if f.has(m.Incarnation, now) && m.Incarnation != c.cfg.Self.Incarnation {
			n++
		}
	}
	return n
}

// relayOthers is what the relay of a data centre does. The first of all relays reads the store; the others follow it, so
// that the calls to the store do not grow with the data centres.
func (c *Syncer) relayOthers(ctx context.Context, now time.Duration) {
	if now-c.cleaned >= cleanPeriod {
		c.cleaned = now
		c.cleaner.clean(ctx)
	}
	if now-c.readAt() > freshRecords {
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
	if now = c.cfg.Timer.Now(); now-c.readAt() > freshRecords && now-c.readingSince > firstRead {
		// The store turns this instance away or is gone; another relay may reach it.
		c.fail(c.cfg.Self, relayPause)
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
	for area := range c.areas() {
		relay, found := c.first(area, func(m Member) bool { return c.failedOfLate(m, now) })
		if found && (best.Incarnation == "" || instance.RankOf(headRole, area) > instance.RankOf(headRole, best.DataCentre)) {
			best = relay
		}
	}
	return best, best.Incarnation != ""
}

// areas returns the data centres with instances.
func (c *Syncer) areas() map[string]bool {
	s, _ := c.cfg.State.Records()
	areas := make(map[string]bool)
	for _, m := range s.Members {
		areas[m.DataCentre] = true
	}
	return areas
}

// noticeReader is the duty that asks members that have newer records.
type noticeReader struct{ syncer *Syncer }

func (n *noticeReader) loop(ctx context.Context) {
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
	return c.first(c.cfg.Self.DataCentre, func(m Member) bool {
		return c.hasFailed(m, now) || c.stale.has(m.Incarnation, now) && m.Incarnation != c.cfg.Self.Incarnation
	})
}

// first returns the first in rank of the data centre's instances that is not passed over.
func (c *Syncer) first(dataCentre string, passedOver func(Member) bool) (Member, bool) {
	relays := slices.DeleteFunc(c.ranked(dataCentre), passedOver)
	if len(relays) == 0 {
		return Member{}, false
	}
	return relays[0], true
}

// hasFailed reports whether another instance failed of late.
func (c *Syncer) hasFailed(m Member, now time.Duration) bool {
	return c.failedOfLate(m, now) && m.Incarnation != c.cfg.Self.Incarnation
}

func (c *Syncer) failedOfLate(m Member, now time.Duration) bool {
	return c.failed.has(m.Incarnation, now)
}

// ranked returns the instances of a data centre in the order in which they are its relay.
func (c *Syncer) ranked(dataCentre string) []Member {
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
	isLost := c.cfg.Timer.Now()-c.readAt() > lostRecords
	switch {
	case err == nil && report.Fresh:
		c.stopReaders()
	case fromRelay && err == nil:
		// It may be about to read the store in the place of another one.
		c.fail(relay, stalePause)
		c.startReaders(ctx)
	case fromRelay:
		c.fail(relay, relayPause)
		c.startReaders(ctx)
	case err != nil && (c.count(c.failed) >= relaysTried || c.cfg.Timer.Now()-c.readAt() > freshRecords):
		// The cause may be on this side. Connections may have gone silent everywhere, so that no relay knows more for a while,
		// and documents have to be in force within seconds.
		c.fail(relay, relayPause)
		c.startReaders(ctx)
	case err != nil:
		// The next in rank takes its place, for all instances that find the same. If each of them read the store by itself, an
		// outage of one relay would cost calls by the number of instances.
		c.fail(relay, relayPause)
	case isLost && c.count(c.stale) < staleTried:
		now := c.cfg.Timer.Now()
		c.stale = c.stale.with(relay.Incarnation, now, now+relayPause)
	}
}

// fail has the instance passed over for a while.
func (c *Syncer) fail(m Member, pause time.Duration) {
	now := c.cfg.Timer.Now()
	c.failed = c.failed.with(m.Incarnation, now, now+pause)
}

// extender is the duty that has leases extended. It does not wait for relays, nor they for it.
type extender struct{ syncer *Syncer }

func (e *extender) loop(ctx context.Context) {
	for ctx.Err() == nil {
		e.syncer.extend(ctx)
		_ = port.Sleep(ctx, e.syncer.cfg.Timer, extendCheck)
	}
}

// extend has the other instances extend the leases while the store cannot be read, here or by a relay.
func (c *Syncer) extend(ctx context.Context) {
	s, known := c.cfg.State.Records()
	asked := c.cfg.Timer.Now()
	if !known || asked-s.AskedAt < extendAge {
		c.cfg.SetIsolated(false)
		return
	}
	versions := make(map[string]port.Version, len(s.Primacies))
	for name, p := range s.Primacies {
		versions[name] = p.Version
	}
	limited, cancel := port.WithTimeout(ctx, c.cfg.Timer, exchangeLimit)
	defer cancel()
	answers := askMembers(limited, s.Members, func(ctx context.Context, m Member) (bool, error) {
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
		c.cfg.State.TakeRecords(s.WithAskedAt(asked))
	}
	newest, _ := c.cfg.State.Records()
	c.cfg.SetIsolated(len(answers) < majority && c.cfg.Timer.Now()-newest.AskedAt >= extendAge)
}

// exchange asks a relay and takes over what it knows.
func (c *Syncer) exchange(ctx context.Context, relay Member, wait time.Duration) (ExchangeResponse, error) {
	k := c.cfg.State
	index, _ := k.CurrentDocument()
	_, serversAt := k.Servers()
	records, _ := k.Records()
	asked := c.cfg.Timer.Now()
	limited, cancel := port.WithTimeout(ctx, c.cfg.Timer, wait+exchangeLimit)
	defer cancel()
	report, err := c.cfg.Peers.Exchange(limited, relay.Address, ExchangeRequest{
		From: c.cfg.Self, KnownRevision: index.Document().Revision, KnownRecords: records.Version(), KnownServers: serversAt, Wait: wait,
	})
	if err != nil {
		return ExchangeResponse{}, err
	}
	c.apply(report, asked)
	return report, nil
}

// apply takes over a report. Its ages count back from the instant at which it left, which is at the earliest the instant
// of the question plus the time that it was held.
func (c *Syncer) apply(r ExchangeResponse, asked time.Duration) {
	k := c.cfg.State
	left := asked + r.Held
	if r.Document != nil {
		k.TakeDocument(*r.Document, left-r.DocumentAge)
	} else {
		index, _ := k.CurrentDocument()
		k.ConfirmDocument(index.Document().Revision, left-r.DocumentAge)
	}
	if r.Servers != nil {
		k.TakeServers(r.Servers, r.ServersVersion)
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
	k.TakeRecords(records.WithAskedAt(left - r.RecordsAge))
}

func (c *Syncer) startReaders(ctx context.Context) {
	if c.reading != nil {
		return
	}
	ctx, c.reading = context.WithCancel(ctx)
	c.readingSince = c.cfg.Timer.Now()
	c.cfg.Recorder.Record(SourceChanged{Source: "store", Reason: "this instance reads for others, or its relay knows too little"})
	c.running.Go(func() { c.cfg.Readers.Run(ctx) })
}

func (c *Syncer) stopReaders() {
	if c.reading != nil {
		c.reading()
		c.reading = nil
		c.cfg.Recorder.Record(SourceChanged{Source: "relay", Reason: "the relay's knowledge is fresh"})
	}
}
