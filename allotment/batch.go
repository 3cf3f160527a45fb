package allotment

import (
	"slices"
	"time"
)

// Times of a batch. A coordinator is an instance that issues batches from its share of a limit, a borrower one that
// requests them. The borrower measures by its own clock from before it sent the request. The coordinator starts later
// and adds 10 %, because clocks run at different speeds.
const (
	BatchTTL         = time.Second
	BatchReservation = 1100 * time.Millisecond
)

// prefetchTime is the time whose expected demand a borrower adds to a request. A quarter of the lifetime of a batch
// leaves few statements that expire unused.
const prefetchTime = BatchTTL / 4

// BatchSize returns how many statements a borrower with the demand asks for: one for each waiting statement, plus those
// expected within prefetchTime.
func BatchSize(d Demand, l Limit) Statements {
	prefetch := accrued(d.Rate, prefetchTime) / Statement * Statement
	return min(Statements(max(d.Waiting, 1))*Statement+prefetch, max(l.Total.Burst/Statement*Statement, Statement))
}

// Batch is a number of statements from the coordinator's share that the borrower may admit. A Batch is immutable; the
// zero value admits nothing.
type Batch struct {
	sent   time.Duration
	tokens Statements
}

// NewBatch returns a batch of n, for a request that was not sent before sent.
func NewBatch(sent time.Duration, n Statements) Batch { return Batch{sent: sent, tokens: max(n, 0)} }

// Take takes one statement, and reports false when the batch is empty or has expired.
func (b Batch) Take(now time.Duration) (Batch, bool) {
	if now-b.sent >= BatchTTL || b.tokens < Statement {
		return b, false
	}
	b.tokens -= Statement
	return b, true
}

// Tokens returns the unused tokens of the batch.
func (b Batch) Tokens() Statements { return b.tokens }

// OutstandingBatches holds the batches of a coordinator that borrowers may still spend. It is immutable; the zero value
// is empty.
type OutstandingBatches struct {
	batches []outstandingBatch
}

type outstandingBatch struct {
	borrower string
	number   uint64
	tokens   Statements
	at       time.Duration
}

// At returns the batches without those that have expired by the coordinator's clock.
func (o OutstandingBatches) At(now time.Duration) OutstandingBatches {
	return o.without(func(b outstandingBatch) bool { return now-b.at >= BatchReservation })
}

// WithBatch returns the batches after another one was issued. now is not before the arrival of the request, and the
// number is that of the borrower's request.
func (o OutstandingBatches) WithBatch(now time.Duration, borrower string, number uint64, tokens Statements) OutstandingBatches {
	o = o.At(now)
	o.batches = append(slices.Clone(o.batches), outstandingBatch{borrower: borrower, number: number, tokens: tokens, at: now})
	return o
}

// WithClosed returns the batches after a borrower has reported that it no longer spends its batches up to the number.
func (o OutstandingBatches) WithClosed(borrower string, number uint64) OutstandingBatches {
	return o.without(func(b outstandingBatch) bool { return b.borrower == borrower && b.number <= number })
}

func (o OutstandingBatches) without(match func(outstandingBatch) bool) OutstandingBatches {
	if slices.ContainsFunc(o.batches, match) {
		o.batches = slices.DeleteFunc(slices.Clone(o.batches), match)
	}
	return o
}

// Tokens returns the number of tokens that borrowers may still spend.
func (o OutstandingBatches) Tokens() Statements {
	sum := Statements(0)
	for _, b := range o.batches {
		sum += b.tokens
	}
	return sum
}

// ExpiresIn returns the time from now until the next batch expires, and false when none is outstanding.
func (o OutstandingBatches) ExpiresIn(now time.Duration) (time.Duration, bool) {
	if len(o.batches) == 0 {
		return 0, false
	}
	oldest := slices.MinFunc(o.batches, func(a, b outstandingBatch) int { return int(a.at - b.at) })
	return max(oldest.at+BatchReservation-now, 0), true
}
