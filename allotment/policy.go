package allotment

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Policy decides how a limit is divided.
type Policy interface{ policy() }

// ByDemand lets shares follow the measured demand.
type ByDemand struct{}

// EqualSplit gives each of a fixed number of holders an equal part. It is a baseline for comparison.
type EqualSplit struct{ Holders int }

// Unshared gives each holder the whole limit. It is a baseline for comparison.
type Unshared struct{}

func (ByDemand) policy()   {}
func (EqualSplit) policy() {}
func (Unshared) policy()   {}

// FixedShare returns the share of a holder under a policy that needs no ledger, and false when the policy needs one.
func FixedShare(p Policy, l Limit) (Amount, bool) {
	switch policy := p.(type) {
	case EqualSplit:
		return l.Total.fraction(1, int64(max(policy.Holders, 1))), true
	case Unshared:
		return l.Total, true
	default:
		return Amount{}, false
	}
}

// Demand is the demand that a holder has measured.
type Demand struct {
	// Rate is the mean number of requested statements per second.
	Rate Statements
	// Tokens is the number of tokens in the bucket.
	Tokens Statements
	// Waiting is the number of statements that are waiting for a token.
	Waiting int
	// Connections is the number of connections that could be used.
	Connections int64
	// Held is the number of open connections.
	Held int64
	// Outstanding is the number of tokens in batches that borrowers may still spend.
	Outstanding Statements
	// Idle is the time since the last demand.
	Idle time.Duration
	// Full is true when the bucket is full.
	Full bool
}

// Times after which a share without demand is returned. A share with a full bucket is returned sooner, because no
// tokens are lost by moving it to the pool, which does not fill by itself.
const (
	idleTimeoutFull = 5 * time.Second
	idleTimeout     = 60 * time.Second
)

// IsIdle reports whether the share should be returned.
func (d Demand) IsIdle() bool {
	if d.Waiting > 0 || d.Connections > 0 || d.Held > 0 || d.Outstanding > 0 {
		return false
	}
	return d.Idle >= idleTimeout || d.Full && d.Idle >= idleTimeoutFull
}

// Wanted returns what a holder with the demand could use.
func (d Demand) Wanted(l Limit) Amount {
	// A quarter more than the mean rate prevents ordinary fluctuation from emptying the bucket.
	const headroomDivisor = 4
	// Waiting statements should be admitted within a quarter of a second.
	const drainsPerSecond = 4
	waiting := Statements(d.Waiting) * Statement
	wanted := Amount{
		Rate:        d.Rate + d.Rate/headroomDivisor + drainsPerSecond*waiting,
		Burst:       Statement + waiting + fluctuation(d.Rate),
		Connections: max(d.Connections, d.Held),
	}
	return wanted.Min(l.Total)
}

// fluctuation returns the burst, beyond the one statement that every holder wants, for independent arrivals at a rate:
// twice the standard deviation of the number of arrivals per second.
func fluctuation(rate Statements) Statements {
	n := rate.Float()
	return ToStatements(min(2*math.Sqrt(n), n))
}

// Plan is what a holder does in its next update of the ledger.
type Plan struct {
	// Wanted is what it stores as wanted.
	Wanted Amount
	// Target is the share that it should have. Where it is less than the current share, the difference is returned;
	// where it is more, the difference is taken as far as the pool has it.
	Target Amount
	// Tokens is the number of tokens that it takes from the pool.
	Tokens Statements
	// Connections is the number of connections that the holder may use from now on. It is less than the target while
	// connections that have to be closed are still open.
	Connections int64
}

