package allotment

import (
	"math/bits"
	"time"
)

// Bucket is a local token bucket. Times are those of the holder's own monotonic clock. A Bucket is immutable; the zero
// value admits nothing.
type Bucket struct {
	rate   Statements
	burst  Statements
	tokens Statements
	// outstanding is the number of tokens that borrowers may still spend. The bucket fills up to the burst minus that
	// number.
	outstanding Statements
	at          time.Duration
}

// At returns the bucket refilled up to now. A time before the last update changes nothing. Time that has accrued only a
// fraction of a unit is carried over; otherwise a slow rate would never fill a bucket that is updated often.
func (b Bucket) At(now time.Duration) Bucket {
	if now <= b.at {
		return b
	}
	added := accrued(b.rate, now-b.at)
	b.at = b.accountedUntil(added, now)
	b.tokens = min(b.capacity(), b.tokens+added)
	return b
}

// accountedUntil returns the time up to which the added tokens account for the elapsed time, rounded up.
func (b Bucket) accountedUntil(added Statements, now time.Duration) time.Duration {
	if b.rate <= 0 || b.tokens+added >= b.capacity() || now-b.at > time.Hour {
		return now
	}
	accounted := time.Duration(muldiv(int64(added), int64(time.Second), int64(b.rate)))
	if added > 0 {
		accounted++
	}
	return min(now, b.at+accounted)
}

// capacity returns how many tokens the bucket can currently hold.
func (b Bucket) capacity() Statements { return max(b.burst-b.outstanding, 0) }

// WithOutstanding returns the bucket with n tokens outstanding, that is, issued in batches that borrowers may still
// spend.
func (b Bucket) WithOutstanding(now time.Duration, n Statements) Bucket {
	b = b.At(now)
	b.outstanding = max(n, 0)
	b.tokens = min(b.tokens, b.capacity())
	return b
}

// Take takes n tokens, and reports false when there are too few.
func (b Bucket) Take(now time.Duration, n Statements) (Bucket, bool) {
	b = b.At(now)
	if n <= 0 || b.tokens < n {
		return b, false
	}
	b.tokens -= n
	return b, true
}

// WithShare returns the bucket with another rate and burst. No tokens are added, and those above the burst are dropped.
func (b Bucket) WithShare(now time.Duration, share Amount) Bucket {
	b = b.At(now)
	// The new rate does not apply to the time before now.
	b.at = max(b.at, now)
	b.rate, b.burst = share.Rate, share.Burst
	b.tokens = min(b.tokens, b.capacity())
	return b
}

// WithTokens returns the bucket with up to n more tokens, as far as its capacity allows.
func (b Bucket) WithTokens(now time.Duration, n Statements) Bucket {
	b = b.At(now)
	b.tokens = min(b.capacity(), b.tokens+max(n, 0))
	return b
}

// WithoutTokens returns the bucket with up to n tokens removed, and how many were removed.
func (b Bucket) WithoutTokens(now time.Duration, n Statements) (Bucket, Statements) {
	b = b.At(now)
	n = min(max(n, 0), b.tokens)
	b.tokens -= n
	return b, n
}

// Tokens returns the number of tokens at the last update.
func (b Bucket) Tokens() Statements { return b.tokens }

// Delay returns the time until n tokens are available, and false when they never will be.
func (b Bucket) Delay(n Statements) (time.Duration, bool) {
	if b.tokens >= n {
		return 0, true
	}
	if b.rate <= 0 || b.capacity() < n {
		return 0, false
	}
	missing := n - b.tokens
	return time.Duration(muldiv(int64(missing), int64(time.Second), int64(b.rate))) + 1, true
}

// accrued returns rate × elapsed, rounded down.
func accrued(rate Statements, elapsed time.Duration) Statements {
	// More than an hour counts as an hour, which keeps the result in range.
	elapsed = min(elapsed, time.Hour)
	return Statements(muldiv(int64(rate), int64(elapsed), int64(time.Second)))
}

// muldiv returns a×b/c rounded down, or zero unless all values are positive. A result out of range is capped.
func muldiv(a, b, c int64) int64 {
	const maxResult = 1<<63 - 1
	if a <= 0 || b <= 0 || c <= 0 {
		return 0
	}
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	if hi >= uint64(c) {
		return maxResult
	}
	q, _ := bits.Div64(hi, lo, uint64(c))
	return int64(min(q, maxResult))
}
