package allotment_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbwick/rhubarbwick/allotment"
)

func limit(rate, burst float64, connections int64, revision uint64) allotment.Limit {
	return allotment.Limit{
		Name: "rate/nyanza", MaxFallbackHolders: 4, Revision: revision,
		Total: allotment.Amount{
			Rate: allotment.ToStatements(rate), Burst: allotment.ToStatements(burst), Connections: connections,
		},
	}
}

func apply(t require.TestingT, l allotment.Ledger, edits ...allotment.Edit) allotment.Ledger {
	for _, e := range edits {
		next, _, err := l.Apply(e)
		require.NoError(t, err)
		l = next
	}
	return l
}

// requireWithinTotal checks that entries, reservations and pool do not exceed the total, or what was allocated before
// the limit was lowered.
func requireWithinTotal(t require.TestingT, before, after allotment.Ledger) {
	require.NoError(t, after.Check())
	sum := after.Allocated().Plus(after.Free())
	require.True(t, after.Limit.Total.Max(before.Allocated()).Covers(sum), "%v is above %v", sum, after.Limit.Total)
}

// model is a ledger with the local state of each holder.
type model struct {
	now     time.Duration
	ledger  allotment.Ledger
	buckets map[string]allotment.Bucket
	// observations are those of each holder.
	observations map[string]allotment.LeaseObservations
	spent        []time.Duration
	// batches are those that each holder has issued as a coordinator, borrowers the instances that got them.
	batches   map[string]allotment.OutstandingBatches
	borrowers []*borrower
	// last is the number of the last holder, edits are the cases of move to draw from.
	last  int
	edits []int
}

func newModel(t require.TestingT, total allotment.Limit, last int, edits ...int) *model {
	return &model{
		ledger:  apply(t, allotment.Ledger{}, allotment.SetLimit{Limit: total}),
		buckets: map[string]allotment.Bucket{}, observations: map[string]allotment.LeaseObservations{},
		batches: map[string]allotment.OutstandingBatches{}, last: last, edits: edits,
	}
}

// borrower has one batch of a coordinator. It spends nothing if it is lost, that is, if the answer was lost or the
// borrower failed.
type borrower struct {
	name, coordinator string
	sent              time.Duration
	batch             allotment.Batch
	lost              bool
}

func (m *model) entry(holder string) allotment.Entry {
	e, _ := m.ledger.Find(holder)
	return e
}

func drawAmount(t *rapid.T) allotment.Amount {
	draw := func(name string, limit int64) int64 { return rapid.Int64Range(0, limit).Draw(t, name) }
	return allotment.Amount{
		Rate:        allotment.Statements(draw("rate", int64(20*allotment.Statement))),
		Burst:       allotment.Statements(draw("burst", int64(20*allotment.Statement))),
		Connections: draw("connections", 20),
	}
}

// move applies one random edit by a holder, with the change of its bucket.
func (m *model) move(t *rapid.T) {
	holder := fmt.Sprint("h", rapid.IntRange(0, m.last).Draw(t, "holder"))
	other := fmt.Sprint("h", rapid.IntRange(0, m.last).Draw(t, "other"))
	bucket := m.buckets[holder].At(m.now)
	entry := m.entry(holder)
	before := m.ledger
	var tokens allotment.Statements
	m.batches[holder] = m.batches[holder].At(m.now)
	m.batches[other] = m.batches[other].At(m.now)
	outstanding := m.batches[holder].Tokens()
	bucket = bucket.WithOutstanding(m.now, outstanding)
	step := func(e allotment.Edit) bool {
		next, grant, err := m.ledger.Apply(e)
		if err == nil {
			m.ledger, tokens = next, grant.Tokens
		}
		return err == nil
	}
	switch rapid.SampledFrom(m.edits).Draw(t, "edit") {
	case 0:
		step(allotment.Register{Holder: holder})
	case 1:
		step(allotment.Renew{Holder: holder})
		step(allotment.SetWanted{Holder: holder, Wanted: drawAmount(t)})
	case 2:
		returned := drawAmount(t)
		// A coordinator keeps enough burst for its outstanding batches.
		returned.Burst = min(returned.Burst, max(entry.Share.Burst-outstanding, 0))
		var out allotment.Statements
		reduced, out := bucket.WithoutTokens(m.now, min(returned.Burst, bucket.Tokens()))
		if step(allotment.Return{Holder: holder, Share: returned, Tokens: out}) {
			bucket = reduced
		}
	case 3:
		step(allotment.Register{Holder: holder})
		step(allotment.Take{Holder: holder, Ask: drawAmount(t), Tokens: drawAmount(t).Burst})
	case 4:
		if outstanding == 0 {
			step(allotment.Deregister{Holder: holder, Tokens: bucket.Tokens()})
		}
	case 5:
		// The lease of a failed coordinator expires 3 s before the reclaim, so its batches have expired by then.
		if holder != other && m.batches[other].Tokens() == 0 && step(allotment.Reclaim{Holder: other, Lease: m.entry(other).Lease}) {
			m.expire(other)
		}
	case 6:
		m.observations[holder] = m.observations[holder].WithLedger(m.now, m.ledger)
	case 7:
		if refill, ok := m.observations[holder].Refill(m.now, m.ledger); ok {
			step(refill)
		}
	case 8:
		bucket = m.issueBatch(t, holder, bucket)
	case 9:
		bucket = m.closeBatch(t, holder, bucket)
	}
	requireWithinTotal(t, before, m.ledger)
	share := m.entry(holder).Share
	if reservation, ok := m.ledger.FindReservation(holder); ok {
		share = reservation.Share
	}
	m.buckets[holder] = bucket.WithShare(m.now, share).WithTokens(m.now, tokens)
	require.LessOrEqual(t, entry.Fallback.Rate, entry.Share.Rate)
}

