// Package primacy decides which server of a group an instance may treat as its primary, and when a successor may be
// promoted.
//
// The platform's store holds one Record for each group. An instance holds a lease on a record for LeaseTTL after it
// sent the request that read it. The promoter first announces the replacement in the record. It promotes a successor
// only when every instance has either confirmed that it stopped using the old primary or let its lease expire.
//
// While the store is unreachable, a majority of the instances can extend a lease: each states that it knows of no newer
// record. An instance that confirmed a replacement no longer does so. Two majorities share an instance, so no lease is
// extended once a majority has confirmed the replacement. MaxLeaseTTL bounds the extensions, and with them how long an
// instance may rely on an outdated list of instances.
package primacy

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
)

const (
	// LeaseTTL is how long an instance relies on a record that it read. Records are at most about 1.3 s old while the
	// store answers; a longer lease delays the replacement of a primary while an instance is partitioned.
	LeaseTTL = 2 * time.Second
	// MaxLeaseTTL is how long a lease can be extended after the last read from the store. Users reported outages of the
	// store of up to nine seconds, which it covers.
	MaxLeaseTTL = 12 * time.Second
)

// Majority returns the smallest number of instances that is more than half of n.
func Majority(n int) int { return n/2 + 1 }

// PreventsExtension reports whether the confirmations of a replacement leave an unresponsive instance no majority that
// could extend its lease. That instance uses a membership list that it read after its own registration. The certain
// instances are surely in the list, among them the instance itself and those registered before it. Any subset of the
// possible ones may be in it. Only instances that did not confirm extend its lease.
func PreventsExtension(certain, unconfirmedCertain, unconfirmedPossible int) bool {
	// The worst case is a list with all possible instances that did not confirm and none of those that did: each of the
	// former adds one that extends the lease and at most one to the majority, each of the latter could only raise the
	// majority.
	return unconfirmedCertain+unconfirmedPossible < Majority(certain+unconfirmedPossible)
}

// Record states which server is the primary of a group. A Record is immutable. The zero value belongs to a group
// without a known primary.
type Record struct {
	Group   string     `json:"group"`
	Term    group.Term `json:"term"`
	Primary string     `json:"primary"`
	// Servers are the servers that may hold the only other copy of a confirmed write, sorted by name. Only groups with
	// synchronous replicas have any. The list is stored because a server's entry at the platform may expire while the
	// server is alive.
	Servers []Server `json:"servers,omitempty"`
	// Terms is the history of the group's log. A server whose log is not part of it may not become primary.
	Terms TermHistory `json:"terms,omitempty"`
	// Replacement is set from the announcement of a replacement until the successor is the primary.
	Replacement *Replacement `json:"replacement,omitempty"`
}

// Server is a server of a group and where it was last reached.
type Server struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre,omitempty"`
}

// KnownServers returns the servers that a promoter must take into account: those that are listed, and those recorded
// earlier that are not certainly gone.
func KnownServers(recorded, listed []Server, isGone func(Server) bool) []Server {
	known := slices.Clone(listed)
	for _, s := range recorded {
		isListed := slices.ContainsFunc(listed, func(l Server) bool { return l.Name == s.Name })
		if !isListed && !isGone(s) {
			known = append(known, s)
		}
	}
	slices.SortFunc(known, func(a, b Server) int { return strings.Compare(a.Name, b.Name) })
	return known
}

// Replacement announces that the primary is being replaced.
type Replacement struct {
	// Promoter is the incarnation of the instance that replaces the primary.
	Promoter string `json:"promoter"`
	// Epoch increases with each holder of the promoter lock.
	Epoch uint64 `json:"epoch"`
	// Planned is true when the primary is still healthy, so that its running transactions may complete first.
	Planned bool `json:"planned"`
	// Successor is the server whose promotion was last requested or is about to be; empty before the first request. It
	// is stored before the request, because a promoter that fails after the request cannot store it any more.
	Successor string `json:"successor,omitempty"`
}

// ParseRecord decodes a stored record.
func ParseRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("primacy record: %w", err)
	}
	if r.Group == "" || r.Term == 0 || r.Primary == "" {
		return Record{}, fmt.Errorf("primacy record of group %q has no term or primary", r.Group)
	}
	if err := r.Terms.validate(); err != nil {
		return Record{}, fmt.Errorf("primacy record of group %q: %w", r.Group, err)
	}
	return r, nil
}

// Encode encodes the record for the store.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// WithReplacement returns the record with an announced replacement. The successor of an earlier announcement is kept:
// its promotion may still take effect.
func (r Record) WithReplacement(x Replacement) Record {
	if r.Replacement != nil {
		x.Successor = r.Replacement.Successor
	}
	r.Replacement = &x
	return r
}

