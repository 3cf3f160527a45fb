package admission

import (
	"math"
	"time"
)

const (
	// firstBurstFraction and secondBurstFraction are the fractions of the tolerated slack that the first and the second
	// holder may spend at once. The remainder covers a transaction that opens with two statements for one token, and
	// statements that are delayed on their way to the server.
	firstBurstFraction  = 0.4
	secondBurstFraction = 0.2
	// minBurst is the least burst with which a bucket can ever grant a statement.
	minBurst = 1
)

// WarmUpTolerance is by how much the statements that a cold server gets in one second may exceed its rate: by the factor
// Over, and by Slack statements. It is enabled if Over is above zero.
type WarmUpTolerance struct {
	Over  float64
	Slack float64
}

// IsEnabled reports whether cold servers are limited.
func (t WarmUpTolerance) IsEnabled() bool { return t.Over > 0 }

// ColdRate states how many statements per second a cold server of a group may get, and how long a server is cold after
// its start. A zero rate means no limit, a zero duration that none is known.
type ColdRate struct {
	PerSecond float64
	Duration  time.Duration
}

// WarmUpRank is an instance's position among those that may spend a cold server's budget.
type WarmUpRank int

// The ranks, the one with the greatest share first.
const (
	WarmUpFirst WarmUpRank = iota
	WarmUpSecond
	WarmUpNone
)

// WarmUpShare is the part of a cold server's budget that one instance may spend.
type WarmUpShare struct {
	Rate  float64
	Burst float64
}

// Share returns the share of a rank. In every second, the first holder spends at most rate + burst, and the second one,
// which takes over while the first may still be active, at most what the tolerance leaves. Together they stay below
// perSecond x Over + Slack.
func (t WarmUpTolerance) Share(perSecond float64, rank WarmUpRank) WarmUpShare {
	first := WarmUpShare{Rate: perSecond * min(t.Over, 1), Burst: max(firstBurstFraction*t.Slack, minBurst)}
	allowed := perSecond*t.Over + t.Slack
	first.Rate = max(min(first.Rate, allowed-first.Burst), 0)
	switch rank {
	case WarmUpFirst:
		return first
	case WarmUpSecond:
		second := WarmUpShare{Rate: perSecond * max(t.Over-1, 0), Burst: max(secondBurstFraction*t.Slack, minBurst)}
		// One statement more than the burst is spent when a transaction opens.
		second.Rate = min(second.Rate, allowed-first.Rate-first.Burst-second.Burst-1)
		if second.Rate > 0 {
			return second
		}
	}
	return WarmUpShare{}
}

// WarmUp is the budget of statements that one instance may send to one cold server: a token bucket that starts empty. It
// handles the load on a server that has just started and would answer the usual rate slowly until its caches are filled.
// It is immutable; the zero value grants nothing.
type WarmUp struct {
	share  WarmUpShare
	tokens float64
	at     time.Duration
}

// At returns the budget with the tokens that have accrued up to now.
func (w WarmUp) At(now time.Duration) WarmUp {
	if now > w.at {
		w.tokens = min(w.tokens+w.share.Rate*(now-w.at).Seconds(), w.share.Burst)
		w.at = now
	}
	return w
}

// WithShare returns the budget with another share. Tokens that accrued under another share are dropped, because an
// earlier holder may have spent them.
func (w WarmUp) WithShare(s WarmUpShare, now time.Duration) WarmUp {
	w = w.At(now)
	if s != w.share {
		w.share, w.tokens = s, min(w.tokens, 0)
	}
	return w
}

// needed returns the tokens that must be available for n statements. A transaction opens with two statements, which must
// be possible with a burst of one; the bucket then goes below zero.
func (w WarmUp) needed(n int) float64 { return min(float64(n), w.share.Burst) }

// WithSpent returns the budget after n statements were sent, or false if there are too few tokens.
func (w WarmUp) WithSpent(n int, now time.Duration) (WarmUp, bool) {
	w = w.At(now)
	if w.share.Rate <= 0 || w.tokens < w.needed(n) {
		return w, false
	}
	w.tokens -= float64(n)
	return w, true
}

// WithDebt returns the budget after n statements were sent without being granted. Later statements wait for it.
func (w WarmUp) WithDebt(n int, now time.Duration) WarmUp {
	w = w.At(now)
	w.tokens -= float64(n)
	return w
}

// Delay returns the time until n statements are granted, or false if they never are.
func (w WarmUp) Delay(n int, now time.Duration) (time.Duration, bool) {
	w = w.At(now)
	switch missing := w.needed(n) - w.tokens; {
	case w.share.Rate <= 0:
		return 0, false
	case missing <= 0:
		return 0, true
	default:
		// Rounded up: after the delay, WithSpent must find the tokens.
		return time.Duration(math.Ceil(missing/w.share.Rate*float64(time.Second))) + 1, true
	}
}

// Interval returns the mean time between two statements, or zero if none are granted.
func (w WarmUp) Interval() time.Duration {
	if w.share.Rate <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / w.share.Rate)
}

// WarmUpClaim is the rank that an instance may act on. A worse rank applies at once. A better one applies only after the
// instance has held it for the settling time: until then, an instance whose records are older may still act on the rank
// that it has lost. The zero value is not usable; use NewWarmUpClaim.
type WarmUpClaim struct {
	rank  WarmUpRank
	next  WarmUpRank
	since time.Duration
}

// NewWarmUpClaim returns the claim of an instance that may spend nothing.
func NewWarmUpClaim() WarmUpClaim { return WarmUpClaim{rank: WarmUpNone, next: WarmUpNone} }

// WithRank returns the claim after the instance found at now that it has the rank. Settling is how old the records of an
// instance that acts on its rank may be.
func (c WarmUpClaim) WithRank(rank WarmUpRank, now, settling time.Duration) WarmUpClaim {
	if rank != c.next {
		c.next, c.since = rank, now
	}
	if rank >= c.rank || now-c.since >= settling {
		c.rank = rank
	}
	return c
}

// Rank returns the rank that the instance may act on.
func (c WarmUpClaim) Rank() WarmUpRank { return c.rank }
