package proxy

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/primacy"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

const (
	// groupCheckInterval is how often the promoter checks the groups.
	groupCheckInterval = 100 * time.Millisecond
	// firstRecordRankDelay is the additional delay per rank before an instance writes the first record of a group, in
	// case the instances ranked before it do not.
	firstRecordRankDelay = time.Second
	// firstRecordDelay is how long a group must be without a record. Instances that start together learn of each other
	// in this time, so that only one of them writes the record.
	firstRecordDelay = 600 * time.Millisecond
	// replacementRankDelay is the additional delay per rank before an instance begins a replacement.
	replacementRankDelay = 600 * time.Millisecond
	// missingPrimaryTimeout is how long a primary may be missing from the list of servers before it counts as failed.
	// Entries that expired during an outage of the store are back within about two seconds.
	missingPrimaryTimeout = 2500 * time.Millisecond
	// peerCallTimeout limits calls to other instances.
	peerCallTimeout = 400 * time.Millisecond
	// suspicionTimeout limits the report of a suspicion, which is answered at once.
	suspicionTimeout = 200 * time.Millisecond
	// maxPromoterRecordsAge is the age of the records above which this instance counts as having lost the store.
	maxPromoterRecordsAge = 1500 * time.Millisecond
	// replacementTimeout is how long a replacement may last before another instance takes it over.
	replacementTimeout = 4 * time.Second
	// systemOrganisation identifies rhubarbwick's own connections to servers.
	systemOrganisation = "rhubarbwick"
)

// PromoterConfig configures a Promoter.
type PromoterConfig struct {
	Self       Member
	Timer      port.Timer
	State      *ClusterState
	Readers    *StoreReaders
	Peers      PeerClient
	Views      *PrimaryViews
	Dispatcher *Dispatcher
	Dialer     Dialer
	Records    Records
	Promotions Promotions
	// Recorder may be nil.
	Recorder Recorder
}

// Promoter ensures that every group has a primary.
type Promoter struct {
	cfg  PromoterConfig
	lock *promoterLockHolder
	// running counts the replacements that this instance is carrying out.
	running sync.WaitGroup

	mu     sync.Mutex
	active map[string]bool
	// checking holds the suspected servers that are being checked.
	checking    map[string]bool
	switchovers switchovers

	// The fields below are owned by loop.
	pendingSince map[string]time.Duration
	servers      serverRecorder
}

// NewPromoter returns a promoter. Run starts it.
func NewPromoter(cfg PromoterConfig) *Promoter {
	cfg.Recorder = recorderOrNop(cfg.Recorder)
	p := &Promoter{cfg: cfg, active: make(map[string]bool), checking: make(map[string]bool), pendingSince: make(map[string]time.Duration)}
	p.switchovers = switchovers{active: make(map[string]bool), startedAt: make(map[string]time.Duration), leaders: make(map[string]knownLeader)}
	p.lock = newPromoterLockHolder(&p.cfg)
	p.servers = newServerRecorder(p)
	return p
}

// Run checks the groups until ctx ends and waits for running replacements.
func (p *Promoter) Run(ctx context.Context) {
	p.loop(ctx)
	p.running.Wait()
}

func (p *Promoter) loop(ctx context.Context) {
	for ctx.Err() == nil {
		waitCtx, cancel := port.WithTimeout(ctx, p.cfg.Timer, groupCheckInterval)
		suspected, err := p.cfg.Dispatcher.suspects.Take(waitCtx)
		cancel()
		if !p.cfg.State.IsComplete() {
			continue
		}
		if err == nil {
			p.handleSuspect(ctx, suspected)
			continue
		}
		snapshot, _ := p.cfg.State.Records()
		if p.cfg.Timer.Now()-snapshot.RequestedAt > maxPromoterRecordsAge {
			// Without the store no replacement can be announced.
			continue
		}
		p.lock.observe(snapshot)
		index, _ := p.cfg.State.CurrentDocument()
		for _, g := range p.inCheckOrder(index.Document().Groups) {
			p.checkGroup(ctx, snapshot, g)
		}
	}
}

// checkGroup starts a replacement or writes the first record if the group needs it.
func (p *Promoter) checkGroup(ctx context.Context, s Snapshot, g document.Group) {
	stored, found := s.Primacies[g.Name]
	if !found {
		p.writeFirstRecord(ctx, s, g.Name)
		return
	}
	p.observeLeader(stored.Record)
	reason, wait := p.replacementReason(s, stored.Record)
	if reason == "" {
		delete(p.pendingSince, g.Name)
		p.servers.update(ctx, s, g, stored)
		return
	}
	now := p.cfg.Timer.Now()
	since, seen := p.pendingSince[g.Name]
	if !seen {
		p.pendingSince[g.Name], since = now, now
	}
	if now-since >= wait+time.Duration(p.rank(s))*replacementRankDelay && p.lock.canAcquire(s) {
		p.replace(ctx, g, reason)
	}
}

