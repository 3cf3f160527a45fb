package allotment

import (
	"slices"
	"time"
)

// LeaseObservation is a lease number and the time at which it was first observed.
type LeaseObservation struct {
	Lease uint64
	Since time.Duration
	// Reserved is true when the number was observed on a reservation.
	Reserved bool
}

// LeaseObservations holds one holder's observations of the others' lease numbers and of the pool, by its own clock. It
// is immutable; the zero value is empty.
type LeaseObservations struct {
	leases map[string]LeaseObservation
	// pool holds the observations of the pool in its current epoch, oldest first.
	pool []poolObservation
}

type poolObservation struct {
	at     time.Duration
	epoch  uint64
	tokens Statements
	taken  Statements
}

// Observations of the pool are kept at this interval, up to this number. An old one is useless once a whole burst was
// taken since then, and a new one covers little time.
const (
	poolObservationInterval = 100 * time.Millisecond
	maxPoolObservations     = 12
)

// WithLedger returns the observations after the ledger was read. now is not before the answer was received.
func (o LeaseObservations) WithLedger(now time.Duration, l Ledger) LeaseObservations {
	leases := make(map[string]LeaseObservation, len(l.Entries)+len(l.Reservations))
	for _, e := range l.Entries {
		leases[e.Holder] = o.merged(now, e.Holder, LeaseObservation{Lease: e.Lease, Since: now})
	}
	for _, r := range l.Reservations {
		leases[r.Holder] = o.merged(now, r.Holder, LeaseObservation{Lease: r.Lease, Since: now, Reserved: true})
	}
	o.leases = leases
	o.pool = withPool(o.pool, poolObservation{at: now, epoch: l.Epoch, tokens: l.Tokens, taken: l.Taken})
	return o
}

func withPool(pool []poolObservation, seen poolObservation) []poolObservation {
	if len(pool) == 0 || pool[0].epoch != seen.epoch {
		return []poolObservation{seen}
	}
	if seen.at-pool[len(pool)-1].at < poolObservationInterval {
		return pool
	}
	return append(slices.Clone(pool[max(0, len(pool)+1-maxPoolObservations):]), seen)
}

// Refill returns the edit that adds the most tokens to the pool, and false when its current epoch was not observed. now
// is not after the update is sent.
func (o LeaseObservations) Refill(now time.Duration, l Ledger) (Refill, bool) {
	var best Refill
	found := false
	for _, p := range o.pool {
		refill := Refill{Epoch: p.epoch, Tokens: p.tokens, Taken: p.taken, Elapsed: now - p.at}
		if p.epoch == l.Epoch && (!found || l.refilledTokens(refill) > l.refilledTokens(best)) {
			best, found = refill, true
		}
	}
	return best, found
}

func (o LeaseObservations) merged(now time.Duration, holder string, seen LeaseObservation) LeaseObservation {
	old, ok := o.leases[holder]
	if ok && old.Lease == seen.Lease && old.Reserved == seen.Reserved && old.Since <= now {
		return old
	}
	return seen
}

// ReclaimEdits returns the edits that return expired shares and reservations of other holders to the pool.
func (o LeaseObservations) ReclaimEdits(now time.Duration, l Ledger, self string) []Edit {
	var edits []Edit
	for _, e := range l.Entries {
		if e.Holder != self && o.isUnchanged(now, e.Holder, LeaseObservation{Lease: e.Lease}, ReclaimAfter) {
			edits = append(edits, Reclaim{Holder: e.Holder, Lease: e.Lease})
		}
	}
	for _, r := range l.Reservations {
		if r.Holder != self && o.isUnchanged(now, r.Holder, LeaseObservation{Lease: r.Lease, Reserved: true}, ReleaseAfter) {
			edits = append(edits, Release{Holder: r.Holder, Lease: r.Lease})
		}
	}
	return edits
}

func (o LeaseObservations) isUnchanged(now time.Duration, holder string, expected LeaseObservation, d time.Duration) bool {
	seen, ok := o.leases[holder]
	return ok && seen.Lease == expected.Lease && seen.Reserved == expected.Reserved && now-seen.Since >= d
}
