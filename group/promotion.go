package group

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

const (
	// PrimaryFailureTimeout is how long a majority of the servers must not have heard from the primary before it is
	// replaced.
	PrimaryFailureTimeout = time.Second
	// RankDelay staggers the watchers of a group by rank, so that usually only one of them starts a promotion.
	RankDelay = 300 * time.Millisecond
	// RepairPeriod is the interval at which a watcher again orders replicas to follow the primary and announces it.
	RepairPeriod = 500 * time.Millisecond
	// MaxBackoff is the number of failed attempts beyond which the delay of a promoter no longer grows.
	MaxBackoff = 4
	// LostPrimaryDelay is how long a promoter waits for a majority without the lost primary. A primary that is
	// partitioned from its replicas has the most advanced log, so it would be promoted again and again.
	LostPrimaryDelay = 300 * time.Millisecond
	// OrphanTimeout is how long a server may stay fenced by an incomplete promotion.
	OrphanTimeout = 5 * time.Second
	// PromotionTimeout is how long a promotion may take before the promoter starts over with a higher term.
	PromotionTimeout = 2 * time.Second
)

// Phase is the stage that a promotion has reached.
type Phase string

// The phases of a promotion.
const (
	Watching  Phase = ""
	Suspected Phase = "suspected"
	Fencing   Phase = "fencing"
	Promoting Phase = "promoting"
)

// Promotion decides when and how one promoter replaces the primary of a group. A Promotion is immutable. The zero value
// never acts, because it has no candidate.
type Promotion struct {
	candidate   string
	rank        int
	phase       Phase
	term        Term
	phaseSince  time.Duration
	lostPrimary string
	fenced      map[string]Status
	refused     map[string]bool
	highestTerm Term
	attempts    int

	announced   Announced
	announcedAt time.Duration
	repairedAt  time.Duration
	concludedAt time.Duration
}

// NewPromotion returns the promotion of a watcher. The candidate is the incarnation of its instance.
func NewPromotion(candidate string, rank int) Promotion {
	return Promotion{candidate: candidate, rank: rank}
}

// Candidate returns the name to which servers promise terms.
func (p Promotion) Candidate() string { return p.candidate }

// WithRank returns the promotion of the same watcher with another rank.
func (p Promotion) WithRank(rank int) Promotion {
	p.rank = rank
	return p
}

// Paused returns the promotion of a watcher that has stopped watching. It keeps the highest used term, because a
// candidate that used a term twice could create two primaries of that term.
func (p Promotion) Paused() Promotion {
	p.attempts = 0
	return p.reset()
}

// Phase returns the stage that the promotion has reached.
func (p Promotion) Phase() Phase { return p.phase }

// Term returns the term of the current or last attempt.
func (p Promotion) Term() Term { return p.term }

// WithEvent returns the promotion after an event and the actions that follow from it. v is the view of the group at
// now.
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
			return p.concluded(primary, term, v, now)
		}
		if now-p.phaseSince >= PromotionTimeout {
			return p.backedOff(now), nil
		}
		return p.choosePrimary(v, now)
	}
	return p, nil
}

// watch starts a promotion once the primary is lost and the delay has passed. Until then it orders replicas without a
// primary to follow it.
func (p Promotion) watch(v View, now time.Duration) (Promotion, []Action) {
	if !p.primaryLost(v, now) {
		p.attempts = 0
		return p.reset().repair(v, now)
	}
	if p.phase == Watching {
		p.phase = Suspected
		p.phaseSince = now
	}
	if now-p.phaseSince < p.delay() {
		return p.repair(v, now)
	}
	return p.startFencing(v, now)
}

// primaryLost reports whether the primary has to be replaced. A primary that was recently announced or promoted gets
// time to reach its replicas, even if this watcher cannot reach it.
func (p Promotion) primaryLost(v View, now time.Duration) bool {
	if p.concludedAt > 0 && now-p.concludedAt < PrimaryFailureTimeout {
		return false
	}
	if p.announced.Term > v.highestFollowed() && now-p.announcedAt < PrimaryFailureTimeout {
		return false
	}
	return v.PrimaryLost(now) || v.primaryCanLeave(now)
}

// leader returns the primary of the highest term that the watcher has observed or that was announced to it.
func (p Promotion) leader(v View) (string, Term, bool) {
	if primary, ok := v.Primary(); ok {
		if term := v.observations[primary.Name].Status.Followed; term >= p.announced.Term {
			return primary.Name, term, true
		}
	}
	_, member := v.Member(p.announced.Primary)
	return p.announced.Primary, p.announced.Term, member && p.announced.Term >= v.highestFollowed()
}

// repair orders servers that have lost their primary to follow the current one, and announces a primary that its
// promoter failed to announce.
func (p Promotion) repair(v View, now time.Duration) (Promotion, []Action) {
	primary, term, ok := p.leader(v)
	if !ok || p.repairedAt > 0 && now-p.repairedAt < RepairPeriod {
		return p, nil
	}
	var actions []Action
	for _, member := range v.members {
		o, seen := v.observations[member.Name]
		if seen && member.Name != primary && o.mustFollow(term) {
			actions = append(actions, SendFollow{Term: term, Server: member.Name, Primary: primary})
		}
	}
	if term > p.announced.Term {
		actions = append(actions, Announce{Term: term, Primary: primary})
	}
	if len(actions) > 0 {
		p.repairedAt = now
	}
	return p, actions
}

