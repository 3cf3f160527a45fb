package allotment_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbwick/rhubarbwick/allotment"
)

func limit(rate, burst float64, units int64, revision uint64) allotment.Limit {
	return allotment.Limit{
		Name: "rate/nyanza", MaxFallbackHolders: 4, Revision: revision,
		Total: allotment.Amount{
			Rate: allotment.ToStatements(rate), Burst: allotment.ToStatements(burst), Connections: units,
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

// requireWithinTotal checks that entries, pool and reserved seats are never more than the total, or than was held
// before the limit fell.
func requireWithinTotal(t require.TestingT, before, after allotment.Ledger) {
	require.NoError(t, after.Check())
	sum := after.Allocated().Plus(after.Free())
	require.True(t, after.Limit.Total.Max(before.Allocated()).Covers(sum), "%v is above %v", sum, after.Limit.Total)
}

// model is one ledger and what each holder may still spend by its own bucket.
type model struct {
	now     time.Duration
	ledger  allotment.Ledger
	buckets map[string]allotment.Bucket
	// sightings are what each holder saw.
	sightings map[string]allotment.LeaseObservations
	spent     []time.Duration
	// lendings are the batches that each holder has given as a steward, takers what their takers got.
	lendings map[string]allotment.Lending
	takers   []*taker
	// last is the number of the last holder, edits are those that are drawn, by their case in move.
	last  int
	edits []int
}

func newModel(t require.TestingT, total allotment.Limit, last int, edits ...int) *model {
	return &model{
		ledger:  apply(t, allotment.Ledger{}, allotment.SetLimit{Limit: total}),
		buckets: map[string]allotment.Bucket{}, sightings: map[string]allotment.LeaseObservations{},
		lendings: map[string]allotment.Lending{}, last: last, edits: edits,
	}
}

// taker has one batch of a steward. One that is lost, because its answer was lost or the taker died, spends nothing.
type taker struct {
	name, steward string
	sent          time.Duration
	batch         allotment.Batch
	lost          bool
}

func (m *model) entry(holder string) allotment.Entry {
	e, _ := m.ledger.Find(holder)
	return e
}

func anAmount(t *rapid.T) allotment.Amount {
	part := func(name string, most int64) int64 { return rapid.Int64Range(0, most).Draw(t, name) }
	return allotment.Amount{
		Rate:        allotment.Statements(part("rate", int64(20*allotment.Statement))),
		Burst:       allotment.Statements(part("burst", int64(20*allotment.Statement))),
		Connections: part("units", 20),
	}
}

// move makes one random edit as a holder makes it, with its bucket.
func (m *model) move(t *rapid.T) {
	holder := fmt.Sprint("h", rapid.IntRange(0, m.last).Draw(t, "holder"))
	other := fmt.Sprint("h", rapid.IntRange(0, m.last).Draw(t, "other"))
	bucket := m.buckets[holder].At(m.now)
	entry := m.entry(holder)
	before := m.ledger
	var tokens allotment.Statements
	m.lendings[holder] = m.lendings[holder].At(m.now)
	m.lendings[other] = m.lendings[other].At(m.now)
	lent := m.lendings[holder].Outstanding()
	bucket = bucket.WithLent(m.now, lent)
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
		step(allotment.SetWanted{Holder: holder, Wanted: anAmount(t)})
	case 2:
		give := anAmount(t)
		// A steward keeps burst for what it has lent.
		give.Burst = min(give.Burst, max(entry.Share.Burst-lent, 0))
		var out allotment.Statements
		low, out := bucket.WithoutTokens(m.now, min(give.Burst, bucket.Tokens()))
		if step(allotment.Return{Holder: holder, Share: give, Tokens: out}) {
			bucket = low
		}
	case 3:
		step(allotment.Register{Holder: holder})
		step(allotment.Take{Holder: holder, Ask: anAmount(t), Tokens: anAmount(t).Burst})
	case 4:
		if lent == 0 {
			step(allotment.Deregister{Holder: holder, Tokens: bucket.Tokens()})
		}
	case 5:
		// The lease of a dead steward ends 3 s before the reclaim, so its batches have expired by then.
		if holder != other && m.lendings[other].Outstanding() == 0 && step(allotment.Reclaim{Holder: other, Lease: m.entry(other).Lease}) {
			m.cut(other)
		}
	case 6:
		m.sightings[holder] = m.sightings[holder].WithLedger(m.now, m.ledger)
	case 7:
		if fill, ok := m.sightings[holder].Refill(m.now, m.ledger); ok {
			step(fill)
		}
	case 8:
		bucket = m.lend(t, holder, bucket)
	case 9:
		bucket = m.report(t, holder, bucket)
	}
	requireWithinTotal(t, before, m.ledger)
	share := m.entry(holder).Share
	if seat, ok := m.ledger.FindReservation(holder); ok {
		share = seat.Share
	}
	m.buckets[holder] = bucket.WithShare(m.now, share).WithTokens(m.now, tokens)
	require.LessOrEqual(t, entry.Fallback.Rate, entry.Share.Rate)
}

// lend lets a steward give a batch for a request that was sent some time ago.
func (m *model) lend(t *rapid.T, steward string, bucket allotment.Bucket) allotment.Bucket {
	asked := bucket.Tokens() / allotment.Statements(rapid.IntRange(1, 3).Draw(t, "part"))
	bucket, tokens := bucket.WithoutTokens(m.now, asked)
	sent := m.now - time.Duration(rapid.IntRange(0, 1200).Draw(t, "delay"))*time.Millisecond
	k := &taker{
		name: fmt.Sprint("t", len(m.takers)), steward: steward, sent: sent,
		batch: allotment.NewBatch(sent, tokens), lost: rapid.Bool().Draw(t, "lost"),
	}
	m.takers = append(m.takers, k)
	m.lendings[steward] = m.lendings[steward].WithBatch(m.now, k.name, 1, tokens)
	return bucket.WithLent(m.now, m.lendings[steward].Outstanding())
}

// report lets a taker give up its batch and tell the steward. The report may arrive twice.
func (m *model) report(t *rapid.T, steward string, bucket allotment.Bucket) allotment.Bucket {
	i := rapid.IntRange(0, len(m.takers)).Draw(t, "taker")
	if i == len(m.takers) || m.takers[i].steward != steward {
		return bucket
	}
	m.takers[i].lost = true
	m.lendings[steward] = m.lendings[steward].WithReport(m.takers[i].name, 1)
	return bucket.WithLent(m.now, m.lendings[steward].Outstanding())
}

// at is the instant by the taker's clock, which is 10 % slower than the steward's.
func (k *taker) at(now time.Duration) time.Duration { return k.sent + (now-k.sent)*10/11 }

// spendBatches lets a random set of takers spend their batches at once.
func (m *model) spendBatches(t *rapid.T) {
	for _, k := range m.takers {
		if k.lost || m.now-k.sent > 2*allotment.BatchTTL || !rapid.Bool().Draw(t, "spends") {
			continue
		}
		for {
			batch, ok := k.batch.Take(k.at(m.now))
			k.batch = batch
			if !ok {
				break
			}
			m.spent = append(m.spent, m.now)
		}
	}
}

// requireCovered checks that what can be spent of each share, in its holder's bucket and in batches, fits its burst. What
// is in no share is in the pool, so the sum over the fleet then fits the limit's burst.
func (m *model) requireCovered(t require.TestingT) {
	for holder, bucket := range m.buckets {
		sum := bucket.At(m.now).Tokens()
		for _, k := range m.takers {
			if _, ok := k.batch.Take(k.at(m.now)); ok && !k.lost && k.steward == holder {
				sum += k.batch.Tokens()
			}
		}
		share := m.entry(holder).Share
		if seat, ok := m.ledger.FindReservation(holder); ok {
			share = seat.Share
		}
		require.LessOrEqual(t, sum, share.Burst, "tokens of %s in its bucket and in batches", holder)
	}
}

// cut is what a holder does by itself when its lease ends.
func (m *model) cut(holder string) {
	seat, _ := m.ledger.FindReservation(holder)
	m.buckets[holder] = m.buckets[holder].WithShare(m.now, seat.Share)
}

// spend lets a random set of holders spend what they have at once.
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

// requireBounded checks every interval by one bucket for the whole fleet.
func requireBounded(t require.TestingT, spent []time.Duration, total allotment.Amount) {
	reference := allotment.Bucket{}.WithShare(0, total).WithTokens(0, total.Burst)
	for _, at := range spent {
		next, ok := reference.Take(at, allotment.Statement)
		// The reference rounds down at each instant, by a millionth at most.
		if !ok {
			next, ok = reference.WithTokens(at, allotment.Statements(len(spent))).Take(at, allotment.Statement)
		}
		require.True(t, ok, "statement at %s is above burst + rate × t", at)
		reference = next
	}
}

// Guards against edits that make shares or tokens out of nothing, in any order of edits by any holder.
func TestLedgerNeverExceedsTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := limit(10, 20, 20, 1)
		m := newModel(t, total, 5, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9)
		for range rapid.IntRange(1, 120).Draw(t, "moves") {
			m.now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			m.move(t)
			m.requireCovered(t)
			m.spend(t)
			m.spendBatches(t)
		}
		requireBounded(t, m.spent, total.Total)
	})
}

