package proxy

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	// exchangeWait is how long a relay may delay a response, which is also the maximum time between two exchanges.
	exchangeWait = 300 * time.Millisecond
	// staleExchangeWait replaces exchangeWait while this instance's records are outdated. It lets a relay that has just
	// begun to read the store answer with the first records.
	staleExchangeWait = 100 * time.Millisecond
	// exchangeTimeout limits an exchange beyond that wait.
	exchangeTimeout = 700 * time.Millisecond
	// firstExchangeTimeout replaces exchangeTimeout while this instance cannot serve clients yet. The relay may be starting as
	// well, and its machine may have dropped the first packet.
	firstExchangeTimeout = 200 * time.Millisecond
	// cleanInterval is how often a relay checks for failed instances.
	cleanInterval = time.Second
	// headRelayKey is the rank key by which the data centre whose relay reads the store for all is chosen.
	headRelayKey = "head"
	// relayExclusionTime is how long a relay that did not respond is excluded.
	relayExclusionTime = 5 * time.Second
	// A data centre whose relay responds but has lost the store is not asked again for staleHeadTryTime times the number
	// of data centres, but at least minStaleHeadExclusion, so that the relays of all others are asked before it.
	staleHeadTryTime      = 200 * time.Millisecond
	minStaleHeadExclusion = 400 * time.Millisecond
	// staleRelayExclusionTime is how long such a relay itself is excluded. The next in rank is asked instead, which the
	// other instances of its data centre follow by then if it reaches the store.
	staleRelayExclusionTime = 2 * time.Second
	// firstReadTimeout is how long a relay that has begun to read the store waits for the first response.
	firstReadTimeout = 500 * time.Millisecond
	// storeLostDelay is how long a part of the state must be overdue until an instance no longer relies on the relays to
	// find the store.
	storeLostDelay = 300 * time.Millisecond
	// maxFailedRelays is how many unresponsive relays of its data centre an instance excludes before it reads the store
	// itself.
	maxFailedRelays = 2
	// maxStaleRelays limits how many relays are excluded because they have lost the store. If the store rejects a third
	// of the instances, one in a hundred data centres finds no other relay. If the store is down, this many relays of
	// each data centre try to read it in vain.
	maxStaleRelays = 4
	// minExchangeInterval is the minimum time between two exchanges, even if the relay always has newer state.
	minExchangeInterval = 50 * time.Millisecond
)

// SyncerConfig configures a Syncer.
type SyncerConfig struct {
	Self        Member
	Timer       port.Timer
	State       *ClusterState
	Peers       PeerClient
	PeerService *PeerService
	Readers     *StoreReaders
	// Recorder may be nil.
	Recorder Recorder
	// SetIsolated is called with whether the instance can reach neither the store nor a majority of the instances.
	SetIsolated func(isolated bool)
	// Notifications supplies the members that have newer records.
	Notifications *ring.Ring[Member]
}

// Syncer keeps the cluster state fresh. It reads it from the relay of its data centre, or from the store if this
// instance is the relay or no relay has fresh state.
type Syncer struct {
	cfg SyncerConfig
	// failed holds the relays that are excluded because they did not respond, and stale those that are excluded because
	// they have lost the store or have the state from this instance.
	failed exclusions
	stale  exclusions
	// staleHeads holds the data centres whose relay has lost the store, and staleHeadRelays these relays.
	staleHeads      exclusions
	staleHeadRelays exclusions
	cleaner         *cleaner
	lastCleaned     time.Duration
	stopReading     context.CancelFunc
	// extendingRelay is the instance that requests lease extensions for its data centre: the first of the relays that
	// respond, also if it has lost the store.
	extendingRelay atomic.Pointer[Member]
	// source is the last recorded source of the state.
	source  SourceChanged
	running sync.WaitGroup
	// readBackoff delays reads of the records after failures while no member is known.
	readBackoff backoff
}

// NewSyncer returns a syncer. Run starts it.
func NewSyncer(cfg SyncerConfig) *Syncer {
	cfg.Recorder = recorderOrNop(cfg.Recorder)
	c := &Syncer{cfg: cfg}
	c.cleaner = newCleaner(&c.cfg)
	return c
}

// Run keeps the state fresh until ctx ends.
func (c *Syncer) Run(ctx context.Context) {
	n := &notificationReader{syncer: c}
	c.running.Go(func() { n.loop(ctx) })
	e := &extender{syncer: c}
	c.running.Go(func() { e.loop(ctx) })
	o := &outdatedRecordsReader{syncer: c}
	c.running.Go(func() { o.loop(ctx) })
	m := &missingListReader{readers: c.cfg.Readers}
	c.running.Go(func() { m.loop(ctx) })
	c.loop(ctx)
	c.stopReaders()
	c.running.Wait()
}

