package allotment

import "time"

// Holding is what one holder may spend of one limit, by its own clock. The zero value allows nothing. A Holding is
// never changed in place.
type Holding struct {
	share    Amount
	standing Amount
	bucket   Bucket
	// lending are the batches of the bucket's tokens that takers may still spend.
	lending Lending
	// renewed is the instant before the last confirmed renewal was sent.
	renewed time.Duration
	lapsed  bool
	// fixed is true for a share that depends on no lease.
	fixed bool
}

// At returns the holding at now. After the lease only the standing share is left, and after StandingTime nothing.
func (h Holding) At(now time.Duration) Holding {
	if h.fixed {
		h.bucket = h.bucket.At(now)
		return h
	}
	if !h.lapsed && now-h.renewed >= LeaseTTL {
		h.bucket = h.bucket.WithShare(h.renewed+LeaseTTL, h.standing)
		h.share = h.share.Min(h.standing)
		h.lapsed = true
	}
	if now-h.renewed >= FallbackTTL {
		h.standing, h.share, h.bucket = Amount{}, Amount{}, Bucket{}
	}
	h.bucket = h.bucket.At(now)
	h.lending = h.lending.At(now)
	h.bucket = h.bucket.WithLent(now, h.lending.Outstanding())
	return h
}

// Take takes one statement, and reports false when there is no token.
func (h Holding) Take(now time.Duration) (Holding, bool) {
	h = h.At(now)
	bucket, ok := h.bucket.Take(now, Statement)
	h.bucket = bucket
	return h, ok
}

// IssueBatch takes up to n whole statements for a batch of a taker and notes them as outstanding. It reports false when there
// is not one.
func (h Holding) IssueBatch(now time.Duration, taker string, number uint64, n Statements) (Holding, Statements, bool) {
	h = h.At(now)
	n = min(n, h.bucket.Tokens()) / Statement * Statement
	if n < Statement {
		return h, 0, false
	}
	h.bucket, n = h.bucket.WithoutTokens(now, n)
	h.lending = h.lending.WithBatch(now, taker, number, n)
	h.bucket = h.bucket.WithLent(now, h.lending.Outstanding())
	return h, n, true
}

// WithClosedBatches returns the holding after a taker has reported that it spends no more of its batches up to a number.
func (h Holding) WithClosedBatches(now time.Duration, taker string, number uint64) Holding {
	h = h.At(now)
	h.lending = h.lending.WithReport(taker, number)
	h.bucket = h.bucket.WithLent(now, h.lending.Outstanding())
	return h
}

// Outstanding returns the tokens that takers may still spend at the instant of the last At.
func (h Holding) Outstanding() Statements { return h.lending.Outstanding() }

// WithShareAtMost returns the holding with at most the share and standing share of an entry, and the unspent tokens
// that go with the part that was cut off. It is called before the update that changes the entry is sent.
func (h Holding) WithShareAtMost(now time.Duration, e Entry) (Holding, Statements) {
	h = h.At(now)
	before, tokens := h.share, h.bucket.Tokens()
	h.share = h.share.Min(e.Share)
	h.standing = h.standing.Min(e.Fallback)
	cut := before.Burst - h.share.Burst
	var out Statements
	if cut > 0 {
		out = min(Statements(muldiv(int64(tokens), int64(cut), int64(before.Burst))), cut)
	}
	out = max(out, tokens-h.share.Burst)
	h.bucket, out = h.bucket.WithoutTokens(now, out)
	h.bucket = h.bucket.WithShare(now, h.share)
	return h, out
}

// WithEntry returns the holding after an update that is known to have taken effect. sent is the instant before the
// update was sent, and tokens those that came with it.
func (h Holding) WithEntry(now, sent time.Duration, e Entry, tokens Statements) Holding {
	h = h.At(now)
	h.share, h.standing, h.renewed, h.lapsed = e.Share, e.Fallback, sent, false
	h.bucket = h.bucket.WithShare(now, e.Share).WithTokens(now, tokens)
	return h.At(now)
}

// Pending returns the entry as it counts for its holder until an update is known to have taken effect. The burst has
// room for the tokens that are on their way; otherwise the bucket could fill up meanwhile and hold them on top.
func (e Entry) Pending(taken Statements) Entry {
	e.Share.Burst = max(e.Share.Burst-taken, 0)
	e.Fallback = e.Fallback.Min(e.Share)
	return e
}

// WithReturned returns the holding with tokens that an update was to give away and did not.
func (h Holding) WithReturned(now time.Duration, tokens Statements) Holding {
	h.bucket = h.bucket.WithTokens(now, tokens)
	return h
}

// WithLimitAtMost returns the holding lowered in proportion as the limit falls, and the tokens that were cut off. A
// limit that rises changes nothing: the holder waits until the ledger grants more.
func (h Holding) WithLimitAtMost(now time.Duration, before, after Amount) (Holding, Statements) {
	return h.WithShareAtMost(now, Entry{
		Share:    h.share.scaled(before, after),
		Fallback: h.standing.scaled(before, after),
	})
}

// WithFixedShare returns the holding with a share that depends on no lease. Its bucket starts full.
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

// MaxConnections returns the connections that may be held at the instant of the last At.
func (h Holding) MaxConnections() int { return int(h.share.Connections) }

// Share returns what may be used at the instant of the last At.
func (h Holding) Share() Amount { return h.share }

// Tokens returns the tokens at the instant of the last At.
func (h Holding) Tokens() Statements { return h.bucket.Tokens() }

// IsExpired reports whether the lease has ended at the instant of the last At.
func (h Holding) IsExpired() bool { return h.lapsed }

// Delay returns how long it takes until a statement finds a token, and false when it never will.
func (h Holding) Delay() (time.Duration, bool) {
	next, ok := h.bucket.Next(Statement)
	if expires, lent := h.lending.Next(h.bucket.at); lent && (!ok || expires < next) {
		return expires, true
	}
	return next, ok
}
