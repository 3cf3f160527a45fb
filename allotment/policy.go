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

// EqualSplit gives each of a fixed number of holders the same part. It is a baseline for comparison.
type EqualSplit struct{ Holders int }

// Unshared gives each holder the whole limit. It is a baseline for comparison.
type Unshared struct{}

func (ByDemand) policy()   {}
func (EqualSplit) policy() {}
func (Unshared) policy()   {}

// FixedShare returns the share that a policy gives without a ledger, and false when it needs one.
func FixedShare(p Policy, l Limit) (Amount, bool) {
	switch policy := p.(type) {
	case EqualSplit:
		return l.Total.part(1, int64(max(policy.Holders, 1))), true
	case Unshared:
		return l.Total, true
	default:
		return Amount{}, false
	}
}

// Demand is what a holder has measured.
type Demand struct {
	// Rate is the mean number of statements a second that were asked for.
	Rate Statements
	// Tokens are in the bucket now.
	Tokens Statements
	// Waiting is the number of statements that wait for a token.
	Waiting int
	// Connections is the number of connections that could be used now.
	Connections int64
	// Held is the number of connections that are open now.
	Held int64
	// Outstanding are the tokens that takers of batches may still spend.
	Outstanding Statements
	// Idle is the time since the last demand.
	Idle time.Duration
	// Full reports that the bucket has as many tokens as it holds.
	Full bool
}

// Times after which a share without demand is given back: soon when its bucket is full, so that no tokens are lost in
// the pool, which does not fill.
const (
	idleWhenFull = 5 * time.Second
	idleAnyway   = 60 * time.Second
)

// IsIdle reports whether the share should be given back.
func (d Demand) IsIdle() bool {
	if d.Waiting > 0 || d.Connections > 0 || d.Held > 0 || d.Outstanding > 0 {
		return false
	}
	return d.Idle >= idleAnyway || d.Full && d.Idle >= idleWhenFull
}

// Wanted returns what a holder with the demand could use.
func (d Demand) Wanted(l Limit) Amount {
	// A quarter more than the mean keeps ordinary fluctuation from emptying the bucket.
	const spare = 4
	// Waiting statements are to be served within a quarter of a second.
	const turns = 4
	waiting := Statements(d.Waiting) * Statement
	wanted := Amount{
		Rate:        d.Rate + d.Rate/spare + turns*waiting,
		Burst:       Statement + waiting + fluctuation(d.Rate),
		Connections: max(d.Connections, d.Held),
	}
	return wanted.Min(l.Total)
}

// fluctuation returns by how many statements independent arrivals at a rate vary in a second: twice the standard
// deviation, for those above the single one that every holder wants.
func fluctuation(rate Statements) Statements {
	n := rate.Float()
	return ToStatements(min(2*math.Sqrt(n), n))
}

// Plan is what a holder does at its next update.
type Plan struct {
	// Wanted is what it writes as its wish.
	Wanted Amount
	// Target is the share that it should come to have. Where Target is less than the share the rest is given back;
	// where it is more the rest is taken, as far as the pool has it.
	Target Amount
	// Tokens is how many tokens it takes from the pool.
	Tokens Statements
	// Connections is how many connections the holder may use from now on. It is less than the target while connections that
	// have to be closed are still open.
	Connections int64
}