func (c *Syncer) loop(ctx context.Context) {
	for ctx.Err() == nil {
		start := c.cfg.Timer.Now()
		relay, found := c.relay(start)
		isRelay := found && relay.Incarnation == c.cfg.Self.Incarnation
		c.cfg.PeerService.SetRelay(isRelay)
		first, _ := c.firstRelay(c.cfg.Self.DataCentre, func(m Member) bool { return c.isOtherExcluded(m, start) })
		c.extendingRelay.Store(&first)
		switch {
		case isRelay:
			c.runRelay(ctx, start)
		case found:
			c.follow(ctx, relay, false)
		default:
			c.findMembers(ctx)
		}
		if elapsed := c.cfg.Timer.Now() - start; elapsed < minExchangeInterval {
			_ = port.Sleep(ctx, c.cfg.Timer, minExchangeInterval-elapsed)
		}
	}
}

// findMembers reads the records once. A new instance needs nothing else from the store: the relay among the members
// supplies the rest.
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

// countExcluded returns how many other instances of the data centre are excluded.
func (c *Syncer) countExcluded(f exclusions) int {
	n, now := 0, c.cfg.Timer.Now()
	for _, m := range c.rankedRelays(c.cfg.Self.DataCentre) {
		if f.has(m.Incarnation, now) && m.Incarnation != c.cfg.Self.Incarnation {
			n++
		}
	}
	return n
}

// runRelay runs one round of a data centre's relay. The head relay reads the store and the other relays follow it, so
// that the number of calls to the store does not grow with the number of data centres.
func (c *Syncer) runRelay(ctx context.Context, now time.Duration) {
	if now-c.lastCleaned >= cleanInterval {
		c.lastCleaned = now
		c.cleaner.clean(ctx)
	}
	if c.cfg.State.Overdue() > 0 {
		// Other relays may have lost the store as well; this instance may still reach it.
		c.startReaders(ctx)
	}
	head, found := c.head(now)
	if found && head.Incarnation != c.cfg.Self.Incarnation {
		c.follow(ctx, head, true)
		return
	}
	c.startReaders(ctx)
	_ = port.Sleep(ctx, c.cfg.Timer, exchangeWait)
	if c.cfg.State.Overdue() > 0 && !c.cfg.State.isSourceStarting() {
		// The store rejects this instance or is down; another relay may still reach it.
		c.exclude(c.cfg.Self)
	}
}

// head returns the relay that reads the store for all instances: the relay of the highest-ranked data centre that has a
// relay that is not excluded. Data centres whose relay has lost the store are passed over for a while, so that an
// instance asks those of other data centres before it asks another instance of the same one.
func (c *Syncer) head(now time.Duration) (Member, bool) {
	var best Member
	for dataCentre := range c.dataCentres() {
		if c.staleHeads.has(dataCentre, now) {
			continue
		}
		relay, found := c.firstRelay(dataCentre, func(m Member) bool {
			return c.isExcluded(m, now) || c.staleHeadRelays.has(m.Incarnation, now)
		})
		if found && (best.Incarnation == "" || instance.RankOf(headRelayKey, dataCentre) > instance.RankOf(headRelayKey, best.DataCentre)) {
			best = relay
		}
	}
	return best, best.Incarnation != ""
}

// dataCentres returns the data centres that have instances.
func (c *Syncer) dataCentres() map[string]bool {
	s, _ := c.cfg.State.Records()
	dataCentres := make(map[string]bool)
	for _, m := range s.Members {
		dataCentres[m.DataCentre] = true
	}
	return dataCentres
}

// notificationReader fetches state from members that have newer records.
type notificationReader struct{ syncer *Syncer }

func (n *notificationReader) loop(ctx context.Context) {
	c := n.syncer
	for {
		m, err := c.cfg.Notifications.Take(ctx)
		if err != nil {
			return
		}
		// If the member does not respond, the relay or the store supplies the same state a little later.
		_, _ = c.exchange(ctx, m, 0)
	}
}

// relay returns the first-ranked instance of this data centre that is not excluded.
func (c *Syncer) relay(now time.Duration) (Member, bool) {
	return c.firstRelay(c.cfg.Self.DataCentre, func(m Member) bool {
		return c.isOtherExcluded(m, now) || c.stale.has(m.Incarnation, now) && m.Incarnation != c.cfg.Self.Incarnation
	})
}

// firstRelay returns the first-ranked instance of the data centre that is not excluded.
func (c *Syncer) firstRelay(dataCentre string, excluded func(Member) bool) (Member, bool) {
	relays := slices.DeleteFunc(c.rankedRelays(dataCentre), excluded)
	if len(relays) == 0 {
		return Member{}, false
	}
	return relays[0], true
}

// isOtherExcluded reports whether m is another instance and excluded.
func (c *Syncer) isOtherExcluded(m Member, now time.Duration) bool {
	return c.isExcluded(m, now) && m.Incarnation != c.cfg.Self.Incarnation
}