// issueBatch issues a batch for a request that was sent some time ago.
func (m *model) issueBatch(t *rapid.T, coordinator string, bucket allotment.Bucket) allotment.Bucket {
	requested := bucket.Tokens() / allotment.Statements(rapid.IntRange(1, 3).Draw(t, "part"))
	bucket, tokens := bucket.WithoutTokens(m.now, requested)
	sent := m.now - time.Duration(rapid.IntRange(0, 1200).Draw(t, "delay"))*time.Millisecond
	b := &borrower{
		name: fmt.Sprint("t", len(m.borrowers)), coordinator: coordinator, sent: sent,
		batch: allotment.NewBatch(sent, tokens), lost: rapid.Bool().Draw(t, "lost"),
	}
	m.borrowers = append(m.borrowers, b)
	m.batches[coordinator] = m.batches[coordinator].WithBatch(m.now, b.name, 1, tokens)
	return bucket.WithOutstanding(m.now, m.batches[coordinator].Tokens())
}

// closeBatch lets a borrower give up its batch and report that to the coordinator. The report may arrive twice.
func (m *model) closeBatch(t *rapid.T, coordinator string, bucket allotment.Bucket) allotment.Bucket {
	i := rapid.IntRange(0, len(m.borrowers)).Draw(t, "borrower")
	if i == len(m.borrowers) || m.borrowers[i].coordinator != coordinator {
		return bucket
	}
	m.borrowers[i].lost = true
	m.batches[coordinator] = m.batches[coordinator].WithClosed(m.borrowers[i].name, 1)
	return bucket.WithOutstanding(m.now, m.batches[coordinator].Tokens())
}

// at returns the time by the borrower's clock, which is 10 % slower than the coordinator's.
func (b *borrower) at(now time.Duration) time.Duration { return b.sent + (now-b.sent)*10/11 }

// spendBatches lets a random set of borrowers spend their batches at once.
func (m *model) spendBatches(t *rapid.T) {
	for _, b := range m.borrowers {
		if b.lost || m.now-b.sent > 2*allotment.BatchTTL || !rapid.Bool().Draw(t, "spends") {
			continue
		}
		for {
			batch, ok := b.batch.Take(b.at(m.now))
			b.batch = batch
			if !ok {
				break
			}
			m.spent = append(m.spent, m.now)
		}
	}
}

// requireSharesCovered checks for each share that the tokens in its holder's bucket and in batches do not exceed its
// burst. What is in no share is in the pool, so the sum over the fleet does not exceed the burst of the limit either.
func (m *model) requireSharesCovered(t require.TestingT) {
	for holder, bucket := range m.buckets {
		sum := bucket.At(m.now).Tokens()
		for _, b := range m.borrowers {
			if _, ok := b.batch.Take(b.at(m.now)); ok && !b.lost && b.coordinator == holder {
				sum += b.batch.Tokens()
			}
		}
		share := m.entry(holder).Share
		if reservation, ok := m.ledger.FindReservation(holder); ok {
			share = reservation.Share
		}
		require.LessOrEqual(t, sum, share.Burst, "tokens of %s in its bucket and in batches", holder)
	}
}

// expire applies what a holder does locally when its lease expires.
func (m *model) expire(holder string) {
	reservation, _ := m.ledger.FindReservation(holder)
	m.buckets[holder] = m.buckets[holder].WithShare(m.now, reservation.Share)
}

// spend lets a random set of holders spend all their tokens at once.
func (m *model) spend(t *rapid.T) {
	spenders := rapid.IntRange(0, 63).Draw(t, "spenders")
	for h := range 6 {
		if spenders&(1<<h) == 0 {
			continue
		}
		holder := fmt.Sprint("h", h)
		for {
			bucket, ok := m.buckets[holder].Take(m.now, allotment.Statement)
			m.buckets[holder] = bucket
			if !ok {
				break
			}
			m.spent = append(m.spent, m.now)
		}
	}
}

