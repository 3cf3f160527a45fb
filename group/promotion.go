package group

import (
	"maps"
	"slices"
	"time"
)

const (
	// SilenceLimit is how long a majority of the servers has to miss its primary before it is replaced.
	SilenceLimit = time.Second
	// RankDelay separates the watchers of a group, so that usually one of them acts.
	RankDelay = 300 * time.Millisecond
	// OrphanLimit is how long a server may stay fenced by a promotion that was not completed.
	OrphanLimit = 5 * time.Second
	// AttemptLimit is how long a promotion may take before the promoter starts over with a later term.
	AttemptLimit = 2 * time.Second
)

// Phase is how far a promotion has come.
type Phase string

// The phases of a promotion.
const (
	Watching  Phase = ""
	Suspected Phase = "suspected"
	Fencing   Phase = "fencing"
	Promoting Phase = "promoting"
)

// Event is what a promoter learns. It is one of Observed, Fenced, Refused and Promoted.
type Event interface{ event() }

// Observed says that the view may have changed or that time has passed.
type Observed struct{}

// Fenced says that a server has promised the term to this promoter.
type Fenced struct {
	Term   Term
	Status Status
}

// Refused says that a server refused a fence or a promotion of the term because it has promised a later one.
type Refused struct {
	Term     Term
	Promised Term
}

// Promoted says that a server became primary of the term.
type Promoted struct {
	Term   Term
	Server string
}

func (Observed) event() {}
func (Fenced) event()   {}
func (Refused) event()  {}
func (Promoted) event() {}

// Order is what a promoter has to do next. It is one of SendFence, SendPromote, SendFollow and Announce.
type Order interface{ order() }

// SendFence asks every member to promise the term to the candidate.
type SendFence struct {
	Term      Term
	Candidate string
}

// SendPromote makes a server primary.
type SendPromote struct {
	Term      Term
	Candidate string
	Server    string
}

// SendFollow makes a server replicate from the primary of the term.
type SendFollow struct {
	Term    Term
	Server  string
	Primary string
}

// Announce tells the fleet which server is primary of the term.
type Announce struct {
	Term    Term
	Primary string
}

func (SendFence) order()   {}
func (SendPromote) order() {}
func (SendFollow) order()  {}
func (Announce) order()    {}

// Promotion decides when and how one promoter replaces the primary of a group. A Promotion is never changed in
// place. The zero value watches with rank zero and refuses to act, because it has no candidate.
type Promotion struct {
	candidate string
	rank      int
	phase     Phase
	term      Term
	since     time.Duration
	fenced    map[string]Status
	refused   Term
	attempts  int
}

// NewPromotion returns the promotion of a watcher. candidate is the incarnation of its instance.
func NewPromotion(candidate string, rank int) Promotion {
	return Promotion{candidate: candidate, rank: rank}
}

// WithRank returns the promotion of the same watcher at another rank.
func (p Promotion) WithRank(rank int) Promotion {
	p.rank = rank
	return p
}

// Phase returns how far the promotion has come.
func (p Promotion) Phase() Phase { return p.phase }

// Term returns the term that the promoter tries to establish, or tried last.
func (p Promotion) Term() Term { return p.term }

// WithEvent returns the promotion after an event and the orders that follow from it. v is what is known of the
// group at instant now.
func (p Promotion) WithEvent(e Event, v View, now time.Duration) (Promotion, []Order) {
	if p.candidate == "" {
		return p, nil
	}
	switch e := e.(type) {
	case Observed:
		return p.withObserved(v, now)
	case Fenced:
		return p.withFenced(e, v, now)
	case Refused:
		return p.withRefused(e, now)
	case Promoted:
		return p.withPromoted(e, v)
	}
	return p, nil
}

