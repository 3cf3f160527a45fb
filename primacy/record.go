// Package primacy decides which server of a group an instance may treat as its primary, and when a successor may be
// promoted.
//
// The platform's store holds one Record for each group. An instance relies on a record for Lease after the instant at
// which it asked the store for it. Who replaces a primary first writes that to the record, and promotes a successor only
// when every instance has either confirmed that it stopped using the old primary or had time for its lease to run out.
//
// While the store cannot be reached, a majority of the instances can extend a lease: each says that it knows of no newer
// record. An instance that confirmed a replacement does not say so any more. Two majorities share an instance, so no lease
// is extended once a majority has confirmed a replacement. MaxLease bounds the extensions, and with it the time for which
// an instance may count on an older list of instances.
package primacy

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
)

const (
	// LeaseTTL is how long an instance relies on a record that it read. Records are about 1.3 s old at most while the store
	// answers; a longer lease delays the replacement of a primary while an instance is cut off.
	LeaseTTL = 2 * time.Second
	// MaxLeaseTTL is how long extended leases last after the last read. It outlasts the outages of the store that the users
	// told of, of up to nine seconds.
	MaxLeaseTTL = 12 * time.Second
)

// Majority returns how many of n instances have to agree.
func Majority(n int) int { return n/2 + 1 }

// PreventsExtension reports whether a silent instance finds no majority to extend its lease, once others have confirmed a replacement. It
// counts on a list that it read after it was listed itself: the sure ones are surely in that list, the silent instance among
// them, and any part of the late ones may be. Those that did not confirm may extend its lease.
func PreventsExtension(sure, unconfirmedSure, unconfirmedLate int) bool {
	// A list with fewer of the late ones makes a majority no easier to find: each counts for both sides.
	return unconfirmedSure+unconfirmedLate < Majority(sure+unconfirmedLate)
}

// Record states which server leads a group. A Record is never changed in place. The zero value belongs to a group
// without a known primary.
type Record struct {
	Group   string     `json:"group"`
	Term    group.Term `json:"term"`
	Primary string     `json:"primary"`
	// Replacement is set from the announcement of a replacement until the successor leads.
	Replacement *Replacement `json:"replacement,omitempty"`
}

// Replacement announces that the primary is being replaced.
type Replacement struct {
	// Promoter is the incarnation of the instance that replaces the primary.
	Promoter string `json:"promoter"`
	// Epoch grows with each holder of the duty to promote.
	Epoch uint64 `json:"epoch"`
	// Planned is true when the primary still works, so that what runs there may end first.
	Planned bool `json:"planned"`
}

// ParseRecord reads the stored form.
func ParseRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("primacy record: %w", err)
	}
	if r.Group == "" || r.Term == 0 || r.Primary == "" {
		return Record{}, fmt.Errorf("primacy record of group %q has no term or primary", r.Group)
	}
	return r, nil
}

// Encode returns the stored form.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// WithReplacement returns the record with an announced replacement.
func (r Record) WithReplacement(x Replacement) Record {
	r.Replacement = &x
	return r
}

// WithPrimary returns the record of the successor's term.
func (r Record) WithPrimary(server string, term group.Term) Record {
	r.Primary, r.Term, r.Replacement = server, term, nil
	return r
}

// View is what an instance may rely on about a group's primary. A View is never changed in place; the zero value relies
// on nothing.
type View struct {
	// Record is the newest record, and Version its version in the store.
	Record  Record
	Version uint64
	// RequestedAt is when a record with the present primary and no announcement was last asked for, on a clock of this process
	// that also counts the time in which the machine is suspended.
	RequestedAt time.Duration
	// ReadAt is when the store was last asked for it; AskedAt is later when the lease was extended.
	ReadAt time.Duration
	// released is true once the instance has confirmed that it no longer uses the primary of the record's term.
	released bool
}

// WithRecord returns the view after the record was asked for at one instant, and read from the store at another one that
// is not later. A record of an older version changes nothing: its answer was late.
func (v View) WithRecord(r Record, version uint64, askedAt, readAt time.Duration) View {
	switch {
	case version < v.Version:
		return v
	case version > v.Version && (r.Term != v.Record.Term || r.Primary != v.Record.Primary):
		v = View{Record: r, Version: version}
	case version > v.Version:
		// The lease of an announced replacement goes on until the instance releases it. After a withdrawn announcement the
		// primary leads again.
		v.Record, v.Version, v.released = r, version, v.released && r.Replacement != nil
	}
	if r.Replacement == nil {
		v.RequestedAt, v.ReadAt = max(v.RequestedAt, askedAt), max(v.ReadAt, readAt)
	}
	return v
}

// WithRelease returns the view after the instance confirmed that it no longer uses the primary of the term.
func (v View) WithRelease(term group.Term) View {
	if v.Record.Term == term {
		v.released = true
	}
	return v
}

// PrimaryAt returns the server to which new statements for the primary may go at now, and its term.
func (v View) PrimaryAt(now time.Duration) (string, group.Term, bool) {
	if v.Record.Replacement != nil || !v.Leads(v.Record.Primary, v.Record.Term, now) {
		return "", 0, false
	}
	return v.Record.Primary, v.Record.Term, true
}

// Leads reports whether answers of the server, as primary of the term, may be relied on at now. They may until the
// instance has released the primary, also while its replacement is announced.
func (v View) Leads(server string, term group.Term, now time.Duration) bool {
	return v.Record.Primary != "" && v.Record.Primary == server && v.Record.Term == term && !v.released &&
		v.RequestedAt > 0 && now-v.RequestedAt <= LeaseTTL && now-v.ReadAt <= MaxLeaseTTL
}