// requireWithinRate checks all intervals against a single token bucket for the whole fleet.
func requireWithinRate(t require.TestingT, spent []time.Duration, total allotment.Amount) {
	reference := allotment.Bucket{}.WithShare(0, total).WithTokens(0, total.Burst)
	for _, at := range spent {
		next, ok := reference.Take(at, allotment.Statement)
		// The reference rounds down at each statement, by at most a millionth.
		if !ok {
			next, ok = reference.WithTokens(at, allotment.Statements(len(spent))).Take(at, allotment.Statement)
		}
		require.True(t, ok, "statement at %s is above burst + rate × t", at)
		reference = next
	}
}

// Guards against edits that create shares or tokens beyond the total, in any order of edits by any holder.
func TestLedgerNeverExceedsTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := limit(10, 20, 20, 1)
		m := newModel(t, total, 5, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9)
		for range rapid.IntRange(1, 120).Draw(t, "moves") {
			m.now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			m.move(t)
			m.requireSharesCovered(t)
			m.spend(t)
			m.spendBatches(t)
		}
		requireWithinRate(t, m.spent, total.Total)
	})
}

// Guards against batches that are spent in addition to a refilled bucket, or after the share was returned or reclaimed.
// Two coordinators issue batches most of the time.
func TestBatchesNeverExceedTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := limit(10, 20, 20, 1)
		m := newModel(t, total, 1, 2, 3, 3, 5, 8, 8, 8, 9)
		for _, coordinator := range []string{"h0", "h1"} {
			share := limit(5, 10, 0, 1).Total
			m.ledger = apply(t, m.ledger, allotment.Register{Holder: coordinator},
				allotment.Take{Holder: coordinator, Ask: share, Tokens: share.Burst})
			m.buckets[coordinator] = allotment.Bucket{}.WithShare(0, share).WithTokens(0, share.Burst)
		}
		for range rapid.IntRange(1, 40).Draw(t, "moves") {
			m.now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			m.move(t)
			m.requireSharesCovered(t)
			m.spend(t)
			m.spendBatches(t)
		}
		requireWithinRate(t, m.spent, total.Total)
	})
}

// Guards against a lowered limit whose share is granted to others before its holders have returned it.
func TestLedgerLimitFalls(t *testing.T) {
	l := apply(t, allotment.Ledger{}, allotment.SetLimit{Limit: limit(100, 100, 0, 1)},
		allotment.Register{Holder: "a"}, allotment.Register{Holder: "b"},
		allotment.Take{Holder: "a", Ask: limit(80, 80, 0, 1).Total, Tokens: 80 * allotment.Statement},
		allotment.SetLimit{Limit: limit(50, 50, 0, 2)})
	t.Run("nothing is free until enough was returned", func(t *testing.T) {
		require.True(t, l.IsOvercommitted())
		l := apply(t, l, allotment.Take{Holder: "b", Ask: limit(50, 50, 0, 2).Total})
		b, _ := l.Find("b")
		require.True(t, b.Share.IsZero())
		require.Zero(t, l.Tokens)
	})
	t.Run("what is returned above the limit is dropped", func(t *testing.T) {
		l := apply(t, l, allotment.Return{Holder: "a", Share: limit(40, 40, 0, 2).Total, Tokens: 40 * allotment.Statement})
		require.False(t, l.IsOvercommitted())
		require.Equal(t, limit(10, 10, 0, 2).Total, l.Free())
		require.LessOrEqual(t, l.Tokens, 10*allotment.Statement)
	})
	t.Run("an older document changes nothing", func(t *testing.T) {
		_, _, err := l.Apply(allotment.SetLimit{Limit: limit(100, 100, 0, 1)})
		require.ErrorIs(t, err, allotment.ErrStaleLimit)
	})
}

