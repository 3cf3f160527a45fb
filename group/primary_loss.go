package group

import (
	"time"
)

// PrimaryLost reports whether the primary has to be replaced at now. This is the case when a majority of the servers
// lacks a primary, when the primary itself stayed fenced for PrimaryFailureTimeout, or when another server stayed
// fenced for OrphanTimeout, because a fenced server accepts no entries until there is a primary of the promised term or
// of a higher one.
func (v View) PrimaryLost(now time.Duration) bool {
	highest := v.highestFollowed()
	isNew := v.ledSince(highest, now-PrimaryFailureTimeout)
	lacking := 0
	for _, member := range v.members {
		o, ok := v.observations[member.Name]
		if !ok || now-o.RequestedAt > MaxVoteAge {
			continue
		}
		if isNew && o.Status.Promised <= highest {
			continue
		}
		if o.fenced() && o.stateAge() >= o.fencedLimit(highest) {
			return true
		}
		if o.lacksPrimary(highest) {
			lacking++
		}
	}
	return len(v.members) > 0 && lacking >= v.Majority()
}

// PrimaryUnresponsive reports whether a majority of the servers has not heard from the primary for half of
// PrimaryFailureTimeout, so that a write may never be acknowledged. The heartbeat interval has to be shorter than that.
func (v View) PrimaryUnresponsive(now time.Duration) bool {
	if v.ledSince(v.highestFollowed(), now-PrimaryFailureTimeout) {
		return false
	}
	silent := 0
	for _, o := range v.observations {
		fresh := now-o.RequestedAt <= MaxVoteAge
		if fresh && o.Status.Role == Replica && o.Status.PrimarySilence >= PrimaryFailureTimeout/2 {
			silent++
		}
	}
	return silent >= v.Majority()
}

// primaryCanLeave reports whether the primary is draining and a majority of healthy servers stays without it.
func (v View) primaryCanLeave(now time.Duration) bool {
	primary, ok := v.Primary()
	if !ok || !primary.Draining {
		return false
	}
	remaining := 0
	for _, member := range v.members {
		o, seen := v.observations[member.Name]
		if seen && !member.Draining && now-o.RequestedAt <= MaxVoteAge && !o.fenced() && !o.Status.Last().IsZero() {
			remaining++
		}
	}
	return remaining >= v.Majority()
}

// ledSince reports whether an observed server is the primary of the term and was first observed as such after the given
// time. Its replicas may not have heard from it yet.
func (v View) ledSince(term Term, instant time.Duration) bool {
	for _, o := range v.observations {
		if o.Status.Role == Primary && o.Status.Followed == term && !o.fenced() {
			return o.stateSince > instant
		}
	}
	return false
}

// fencedLimit returns how long the server may stay fenced. For the primary of the highest term the limit is shorter,
// because it accepts no writes in that time.
func (o Observation) fencedLimit(highest Term) time.Duration {
	if o.Status.Role == Primary && o.Status.Followed == highest {
		return PrimaryFailureTimeout
	}
	return OrphanTimeout
}

// lacksPrimary reports whether the server has no primary: it has not heard from one for PrimaryFailureTimeout, it
// stayed fenced for that time, or it is itself the primary of an earlier term.
func (o Observation) lacksPrimary(highest Term) bool {
	if o.Status.Role == Primary {
		return o.Status.Followed < highest || o.fenced() && o.stateAge() >= PrimaryFailureTimeout
	}
	return o.Status.PrimarySilence >= PrimaryFailureTimeout || o.fenced() && o.stateAge() >= PrimaryFailureTimeout
}
