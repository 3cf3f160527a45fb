package allotment

import "time"

// Sighting is when a lease number was first seen.
type Sighting struct {
	Lease uint64
	Since time.Duration
	// Seat is true when the number was seen on a reserved seat.
	Seat bool
}

// Sightings holds what one holder has seen of the others' lease numbers, by its own clock. The zero value has seen
// nothing. It is never changed in place.
type Sightings struct{ seen map[string]Sighting }

// WithLedger returns the sightings after the ledger was read. now is an instant after the answer came.
func (s Sightings) WithLedger(now time.Duration, l Ledger) Sightings {
	next := make(map[string]Sighting, len(l.Entries)+len(l.Seats))
	for _, e := range l.Entries {
		next[e.Holder] = s.after(now, e.Holder, Sighting{Lease: e.Lease, Since: now})
	}
	for _, seat := range l.Seats {
		next[seat.Holder] = s.after(now, seat.Holder, Sighting{Lease: seat.Lease, Since: now, Seat: true})
	}
	return Sightings{seen: next}
}

func (s Sightings) after(now time.Duration, holder string, seen Sighting) Sighting {
	old, ok := s.seen[holder]
	if ok && old.Lease == seen.Lease && old.Seat == seen.Seat && old.Since <= now {
		return old
	}
	return seen
}

// Lapsed returns the edits that take back what silent holders no longer use.
func (s Sightings) Lapsed(now time.Duration, l Ledger, self string) []Edit {
	var edits []Edit
	for _, e := range l.Entries {
		if e.Holder != self && s.silent(now, e.Holder, Sighting{Lease: e.Lease}, ReclaimAfter) {
			edits = append(edits, Reclaim{Holder: e.Holder, Lease: e.Lease})
		}
	}
	for _, seat := range l.Seats {
		if seat.Holder != self && s.silent(now, seat.Holder, Sighting{Lease: seat.Lease, Seat: true}, VacateAfter) {
			edits = append(edits, Vacate{Holder: seat.Holder, Lease: seat.Lease})
		}
	}
	return edits
}

func (s Sightings) silent(now time.Duration, holder string, want Sighting, d time.Duration) bool {
	seen, ok := s.seen[holder]
	return ok && seen.Lease == want.Lease && seen.Seat == want.Seat && now-seen.Since >= d
}
