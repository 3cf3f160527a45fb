package allotment

import (
	"cmp"
	"slices"
	"strings"
)

// Entry is one holder's share of a limit.
type Entry struct {
	// Holder is the incarnation of the instance that holds the share.
	Holder string
	Share  Amount
	// Fallback is the part of Share that the holder keeps after its lease has expired. It is zero for holders beyond
	// Limit.MaxFallbackHolders.
	Fallback Amount
	// Lease increases with each update by the holder, which shows the others that it is alive.
	Lease uint64
	// Wanted is what the holder could use, including its share.
	Wanted Amount
}

// Reservation is the fallback share that stays reserved for a holder whose entry was reclaimed.
type Reservation struct {
	Holder string
	Share  Amount
	Lease  uint64
}

// Ledger states how one limit is divided. What is in no entry and no reservation is the pool. A Ledger is immutable;
// Apply returns a changed copy.
type Ledger struct {
	Limit        Limit
	Entries      []Entry
	Reservations []Reservation
	// Tokens is the number of tokens in the pool.
	Tokens Statements
	// Taken counts all tokens that were ever taken from the pool.
	Taken Statements
	// Epoch increases whenever the free rate or the free burst changes.
	Epoch uint64
}

// Find returns the entry of a holder.
func (l Ledger) Find(holder string) (Entry, bool) {
	i, ok := l.search(holder)
	if !ok {
		return Entry{}, false
	}
	return l.Entries[i], true
}

// FindReservation returns the reservation of a holder.
func (l Ledger) FindReservation(holder string) (Reservation, bool) {
	i := slices.IndexFunc(l.Reservations, func(r Reservation) bool { return r.Holder == holder })
	if i < 0 {
		return Reservation{}, false
	}
	return l.Reservations[i], true
}

// Allocated returns the sum of the entries and the reservations.
func (l Ledger) Allocated() Amount {
	var sum Amount
	for _, e := range l.Entries {
		sum = sum.Plus(e.Share)
	}
	for _, r := range l.Reservations {
		sum = sum.Plus(r.Share)
	}
	return sum
}

// Free returns the share that is in the pool. After a limit was lowered, more may be allocated than it allows; then
// nothing is free until the holders have returned enough.
func (l Ledger) Free() Amount { return l.Limit.Total.Minus(l.Allocated()) }

// IsOvercommitted reports whether more is allocated than the limit allows, because the limit was lowered.
func (l Ledger) IsOvercommitted() bool { return !l.Limit.Total.Covers(l.Allocated()) }

// HasUnmetDemand reports whether a holder other than the named one wants more than it has.
func (l Ledger) HasUnmetDemand(except string) bool {
	return slices.ContainsFunc(l.Entries, func(e Entry) bool {
		return e.Holder != except && !e.Share.Covers(e.Wanted)
	})
}

// FairShare returns the named holder's share when the total is divided with max-min fairness: each holder gets what it
// wants, or, if that is too much, an equal part of what those that want less leave over. The unwanted rest is divided
// equally between the holders and the pool.
func (l Ledger) FairShare(holder string) Amount {
	i, ok := l.search(holder)
	if !ok {
		return Amount{}
	}
	return l.allocation().share(i)
}

// allocation is the fair division of a ledger's total. Computing it sorts all entries, so code that needs the fair
// share of several entries computes it once.
type allocation struct {
	// wanted holds the share of each entry before the surplus is added.
	wanted []Amount
	// surplus is each entry's equal part of what nobody wants. The same part stays in the pool for the other holders
	// and for new ones while the share of a failed holder is not yet reclaimed.
	surplus Amount
}

func (l Ledger) allocation() allocation {
	total := l.allocatable()
	n := len(l.Entries)
	rates, bursts, connections := make([]int64, n), make([]int64, n), make([]int64, n)
	for i, e := range l.Entries {
		rates[i], bursts[i], connections[i] = int64(e.Wanted.Rate), int64(e.Wanted.Burst), e.Wanted.Connections
	}
	rates, bursts, connections = maxMinFair(int64(total.Rate), rates), maxMinFair(int64(total.Burst), bursts),
		maxMinFair(total.Connections, connections)
	a := allocation{wanted: make([]Amount, n)}
	rest := total
	for i := range a.wanted {
		a.wanted[i] = Amount{Rate: Statements(rates[i]), Burst: Statements(bursts[i]), Connections: connections[i]}
		rest = rest.Minus(a.wanted[i])
	}
	a.surplus = rest.fraction(1, int64(n)+1)
	return a
}