// Decide returns the plan of a holder that has an entry in the ledger, given its demand.
func Decide(l Ledger, holder string, d Demand) Plan {
	entry, _ := l.Find(holder)
	wanted := d.Wanted(l.Limit)
	if next, _, err := l.Apply(SetWanted{Holder: holder, Wanted: wanted}); err == nil {
		l = next
	}
	shares := l.allocation()
	target := Amount{}
	if i, ok := l.search(holder); ok {
		target = shares.share(i)
	}
	if !l.IsOvercommitted() && !l.HasUnmetDemand(holder) {
		target = target.Max(entry.Share).withoutSmallChange(entry.Share)
	}
	if rounded := target.withoutSmallChange(entry.Share); !l.IsOvercommitted() && !l.othersStarved(shares, holder) {
		target = rounded
	}
	target = target.Min(entry.Share.Plus(l.takeLimit(shares, entry.Share, target, wanted)))
	if d.Waiting > 0 && !l.IsOvercommitted() {
		// The burst has to hold a token for each waiting statement.
		waiting := Statements(d.Waiting) * Statement
		target.Burst = max(target.Burst, min(waiting, l.Limit.Total.Burst))
	}
	// Outstanding tokens count against the burst until their batches have expired.
	target.Burst = max(target.Burst, min(d.Outstanding, entry.Share.Burst))
	// Open connections cannot be returned before they are closed.
	connections := target.Connections
	target.Connections = max(target.Connections, min(d.Held, entry.Share.Connections))
	tokens := max(target.Burst-entry.Share.Burst, 0)
	if d.Waiting > 0 {
		tokens = max(tokens, Statements(d.Waiting+1)*Statement-d.Tokens)
	}
	return Plan{Wanted: wanted, Target: target, Tokens: tokens, Connections: connections}
}

// takeLimit returns how much a holder may take from the pool to get from its share to the target: what it wants, and
// beyond that only what leaves the surplus in the pool.
func (l Ledger) takeLimit(a allocation, share, target, wanted Amount) Amount {
	needed := wanted.Min(target).Minus(share)
	return target.Minus(share).Min(needed.Max(l.Free().Minus(a.surplus)))
}

// UnderstatesDemand reports whether a holder lacks connections that would be in its fair share if the ledger contained
// its current demand. A call to another holder conveys the demand only until that one writes, which may be before it
// can close its connections.
func (l Ledger) UnderstatesDemand(holder string, wanted Amount) bool {
	e, ok := l.Find(holder)
	if !ok || wanted.Connections <= max(e.Wanted.Connections, e.Share.Connections) {
		return false
	}
	next, _, err := l.Apply(SetWanted{Holder: holder, Wanted: wanted})
	return err == nil && next.FairShare(holder).Connections > max(e.Share.Connections, l.FairShare(holder).Connections)
}

// othersStarved reports whether a holder other than the named one has significantly less than both its fair share and
// what it wants.
func (l Ledger) othersStarved(a allocation, except string) bool {
	for i, e := range l.Entries {
		if e.Holder != except && a.share(i).Min(e.Wanted).Minus(e.Share).IsSignificant(e.Share) {
			return true
		}
	}
	return false
}

// withoutSmallChange returns the amount with the rate and the burst of share where they differ by less than a fifth.
// Each change of either starts another epoch of the pool, so small changes are avoided.
func (a Amount) withoutSmallChange(share Amount) Amount {
	const minDivisor = 5
	if a.Rate > share.Rate-share.Rate/minDivisor && a.Rate < share.Rate+share.Rate/minDivisor {
		a.Rate = share.Rate
	}
	if a.Burst > share.Burst-share.Burst/minDivisor && a.Burst < share.Burst+share.Burst/minDivisor {
		a.Burst = share.Burst
	}
	return a
}

// Donors returns the holders with the largest spare shares, as many as are needed to cover the missing amount, without
// the excluded ones. Fewer holders that write at the same time cause fewer conflicts.
func Donors(l Ledger, holder string, missing Amount, excluded func(Entry) bool) []string {
	type donor struct {
		holder string
		spare  Amount
		size   float64
	}
	entry, _ := l.Find(holder)
	if !missing.IsSignificant(entry.Share) {
		return nil
	}
	// The ledger may contain an older demand of the holder, under which the others would have nothing to spare.
	if next, _, err := l.Apply(SetWanted{Holder: holder, Wanted: entry.Share.Plus(missing)}); err == nil {
		l = next
	}
	shares := l.allocation()
	var donors []donor
	for i, e := range l.Entries {
		spare := e.Share.Minus(shares.share(i)).Min(missing)
		if e.Holder != holder && !spare.IsZero() && !excluded(e) {
			donors = append(donors, donor{holder: e.Holder, spare: spare, size: spare.sizeRelativeTo(missing)})
		}
	}
	slices.SortStableFunc(donors, func(a, b donor) int { return cmp.Compare(b.size, a.size) })
	var names []string
	for _, d := range donors {
		if missing.IsZero() {
			break
		}
		names = append(names, d.holder)
		missing = missing.Minus(d.spare)
	}
	return names
}
