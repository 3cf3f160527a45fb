package allotment

import (
	"slices"
	"time"
)

// LeaseObservation is when a lease number was first seen.
type LeaseObservation struct {
	Lease uint64
	Since time.Duration
	// Seat is true when the number was seen on a reserved seat.
	Seat bool
}

// LeaseObservations holds what one holder has seen of the others' lease numbers, by its own clock. The zero value has seen
// nothing. It is never changed in place.
type LeaseObservations struct {
	seen map[string]LeaseObservation
	// pool is what was seen of the pool in its present epoch, oldest first.
	pool []poolSighting
}

type poolSighting struct {
	at     time.Duration
	epoch  uint64
	tokens Statements
	taken  Statements
}

// Sightings of the pool are kept at this distance, and as many as this. An old one is of no use once a whole burst was
// taken since, a new one covers little time.
const (
	poolSightingGap  = 100 * time.Millisecond
	maxPoolSightings = 12
)

// WithLedger returns the sightings after the ledger was read. now is an instant after the answer came.
func (s LeaseObservations) WithLedger(now time.Duration, l Ledger) LeaseObservations {
	next := make(map[string]LeaseObservation, len(l.Entries)+len(l.Reservations))
	for _, e := range l.Entries {
		next[e.Holder] = s.after(now, e.Holder, LeaseObservation{Lease: e.Lease, Since: now})
	}
	for _, seat := range l.Reservations {
		next[seat.Holder] = s.after(now, seat.Holder, LeaseObservation{Lease: seat.Lease, Since: now, Seat: true})
	}
	s.seen = next
	s.pool = withPool(s.pool, poolSighting{at: now, epoch: l.Epoch, tokens: l.Tokens, taken: l.Taken})
	return s
}

func withPool(pool []poolSighting, seen poolSighting) []poolSighting {
	if len(pool) == 0 || pool[0].epoch != seen.epoch {
		return []poolSighting{seen}
	}
	if seen.at-pool[len(pool)-1].at < poolSightingGap {
		return pool
	}
	return append(slices.Clone(pool[max(0, len(pool)+1-maxPoolSightings):]), seen)
}

// Refill returns the edit that fills up the pool most, and false when nothing is known of its present epoch. now is an
// instant before the update is sent.
func (s LeaseObservations) Refill(now time.Duration, l Ledger) (Refill, bool) {
	var best Refill
	found := false
	for _, p := range s.pool {
		fill := Refill{Epoch: p.epoch, Tokens: p.tokens, Taken: p.taken, Elapsed: now - p.at}
		if p.epoch == l.Epoch && (!found || l.level(fill) > l.level(best)) {
			best, found = fill, true
		}
	}
	return best, found
}

func (s LeaseObservations) after(now time.Duration, holder string, seen LeaseObservation) LeaseObservation {
	old, ok := s.seen[holder]
	if ok && old.Lease == seen.Lease && old.Seat == seen.Seat && old.Since <= now {
		return old
	}
	return seen
}

// ReclaimEdits returns the edits that take back what silent holders no longer use.
func (s LeaseObservations) ReclaimEdits(now time.Duration, l Ledger, self string) []Edit {
	var edits []Edit
	for _, e := range l.Entries {
		if e.Holder != self && s.silent(now, e.Holder, LeaseObservation{Lease: e.Lease}, ReclaimAfter) {
			edits = append(edits, Reclaim{Holder: e.Holder, Lease: e.Lease})
		}
	}
	for _, seat := range l.Reservations {
		if seat.Holder != self && s.silent(now, seat.Holder, LeaseObservation{Lease: seat.Lease, Seat: true}, ReleaseAfter) {
			edits = append(edits, Release{Holder: seat.Holder, Lease: seat.Lease})
		}
	}
	return edits
}

func (s LeaseObservations) silent(now time.Duration, holder string, want LeaseObservation, d time.Duration) bool {
	seen, ok := s.seen[holder]
	return ok && seen.Lease == want.Lease && seen.Seat == want.Seat && now-seen.Since >= d
}
