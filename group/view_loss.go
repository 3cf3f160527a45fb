package group

import (
	"time"
)

// PrimaryLost reports whether the primary has to be replaced at instant now. That is so when a majority of the servers
// said that it misses a primary, when the primary itself was fenced and left so, or when a server was left with a
// promise of a later term for OrphanLimit: it takes no entries until there is a primary of a later term still.
func (v View) PrimaryLost(now time.Duration) bool {
	top := v.followed()
	young := v.ledSince(top, now-PrimaryFailureTimeout)
	missing := 0
	for _, member := range v.members {
		o, ok := v.seen[member.Name]
		if !ok || now-o.RequestedAt > MaxObservationAge {
			continue
		}
		if young && o.Status.Promised <= top {
			continue
		}
		if o.fenced() && o.lasted() >= o.patience(top) {
			return true
		}
		if o.missesPrimary(top) {
			missing++
		}
	}
	return len(v.members) > 0 && missing >= v.Majority()
}

// PrimaryUnresponsive reports whether a majority of the servers has not heard from the primary for half of SilenceLimit, so
// that a write would wait for its acknowledgment, perhaps in vain. Heartbeats have to come more often than that.
func (v View) PrimaryUnresponsive(now time.Duration) bool {
	if v.ledSince(v.followed(), now-PrimaryFailureTimeout) {
		return false
	}
	silent := 0
	for _, o := range v.seen {
		fresh := now-o.RequestedAt <= MaxObservationAge
		if fresh && o.Status.Role == Replica && o.Status.PrimarySilence >= PrimaryFailureTimeout/2 {
			silent++
		}
	}
	return silent >= v.Majority()
}

// primaryDeparts reports whether the primary is to leave and a majority of servers that stay can do without it.
func (v View) primaryDeparts(now time.Duration) bool {
	primary, ok := v.Primary()
	if !ok || !primary.Draining {
		return false
	}
	staying := 0
	for _, member := range v.members {
		o, seen := v.seen[member.Name]
		if seen && !member.Draining && now-o.RequestedAt <= MaxObservationAge && !o.fenced() && !o.Status.Last().IsZero() {
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
			return o.since > instant
		}
	}
	return false
}

// patience returns how long the server may be left fenced. The primary of the highest term takes no writes meanwhile.
func (o Observation) patience(top Term) time.Duration {
	if o.Status.Role == Primary && o.Status.Followed == top {
		return PrimaryFailureTimeout
	}
	return OrphanTimeout
}

// missesPrimary reports whether the server has no primary: it has not heard from one, it was left fenced, or it leads
// an earlier term itself.
func (o Observation) missesPrimary(top Term) bool {
	if o.Status.Role == Primary {
		return o.Status.Followed < top || o.fenced() && o.lasted() >= PrimaryFailureTimeout
	}
	return o.Status.PrimarySilence >= PrimaryFailureTimeout || o.fenced() && o.lasted() >= PrimaryFailureTimeout
}