func (c *Syncer) isExcluded(m Member, now time.Duration) bool {
	return c.failed.has(m.Incarnation, now)
}

// rankedRelays returns the instances of a data centre in the order in which they become its relay: those with the most
// processor time first, because a relay answers all others of its data centre. The rank of a machine doesn't change when
// its process is replaced: after a restart of all, each instance knows another mix of old and new processes, and with
// different ranks all of them could follow another one.
func (c *Syncer) rankedRelays(dataCentre string) []Member {
	s, _ := c.cfg.State.Records()
	var members []Member
	for _, m := range s.Members {
		if m.Name == c.cfg.Self.Name {
			// Until this instance has read its own record, there may be that of its former process.
			m = c.cfg.Self
		}
		if m.DataCentre == dataCentre {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight),
			cmp.Compare(instance.RankOf(dataCentre, b.Name), instance.RankOf(dataCentre, a.Name)))
	})
	return members
}

// follow exchanges state with a relay, and excludes a relay that does not respond, has lost the store or has the state from
// this instance. fromRelay is true if this instance is itself a relay that follows the head; it then reads the store as soon
// as the head's state is of no use.
func (c *Syncer) follow(ctx context.Context, relay Member, fromRelay bool) {
	wait := exchangeWait
	if c.cfg.State.Overdue() > 0 || !c.cfg.State.IsComplete() {
		// Another relay may have newer state.
		wait = staleExchangeWait
	}
	response, err := c.exchange(ctx, relay, wait)
	storeLost := c.cfg.State.Overdue() > storeLostDelay
	isUsable := isUsablePath(response.Path, c.cfg.Self.Name)
	if err != nil && !c.cfg.State.IsComplete() {
		// After a loss of power of all instances, the relay may start later than this one.
		c.cfg.Readers.ReadAll(ctx)
	}
	switch {
	case err == nil && response.Fresh && isUsable:
		c.stopReaders()
		c.cfg.State.updateSource(func(s StateSource) StateSource { return s.WithRelay(response.Path) })
		c.recordSource(SourceChanged{Source: "relay", Relay: relay.Name, Path: response.Path, Reason: "the relay's state is fresh"})
	case fromRelay && err == nil:
		now := c.cfg.Timer.Now()
		pause := max(minStaleHeadExclusion, staleHeadTryTime*time.Duration(len(c.dataCentres())))
		c.staleHeads = c.staleHeads.with(relay.DataCentre, now, now+pause)
		c.staleHeadRelays = c.staleHeadRelays.with(relay.Incarnation, now, now+staleRelayExclusionTime)
		c.startReaders(ctx)
	case fromRelay:
		c.exclude(relay)
		c.startReaders(ctx)
	case err != nil && (c.countExcluded(c.failed) >= maxFailedRelays || c.cfg.State.Overdue() > 0):
		// The cause may be on this side. All connections may have gone silent, so that no relay has newer state for a
		// while, and documents must be in force within seconds.
		c.exclude(relay)
		c.startReaders(ctx)
	case err != nil:
		// The next in rank takes its place for all instances that find the same. If each of them read the store itself,
		// an outage of one relay would cost as many calls as there are instances.
		c.exclude(relay)
	case (storeLost || !isUsable) && c.countExcluded(c.stale) < maxStaleRelays:
		now := c.cfg.Timer.Now()
		c.stale = c.stale.with(relay.Incarnation, now, now+relayExclusionTime)
	}
}

// exclude excludes the instance for relayExclusionTime.
func (c *Syncer) exclude(m Member) {
	now := c.cfg.Timer.Now()
	c.failed = c.failed.with(m.Incarnation, now, now+relayExclusionTime)
}

func (c *Syncer) startReaders(ctx context.Context) {
	if c.stopReading != nil {
		return
	}
	ctx, c.stopReading = context.WithCancel(ctx)
	now := c.cfg.Timer.Now()
	c.cfg.State.updateSource(func(s StateSource) StateSource { return s.WithReading(now) })
	c.recordSource(SourceChanged{Source: "store", Reason: "this instance is the head relay, or its relay's state is outdated or comes from this instance"})
	c.running.Go(func() { c.cfg.Readers.Run(ctx) })
}

func (c *Syncer) stopReaders() {
	if c.stopReading != nil {
		c.stopReading()
		c.stopReading = nil
	}
}

// recordSource records the source if it has changed.
func (c *Syncer) recordSource(next SourceChanged) {
	if next.Source == c.source.Source && next.Relay == c.source.Relay {
		return
	}
	c.source = next
	records, _ := c.cfg.State.Records()
	next.DocumentAge, next.RecordsAge = c.cfg.State.DocumentAge(), c.cfg.Timer.Now()-records.ReadAt
	c.cfg.Recorder.Record(next)
}