// Guards against batches that are spent on top of what the bucket has filled up again, or on top of a share that was
// given back or reclaimed: two stewards with shares lend most of the time.
func TestBatchesNeverExceedTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := limit(10, 20, 20, 1)
		m := newModel(t, total, 1, 2, 3, 3, 5, 8, 8, 8, 9)
		for _, steward := range []string{"h0", "h1"} {
			share := limit(5, 10, 0, 1).Total
			m.ledger = apply(t, m.ledger, allotment.Register{Holder: steward},
				allotment.Take{Holder: steward, Ask: share, Tokens: share.Burst})
			m.buckets[steward] = allotment.Bucket{}.WithShare(0, share).WithTokens(0, share.Burst)
		}
		for range rapid.IntRange(1, 40).Draw(t, "moves") {
			m.now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			m.move(t)
			m.requireCovered(t)
			m.spend(t)
			m.spendBatches(t)
		}
		requireBounded(t, m.spent, total.Total)
	})
}

// Guards against a limit that falls and is used up by others before its holders gave back.
func TestLedgerLimitFalls(t *testing.T) {
	l := apply(t, allotment.Ledger{}, allotment.SetLimit{Limit: limit(100, 100, 0, 1)},
		allotment.Register{Holder: "a"}, allotment.Register{Holder: "b"},
		allotment.Take{Holder: "a", Ask: limit(80, 80, 0, 1).Total, Tokens: 80 * allotment.Statement},
		allotment.SetLimit{Limit: limit(50, 50, 0, 2)})
	t.Run("nothing is free until enough was given back", func(t *testing.T) {
		require.True(t, l.IsOvercommitted())
		l := apply(t, l, allotment.Take{Holder: "b", Ask: limit(50, 50, 0, 2).Total})
		b, _ := l.Find("b")
		require.True(t, b.Share.IsZero())
		require.Zero(t, l.Tokens)
	})
	t.Run("what is given back above the limit is gone", func(t *testing.T) {
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

// Guards against a pool that is filled up twice for the same time, or for a time in which others had its rate.
func TestLedgerFill(t *testing.T) {
	four := allotment.Amount{Burst: 4 * allotment.Statement}
	take := allotment.Take{Holder: "a", Tokens: four.Burst}
	full := apply(t, allotment.Ledger{}, allotment.SetLimit{Limit: limit(10, 20, 0, 1)},
		allotment.Register{Holder: "a"}, allotment.Take{Holder: "a", Ask: four, Tokens: four.Burst})
	early := allotment.LeaseObservations{}.WithLedger(0, full)
	empty := apply(t, full, take, take, take, take)
	requireTokens := func(t *testing.T, want allotment.Statements, s allotment.LeaseObservations, at time.Duration) {
		t.Helper()
		fill, ok := s.Refill(at, empty)
		require.True(t, ok)
		require.Equal(t, want, apply(t, empty, fill).Tokens)
	}
	t.Run("what was taken since counts", func(t *testing.T) { requireTokens(t, 0, early, time.Second) })
	t.Run("the newest sighting tells more", func(t *testing.T) {
		requireTokens(t, 10*allotment.Statement, early.WithLedger(time.Second, empty), 2*time.Second)
	})
	t.Run("an epoch ends when the rate changes", func(t *testing.T) {
		changed := apply(t, empty, allotment.Take{Holder: "a", Ask: allotment.Amount{Rate: allotment.Statement}})
		_, ok := early.Refill(time.Second, changed)
		require.False(t, ok)
		_, _, err := changed.Apply(allotment.Refill{Epoch: empty.Epoch, Elapsed: time.Second})
		require.ErrorIs(t, err, allotment.ErrStaleEpoch)
	})
}

// Guards against a lapsed share that is taken too early, or while its holder lives.
func TestSightings(t *testing.T) {
	l := apply(t, allotment.Ledger{}, allotment.SetLimit{Limit: limit(100, 100, 0, 1)},
		allotment.Register{Holder: "a"}, allotment.Take{Holder: "a", Ask: limit(100, 100, 0, 1).Total},
		allotment.Renew{Holder: "a", Lease: 7})
	seen := allotment.LeaseObservations{}.WithLedger(time.Second, l)
	requireLapsed := func(t *testing.T, n int, s allotment.LeaseObservations, at time.Duration, l allotment.Ledger) {
		t.Helper()
		require.Len(t, s.ReclaimEdits(at, l, "b"), n)
	}
	t.Run("before 33 s", func(t *testing.T) { requireLapsed(t, 0, seen, 34*time.Second-1, l) })
	t.Run("after 33 s", func(t *testing.T) { requireLapsed(t, 1, seen, 34*time.Second, l) })
	t.Run("renewed", func(t *testing.T) {
		l := apply(t, l, allotment.Renew{Holder: "a"})
		requireLapsed(t, 0, seen.WithLedger(20*time.Second, l), 40*time.Second, l)
	})
	t.Run("the standing share is kept for an hour", func(t *testing.T) {
		l := apply(t, l, allotment.Reclaim{Holder: "a", Lease: 7})
		seat, ok := l.FindReservation("a")
		require.True(t, ok)
		require.Equal(t, l.Limit.FallbackShare(), seat.Share)
		s := seen.WithLedger(time.Minute, l)
		requireLapsed(t, 0, s, time.Minute+allotment.ReleaseAfter-1, l)
		requireLapsed(t, 1, s, time.Minute+allotment.ReleaseAfter, l)
	})
}

// Guards against a holder that uses its share, or its standing share, longer than the others leave it.
func TestHolding(t *testing.T) {
	total := limit(100, 100, 10, 1)
	entry := allotment.Entry{Holder: "a", Share: total.Total, Fallback: total.FallbackShare(), Lease: 1}
	h := allotment.Holding{}.WithEntry(2*time.Second, time.Second, entry, 100*allotment.Statement)
	requireUnits := func(t *testing.T, want int, at time.Duration) {
		t.Helper()
		require.Equal(t, want, h.At(at).MaxConnections())
	}
	t.Run("lease", func(t *testing.T) { requireUnits(t, 10, 31*time.Second-1) })
	t.Run("standing share", func(t *testing.T) { requireUnits(t, 1, 31*time.Second) })
	t.Run("end", func(t *testing.T) { requireUnits(t, 0, time.Second+allotment.FallbackTTL) })
	t.Run("tokens above the standing burst are gone", func(t *testing.T) {
		require.LessOrEqual(t, h.At(31*time.Second).Tokens(), total.FallbackShare().Burst)
	})
	t.Run("a bucket leaves room for tokens that are on their way", func(t *testing.T) {
		empty, _ := h.WithShareAtMost(2*time.Second, allotment.Entry{})
		empty = empty.WithEntry(2*time.Second, 2*time.Second, entry, 0)
		low, _ := empty.WithShareAtMost(2*time.Second, entry.Pending(30*allotment.Statement))
		require.Equal(t, 70*allotment.Statement, low.At(20*time.Second).Tokens())
	})
	t.Run("a share that is given back goes with its tokens", func(t *testing.T) {
		low, out := h.WithShareAtMost(2*time.Second, allotment.Entry{Share: limit(30, 30, 3, 1).Total})
		require.Equal(t, 70*allotment.Statement, out)
		require.Equal(t, 30*allotment.Statement, low.Tokens())
	})
}