func (p Promotion) withObserved(v View, now time.Duration) (Promotion, []Order) {
	switch p.phase {
	case Watching:
		return p.watch(v, now), p.strays(v)
	case Suspected:
		if !v.PrimaryLost() {
			return p.stopped(), nil
		}
		if now-p.since < p.delay() {
			return p, nil
		}
		return p.startFencing(v, now)
	case Fencing, Promoting:
		if now-p.since < AttemptLimit {
			return p, nil
		}
		return p.retried(now), nil
	}
	return p, nil
}

func (p Promotion) watch(v View, now time.Duration) Promotion {
	if !v.PrimaryLost() {
		p.attempts = 0
		return p
	}
	p.phase = Suspected
	p.since = now
	return p
}

// strays orders replicas that follow an older term to follow the current primary.
func (p Promotion) strays(v View) []Order {
	primary, ok := v.Primary()
	if !ok {
		return nil
	}
	term := v.seen[primary.Name].Status.Followed
	var orders []Order
	for _, member := range v.members {
		o, seen := v.seen[member.Name]
		if seen && member.Name != primary.Name && o.Status.Followed < term && o.Status.Promised <= term {
			orders = append(orders, SendFollow{Term: term, Server: member.Name, Primary: primary.Name})
		}
	}
	return orders
}

func (p Promotion) startFencing(v View, now time.Duration) (Promotion, []Order) {
	p.phase = Fencing
	p.term = max(v.Term(), p.term, p.refused) + 1
	p.since = now
	p.fenced = nil
	p.attempts++
	return p, []Order{SendFence{Term: p.term, Candidate: p.candidate}}
}

func (p Promotion) withFenced(e Fenced, v View, now time.Duration) (Promotion, []Order) {
	if p.phase != Fencing || e.Term != p.term || e.Status.Promised != p.term || e.Status.Candidate != p.candidate {
		return p, nil
	}
	fenced := maps.Clone(p.fenced)
	if fenced == nil {
		fenced = make(map[string]Status, len(v.members))
	}
	fenced[e.Status.Server] = e.Status
	p.fenced = fenced
	if len(fenced) < v.Majority() {
		return p, nil
	}
	p.phase = Promoting
	p.since = now
	return p, []Order{SendPromote{Term: p.term, Candidate: p.candidate, Server: p.furthest(v)}}
}

// furthest returns the fenced server with the furthest log; among equals, one that is not departing goes first.
func (p Promotion) furthest(v View) string {
	names := slices.Sorted(maps.Keys(p.fenced))
	best := names[0]
	for _, name := range names[1:] {
		order := p.fenced[name].Last().Compare(p.fenced[best].Last())
		if order > 0 || order == 0 && departing(v, best) && !departing(v, name) {
			best = name
		}
	}
	return best
}

func departing(v View, name string) bool {
	member, ok := v.Member(name)
	return ok && member.Departing
}

func (p Promotion) withRefused(e Refused, now time.Duration) (Promotion, []Order) {
	if p.phase != Fencing && p.phase != Promoting || e.Term != p.term {
		return p, nil
	}
	p.refused = max(p.refused, e.Promised)
	return p.retried(now), nil
}

func (p Promotion) withPromoted(e Promoted, v View) (Promotion, []Order) {
	if p.phase != Promoting || e.Term != p.term {
		return p, nil
	}
	var orders []Order
	for _, member := range v.members {
		if member.Name != e.Server {
			orders = append(orders, SendFollow{Term: e.Term, Server: member.Name, Primary: e.Server})
		}
	}
	orders = append(orders, Announce{Term: e.Term, Primary: e.Server})
	return p.stopped(), orders
}

// retried goes back to waiting, with a delay that grows with the attempts so that two promoters part.
func (p Promotion) retried(now time.Duration) Promotion {
	p.phase = Suspected
	p.since = now
	p.fenced = nil
	return p
}

func (p Promotion) stopped() Promotion {
	p.phase = Watching
	p.fenced = nil
	return p
}

// delay returns how long the promoter waits after suspicion before it acts.
func (p Promotion) delay() time.Duration {
	return time.Duration(p.rank*(1+p.attempts)) * RankDelay
}