// replacementReason returns why the primary must be replaced according to the records and the list of servers, and how
// long that condition must last first. It returns an empty reason if the primary need not be replaced.
func (p *Promoter) replacementReason(s Snapshot, r primacy.Record) (string, time.Duration) {
	servers, _ := p.cfg.State.Servers()
	l, listed := servers[r.Primary]
	switch {
	case r.Replacement != nil && r.Replacement.Promoter == p.cfg.Self.Incarnation:
		return "this instance's own replacement is unfinished", 0
	case r.Replacement != nil && !s.HasIncarnation(r.Replacement.Promoter):
		return "the replacing instance is no longer registered", 0
	case r.Replacement != nil:
		return "the replacement is taking too long", replacementTimeout
	case !listed:
		return "the primary is not listed", missingPrimaryTimeout
	case l.Draining:
		return "the primary is draining", 0
	case p.mustSwitchOver(l):
		return reasonMaintenance, 0
	default:
		return "", 0
	}
}

// handleSuspect starts a check of a suspected server unless one is running. Servers of several groups may fail at once,
// and each check of an unresponsive one takes as long as a probe.
func (p *Promoter) handleSuspect(ctx context.Context, s suspicion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.checking[s.server] {
		return
	}
	p.checking[s.server] = true
	c := &suspectCheck{promoter: p, suspected: s}
	p.running.Go(func() { c.run(ctx) })
}

// suspectCheck checks one suspected server.
type suspectCheck struct {
	promoter  *Promoter
	suspected suspicion
}

func (c *suspectCheck) run(ctx context.Context) {
	p := c.promoter
	p.checkSuspect(ctx, c.suspected)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.checking, c.suspected.server)
}

// checkSuspect checks whether a suspected server is a primary that must be replaced. The first-ranked instance that
// responds decides, and the others report the suspicion to it.
func (p *Promoter) checkSuspect(ctx context.Context, suspected suspicion) {
	server := suspected.server
	servers, _ := p.cfg.State.Servers()
	l, listed := servers[server]
	if !listed {
		return
	}
	view := p.cfg.Views.View(l.Group)
	if view.Record.Primary != server || view.Record.Replacement != nil || p.isActive(l.Group) {
		return
	}
	snapshot, _ := p.cfg.State.Records()
	if !suspected.isDelegated && !p.decides(ctx, snapshot, server) || p.cfg.Timer.Now()-snapshot.RequestedAt > maxPromoterRecordsAge {
		return
	}
	reason := p.failure(ctx, snapshot, l)
	index, _ := p.cfg.State.CurrentDocument()
	if g, found := index.FindGroup(l.Group); found && reason != "" {
		p.replace(ctx, g, reason)
	}
}

// failure returns why a suspected primary must be replaced. It returns an empty reason if the primary need not be
// replaced.
func (p *Promoter) failure(ctx context.Context, s Snapshot, l dispatch.Listing) string {
	if !p.isReachable(ctx, s, l) {
		return "no instance can reach the primary"
	}
	if l.Role == dispatch.Primary {
		return ""
	}
	// The list may be older than the promotion of the server, so the server itself decides.
	if status, err := p.status(ctx, l); err == nil && !status.IsPrimary {
		return "the primary reports itself as a replica"
	}
	return ""
}

// decides reports a suspicion to the first promoter that responds, and returns true if that is this instance.
func (p *Promoter) decides(ctx context.Context, s Snapshot, server string) bool {
	for _, m := range p.promoters(s) {
		if m.Incarnation == p.cfg.Self.Incarnation {
			return true
		}
		callCtx, cancel := port.WithTimeout(ctx, p.cfg.Timer, suspicionTimeout)
		_, err := p.cfg.Peers.Survey(callCtx, m.Address, SurveyRequest{Server: server, Suspect: true})
		cancel()
		if err == nil {
			return false
		}
	}
	return false
}

// replace starts a replacement unless this instance is already carrying one out for the group.
func (p *Promoter) replace(ctx context.Context, g document.Group, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.active[g.Name] || !p.mayStart(g) {
		return
	}
	p.active[g.Name] = true
	r := &replacement{promoter: p, group: g, reason: reason}
	p.running.Go(func() { r.run(ctx) })
}

func (p *Promoter) isActive(groupName string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.active[groupName]
}

