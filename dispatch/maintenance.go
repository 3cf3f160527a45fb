package dispatch

import (
	"maps"
	"slices"
	"time"
)

// TransactionGrace is how long a transaction may continue in a data centre after its instance learned that the data
// centre is in maintenance. Most transactions end within a second. The rest of the bound of 5 s within which no statement
// may reach the data centre is left for distributing the list.
const TransactionGrace = 1500 * time.Millisecond

// Maintenance is the set of data centres that are taken out of service. Their servers run no client statement. A
// Maintenance is immutable; the zero value is empty.
type Maintenance struct {
	// since holds when this instance learned of the maintenance of each data centre.
	since map[string]time.Duration
	// isUnknown is true before the set has been read.
	isUnknown bool
}

// UnknownMaintenance returns the set before it has been read. It contains every data centre, because a server of any of
// them may be out of service.
func UnknownMaintenance() Maintenance { return Maintenance{isUnknown: true} }

// WithDataCentres returns the set of the given data centres as learned at now. Those that were in the set before keep
// their times.
func (m Maintenance) WithDataCentres(names []string, now time.Duration) Maintenance {
	since := make(map[string]time.Duration, len(names))
	for _, name := range names {
		since[name] = now
		if earlier, found := m.since[name]; found {
			since[name] = earlier
		}
	}
	return Maintenance{since: since}
}

// Has reports whether the data centre is in maintenance.
func (m Maintenance) Has(dataCentre string) bool {
	_, found := m.since[dataCentre]
	return found || m.isUnknown
}

// Since returns when this instance learned of the maintenance of the data centre; zero if it is not in the set.
func (m Maintenance) Since(dataCentre string) time.Duration { return m.since[dataCentre] }

// IsEmpty reports whether no data centre is in maintenance.
func (m Maintenance) IsEmpty() bool { return len(m.since) == 0 && !m.isUnknown }

// DataCentres returns the data centres in maintenance, sorted by name.
func (m Maintenance) DataCentres() []string { return slices.Sorted(maps.Keys(m.since)) }

// HasSame reports whether both sets contain the same data centres.
func (m Maintenance) HasSame(other Maintenance) bool {
	if m.isUnknown != other.isUnknown || len(m.since) != len(other.since) {
		return false
	}
	for name := range m.since {
		if _, found := other.since[name]; !found {
			return false
		}
	}
	return true
}

// SendDecision is the result of CheckSend. It is one of MaySend, RunElsewhere and EndTransaction.
type SendDecision interface{ sendDecision() }

// MaySend allows the statement to be sent.
type MaySend struct{}

// RunElsewhere means that the statement must be sent to a server in another data centre.
type RunElsewhere struct{}

// EndTransaction means that the transaction has used up its time and ends without a commit.
type EndTransaction struct{}

func (MaySend) sendDecision()        {}
func (RunElsewhere) sendDecision()   {}
func (EndTransaction) sendDecision() {}

// CheckSend decides whether a statement may be sent to a server of the data centre at now.
func CheckSend(m Maintenance, dataCentre string, inTransaction bool, now time.Duration) SendDecision {
	switch {
	case !m.Has(dataCentre):
		return MaySend{}
	case !inTransaction:
		return RunElsewhere{}
	case now < m.Since(dataCentre)+TransactionGrace:
		return MaySend{}
	default:
		return EndTransaction{}
	}
}

// isInMaintenance reports whether no server outside maintenance could run the statement, now or soon.
func isInMaintenance(need Need, candidates []Candidate, in RoutingContext) bool {
	if in.Maintenance.IsEmpty() {
		return false
	}
	_, needsPrimary := need.(NeedPrimary)
	found := false
	for _, c := range candidates {
		if needsPrimary && c.Server.Listing.Name != in.Primary {
			continue
		}
		if !in.Maintenance.Has(c.Server.Listing.DataCentre) {
			return false
		}
		found = true
	}
	return found
}
