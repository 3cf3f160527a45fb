package proxy

import (
	"context"
	"math"
	"slices"
	"strings"
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
	// promoterPeriod is how often the promoter looks at the groups.
	promoterPeriod = 100 * time.Millisecond
	// introductionStep is how much later each next instance in rank writes the first record of a group, in case the ones
	// before it do not.
	introductionStep = time.Second
	// introductionDelay is how long a group has to be without a record. Instances that start together first learn of each
	// other, so that one of them writes it and not all.
	introductionDelay = 600 * time.Millisecond
	// replacementStep is how much later each next instance in rank begins a replacement.
	replacementStep = 600 * time.Millisecond
	// missingLimit is how long a primary may be missing from the list of servers before it counts as gone. Entries that
	// lapsed in an outage of the store are back within about two seconds.
	missingLimit = 2500 * time.Millisecond
	// callPeers is how long calls to other instances may take.
	callPeers = 400 * time.Millisecond
	// staleRecords is the age from which records show that this instance has lost the store.
	staleRecords = 1500 * time.Millisecond
	// takeOverLimit is how long a replacement may stand before another instance takes it over.
	takeOverLimit = 4 * time.Second
	// systemCaller is the name under which the system itself connects to servers.
	systemCaller = "rhubarbwick"
)

// PromoterConfig is what a Promoter needs.
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

// Promoter is the duty that sees to it that every group has a primary.
type Promoter struct {
	cfg  PromoterConfig
	duty *dutyHolder
	// running are the replacements that this instance carries out.
	running sync.WaitGroup

	mu     sync.Mutex
	active map[string]bool

	// The following belong to the loop.
	since map[string]time.Duration
}

// NewPromoter returns a promoter.
func NewPromoter(cfg PromoterConfig) *Promoter {
	cfg.Recorder = orDiscard(cfg.Recorder)
	p := &Promoter{cfg: cfg, active: make(map[string]bool), since: make(map[string]time.Duration)}
	p.duty = newDutyHolder(&p.cfg)
	return p
}

// Run looks after the groups until ctx ends.
func (p *Promoter) Run(ctx context.Context) {
	p.loop(ctx)
	p.running.Wait()
}

func (p *Promoter) loop(ctx context.Context) {
	for ctx.Err() == nil {
		waiting, cancel := port.WithTimeout(ctx, p.cfg.Timer, promoterPeriod)
		server, err := p.cfg.Dispatcher.Doubts().Take(waiting)
		cancel()
		if !p.cfg.State.IsComplete() {
			continue
		}
		if err == nil {
			p.look(ctx, server)
			continue
		}
		snapshot, _ := p.cfg.State.Records()
		if p.cfg.Timer.Now()-snapshot.AskedAt > staleRecords {
			// Without the store nothing can be announced.
			continue
		}
		p.duty.observe(snapshot)
		index, _ := p.cfg.State.CurrentDocument()
		for _, g := range index.Document().Groups {
			p.review(ctx, snapshot, g)
		}
	}
}

// review sees to one group.
func (p *Promoter) review(ctx context.Context, s Snapshot, g document.Group) {
	stored, found := s.Primacies[g.Name]
	if !found {
		p.introduce(ctx, s, g.Name)
		return
	}
	reason, wait := p.reason(s, stored.Record)
	if reason == "" {
		delete(p.since, g.Name)
		return
	}
	now := p.cfg.Timer.Now()
	since, seen := p.since[g.Name]
	if !seen {
		p.since[g.Name], since = now, now
	}
	if now-since >= wait+time.Duration(p.rank(s))*replacementStep && p.duty.mayAcquire(s) {
		p.replace(ctx, g, reason)
	}
}

// reason returns why a primary has to be replaced as far as the records and the list tell, and how long that has to last.
func (p *Promoter) reason(s Snapshot, r primacy.Record) (string, time.Duration) {
	servers, _ := p.cfg.State.Servers()
	l, listed := servers[r.Primary]
	switch {
	case r.Replacement != nil && r.Replacement.Promoter == p.cfg.Self.Incarnation:
		return "this instance's replacement has not ended", 0
	case r.Replacement != nil && !s.HasIncarnation(r.Replacement.Promoter):
		return "the replacing instance is gone", 0
	case r.Replacement != nil:
		return "the replacement has not ended", takeOverLimit
	case !listed:
		return "the primary is not listed", missingLimit
	case l.Departing:
		return "the primary departs", 0
	default:
		return "", 0
	}
}

// look finds out whether a doubted server is a primary that has to be replaced. The instance of the first rank decides;
// the others tell it of the doubt.
func (p *Promoter) look(ctx context.Context, server string) {
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
	first, isSelf := p.first(snapshot)
	if !isSelf {
		limited, cancel := port.WithTimeout(ctx, p.cfg.Timer, callPeers)
		defer cancel()
		if _, err := p.cfg.Peers.Survey(limited, first.Address, SurveyRequest{Server: server, Suspect: true}); err == nil {
			return
		}
	}
	if p.cfg.Timer.Now()-snapshot.AskedAt > staleRecords {
		return
	}
	if p.isReached(ctx, snapshot, l) {
		return
	}
	index, _ := p.cfg.State.CurrentDocument()
	if g, found := index.FindGroup(l.Group); found {
		p.replace(ctx, g, "the primary answers no instance")
	}
}