// WithSuccessor returns the record of an announced replacement with the server that is about to be promoted.
func (r Record) WithSuccessor(server string) Record {
	x := *r.Replacement
	x.Successor = server
	r.Replacement = &x
	return r
}

// WithoutReplacement returns the record with the announcement withdrawn.
func (r Record) WithoutReplacement() Record {
	r.Replacement = nil
	return r
}

// CanWithdraw reports whether the primary of an announced replacement may be used again. Once the promotion of a
// successor may have been requested, the successor may become the primary at any time.
func (r Record) CanWithdraw() bool { return r.Replacement != nil && r.Replacement.Successor == "" }

// IsLedBy reports whether the server reports itself as the primary of a later term, or of the record's term. The latter is the
// recorded primary, under another name if it has started again since: a term has one primary.
func (r Record) IsLedBy(s Status) bool { return s.IsPrimary && s.Term >= r.Term }

// IsSuccessor reports whether a server that reports itself as the primary of a later term can be adopted as the
// successor. If the promotion of another server was requested after its own, that one may have become the primary of an
// even later term. The recorded primary under another name can be adopted only if no promotion was requested at all.
func (r Record) IsSuccessor(s Status) bool {
	isPromotionRequested := r.Replacement != nil && r.Replacement.Successor != ""
	switch {
	case !r.IsLedBy(s):
		return false
	case s.Term == r.Term:
		return s.Server != r.Primary && !isPromotionRequested
	default:
		return !isPromotionRequested || r.Replacement.Successor == s.Server
	}
}

// WithServers returns the record with other servers.
func (r Record) WithServers(servers []Server) Record {
	r.Servers = servers
	return r
}

// WithPrimary returns the record with the server as primary of its term. Instances use the primary of a later term only once
// the record names it, so its log ends where the term begins.
func (r Record) WithPrimary(s Status) Record {
	if s.Term != r.Term {
		r.Terms = r.Terms.WithTerm(s.Term, s.Received)
	}
	r.Primary, r.Term, r.Replacement = s.Server, s.Term, nil
	return r
}

// View is the latest record that an instance has of a group, with the lease on it. A View is immutable; the zero value
// holds no lease.
type View struct {
	// Record is the newest known record, and Version its version in the store.
	Record  Record
	Version uint64
	// RequestedAt is when the latest request was sent that confirmed the current primary without a replacement. It is
	// measured by a clock of this process that includes the time in which the machine is suspended.
	RequestedAt time.Duration
	// ReadAt is when the latest such request was sent to the store itself. RequestedAt is later when the lease was
	// extended by other instances.
	ReadAt time.Duration
	// released is true once the instance has confirmed that it stopped using the primary of the record's term.
	released bool
}

// WithRecord returns the view after an answer with the record. The answer was requested at requestedAt, and the record
// was requested from the store at readAt, which is not later. A record of an older version came out of order and is
// ignored.
func (v View) WithRecord(r Record, version uint64, requestedAt, readAt time.Duration) View {
	switch {
	case version < v.Version:
		return v
	case version > v.Version && (r.Term != v.Record.Term || r.Primary != v.Record.Primary):
		v = View{Record: r, Version: version}
	case version > v.Version:
		// After the announcement of a replacement the lease stays valid until the instance releases it. If the
		// announcement is withdrawn, the primary may be used again.
		v.Record, v.Version, v.released = r, version, v.released && r.Replacement != nil
	}
	if r.Replacement == nil {
		v.RequestedAt, v.ReadAt = max(v.RequestedAt, requestedAt), max(v.ReadAt, readAt)
	}
	return v
}

// WithRelease returns the view after the instance confirmed that it stopped using the primary that the record of the version
// replaces. If the view has a newer record, the announcement was withdrawn or overtaken, and nothing is released.
func (v View) WithRelease(version uint64) View {
	if v.Version == version {
		v.released = true
	}
	return v
}

// PrimaryAt returns the server to which new statements for the primary may be sent at now, and its term.
func (v View) PrimaryAt(now time.Duration) (string, group.Term, bool) {
	if v.Record.Replacement != nil || !v.IsPrimaryAt(v.Record.Primary, v.Record.Term, now) {
		return "", 0, false
	}
	return v.Record.Primary, v.Record.Term, true
}

// IsPrimaryAt reports whether the server's answers as primary of the term are valid at now. During an announced
// replacement they stay valid until the instance has released the primary.
func (v View) IsPrimaryAt(server string, term group.Term, now time.Duration) bool {
	return v.Record.Primary != "" && v.Record.Primary == server && v.Record.Term == term && !v.released &&
		v.RequestedAt > 0 && now-v.RequestedAt <= LeaseTTL && now-v.ReadAt <= MaxLeaseTTL
}