// Decide returns the plan of a holder that has an entry in the ledger. The ledger holds what the others want.
func Decide(l Ledger, holder string, d Demand) Plan {
	entry, _ := l.Find(holder)
	wanted := d.Wanted(l.Limit)
	if next, _, err := l.Apply(SetWanted{Holder: holder, Wanted: wanted}); err == nil {
		l = next
	}
	shares := l.division()
	target := Amount{}
	if i, ok := l.search(holder); ok {
		target = shares.fair(i)
	}
	if !l.IsOvercommitted() && !l.HasUnmetDemand(holder) {
		target = target.Max(entry.Share).near(entry.Share)
	}
	if near := target.near(entry.Share); !l.IsOvercommitted() && !l.starved(shares, holder) {
		target = near
	}
	target = target.Min(entry.Share.Plus(l.within(shares, entry.Share, target, wanted)))
	if d.Waiting > 0 && !l.IsOvercommitted() {
		// The bucket has room for a token for each statement that waits.
		room := Statements(d.Waiting) * Statement
		target.Burst = max(target.Burst, min(room, l.Limit.Total.Burst))
	}
	// Tokens that takers may still spend count against the burst until their batches have expired.
	target.Burst = max(target.Burst, min(d.Outstanding, entry.Share.Burst))
	// Connections that are open cannot be given back before they are closed.
	units := target.Connections
	target.Connections = max(target.Connections, min(d.Held, entry.Share.Connections))
	tokens := max(target.Burst-entry.Share.Burst, 0)
	if d.Waiting > 0 {
		tokens = max(tokens, Statements(d.Waiting+1)*Statement-d.Tokens)
	}
	return Plan{Wanted: wanted, Target: target, Tokens: tokens, Connections: units}
}

// within returns how much a holder may take from the pool on the way from its share to the target: what it wants, and
// beyond that only what leaves the pool its margin.
func (l Ledger) within(d division, share, target, wanted Amount) Amount {
	needed := wanted.Min(target).Minus(share)
	return target.Minus(share).Min(needed.Max(l.Free().Minus(d.margin)))
}

// UnderstatesDemand reports whether a holder is short of connections that would be its fair part if the ledger had its wish.
// A call tells the wish only until the called holder writes, which may be before its connections can be closed.
func (l Ledger) UnderstatesDemand(holder string, wanted Amount) bool {
	e, ok := l.Find(holder)
	if !ok || wanted.Connections <= max(e.Wanted.Connections, e.Share.Connections) {
		return false
	}
	next, _, err := l.Apply(SetWanted{Holder: holder, Wanted: wanted})
	return err == nil && next.FairShare(holder).Connections > max(e.Share.Connections, l.FairShare(holder).Connections)
}

// starved reports whether a holder other than the named one has much less rate than it wants and than is fair.
func (l Ledger) starved(d division, except string) bool {
	for i, e := range l.Entries {
		if e.Holder != except && d.fair(i).Min(e.Wanted).Minus(e.Share).IsSignificant(e.Share) {
			return true
		}
	}
	return false
}

// near returns the rate and burst of share where they differ little from the amount's. Small changes are not worth it:
// each ends an epoch of the pool.
func (a Amount) near(share Amount) Amount {
	const least = 5
	if a.Rate > share.Rate-share.Rate/least && a.Rate < share.Rate+share.Rate/least {
		a.Rate = share.Rate
	}
	if a.Burst > share.Burst-share.Burst/least && a.Burst < share.Burst+share.Burst/least {
		a.Burst = share.Burst
	}
	return a
}

// Donors returns the holders that can spare most, as many as it takes to bring up what is missing, without those that
// are left out. Fewer holders that write at once means fewer conflicts.
func Donors(l Ledger, holder string, missing Amount, leftOut func(Entry) bool) []string {
	type giver struct {
		holder string
		spare  Amount
		size   float64
	}
	entry, _ := l.Find(holder)
	if !missing.IsSignificant(entry.Share) {
		return nil
	}
	// The ledger may hold an older wish of the caller, under which the others would have nothing to spare.
	if next, _, err := l.Apply(SetWanted{Holder: holder, Wanted: entry.Share.Plus(missing)}); err == nil {
		l = next
	}
	shares := l.division()
	var givers []giver
	for i, e := range l.Entries {
		spare := e.Share.Minus(shares.fair(i)).Min(missing)
		if e.Holder != holder && !spare.IsZero() && !leftOut(e) {
			givers = append(givers, giver{holder: e.Holder, spare: spare, size: spare.partOf(missing)})
		}
	}
	slices.SortStableFunc(givers, func(a, b giver) int { return cmp.Compare(b.size, a.size) })
	var names []string
	for _, g := range givers {
		if missing.IsZero() {
			break
		}
		names = append(names, g.holder)
		missing = missing.Minus(g.spare)
	}
	return names
}