// Guards against a pool that is refilled twice for the same time, or for a time in which others held its rate.
func TestLedgerRefill(t *testing.T) {
	fourTokens := allotment.Amount{Burst: 4 * allotment.Statement}
	take := allotment.Take{Holder: "a", Tokens: fourTokens.Burst}
	full := apply(t, allotment.Ledger{}, allotment.SetLimit{Limit: limit(10, 20, 0, 1)},
		allotment.Register{Holder: "a"}, allotment.Take{Holder: "a", Ask: fourTokens, Tokens: fourTokens.Burst})
	early := allotment.LeaseObservations{}.WithLedger(0, full)
	empty := apply(t, full, take, take, take, take)
	requireTokens := func(t *testing.T, want allotment.Statements, s allotment.LeaseObservations, at time.Duration) {
		t.Helper()
		refill, ok := s.Refill(at, empty)
		require.True(t, ok)
		require.Equal(t, want, apply(t, empty, refill).Tokens)
	}
	t.Run("tokens taken since the observation are deducted", func(t *testing.T) { requireTokens(t, 0, early, time.Second) })
	t.Run("the observation that yields most is used", func(t *testing.T) {
		requireTokens(t, 10*allotment.Statement, early.WithLedger(time.Second, empty), 2*time.Second)
	})
	t.Run("a change of the rate starts another epoch", func(t *testing.T) {
		changed := apply(t, empty, allotment.Take{Holder: "a", Ask: allotment.Amount{Rate: allotment.Statement}})
		_, ok := early.Refill(time.Second, changed)
		require.False(t, ok)
		_, _, err := changed.Apply(allotment.Refill{Epoch: empty.Epoch, Elapsed: time.Second})
		require.ErrorIs(t, err, allotment.ErrStaleEpoch)
	})
}

// Guards against reclaiming a share too early, or while its holder is alive.
func TestLeaseObservations(t *testing.T) {
	l := apply(t, allotment.Ledger{}, allotment.SetLimit{Limit: limit(100, 100, 0, 1)},
		allotment.Register{Holder: "a"}, allotment.Take{Holder: "a", Ask: limit(100, 100, 0, 1).Total},
		allotment.Renew{Holder: "a", Lease: 7})
	seen := allotment.LeaseObservations{}.WithLedger(time.Second, l)
	requireReclaimEdits := func(t *testing.T, n int, s allotment.LeaseObservations, at time.Duration, l allotment.Ledger) {
		t.Helper()
		require.Len(t, s.ReclaimEdits(at, l, "b"), n)
	}
	t.Run("before 33 s", func(t *testing.T) { requireReclaimEdits(t, 0, seen, 34*time.Second-1, l) })
	t.Run("after 33 s", func(t *testing.T) { requireReclaimEdits(t, 1, seen, 34*time.Second, l) })
	t.Run("renewed", func(t *testing.T) {
		l := apply(t, l, allotment.Renew{Holder: "a"})
		requireReclaimEdits(t, 0, seen.WithLedger(20*time.Second, l), 40*time.Second, l)
	})
	t.Run("the fallback share is reserved for an hour", func(t *testing.T) {
		l := apply(t, l, allotment.Reclaim{Holder: "a", Lease: 7})
		reservation, ok := l.FindReservation("a")
		require.True(t, ok)
		require.Equal(t, l.Limit.FallbackShare(), reservation.Share)
		s := seen.WithLedger(time.Minute, l)
		requireReclaimEdits(t, 0, s, time.Minute+allotment.ReleaseAfter-1, l)
		requireReclaimEdits(t, 1, s, time.Minute+allotment.ReleaseAfter, l)
	})
}

// Guards against a holder that uses its share or its fallback share after the others may reclaim it.
func TestHolding(t *testing.T) {
	total := limit(100, 100, 10, 1)
	entry := allotment.Entry{Holder: "a", Share: total.Total, Fallback: total.FallbackShare(), Lease: 1}
	h := allotment.Holding{}.WithEntry(2*time.Second, time.Second, entry, 100*allotment.Statement)
	requireMaxConnections := func(t *testing.T, want int, at time.Duration) {
		t.Helper()
		require.Equal(t, want, h.At(at).MaxConnections())
	}
	t.Run("lease", func(t *testing.T) { requireMaxConnections(t, 10, 31*time.Second-1) })
	t.Run("fallback share", func(t *testing.T) { requireMaxConnections(t, 1, 31*time.Second) })
	t.Run("end", func(t *testing.T) { requireMaxConnections(t, 0, time.Second+allotment.FallbackTTL) })
	t.Run("tokens above the fallback burst are dropped", func(t *testing.T) {
		require.LessOrEqual(t, h.At(31*time.Second).Tokens(), total.FallbackShare().Burst)
	})
	t.Run("a bucket leaves room for pending tokens", func(t *testing.T) {
		empty, _ := h.WithShareAtMost(2*time.Second, allotment.Entry{})
		empty = empty.WithEntry(2*time.Second, 2*time.Second, entry, 0)
		reduced, _ := empty.WithShareAtMost(2*time.Second, entry.Pending(30*allotment.Statement))
		require.Equal(t, 70*allotment.Statement, reduced.At(20*time.Second).Tokens())
	})
	t.Run("a returned share includes its tokens", func(t *testing.T) {
		reduced, out := h.WithShareAtMost(2*time.Second, allotment.Entry{Share: limit(30, 30, 3, 1).Total})
		require.Equal(t, 70*allotment.Statement, out)
		require.Equal(t, 30*allotment.Statement, reduced.Tokens())
	})
}
