// Package document defines the configuration document: organisations with their keys and rate limits, database groups,
// and the routes to them. All instances use the same document.
package document

import (
	"slices"
	"time"
)

// Revision is the number of a committed document. The first committed document has revision 1.
type Revision uint64

// Document is one revision of the configuration. It is immutable; its With methods return copies.
type Document struct {
	Revision Revision `json:"revision"`
	Change   Change   `json:"change"`
	// MaxFallbackHolders is the number of instances for which a fallback share of each limit is reserved. An instance
	// that cannot renew its share of a limit keeps its fallback share.
	MaxFallbackHolders int            `json:"seats" validate:"min=1,max=10000"`
	Organisations      []Organisation `json:"organisations" validate:"dive"`
	Groups             []Group        `json:"groups" validate:"dive"`
	Routes             []Route        `json:"routes" validate:"dive"`
	// History holds the latest changes, oldest first, at most MaxHistory of them.
	History []Change `json:"history" validate:"max=32,dive"`
	// TransactionIdleMS is the time in milliseconds after which an idle transaction may be rolled back. Zero means that
	// the instance's settings apply.
	TransactionIdleMS int64 `json:"transaction_idle_ms,omitempty" validate:"min=0,max=86400000"`
}

// Change records who made a revision, and when. ID is random, so that a writer whose write got no response can tell
// whether the stored revision is its own.
type Change struct {
	ID       string    `json:"id" validate:"max=100"`
	Revision Revision  `json:"revision"`
	Author   string    `json:"author" validate:"max=100"`
	Summary  string    `json:"summary" validate:"max=500"`
	At       time.Time `json:"at"`
}

// Organisation is a customer that shares the databases with others.
type Organisation struct {
	Name string `json:"name" validate:"required,name"`
	Keys []Key  `json:"keys" validate:"max=100,dive"`
	// Rate is the number of statements per second over all instances.
	Rate float64 `json:"rate" validate:"gt=0,lte=10000000"`
	// Burst is the maximum number of statements at once, over all instances.
	Burst float64 `json:"burst" validate:"gte=1,lte=10000000"`
	// Priority orders organisations under overload. Zero is the highest priority.
	Priority int `json:"priority,omitempty" validate:"min=0,max=100"`
	// Homes are the regions to which the organisation's statements are restricted. An empty list has no restriction.
	Homes Homes `json:"homes,omitzero"`
}

// Key is an organisation's key. Only its hash is stored.
type Key struct {
	ID string `json:"id" validate:"required,name"`
	// SHA256 is the SHA-256 hash of the key's text, in lower-case hexadecimal.
	SHA256 string `json:"sha256" validate:"required,sha256_hex"`
}

// Group is a replication group: servers that replicate one log.
type Group struct {
	Name    string   `json:"name" validate:"required,name"`
	Slots   []string `json:"slots" validate:"min=1,max=1000,dive,required,name"`
	Servers []Server `json:"servers" validate:"min=1,max=15,dive"`
	// ServingInstances is the number of instances that hold connections to the servers. All other instances forward their
	// clients to them. Zero means instance.DefaultServing.
	ServingInstances int `json:"serving_instances,omitempty" validate:"min=0,max=10000"`
	// Connections is the maximum number of connections of all instances to each server, for groups whose servers are
	// listed by the platform. Zero means that each server's own limit applies.
	Connections int `json:"connections,omitempty" validate:"min=0,max=100000"`
	// SynchronousReplicas is the number of replicas that must receive a write before it is confirmed.
	SynchronousReplicas int `json:"synchronous_replicas,omitempty" validate:"min=0,max=15"`
	// ColdRate is the number of statements per second that a server may get while it is cold, and ColdStartMS how long a
	// server is cold after its start, in milliseconds. A zero rate means that cold servers are not limited.
	ColdRate    float64 `json:"cold_per_s,omitempty" validate:"gte=0,lte=10000000"`
	ColdStartMS int64   `json:"cold_start_ms,omitempty" validate:"min=0,max=86400000"`
}

// Server is one database server of a group.
type Server struct {
	Name       string `json:"name" validate:"required,name"`
	Address    string `json:"address" validate:"required,ip_port"`
	DataCentre string `json:"data_centre" validate:"required,name"`
	// Connections is the maximum number of connections of all instances to the server.
	Connections int `json:"connections" validate:"min=1,max=100000"`
	// Departing is true if the server is being drained: it gets no new work.
	Departing bool `json:"departing"`
}

// Kind says whether the requests on a route read or write.
type Kind string

// The kinds of a route.
const (
	Read  Kind = "read"
	Write Kind = "write"
)