// replace starts a replacement unless one is under way here.
func (p *Promoter) replace(ctx context.Context, g document.Group, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.active[g.Name] {
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

func (p *Promoter) end(groupName string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.active, groupName)
}

// introduce writes the first record of a group: the server that is its primary and leads its newest term. The instance
// of the first rank does it at once, the others only if it does not.
func (p *Promoter) introduce(ctx context.Context, s Snapshot, groupName string) {
	now := p.cfg.Timer.Now()
	since, seen := p.since[groupName]
	if !seen {
		since = now
		p.since[groupName] = now
	}
	if now-since < introductionDelay+time.Duration(p.rank(s))*introductionStep {
		return
	}
	for _, l := range p.servers(groupName) {
		if l.Role != dispatch.Primary || l.Departing {
			continue
		}
		answers, err := p.ask(ctx, l)
		if err != nil || answers[0].Position.Term == 0 {
			continue
		}
		record := primacy.Record{Group: groupName, Primary: l.Name, Term: answers[0].Position.Term}
		if _, err := p.put(ctx, record, 0); err == nil {
			p.cfg.Recorder.Record(PromotionStep{Group: groupName, Step: "introduced", Server: l.Name})
		}
		_ = p.cfg.Readers.ReadRecords(ctx)
		delete(p.since, groupName)
		return
	}
}

// put writes a record and returns its version.
func (p *Promoter) put(ctx context.Context, r primacy.Record, expected port.Version) (port.Version, error) {
	data, err := r.Encode()
	if err != nil {
		return 0, port.Wrapf(err, port.Internal, "the record cannot be encoded")
	}
	limited, cancel := port.WithTimeout(ctx, p.cfg.Timer, callLimit)
	defer cancel()
	return p.cfg.Records.Put(limited, primacyPrefix+r.Group, data, expected)
}

// first returns the instance that replaces primaries, and whether it is this one: the holder of the duty while it lives,
// and otherwise the first in rank.
func (p *Promoter) first(s Snapshot) (Member, bool) {
	best := p.cfg.Self
	for _, m := range s.Members {
		if p.standing(s, m) > p.standing(s, best) {
			best = m
		}
	}
	return best, best.Incarnation == p.cfg.Self.Incarnation
}

// rank is this instance's place among those that replace primaries.
func (p *Promoter) rank(s Snapshot) int {
	own := p.standing(s, p.cfg.Self)
	rank := 0
	for _, m := range s.Members {
		if p.standing(s, m) > own {
			rank++
		}
	}
	return rank
}

func (p *Promoter) standing(s Snapshot, m Member) instance.Rank {
	if m.Incarnation == s.Duty.Duty.Holder {
		return math.MaxUint64
	}
	return instance.RankOf(dutyName, m.Incarnation)
}

// servers returns the listed servers of the group by name.
func (p *Promoter) servers(groupName string) []dispatch.Listing {
	all, _ := p.cfg.State.Servers()
	var members []dispatch.Listing
	for _, l := range all {
		if l.Group == groupName {
			members = append(members, l)
		}
	}
	slices.SortFunc(members, func(a, b dispatch.Listing) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// ask connects to a server, sends the orders and returns the answer to the greeting and to each order.
func (p *Promoter) ask(ctx context.Context, l dispatch.Listing, orders ...statement.Command) ([]statement.Result, error) {
	limited, cancel := port.WithTimeout(ctx, p.cfg.Timer, dialLimit)
	defer cancel()
	link, greeting, err := p.cfg.Dialer.Dial(limited, Endpoint{
		Group: l.Group, Server: l.Name, Address: l.Address, Organisation: systemCaller,
	})
	if err != nil {
		return nil, err
	}
	defer link.Close()
	if len(orders) == 0 {
		return []statement.Result{greeting}, nil
	}
	answers, err := link.Do(limited, orders...)
	return append([]statement.Result{greeting}, answers...), err
}

// status asks a server for its status.
func (p *Promoter) status(ctx context.Context, l dispatch.Listing) (primacy.Status, error) {
	answers, err := p.ask(ctx, l, statement.GetStatus{})
	if err != nil {
		return primacy.Status{}, err
	}
	return statusOf(l.Name, answers[len(answers)-1])
}

func statusOf(server string, a statement.Result) (primacy.Status, error) {
	if !a.Failure.IsZero() {
		return primacy.Status{}, port.Errorf(a.Failure.Kind, "server %s gave no status: %s", server, a.Failure.Text)
	}
	s := a.Status
	return primacy.Status{Server: server, Leads: s.IsPrimary, Term: s.Term, Received: s.Received}, nil
}
