package allotment

import "time"

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

// Fixed returns the share that a policy gives without a ledger, and false when it needs one.
func Fixed(p Policy, l Limit) (Amount, bool) {
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
	// Peak is the greatest number of statements that were asked for in a second lately.
	Peak Statements
	// Waiting is the number of statements that wait for a token.
	Waiting int
	// Units is the number of connections that could be used now.
	Units int64
	// Held is the number of connections that are open now.
	Held int64
	// Idle is the time since the last demand.
	Idle time.Duration
	// Full reports that the bucket has as many tokens as it holds.
	Full bool
}

// IdleTime is how long a share without demand is kept at most. It is also the time in which a holder's bucket fills
// before the share is given back.
const IdleTime = 20 * time.Second

// Wanted returns what a holder with the demand could use.
func (d Demand) Wanted(l Limit) Amount {
	// A quarter more than the mean keeps ordinary fluctuation from emptying the bucket.
	const spare = 4
	// Waiting statements are to be served within a quarter of a second.
	const turns = 4
	waiting := Statements(d.Waiting) * Statement
	wanted := Amount{
		Rate:  d.Rate + d.Rate/spare + turns*waiting,
		Burst: max(Statement, d.Peak+d.Peak/spare, 2*waiting),
		Units: max(d.Units, d.Held),
	}
	return wanted.Min(l.Total)
}

// Plan is what a holder does at its next update.
type Plan struct {
	// Wanted is what it writes as its wish.
	Wanted Amount
	// Target is the share that it should come to have. Where Target is less than the share the rest is given back;
	// where it is more the rest is taken, as far as the pool has it.
	Target Amount
}

// Short reports whether the share is less than what is wanted and due.
func (p Plan) Short(share Amount) bool { return !share.Covers(p.Wanted.Min(p.Target)) }

// Decide returns the plan of a holder that has an entry in the ledger. The ledger holds what the others want.
func Decide(l Ledger, holder string, d Demand) Plan {
	entry, _ := l.Find(holder)
	wanted := d.Wanted(l.Limit)
	if next, _, err := l.Apply(Want{Holder: holder, Wanted: wanted}); err == nil {
		l = next
	}
	target := l.Fair(holder)
	if !l.Falling() && !l.Short(holder) {
		target = target.Max(entry.Share)
	}
	// Connections that are open cannot be given back before they are closed.
	target.Units = max(target.Units, min(d.Held, entry.Share.Units))
	return Plan{Wanted: wanted, Target: target}
}