// Route is what a client names as its database.
type Route struct {
	Name  string `json:"name" validate:"required,name"`
	Group string `json:"group" validate:"required"`
	// Slot is the database on the group's servers that holds the route's data.
	Slot string `json:"slot" validate:"required"`
	Kind Kind   `json:"kind" validate:"oneof=read write"`
	// AcceptedAgeMS is the maximum staleness of a read in milliseconds. Zero means that a read accepts none.
	AcceptedAgeMS int64 `json:"accepted_age_ms" validate:"min=0,max=86400000"`
	// Idempotent is true if statements may be retried after an unknown outcome.
	Idempotent bool `json:"idempotent"`
	// Open is true if the route needs no key. Its requests run for the organisation "open".
	Open bool `json:"open"`
	// Rate and Burst limit an open route over all instances. Requests on other routes count against the limit of the
	// client's organisation.
	Rate  float64 `json:"rate,omitempty" validate:"gte=0,lte=10000000"`
	Burst float64 `json:"burst,omitempty" validate:"gte=0,lte=10000000"`
	// Freshness is the consistency of reads on a route that takes reads and writes.
	Freshness Freshness `json:"freshness,omitempty" validate:"omitempty,oneof=every_write own_writes accepted_age"`
	// TimeoutMS is the timeout of one statement, and TargetLatencyMS the target latency of an operation, both in
	// milliseconds.
	TimeoutMS       int64 `json:"timeout_ms,omitempty" validate:"min=0,max=86400000"`
	TargetLatencyMS int64 `json:"target_latency_ms,omitempty" validate:"min=0,max=86400000"`
	// Priority orders routes under overload. Zero is the highest priority.
	Priority int `json:"priority,omitempty" validate:"min=0,max=100"`
	// Homes are the regions to which the route's statements are restricted. An empty list has no restriction.
	Homes Homes `json:"homes,omitzero"`
}

// Freshness is a consistency level for the reads of a route.
type Freshness string

// The consistency levels. Sessions see their own writes on all of them but AcceptedAge.
const (
	// EveryWrite is strong consistency: reads see every write that was confirmed before they began.
	EveryWrite Freshness = "every_write"
	// OwnWrites is read-your-writes consistency: reads see the session's own writes, and all writes that are older than
	// the accepted age.
	OwnWrites Freshness = "own_writes"
	// AcceptedAge is bounded staleness: reads see all writes that are older than the accepted age.
	AcceptedAge Freshness = "accepted_age"
)

// DefaultMaxFallbackHolders is used for a first document that does not set MaxFallbackHolders.
const DefaultMaxFallbackHolders = 32

// MaxHistory is the maximum number of changes in a document's history. At 12,000 changes a day it covers four minutes,
// in which another instance completes the audit records of an editor that crashed before writing them.
const MaxHistory = 32

// OpenOrganisation is the reserved organisation of requests on open routes.
const OpenOrganisation = "open"

// FindOrganisation returns the organisation with the given name.
func (d Document) FindOrganisation(name string) (Organisation, bool) {
	return find(d.Organisations, func(o Organisation) bool { return o.Name == name })
}

// FindGroup returns the group with the given name.
func (d Document) FindGroup(name string) (Group, bool) {
	return find(d.Groups, func(g Group) bool { return g.Name == name })
}

// FindRoute returns the route with the given name.
func (d Document) FindRoute(name string) (Route, bool) {
	return find(d.Routes, func(r Route) bool { return r.Name == name })
}

// WithOrganisation returns a copy with the organisation added, or replaced if one of that name exists.
func (d Document) WithOrganisation(o Organisation) Document {
	d.Organisations = upsert(d.Organisations, o, func(other Organisation) bool { return other.Name == o.Name })
	return d
}

// WithGroup returns a copy with the group added, or replaced if one of that name exists.
func (d Document) WithGroup(g Group) Document {
	d.Groups = upsert(d.Groups, g, func(other Group) bool { return other.Name == g.Name })
	return d
}

// WithRoute returns a copy with the route added, or replaced if one of that name exists.
func (d Document) WithRoute(r Route) Document {
	d.Routes = upsert(d.Routes, r, func(other Route) bool { return other.Name == r.Name })
	return d
}

// AcceptedAge returns the maximum staleness of a read on the route.
func (r Route) AcceptedAge() time.Duration { return time.Duration(r.AcceptedAgeMS) * time.Millisecond }

// Timeout returns the timeout of one statement.
func (r Route) Timeout() time.Duration { return time.Duration(r.TimeoutMS) * time.Millisecond }

// TargetLatency returns the target latency of an operation.
func (r Route) TargetLatency() time.Duration {
	return time.Duration(r.TargetLatencyMS) * time.Millisecond
}

// FindServer returns the server with the given name.
func (g Group) FindServer(name string) (Server, bool) {
	return find(g.Servers, func(s Server) bool { return s.Name == name })
}

func find[T any](items []T, match func(T) bool) (T, bool) {
	if i := slices.IndexFunc(items, match); i >= 0 {
		return items[i], true
	}
	var zero T
	return zero, false
}

func upsert[T any](items []T, item T, match func(T) bool) []T {
	items = slices.Clone(items)
	if i := slices.IndexFunc(items, match); i >= 0 {
		items[i] = item
		return items
	}
	return append(items, item)
}
