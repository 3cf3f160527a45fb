// Package allotment divides limits of the whole fleet between its instances: rates, bursts and server connections.
//
// The ledger of a limit is stored in the platform's store. Each holder, that is, each instance with a share of the
// limit, holds a lease on its share and renews it with every update of the ledger. What nobody holds is the pool. The
// values of this package are immutable, and the package uses neither clock nor network.
package allotment

import (
	"math"
	"time"
)

// Statements is a number of statements, or of statements per second, in millionths. Integers add up exactly, so the
// shares of a ledger cannot exceed its total by rounding.
type Statements int64

// Statement is one statement.
const Statement Statements = 1_000_000

// ToStatements converts a number of statements, rounded down.
func ToStatements(n float64) Statements {
	const maxNumber = math.MaxInt64 / 1024
	return Statements(min(max(n, 0)*float64(Statement), maxNumber))
}

// Float returns the number of statements.
func (s Statements) Float() float64 { return float64(s) / float64(Statement) }

// Amount is a part of a limit. A limit has either a rate and a burst or connections, never both.
type Amount struct {
	// Rate is the number of statements per second.
	Rate Statements
	// Burst is the number of statements that may arrive at once.
	Burst Statements
	// Connections is the number of connections.
	Connections int64
}

// Plus returns the sum by component.
func (a Amount) Plus(b Amount) Amount {
	return Amount{Rate: a.Rate + b.Rate, Burst: a.Burst + b.Burst, Connections: a.Connections + b.Connections}
}

// Minus returns the difference by component, and zero where b is greater.
func (a Amount) Minus(b Amount) Amount {
	return Amount{Rate: max(a.Rate-b.Rate, 0), Burst: max(a.Burst-b.Burst, 0), Connections: max(a.Connections-b.Connections, 0)}
}

// Min returns the minimum by component.
func (a Amount) Min(b Amount) Amount {
	return Amount{Rate: min(a.Rate, b.Rate), Burst: min(a.Burst, b.Burst), Connections: min(a.Connections, b.Connections)}
}

// Max returns the maximum by component.
func (a Amount) Max(b Amount) Amount {
	return Amount{Rate: max(a.Rate, b.Rate), Burst: max(a.Burst, b.Burst), Connections: max(a.Connections, b.Connections)}
}

// Covers reports whether no component of b is greater than a's.
func (a Amount) Covers(b Amount) bool {
	return a.Rate >= b.Rate && a.Burst >= b.Burst && a.Connections >= b.Connections
}

// IsZero reports whether all components are zero.
func (a Amount) IsZero() bool { return a == Amount{} }

// isNegative reports whether a component is below zero.
func (a Amount) isNegative() bool { return a.Rate < 0 || a.Burst < 0 || a.Connections < 0 }

// fraction returns the fraction n/d of the amount, rounded down.
func (a Amount) fraction(n, d int64) Amount {
	if d <= 0 {
		return Amount{}
	}
	return Amount{
		Rate:        Statements(muldiv(int64(a.Rate), n, d)),
		Burst:       Statements(muldiv(int64(a.Burst), n, d)),
		Connections: muldiv(a.Connections, n, d),
	}
}

// sizeRelativeTo returns the sum of the components, each as a fraction of that of whole.
func (a Amount) sizeRelativeTo(whole Amount) float64 {
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

// IsSignificant reports whether the amount is worth an update of the ledger for a holder of the share: at least one
// connection, or more than a fifth of the rate.
func (a Amount) IsSignificant(share Amount) bool {
	const minDivisor = 5
	return a.Connections > 0 || a.Rate > share.Rate/minDivisor
}

// scaledDown returns the amount with each component reduced in the ratio of after to before, and unchanged where after
// is not smaller.
func (a Amount) scaledDown(before, after Amount) Amount {
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

// Limit is a limit of the whole fleet.
type Limit struct {
	// Name is the name of the ledger without its prefix, such as "rate/nyanza".
	Name string
	// Total is what all instances together may use.
	Total Amount
	// MaxFallbackHolders is the number of holders that keep a fallback share when they cannot renew their lease.
	MaxFallbackHolders int
	// Revision is the revision of the document that defines the limit.
	Revision uint64
}

// Lease times. A holder measures them by its own monotonic clock from before the renewal was sent. Other instances wait
// 10 % longer before they reclaim a share and 20 % longer before they release a reservation, because clocks run at
// different speeds.
const (
	LeaseTTL        = 30 * time.Second
	ReclaimAfter    = 33 * time.Second
	FallbackTTL     = 50 * time.Minute
	ReleaseAfter    = time.Hour
	fallbackPercent = 10
)

// FallbackShare returns the share that each of the fallback holders keeps when it cannot renew its lease.
func (l Limit) FallbackShare() Amount {
	if l.MaxFallbackHolders < 1 {
		return Amount{}
	}
	fallback := l.Total.fraction(fallbackPercent, 100*int64(l.MaxFallbackHolders))
	// A burst below one statement admits nothing. Even if each fallback holder has one, the sum does not exceed the
	// total.
	fallback.Burst = max(fallback.Burst, min(Statement, l.Total.Burst/Statements(l.MaxFallbackHolders)))
	fallback.Connections = min(l.Total.Connections, 1)
	return fallback
}
