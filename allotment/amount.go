// Package allotment divides a limit of the whole fleet between the instances that need it: rates, bursts and
// server connections. Its values are immutable, and it knows neither clock nor network.
package allotment

import (
	"math"
	"time"
)

// Statements counts statements, or statements a second, in millionths. Whole numbers add up exactly, so that the
// shares of a ledger never exceed its total by rounding.
type Statements int64

// Statement is one statement.
const Statement Statements = 1_000_000

// ToStatements converts a number of statements, rounding down.
func ToStatements(n float64) Statements {
	const most = math.MaxInt64 / 1024
	return Statements(min(max(n, 0)*float64(Statement), most))
}

// Float returns the number of statements.
func (s Statements) Float() float64 { return float64(s) / float64(Statement) }

// Amount is a part of a limit. Rates and connections never occur in one limit.
type Amount struct {
	// Rate is the number of statements a second.
	Rate Statements
	// Burst is the number of statements that may come at once.
	Burst Statements
	// Connections is the number of connections.
	Connections int64
}

// Plus returns the sum.
func (a Amount) Plus(b Amount) Amount {
	return Amount{Rate: a.Rate + b.Rate, Burst: a.Burst + b.Burst, Connections: a.Connections + b.Connections}
}

// Minus returns the difference, and nothing where b is greater.
func (a Amount) Minus(b Amount) Amount {
	return Amount{Rate: max(a.Rate-b.Rate, 0), Burst: max(a.Burst-b.Burst, 0), Connections: max(a.Connections-b.Connections, 0)}
}

// Min returns the smaller of each component.
func (a Amount) Min(b Amount) Amount {
	return Amount{Rate: min(a.Rate, b.Rate), Burst: min(a.Burst, b.Burst), Connections: min(a.Connections, b.Connections)}
}

// Max returns the greater of each component.
func (a Amount) Max(b Amount) Amount {
	return Amount{Rate: max(a.Rate, b.Rate), Burst: max(a.Burst, b.Burst), Connections: max(a.Connections, b.Connections)}
}

// Covers reports whether no component of b is greater than a's.
func (a Amount) Covers(b Amount) bool {
	return a.Rate >= b.Rate && a.Burst >= b.Burst && a.Connections >= b.Connections
}

// IsZero reports whether there is nothing.
func (a Amount) IsZero() bool { return a == Amount{} }

// isNegative reports whether a component is below zero.
func (a Amount) isNegative() bool { return a.Rate < 0 || a.Burst < 0 || a.Connections < 0 }

// part returns the fraction n/d of the amount, rounded down.
func (a Amount) part(n, d int64) Amount {
	if d <= 0 {
		return Amount{}
	}
	return Amount{
		Rate:        Statements(muldiv(int64(a.Rate), n, d)),
		Burst:       Statements(muldiv(int64(a.Burst), n, d)),
		Connections: muldiv(a.Connections, n, d),
	}
}

// partOf returns the sum of the fractions that the components are of another amount's.
func (a Amount) partOf(whole Amount) float64 {
	sum := 0.0
	if whole.Rate > 0 {
		sum += float64(a.Rate) / float64(whole.Rate)
	}
	if whole.Burst > 0 {
		sum += float64(a.Burst) / float64(whole.Burst)
	}
	if whole.Connections > 0 {
		sum += float64(a.Connections) / float64(whole.Connections)
	}
	return sum
}

// IsSignificant reports whether the amount is worth an update for a holder that has share: at least a connection, or a
// fifth of the rate.
func (a Amount) IsSignificant(share Amount) bool {
	const least = 5
	return a.Connections > 0 || a.Rate > share.Rate/least
}

// scaled returns the amount lowered as before falls to after, and unchanged where it does not fall.
func (a Amount) scaled(before, after Amount) Amount {
	if after.Rate < before.Rate {
		a.Rate = Statements(muldiv(int64(a.Rate), int64(after.Rate), int64(before.Rate)))
	}
	if after.Burst < before.Burst {
		a.Burst = Statements(muldiv(int64(a.Burst), int64(after.Burst), int64(before.Burst)))
	}
	if after.Connections < before.Connections {
		a.Connections = muldiv(a.Connections, after.Connections, before.Connections)
	}
	return a
}

// Limit is a resource that the whole fleet shares.
type Limit struct {
	// Name is the name of the ledger without its prefix, such as "rate/nyanza".
	Name string
	// Total is what the fleet may use.
	Total Amount
	// MaxFallbackHolders is the number of holders that keep a standing share when they cannot renew.
	MaxFallbackHolders int
	// Revision is the revision of the document that states the limit.
	Revision uint64
}

// Lease times. A holder measures by its own monotonic clock from before the renewal was sent. Others add 10 % to
// allow for clocks that run at different speeds.
const (
	LeaseTTL        = 30 * time.Second
	ReclaimAfter    = 33 * time.Second
	FallbackTTL     = 50 * time.Minute
	ReleaseAfter    = time.Hour
	standingPercent = 10
)

// FallbackShare returns the share that each seat keeps when it cannot renew.
func (l Limit) FallbackShare() Amount {
	if l.MaxFallbackHolders < 1 {
		return Amount{}
	}
	standing := l.Total.part(standingPercent, 100*int64(l.MaxFallbackHolders))
	// A burst below one statement admits nothing. Even with one for each seat, no more than the total is reserved.
	standing.Burst = max(standing.Burst, min(Statement, l.Total.Burst/Statements(l.MaxFallbackHolders)))
	standing.Connections = min(l.Total.Connections, 1)
	return standing
}
