package group

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

const (
	// PrimaryFailureTimeout is how long a majority of the servers has to miss its primary before it is replaced.
	PrimaryFailureTimeout = time.Second
	// RankDelay separates the watchers of a group, so that usually one of them acts.
	RankDelay = 300 * time.Millisecond
	// RepairPeriod is how often a watcher tells replicas again which primary to follow, and announces it again.
	RepairPeriod = 500 * time.Millisecond
	// MaxBackoff bounds the attempts that lengthen the delay of a promoter that lost.
	MaxBackoff = 4
	// AlternativeLimit is how long a promoter waits for a majority without the lost primary. A primary that is cut off
	// from its replicas has the furthest log, so it would be promoted again and again.
	AlternativeLimit = 300 * time.Millisecond
	// OrphanTimeout is how long a server may stay fenced by a promotion that was not completed.
	OrphanTimeout = 5 * time.Second
	// PromotionTimeout is how long a promotion may take before the promoter starts over with a later term.
	PromotionTimeout = 2 * time.Second
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

// Promotion decides when and how one promoter replaces the primary of a group. A Promotion is never changed in
// place. The zero value watches with rank zero and refuses to act, because it has no candidate.
type Promotion struct {
	candidate string
	rank      int
	phase     Phase
	term      Term
	since     time.Duration
	lost      string
	fenced    map[string]Status
	refusing  map[string]bool
	highest   Term
	attempts  int

	announced      Announced
	announcedSince time.Duration
	repaired       time.Duration
	settled        time.Duration
}

// NewPromotion returns the promotion of a watcher. candidate is the incarnation of its instance.
func NewPromotion(candidate string, rank int) Promotion {
	return Promotion{candidate: candidate, rank: rank}
}

// Candidate returns the name under which servers promise terms to the promoter.
func (p Promotion) Candidate() string { return p.candidate }

// WithRank returns the promotion of the same watcher at another rank.
func (p Promotion) WithRank(rank int) Promotion {
	p.rank = rank
	return p
}

// Paused returns the promotion of a watcher that has stopped watching. It keeps the terms that it used: a candidate that
// used a term twice could make two primaries of it.
func (p Promotion) Paused() Promotion {
	p.attempts = 0
	return p.stopped()
}

// Phase returns how far the promotion has come.
func (p Promotion) Phase() Phase { return p.phase }

// Term returns the term that the promoter tries to establish, or tried last.
func (p Promotion) Term() Term { return p.term }

// WithEvent returns the promotion after an event and the orders that follow from it. v is what is known of the
// group at instant now.
func (p Promotion) WithEvent(e Event, v View, now time.Duration) (Promotion, []Action) {
	if p.candidate == "" {
		return p, nil
	}
	switch e := e.(type) {
	case Observed:
		return p.withObserved(v, now)
	case Fenced:
		return p.withFenced(e, v, now)
	case Refused:
		return p.withRefused(e, v, now)
	case Promoted:
		return p.withPromoted(e, v, now)
	case Announced:
		return p.withAnnounced(e, now), nil
	}
	return p, nil
}

func (p Promotion) withObserved(v View, now time.Duration) (Promotion, []Action) {
	switch p.phase {
	case Watching, Suspected:
		return p.watch(v, now)
	case Fencing, Promoting:
		if primary, term, ok := p.leader(v); ok && term >= p.term {
			return p.overtaken(primary, term, v, now)
		}
		if now-p.since >= PromotionTimeout {
			return p.retried(now), nil
		}
		return p.choose(v, now)
	}
	return p, nil
}

// watch starts a promotion once the primary is lost and the delay has passed. Meanwhile it brings replicas back that
// follow no primary.
func (p Promotion) watch(v View, now time.Duration) (Promotion, []Action) {
	if !p.primaryLost(v, now) {
		p.attempts = 0
		return p.stopped().repair(v, now)
	}
	if p.phase == Watching {
		p.phase = Suspected
		p.since = now
	}
	if now-p.since < p.delay() {
		return p.repair(v, now)
	}
	return p.startFencing(v, now)
}

// primaryLost gives a primary that was announced or established a moment ago the time to reach its replicas, although
// this watcher may not see it.
func (p Promotion) primaryLost(v View, now time.Duration) bool {
	if p.settled > 0 && now-p.settled < PrimaryFailureTimeout {
		return false
	}
	if p.announced.Term > v.followed() && now-p.announcedSince < PrimaryFailureTimeout {
		return false
	}
	return v.PrimaryLost(now) || v.primaryDeparts(now)
}

// leader returns the primary of the highest term that the watcher has seen or was told of.
func (p Promotion) leader(v View) (string, Term, bool) {
	if primary, ok := v.Primary(); ok {
		if term := v.seen[primary.Name].Status.Followed; term >= p.announced.Term {
			return primary.Name, term, true
		}
	}
	_, member := v.Member(p.announced.Primary)
	return p.announced.Primary, p.announced.Term, member && p.announced.Term >= v.followed()
}

// repair orders servers that have lost their primary to follow the current one, and announces a primary that its
// promoter did not announce.
func (p Promotion) repair(v View, now time.Duration) (Promotion, []Action) {
	primary, term, ok := p.leader(v)
	if !ok || p.repaired > 0 && now-p.repaired < RepairPeriod {
		return p, nil
	}
	var orders []Action
	for _, member := range v.members {
		o, seen := v.seen[member.Name]
		if seen && member.Name != primary && o.strays(term) {
			orders = append(orders, SendFollow{Term: term, Server: member.Name, Primary: primary})
		}
	}
	if term > p.announced.Term {
		orders = append(orders, Announce{Term: term, Primary: primary})
	}
	if len(orders) > 0 {
		p.repaired = now
	}
	return p, orders
}

// strays reports whether the server has to be told of the primary of the term.
func (o Observation) strays(term Term) bool {
	if o.Status.Promised > term {
		return false
	}
	return o.Status.Followed < term || o.Status.Role == Replica && o.Status.PrimarySilence >= PrimaryFailureTimeout
}

func (p Promotion) startFencing(v View, now time.Duration) (Promotion, []Action) {
	p.phase = Fencing
	p.term = max(v.Term(), p.term, p.highest) + 1
	p.since = now
	p.fenced = nil
	p.refusing = nil
	p.lost = v.lastPrimary()
	p.attempts++
	return p, []Action{SendFence{Term: p.term, Candidate: p.candidate}}
}

func (p Promotion) withFenced(e Fenced, v View, now time.Duration) (Promotion, []Action) {
	if p.phase != Fencing || e.Term != p.term || e.Status.Promised != p.term || e.Status.Candidate != p.candidate {
		return p, nil
	}
	fenced := maps.Clone(p.fenced)
	if fenced == nil {
		fenced = make(map[string]Status, len(v.members))
	}
	fenced[e.Status.Server] = e.Status
	p.fenced = fenced
	return p.choose(v, now)
}

// choose orders the promotion once enough servers are fenced.
func (p Promotion) choose(v View, now time.Duration) (Promotion, []Action) {
	if p.phase != Fencing {
		return p, nil
	}
	voters := p.voters(v, now)
	if len(voters) == 0 {
		return p, nil
	}
	p.phase = Promoting
	p.since = now
	return p, []Action{SendPromote{Term: p.term, Candidate: p.candidate, Server: p.furthest(v, voters)}}
}

// voters returns the fenced members among which the new primary is chosen, and none while they are too few. A server
// with an empty log may have lost acknowledged writes, so it counts only when every member was fenced.
func (p Promotion) voters(v View, now time.Duration) []string {
	var all, holding, others []string
	for _, member := range v.members {
		status, ok := p.fenced[member.Name]
		if !ok {
			continue
		}
		all = append(all, member.Name)
		if status.Last().IsZero() {
			continue
		}
		holding = append(holding, member.Name)
		if member.Name != p.lost {
			others = append(others, member.Name)
		}
	}
	switch {
	case len(others) >= v.Majority():
		return others
	case len(all) == len(v.members), len(holding) >= v.Majority() && now-p.since >= AlternativeLimit:
		return all
	}
	return nil
}

// furthest returns the voter with the furthest log; among equals, one that is not departing goes first.
func (p Promotion) furthest(v View, voters []string) string {
	return slices.MaxFunc(voters, func(a, b string) int {
		return cmp.Or(
			p.fenced[a].Last().Compare(p.fenced[b].Last()),
			cmp.Compare(staying(v, a), staying(v, b)),
			cmp.Compare(b, a),
		)
	})
}

func staying(v View, name string) int {
	if member, ok := v.Member(name); ok && !member.Draining {
		return 1
	}
	return 0
}

// withRefused gives up when the servers that have not refused are no majority, or when the promotion was refused.
func (p Promotion) withRefused(e Refused, v View, now time.Duration) (Promotion, []Action) {
	p.highest = max(p.highest, e.Promised)
	if p.phase != Fencing && p.phase != Promoting || e.Term != p.term {
		return p, nil
	}
	refusing := maps.Clone(p.refusing)
	if refusing == nil {
		refusing = make(map[string]bool)
	}
	refusing[e.Server] = true
	p.refusing = refusing
	if p.phase == Fencing && len(v.members)-len(refusing) >= v.Majority() {
		return p, nil
	}
	return p.retried(now), nil
}

func (p Promotion) withPromoted(e Promoted, v View, now time.Duration) (Promotion, []Action) {
	if p.phase != Promoting || e.Term != p.term {
		return p, nil
	}
	return p.overtaken(e.Server, e.Term, v, now)
}

// overtaken ends the promotion because there is a primary of its term or a later one.
func (p Promotion) overtaken(primary string, term Term, v View, now time.Duration) (Promotion, []Action) {
	var orders []Action
	for _, member := range v.members {
		if member.Name != primary {
			orders = append(orders, SendFollow{Term: term, Server: member.Name, Primary: primary})
		}
	}
	if term > p.announced.Term {
		orders = append(orders, Announce{Term: term, Primary: primary})
	}
	p.settled = now
	p.repaired = now
	return p.stopped(), orders
}

func (p Promotion) withAnnounced(e Announced, now time.Duration) Promotion {
	if e.Term > p.announced.Term {
		p.announced = e
		p.announcedSince = now
		p.highest = max(p.highest, e.Term)
	}
	return p
}

// retried goes back to waiting.
func (p Promotion) retried(now time.Duration) Promotion {
	p.phase = Suspected
	p.since = now
	p.fenced = nil
	p.refusing = nil
	return p
}

func (p Promotion) stopped() Promotion {
	p.phase = Watching
	p.fenced = nil
	p.refusing = nil
	return p
}

// delay returns how long the promoter waits after suspicion before it acts. After a lost attempt it also depends on the
// candidate, because two instances can hold the same rank while their lists of instances differ.
func (p Promotion) delay() time.Duration {
	attempts := min(p.attempts, MaxBackoff)
	delay := time.Duration(p.rank) * RankDelay
	if attempts == 0 {
		return delay
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(p.candidate))
	_, _ = h.Write([]byte{byte(p.attempts)})
	spread := h.Sum64() % uint64(time.Duration(attempts)*RankDelay)
	return delay + time.Duration(spread)
}
