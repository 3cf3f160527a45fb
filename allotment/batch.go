package allotment

import (
	"slices"
	"time"
)

// Times of a batch. The taker measures by its own clock from before the request was sent. The steward adds 10 % to
// allow for clocks that run at different speeds, and begins later.
const (
	BatchTTL         = time.Second
	BatchReservation = 1100 * time.Millisecond
)

// batchAhead is the time for which a taker asks in advance: a quarter of BatchTime, so that few statements of a batch
// expire unused.
const batchAhead = BatchTTL / 4

// BatchSize returns how many statements a taker with the demand asks for: one for each that waits, and those that are
// expected soon.
func BatchSize(d Demand, l Limit) Statements {
	ahead := accrued(d.Rate, batchAhead) / Statement * Statement
	return min(Statements(max(d.Waiting, 1))*Statement+ahead, max(l.Total.Burst/Statement*Statement, Statement))
}

// Batch is what a taker may spend of a steward's share. The zero value allows nothing. A Batch is never changed in place.
type Batch struct {
	sent   time.Duration
	tokens Statements
}

// NewBatch returns a batch of n, which was asked for by a request that was sent after the instant sent.
func NewBatch(sent time.Duration, n Statements) Batch { return Batch{sent: sent, tokens: max(n, 0)} }

// Take takes one statement, and reports false when the batch is empty or has expired.
func (b Batch) Take(now time.Duration) (Batch, bool) {
	if now-b.sent >= BatchTTL || b.tokens < Statement {
		return b, false
	}
	b.tokens -= Statement
	return b, true
}

// Tokens returns what was not taken from the batch.
func (b Batch) Tokens() Statements { return b.tokens }

// Lending is what a steward has given away in batches that may not be spent yet. The zero value has given nothing. A
// Lending is never changed in place.
type Lending struct {
	batches []lent
}

type lent struct {
	taker  string
	number uint64
	tokens Statements
	at     time.Duration
}

// At returns the lending without the batches that have expired by the steward's clock.
func (l Lending) At(now time.Duration) Lending {
	return l.without(func(b lent) bool { return now-b.at >= BatchReservation })
}

// WithBatch returns the lending after a batch was given. now is an instant after the request arrived. The taker numbers
// its requests.
func (l Lending) WithBatch(now time.Duration, taker string, number uint64, tokens Statements) Lending {
	l = l.At(now)
	l.batches = append(slices.Clone(l.batches), lent{taker: taker, number: number, tokens: tokens, at: now})
	return l
}

// WithReport returns the lending after a taker has reported that it spends no more of its batches up to a number.
func (l Lending) WithReport(taker string, number uint64) Lending {
	return l.without(func(b lent) bool { return b.taker == taker && b.number <= number })
}

func (l Lending) without(gone func(lent) bool) Lending {
	if slices.ContainsFunc(l.batches, gone) {
		l.batches = slices.DeleteFunc(slices.Clone(l.batches), gone)
	}
	return l
}

// Outstanding returns the tokens that takers may still spend.
func (l Lending) Outstanding() Statements {
	sum := Statements(0)
	for _, b := range l.batches {
		sum += b.tokens
	}
	return sum
}

// Next returns how long it takes from now until a batch expires, and false when none is outstanding.
func (l Lending) Next(now time.Duration) (time.Duration, bool) {
	if len(l.batches) == 0 {
		return 0, false
	}
	oldest := slices.MinFunc(l.batches, func(a, b lent) int { return int(a.at - b.at) })
	return max(oldest.at+BatchReservation-now, 0), true
}
