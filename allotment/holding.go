package allotment

import "time"

// Holding is one holder's share of one limit with its local token bucket, by the holder's own clock. A Holding is
// immutable; the zero value admits nothing.
type Holding struct {
	share    Amount
	fallback Amount
	bucket   Bucket
	// batches are the batches issued from the bucket that borrowers may still spend.
	batches OutstandingBatches
	// renewedAt is a time before the last confirmed renewal was sent.
	renewedAt time.Duration
	expired   bool
	// fixed is true for a share that does not depend on a lease.
	fixed bool
}

// At returns the holding at now. After the lease has expired only the fallback share is left, and after FallbackTTL
// nothing.
func (h Holding) At(now time.Duration) Holding {
	if h.fixed {
		h.bucket = h.bucket.At(now)
		return h
	}
	if !h.expired && now-h.renewedAt >= LeaseTTL {
		h.bucket = h.bucket.WithShare(h.renewedAt+LeaseTTL, h.fallback)
		h.share = h.share.Min(h.fallback)
		h.expired = true
	}
	if now-h.renewedAt >= FallbackTTL {
		h.fallback, h.share, h.bucket = Amount{}, Amount{}, Bucket{}
	}
	h.bucket = h.bucket.At(now)
	h.batches = h.batches.At(now)
	h.bucket = h.bucket.WithOutstanding(now, h.batches.Tokens())
	return h
}

// Take takes a token for one statement, and reports false when there is none.
func (h Holding) Take(now time.Duration) (Holding, bool) {
	h = h.At(now)
	bucket, ok := h.bucket.Take(now, Statement)
	h.bucket = bucket
	return h, ok
}

// IssueBatch takes up to n whole statements for a batch of a borrower and records them as outstanding. It reports false
// when not even one is available.
func (h Holding) IssueBatch(now time.Duration, borrower string, number uint64, n Statements) (Holding, Statements, bool) {
	h = h.At(now)
	n = min(n, h.bucket.Tokens()) / Statement * Statement
	if n < Statement {
		return h, 0, false
	}
	h.bucket, n = h.bucket.WithoutTokens(now, n)
	h.batches = h.batches.WithBatch(now, borrower, number, n)
	h.bucket = h.bucket.WithOutstanding(now, h.batches.Tokens())
	return h, n, true
}

// WithClosedBatches returns the holding after a borrower has reported that it no longer spends its batches up to the
// number.
func (h Holding) WithClosedBatches(now time.Duration, borrower string, number uint64) Holding {
	h = h.At(now)
	h.batches = h.batches.WithClosed(borrower, number)
	h.bucket = h.bucket.WithOutstanding(now, h.batches.Tokens())
	return h
}

// Outstanding returns the tokens that borrowers may still spend, as of the last At.
func (h Holding) Outstanding() Statements { return h.batches.Tokens() }

// WithShareAtMost returns the holding with its share and fallback share reduced to at most those of an entry, and the
// unspent tokens of the removed part. It is called before the update that changes the entry is sent.
func (h Holding) WithShareAtMost(now time.Duration, e Entry) (Holding, Statements) {
	h = h.At(now)
	before, tokens := h.share, h.bucket.Tokens()
	h.share = h.share.Min(e.Share)
	h.fallback = h.fallback.Min(e.Fallback)
	cut := before.Burst - h.share.Burst
	var released Statements
	if cut > 0 {
		released = min(Statements(muldiv(int64(tokens), int64(cut), int64(before.Burst))), cut)
	}
	released = max(released, tokens-h.share.Burst)
	h.bucket, released = h.bucket.WithoutTokens(now, released)
	h.bucket = h.bucket.WithShare(now, h.share)
	return h, released
}

// WithEntry returns the holding after an update that is known to have taken effect. sent is a time before the update
// was sent, and tokens are those that it granted.
func (h Holding) WithEntry(now, sent time.Duration, e Entry, tokens Statements) Holding {
	h = h.At(now)
	h.share, h.fallback, h.renewedAt, h.expired = e.Share, e.Fallback, sent, false
	h.bucket = h.bucket.WithShare(now, e.Share).WithTokens(now, tokens)
	return h.At(now)
}

// Pending returns the entry that its holder has to observe until an update is known to have taken effect. Its burst is
// reduced by the tokens that the update takes from the pool. Otherwise the bucket could fill up in the meantime and
// exceed the burst when they arrive.
func (e Entry) Pending(taken Statements) Entry {
	e.Share.Burst = max(e.Share.Burst-taken, 0)
	e.Fallback = e.Fallback.Min(e.Share)
	return e
}

// WithReturned returns the holding with tokens added back that an update should have returned to the pool but did not.
func (h Holding) WithReturned(now time.Duration, tokens Statements) Holding {
	h.bucket = h.bucket.WithTokens(now, tokens)
	return h
}

// WithLimitAtMost returns the holding with its shares reduced in proportion when the limit is lowered, and the tokens
// that were removed. A raised limit changes nothing, because the holder gets more only by a grant from the ledger.
func (h Holding) WithLimitAtMost(now time.Duration, before, after Amount) (Holding, Statements) {
	return h.WithShareAtMost(now, Entry{
		Share:    h.share.scaledDown(before, after),
		Fallback: h.fallback.scaledDown(before, after),
	})
}

// WithFixedShare returns the holding with a share that does not depend on a lease. Its bucket starts full.
func (h Holding) WithFixedShare(now time.Duration, share Amount) Holding {
	h = h.At(now)
	full := !h.fixed
	h.share, h.fixed = share, true
	h.bucket = h.bucket.WithShare(now, share)
	if full {
		h.bucket = h.bucket.WithTokens(now, share.Burst)
	}
	return h
}

// MaxConnections returns the number of connections that may be held, as of the last At.
func (h Holding) MaxConnections() int { return int(h.share.Connections) }

// Share returns the share, as of the last At.
func (h Holding) Share() Amount { return h.share }

// Tokens returns the number of tokens in the bucket, as of the last At.
func (h Holding) Tokens() Statements { return h.bucket.Tokens() }

// IsExpired reports whether the lease has expired, as of the last At.
func (h Holding) IsExpired() bool { return h.expired }

// Delay returns the time until a token is available, and false when none ever will be.
func (h Holding) Delay() (time.Duration, bool) {
	delay, ok := h.bucket.Delay(Statement)
	if expires, outstanding := h.batches.ExpiresIn(h.bucket.at); outstanding && (!ok || expires < delay) {
		return expires, true
	}
	return delay, ok
}