func (p *Promoter) finish(groupName string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.active, groupName)
	delete(p.switchovers.active, groupName)
}

// writeFirstRecord writes the first record of a group, which names the group's primary and the term that this server
// reports. The first-ranked instance writes it after firstRecordDelay, the others only if that does not happen.
func (p *Promoter) writeFirstRecord(ctx context.Context, s Snapshot, groupName string) {
	now := p.cfg.Timer.Now()
	since, seen := p.pendingSince[groupName]
	if !seen {
		since = now
		p.pendingSince[groupName] = now
	}
	if now-since < firstRecordDelay+time.Duration(p.rank(s))*firstRecordRankDelay {
		return
	}
	for _, l := range p.listedServers(groupName) {
		if l.Role != dispatch.Primary || l.Draining {
			continue
		}
		results, err := p.sendCommands(ctx, l)
		if err != nil || results[0].Position.Term == 0 {
			continue
		}
		record := primacy.Record{Group: groupName, Primary: l.Name, Term: results[0].Position.Term}
		if _, err := p.putRecord(ctx, record, 0); err == nil {
			p.cfg.Recorder.Record(PromotionStep{Group: groupName, Step: "introduced", Server: l.Name})
		}
		_ = p.cfg.Readers.ReadRecords(ctx)
		delete(p.pendingSince, groupName)
		return
	}
}

// putRecord writes a record and returns its version.
func (p *Promoter) putRecord(ctx context.Context, r primacy.Record, expected port.Version) (port.Version, error) {
	data, err := r.Encode()
	if err != nil {
		return 0, port.Wrapf(err, port.Internal, "the group's record cannot be encoded")
	}
	callCtx, cancel := port.WithTimeout(ctx, p.cfg.Timer, callTimeout)
	defer cancel()
	return p.cfg.Records.Put(callCtx, primacyPrefix+r.Group, data, expected)
}

// promoters returns the instances that may replace primaries, in order: the holder of the promoter lock or the
// first-ranked instance, and the first-ranked one of each other data centre. If all instances took over when the first
// one does not respond, a data centre that is cut off would cost calls with the square of the instances.
func (p *Promoter) promoters(s Snapshot) []Member {
	first := map[string]Member{p.cfg.Self.DataCentre: p.cfg.Self}
	for _, m := range s.Members {
		if best, found := first[m.DataCentre]; !found || p.memberRank(s, m) > p.memberRank(s, best) {
			first[m.DataCentre] = m
		}
	}
	return slices.SortedFunc(maps.Values(first), func(a, b Member) int {
		return cmp.Compare(p.memberRank(s, b), p.memberRank(s, a))
	})
}

// rank returns the number of instances that precede this one in replacing primaries.
func (p *Promoter) rank(s Snapshot) int {
	own := p.memberRank(s, p.cfg.Self)
	rank := 0
	for _, m := range s.Members {
		if p.memberRank(s, m) > own {
			rank++
		}
	}
	return rank
}

func (p *Promoter) memberRank(s Snapshot, m Member) instance.Rank {
	if m.Incarnation == s.PromoterLock.Lock.Holder {
		return math.MaxUint64
	}
	return instance.RankOf(promoterLockName, m.Incarnation)
}

// sendCommands connects to a server, sends the commands and returns the answers to the greeting and to each command.
func (p *Promoter) sendCommands(ctx context.Context, l dispatch.Listing, commands ...statement.Command) ([]statement.Result, error) {
	callCtx, cancel := port.WithTimeout(ctx, p.cfg.Timer, dialTimeout)
	defer cancel()
	conn, greeting, err := p.cfg.Dialer.Dial(callCtx, Endpoint{
		Group: l.Group, Server: l.Name, Address: l.Address, Organisation: systemOrganisation,
	})
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	if len(commands) == 0 {
		return []statement.Result{greeting}, nil
	}
	results, err := conn.Do(callCtx, commands...)
	return append([]statement.Result{greeting}, results...), err
}

// status queries a server's status.
func (p *Promoter) status(ctx context.Context, l dispatch.Listing) (primacy.Status, error) {
	results, err := p.sendCommands(ctx, l, statement.GetStatus{})
	if err != nil {
		return primacy.Status{}, err
	}
	return statusOf(l.Name, results[len(results)-1])
}

func statusOf(server string, a statement.Result) (primacy.Status, error) {
	if !a.Failure.IsZero() {
		return primacy.Status{}, port.Errorf(a.Failure.Kind, "server %s did not report its status: %s", server, a.Failure.Text)
	}
	s := a.Status
	return primacy.Status{Server: server, IsPrimary: s.IsPrimary, Term: s.Term, Received: s.Received}, nil
}
