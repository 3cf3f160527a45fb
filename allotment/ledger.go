package allotment

import (
	"cmp"
	"slices"
	"strings"
)

// Entry is what one holder has of a limit.
type Entry struct {
	// Holder is the incarnation of the instance.
	Holder string
	Share  Amount
	// Fallback is the part of Share that the holder keeps after its lease; it is nothing without a seat.
	Fallback Amount
	// Lease grows with each update by the holder, so that others see that it lives.
	Lease uint64
	// Wanted is what the holder could use, its share included.
	Wanted Amount
}

// Reservation is the standing share that stays reserved for a holder whose entry was reclaimed.
type Reservation struct {
	Holder string
	Share  Amount
	Lease  uint64
}

// Ledger states how one limit is divided. What is in no entry and no seat is the pool. A Ledger is never changed in
// place; Apply returns a changed copy.
type Ledger struct {
	Limit        Limit
	Entries      []Entry
	Reservations []Reservation
	// Tokens were given back unspent and wait in the pool.
	Tokens Statements
	// Taken counts the tokens that were ever taken from the pool.
	Taken Statements
	// Epoch grows whenever the free rate or the free burst changes.
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

// FindReservation returns the seat that is reserved for a holder.
func (l Ledger) FindReservation(holder string) (Reservation, bool) {
	i := slices.IndexFunc(l.Reservations, func(s Reservation) bool { return s.Holder == holder })
	if i < 0 {
		return Reservation{}, false
	}
	return l.Reservations[i], true
}

// Allocated returns the sum of the entries and the reserved seats.
func (l Ledger) Allocated() Amount {
	var sum Amount
	for _, e := range l.Entries {
		sum = sum.Plus(e.Share)
	}
	for _, s := range l.Reservations {
		sum = sum.Plus(s.Share)
	}
	return sum
}

// Free returns what the pool holds. While a limit falls, more may be held than the limit allows; nothing is free
// until enough was given back.
func (l Ledger) Free() Amount { return l.Limit.Total.Minus(l.Allocated()) }

// IsOvercommitted reports whether more is held than the limit allows, because the limit fell.
func (l Ledger) IsOvercommitted() bool { return !l.Limit.Total.Covers(l.Allocated()) }

// HasUnmetDemand reports whether a holder other than the named one wants more than it has.
func (l Ledger) HasUnmetDemand(except string) bool {
	return slices.ContainsFunc(l.Entries, func(e Entry) bool {
		return e.Holder != except && !e.Share.Covers(e.Wanted)
	})
}

// FairShare returns what the named holder has when the total is divided by what the holders want: each gets what it wants,
// or, when that is too much, at most an equal part of what those who want less leave over. What nobody wants is
// divided equally between the holders and the pool.
func (l Ledger) FairShare(holder string) Amount {
	i, ok := l.search(holder)
	if !ok {
		return Amount{}
	}
	return l.division().fair(i)
}

// division is how the total of a ledger is divided. It takes a sort of all entries, so that those who look at several
// entries make it once.
type division struct {
	// wanted holds the part of each entry before what nobody wants is divided.
	wanted []Amount
	// margin is what each entry gets of that. As much stays in the pool, so that the others go on and newcomers begin when a
	// holder dies: its share stays reserved until its lease is reclaimed.
	margin Amount
}

func (l Ledger) division() division {
	total := l.divisible()
	n := len(l.Entries)
	rates, bursts, units := make([]int64, n), make([]int64, n), make([]int64, n)
	for i, e := range l.Entries {
		rates[i], bursts[i], units[i] = int64(e.Wanted.Rate), int64(e.Wanted.Burst), e.Wanted.Connections
	}
	rates, bursts, units = fill(int64(total.Rate), rates), fill(int64(total.Burst), bursts), fill(total.Connections, units)
	d := division{wanted: make([]Amount, n)}
	rest := total
	for i := range d.wanted {
		d.wanted[i] = Amount{Rate: Statements(rates[i]), Burst: Statements(bursts[i]), Connections: units[i]}
		rest = rest.Minus(d.wanted[i])
	}
	d.margin = rest.part(1, int64(n)+1)
	return d
}

// fair returns what the i-th entry has.
func (d division) fair(i int) Amount { return d.wanted[i].Plus(d.margin) }

// divisible returns what may be in entries.
func (l Ledger) divisible() Amount {
	total := l.Limit.Total.Minus(l.Reserve())
	for _, s := range l.Reservations {
		total = total.Minus(s.Share)
	}
	return total
}

// Reserve returns what stays in the pool for those whose buckets run empty. A bucket below one statement admits
// nothing, and a bucket of few statements refuses much that is within the limit.
func (l Ledger) Reserve() Amount {
	burst, n := l.Limit.Total.Burst, Statements(len(l.Entries))*Statement
	if n == 0 || burst == 0 {
		return Amount{}
	}
	if n == Statement {
		// One holder that wants everything would leave nothing to newcomers after its death.
		return Amount{Rate: l.Limit.Total.Rate / soleReserve, Burst: burst / soleReserve}
	}
	if burst < n {
		return Amount{Rate: l.Limit.Total.Rate, Burst: burst}
	}
	rate := l.Limit.Total.part(int64(min(n, burst/maxReserve)), int64(burst)).Rate
	return Amount{Rate: rate, Burst: min(n, burst-n, burst/maxReserve)}
}

// soleReserve is the part of a limit that stays in the pool beside a single holder: one in soleReserve.
const soleReserve = 16

// maxReserve is the greatest part of a limit that stays in the pool: one in maxReserve.
const maxReserve = 2

// fill divides total by max-min fairness and returns the part of each.
func fill(total int64, wanted []int64) []int64 {
	order := make([]int, len(wanted))
	for k := range order {
		order[k] = k
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(wanted[a], wanted[b]) })
	parts := make([]int64, len(wanted))
	for k, who := range order {
		level := total / int64(len(order)-k)
		parts[who] = min(wanted[who], level)
		total -= parts[who]
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

func (l Ledger) withSeat(s Reservation) Ledger {
	l.Reservations = append(slices.Clone(l.Reservations), s)
	return l
}

func (l Ledger) withoutSeat(holder string) Ledger {
	l.Reservations = slices.DeleteFunc(slices.Clone(l.Reservations), func(s Reservation) bool { return s.Holder == holder })
	return l
}

// withTokens adds tokens to the pool. The pool never holds more tokens than free burst.
func (l Ledger) withTokens(n Statements) Ledger {
	l.Tokens = min(l.Tokens+max(n, 0), l.Free().Burst)
	return l
}

// seated counts the holders that have a standing share, lapsed ones included.
func (l Ledger) seated() int {
	n := len(l.Reservations)
	for _, e := range l.Entries {
		if !e.Fallback.IsZero() {
			n++
		}
	}
	return n
}