// mustFollow reports whether the server has to be ordered to follow the primary of the term.
func (o Observation) mustFollow(term Term) bool {
	if o.Status.Promised > term {
		return false
	}
	return o.Status.Followed < term || o.Status.Role == Replica && o.Status.PrimarySilence >= PrimaryFailureTimeout
}

func (p Promotion) startFencing(v View, now time.Duration) (Promotion, []Action) {
	p.phase = Fencing
	p.term = max(v.Term(), p.term, p.highestTerm) + 1
	p.phaseSince = now
	p.fenced = nil
	p.refused = nil
	p.lostPrimary = v.lastPrimary()
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
	return p.choosePrimary(v, now)
}

// choosePrimary promotes a server once enough servers are fenced.
func (p Promotion) choosePrimary(v View, now time.Duration) (Promotion, []Action) {
	if p.phase != Fencing {
		return p, nil
	}
	voters := p.voters(v, now)
	if len(voters) == 0 {
		return p, nil
	}
	p.phase = Promoting
	p.phaseSince = now
	return p, []Action{SendPromote{Term: p.term, Candidate: p.candidate, Server: p.mostAdvanced(v, voters)}}
}

// voters returns the fenced members from which the new primary is chosen, or none while there are too few. A server
// with an empty log may have lost acknowledged writes, so it counts only when every member is fenced.
func (p Promotion) voters(v View, now time.Duration) []string {
	var all, withLog, others []string
	for _, member := range v.members {
		status, ok := p.fenced[member.Name]
		if !ok {
			continue
		}
		all = append(all, member.Name)
		if status.Last().IsZero() {
			continue
		}
		withLog = append(withLog, member.Name)
		if member.Name != p.lostPrimary {
			others = append(others, member.Name)
		}
	}
	switch {
	case len(others) >= v.Majority():
		return others
	case len(all) == len(v.members), len(withLog) >= v.Majority() && now-p.phaseSince >= LostPrimaryDelay:
		return all
	}
	return nil
}

// mostAdvanced returns the voter with the most advanced log, among equal logs preferably one that is not draining.
func (p Promotion) mostAdvanced(v View, voters []string) string {
	return slices.MaxFunc(voters, func(a, b string) int {
		return cmp.Or(
			p.fenced[a].Last().Compare(p.fenced[b].Last()),
			cmp.Compare(stayPreference(v, a), stayPreference(v, b)),
			cmp.Compare(b, a),
		)
	})
}

func stayPreference(v View, name string) int {
	if member, ok := v.Member(name); ok && !member.Draining {
		return 1
	}
	return 0
}

// withRefused ends the attempt when a majority can no longer be fenced, or when the promotion was refused.
func (p Promotion) withRefused(e Refused, v View, now time.Duration) (Promotion, []Action) {
	p.highestTerm = max(p.highestTerm, e.Promised)
	if p.phase != Fencing && p.phase != Promoting || e.Term != p.term {
		return p, nil
	}
	refused := maps.Clone(p.refused)
	if refused == nil {
		refused = make(map[string]bool)
	}
	refused[e.Server] = true
	p.refused = refused
	if p.phase == Fencing && len(v.members)-len(refused) >= v.Majority() {
		return p, nil
	}
	return p.backedOff(now), nil
}

func (p Promotion) withPromoted(e Promoted, v View, now time.Duration) (Promotion, []Action) {
	if p.phase != Promoting || e.Term != p.term {
		return p, nil
	}
	return p.concluded(e.Server, e.Term, v, now)
}

// concluded ends the promotion because there is a primary of its term or of a higher one.
func (p Promotion) concluded(primary string, term Term, v View, now time.Duration) (Promotion, []Action) {
	var actions []Action
	for _, member := range v.members {
		if member.Name != primary {
			actions = append(actions, SendFollow{Term: term, Server: member.Name, Primary: primary})
		}
	}
	if term > p.announced.Term {
		actions = append(actions, Announce{Term: term, Primary: primary})
	}
	p.concludedAt = now
	p.repairedAt = now
	return p.reset(), actions
}

func (p Promotion) withAnnounced(e Announced, now time.Duration) Promotion {
	if e.Term > p.announced.Term {
		p.announced = e
		p.announcedAt = now
		p.highestTerm = max(p.highestTerm, e.Term)
	}
	return p
}

// backedOff ends the attempt and waits for the delay before the next one.
func (p Promotion) backedOff(now time.Duration) Promotion {
	p.phase = Suspected
	p.phaseSince = now
	p.fenced = nil
	p.refused = nil
	return p
}

func (p Promotion) reset() Promotion {
	p.phase = Watching
	p.fenced = nil
	p.refused = nil
	return p
}

// delay returns how long the promoter waits after it suspects the primary. After a failed attempt the delay also
// depends on the candidate, because two instances can have the same rank while their lists of instances differ.
func (p Promotion) delay() time.Duration {
	attempts := min(p.attempts, MaxBackoff)
	delay := time.Duration(p.rank) * RankDelay
	if attempts == 0 {
		return delay
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(p.candidate))
	_, _ = h.Write([]byte{byte(p.attempts)})
	jitter := h.Sum64() % uint64(time.Duration(attempts)*RankDelay)
	return delay + time.Duration(jitter)
}
