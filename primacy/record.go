// Package primacy decides which server of a group an instance may treat as its primary, and when a successor may be
// promoted.
//
// The platform's store holds one Record for each group. An instance relies on a record for Lease after the instant at
// which it asked the store for it. Who replaces a primary first writes that to the record, and promotes a successor only
// when every instance has either confirmed that it stopped using the old primary or had time for its lease to run out.
package primacy

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
)

// Lease is how long an instance relies on a record that it read. It outlasts the outages of the store that users told
// of (up to nine seconds); a longer one delays the replacement of a primary while an instance is cut off.
const Lease = 10 * time.Second

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
	// Attempt tells the announcements of one promoter apart.
	Attempt uint64 `json:"attempt"`
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

// Succeeds reports whether the record is newer than the other one of the same group. Terms grow, and within a term a
// record with an announcement follows one without.
func (r Record) Succeeds(other Record) bool {
	if r.Term != other.Term {
		return r.Term > other.Term
	}
	return r.attempt() > other.attempt()
}

func (r Record) attempt() uint64 {
	if r.Replacement == nil {
		return 0
	}
	return r.Replacement.Epoch<<20 + r.Replacement.Attempt
}

// View is a record with the instant at which it was asked for. A View is never changed in place; the zero value relies
// on nothing.
type View struct {
	Record Record
	// AskedAt is on the clock of this process, which also counts the time that the machine is suspended.
	AskedAt time.Duration
}

// WithRecord returns the view after the record was asked for at the instant. An older record changes nothing: its answer
// was late.
func (v View) WithRecord(r Record, askedAt time.Duration) View {
	switch {
	case r.Succeeds(v.Record):
		return View{Record: r, AskedAt: askedAt}
	case v.Record.Succeeds(r):
		return v
	default:
		v.AskedAt = max(v.AskedAt, askedAt)
		return v
	}
}

// PrimaryAt returns the server that the instance may treat as primary at now, and its term.
func (v View) PrimaryAt(now time.Duration) (string, group.Term, bool) {
	if v.Record.Primary == "" || v.Record.Replacement != nil || now-v.AskedAt > Lease {
		return "", 0, false
	}
	return v.Record.Primary, v.Record.Term, true
}

// Leads reports whether the server is the primary of the term at now.
func (v View) Leads(server string, term group.Term, now time.Duration) bool {
	primary, current, ok := v.PrimaryAt(now)
	return ok && primary == server && current == term
}
