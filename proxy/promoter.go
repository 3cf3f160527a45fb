package proxy

import (
	"context"
	"slices"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/group"
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
	// systemCaller is the name under which the system itself connects to servers.
	systemCaller = "rhubarbwick"
)

// PromoterConfig is what a Promoter needs.
type PromoterConfig struct {
	Self       Member
	Timer      port.Timer
	Knowledge  *Knowledge
	Readers    *StoreReaders
	Fleet      Fleet
	Views      *Views
	Desk       *Desk
	Dialer     Dialer
	Records    Records
	Promotions Promotions
}

// Promoter is the duty that sees to it that every group has a primary.
type Promoter struct {
	cfg PromoterConfig
	// unknownSince holds since when a group was seen without a record.
	unknownSince map[string]time.Duration
}

// NewPromoter returns a promoter.
func NewPromoter(cfg PromoterConfig) *Promoter {
	return &Promoter{cfg: cfg, unknownSince: make(map[string]time.Duration)}
}

// Run looks after the groups until ctx ends.
func (p *Promoter) Run(ctx context.Context) { p.loop(ctx) }

func (p *Promoter) loop(ctx context.Context) {
	for port.Wait(ctx, p.cfg.Timer, promoterPeriod) == nil {
		if !p.cfg.Knowledge.IsComplete() {
			continue
		}
		snapshot, _ := p.cfg.Knowledge.Records()
		index, _ := p.cfg.Knowledge.Rules()
		for _, g := range index.Document().Groups {
			if _, found := snapshot.Primacies[g.Name]; !found {
				p.introduce(ctx, snapshot, g.Name)
			}
		}
	}
}

// introduce writes the first record of a group: the server that is its primary and leads its newest term. The instance
// of the first rank does it at once, the others only if it does not.
func (p *Promoter) introduce(ctx context.Context, s Snapshot, groupName string) {
	now := p.cfg.Timer.Now()
	since, seen := p.unknownSince[groupName]
	if !seen {
		since = now
		p.unknownSince[groupName] = now
	}
	if now-since < time.Duration(p.rank(s, groupName))*introductionStep {
		return
	}
	for _, l := range p.members(groupName) {
		if l.Role != dispatch.Primary || l.Departing {
			continue
		}
		position, err := p.position(ctx, l)
		if err != nil || position.Term == 0 {
			continue
		}
		record := primacy.Record{Group: groupName, Primary: l.Name, Term: position.Term}
		data, err := record.Encode()
		if err != nil {
			return
		}
		limited, cancel := port.WithTimeout(ctx, p.cfg.Timer, callLimit)
		_, _ = p.cfg.Records.Put(limited, primacyPrefix+groupName, data, 0)
		cancel()
		_ = p.cfg.Readers.ReadRecords(ctx)
		p.unknownSince[groupName] = p.cfg.Timer.Now()
		return
	}
}

// rank is this instance's place among all for the group.
func (p *Promoter) rank(s Snapshot, groupName string) int {
	own := instance.RankOf(groupName, p.cfg.Self.Incarnation)
	rank := 0
	for _, m := range s.Members {
		if instance.RankOf(groupName, m.Incarnation) > own {
			rank++
		}
	}
	return rank
}

// members returns the listed servers of the group by name.
func (p *Promoter) members(groupName string) []dispatch.Listing {
	var members []dispatch.Listing
	servers, _ := p.cfg.Knowledge.Servers()
	for _, l := range servers {
		if l.Group == groupName {
			members = append(members, l)
		}
	}
	slices.SortFunc(members, func(a, b dispatch.Listing) int { return compareNames(a.Name, b.Name) })
	return members
}

// position connects to a server and returns the last position that it tells.
func (p *Promoter) position(ctx context.Context, l dispatch.Listing) (group.Position, error) {
	answers, err := p.ask(ctx, l)
	if err != nil {
		return group.Position{}, err
	}
	return answers[0].Position, nil
}

// ask connects to a server, sends the orders and returns the answer to the greeting and to each order.
func (p *Promoter) ask(ctx context.Context, l dispatch.Listing, orders ...statement.Order) ([]statement.Answer, error) {
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
		return []statement.Answer{greeting}, nil
	}
	answers, err := link.Do(limited, orders...)
	return append([]statement.Answer{greeting}, answers...), err
}