// share returns the fair share of the i-th entry.
func (a allocation) share(i int) Amount { return a.wanted[i].Plus(a.surplus) }

// allocatable returns the part of the total that entries may hold.
func (l Ledger) allocatable() Amount {
	total := l.Limit.Total.Minus(l.Reserve())
	for _, r := range l.Reservations {
		total = total.Minus(r.Share)
	}
	return total
}

// Reserve returns what stays in the pool for holders whose buckets run empty. A bucket with a burst below one statement
// admits nothing, and one with a burst of few statements refuses many statements within the limit.
func (l Ledger) Reserve() Amount {
	burst, n := l.Limit.Total.Burst, Statements(len(l.Entries))*Statement
	if n == 0 || burst == 0 {
		return Amount{}
	}
	if n == Statement {
		// A sole holder that took everything would leave nothing to new holders if it failed.
		return Amount{Rate: l.Limit.Total.Rate / soleReserveDivisor, Burst: burst / soleReserveDivisor}
	}
	if burst < n {
		return Amount{Rate: l.Limit.Total.Rate, Burst: burst}
	}
	rate := l.Limit.Total.fraction(int64(min(n, burst/maxReserveDivisor)), int64(burst)).Rate
	return Amount{Rate: rate, Burst: min(n, burst-n, burst/maxReserveDivisor)}
}

// soleReserveDivisor sets the part of a limit that stays in the pool beside a single holder: one in soleReserveDivisor.
const soleReserveDivisor = 16

// maxReserveDivisor sets the largest part of a limit that stays in the pool: one in maxReserveDivisor.
const maxReserveDivisor = 2

// maxMinFair divides total with max-min fairness.
func maxMinFair(total int64, wanted []int64) []int64 {
	order := make([]int, len(wanted))
	for k := range order {
		order[k] = k
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(wanted[a], wanted[b]) })
	parts := make([]int64, len(wanted))
	for k, i := range order {
		level := total / int64(len(order)-k)
		parts[i] = min(wanted[i], level)
		total -= parts[i]
	}
	return parts
}

func (l Ledger) search(holder string) (int, bool) {
	return slices.BinarySearchFunc(l.Entries, holder, func(e Entry, h string) int { return strings.Compare(e.Holder, h) })
}

func (l Ledger) withEntry(e Entry) Ledger {
	i, ok := l.search(e.Holder)
	l.Entries = slices.Clone(l.Entries)
	if ok {
		l.Entries[i] = e
		return l
	}
	l.Entries = slices.Insert(l.Entries, i, e)
	return l
}

func (l Ledger) withoutEntry(holder string) Ledger {
	l.Entries = slices.DeleteFunc(slices.Clone(l.Entries), func(e Entry) bool { return e.Holder == holder })
	return l
}

func (l Ledger) withReservation(r Reservation) Ledger {
	l.Reservations = append(slices.Clone(l.Reservations), r)
	return l
}

func (l Ledger) withoutReservation(holder string) Ledger {
	l.Reservations = slices.DeleteFunc(slices.Clone(l.Reservations), func(r Reservation) bool { return r.Holder == holder })
	return l
}

// withTokens adds tokens to the pool, which holds at most as many as its free burst.
func (l Ledger) withTokens(n Statements) Ledger {
	l.Tokens = min(l.Tokens+max(n, 0), l.Free().Burst)
	return l
}

// fallbackHolders counts the holders that have a fallback share, including those with a reservation.
func (l Ledger) fallbackHolders() int {
	n := len(l.Reservations)
	for _, e := range l.Entries {
		if !e.Fallback.IsZero() {
			n++
		}
	}
	return n
}
