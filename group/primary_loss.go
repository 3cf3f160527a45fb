package group

import (
	"time"
)

// PrimaryLost reports whether the primary has to be replaced at instant now. That is so when a majority of the servers
// said that it misses a primary, when the primary itself was fenced and left so, or when a server was left with a
// promise of a later term for OrphanLimit: it takes no entries until there is a primary of a later term still.
func (v View) PrimaryLost(now time.Duration) bool {
	highest := v.highestFollowed()
	isNew := v.ledSince(highest, now-SilenceLimit)
	missing := 0
	for _, member := range v.members {
		o, ok := v.seen[member.Name]
		if !ok || now-o.Asked > EvidenceLimit {
			continue
		}
		if isNew && o.Status.Promised <= highest {
			continue
		}
		if o.fenced() && o.stateAge() >= o.fencedLimit(highest) {
			return true
		}
		if o.missesPrimary(highest) {
			missing++
		}
	}
	return len(v.members) > 0 && missing >= v.Majority()
}

// PrimaryDoubted reports whether a majority of the servers has not heard from the primary for half of SilenceLimit, so
// that a write would wait for its acknowledgment, perhaps in vain. Heartbeats have to come more often than that.
func (v View) PrimaryDoubted(now time.Duration) bool {
	if v.ledSince(v.highestFollowed(), now-SilenceLimit) {
		return false
	}
	silent := 0
	for _, o := range v.seen {
		fresh := now-o.Asked <= EvidenceLimit
		if fresh && o.Status.Role == Replica && o.Status.PrimarySilence >= SilenceLimit/2 {
			silent++
		}
	}
	return silent >= v.Majority()
}

// primaryCanLeave reports whether the primary is to leave and a majority of servers that stay can do without it.
func (v View) primaryCanLeave(now time.Duration) bool {
	primary, ok := v.Primary()
	if !ok || !primary.Departing {
		return false
	}
	staying := 0
	for _, member := range v.members {
		o, seen := v.seen[member.Name]
		if seen && !member.Departing && now-o.Asked <= EvidenceLimit && !o.fenced() && !o.Status.Last().IsZero() {
			staying++
		}
	}
	return staying >= v.Majority()
}

// ledSince reports whether a known server leads the term and was first seen to do so after the instant. Its replicas may
// not have heard from it yet.
func (v View) ledSince(term Term, instant time.Duration) bool {
	for _, o := range v.seen {
		if o.Status.Role == Primary && o.Status.Followed == term && !o.fenced() {
			return o.stateSince > instant
		}
	}
	return false
}

// fencedLimit returns how long the server may be left fenced. The primary of the highest term takes no writes meanwhile.
func (o Observation) fencedLimit(highest Term) time.Duration {
	if o.Status.Role == Primary && o.Status.Followed == highest {
		return SilenceLimit
	}
	return FencedLimit
}

// missesPrimary reports whether the server has no primary: it has not heard from one, it was left fenced, or it leads
// an earlier term itself.
func (o Observation) missesPrimary(highest Term) bool {
	if o.Status.Role == Primary {
		return o.Status.Followed < highest || o.fenced() && o.stateAge() >= SilenceLimit
	}
	return o.Status.PrimarySilence >= SilenceLimit || o.fenced() && o.stateAge() >= SilenceLimit
}
