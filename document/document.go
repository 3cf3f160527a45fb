// Package document holds the one document that states everything in force: organisations, their keys and
// rates, the database groups and the routes to them.
package document

import (
	"slices"
	"time"
)

// Revision numbers the accepted documents. The first accepted document has revision one.
type Revision uint64

// Document states everything in force. A Document is never changed in place; its With methods return copies.
type Document struct {
	Revision Revision `json:"revision"`
	Change   Change   `json:"change"`
	// MaxFallbackHolders is the number of instances for which standing shares are kept.
	MaxFallbackHolders int            `json:"seats" validate:"min=1,max=10000"`
	Organisations      []Organisation `json:"organisations" validate:"dive"`
	Groups             []Group        `json:"groups" validate:"dive"`
	Routes             []Route        `json:"routes" validate:"dive"`
	// History holds the latest changes, newest last, at most MaxHistory of them.
	History []Change `json:"history" validate:"max=32,dive"`
	// TransactionIdleMS is how long a transaction may be idle before it may be rolled back, in milliseconds; zero means
	// that the settings decide.
	TransactionIdleMS int64 `json:"transaction_idle_ms,omitempty" validate:"min=0,max=86400000"`
}

// Change records who made a revision. ID is drawn at random, so that a re-read after a lost answer tells the
// caller's own change from another's.
type Change struct {
	ID       string    `json:"id" validate:"max=100"`
	Revision Revision  `json:"revision"`
	Author   string    `json:"author" validate:"max=100"`
	Summary  string    `json:"summary" validate:"max=500"`
	At       time.Time `json:"at"`
}

// Organisation is one business that shares the databases.
type Organisation struct {
	Name string `json:"name" validate:"required,name"`
	Keys []Key  `json:"keys" validate:"max=100,dive"`
	// Rate is the number of statements a second over the whole fleet.
	Rate float64 `json:"rate" validate:"gt=0,lte=10000000"`
	// Burst is the number of statements that may come at once over the whole fleet.
	Burst float64 `json:"burst" validate:"gte=1,lte=10000000"`
	// Priority orders organisations under load; zero comes first.
	Priority int `json:"priority,omitempty" validate:"min=0,max=100"`
}

// Key is a caller's key, of which only the hash is kept.
type Key struct {
	ID string `json:"id" validate:"required,name"`
	// SHA256 is the lower-case hexadecimal SHA-256 of the key's text.
	SHA256 string `json:"sha256" validate:"required,sha256_hex"`
}

// Group is a database group: servers that replicate one log.
type Group struct {
	Name    string   `json:"name" validate:"required,name"`
	Slots   []string `json:"slots" validate:"min=1,max=1000,dive,required,name"`
	Servers []Server `json:"servers" validate:"min=1,max=15,dive"`
	// ServingInstances is the number of instances that hold connections to the servers and serve the callers of all
	// others; zero means instance.DefaultServing.
	ServingInstances int `json:"serving_instances,omitempty" validate:"min=0,max=10000"`
	// Connections is the number of connections that the whole fleet may hold to each server, for groups whose servers
	// the platform lists; zero means that each server states its own.
	Connections int `json:"connections,omitempty" validate:"min=0,max=100000"`
	// SynchronousReplicas is the number of replicas that have received a write before it is confirmed.
	SynchronousReplicas int `json:"synchronous_replicas,omitempty" validate:"min=0,max=15"`
}

// Server is one database server of a group.
type Server struct {
	Name       string `json:"name" validate:"required,name"`
	Address    string `json:"address" validate:"required,ip_port"`
	DataCentre string `json:"data_centre" validate:"required,name"`
	// Connections is the number of connections that the whole fleet may hold to the server.
	Connections int `json:"connections" validate:"min=1,max=100000"`
	// Departing servers get no new work.
	Departing bool `json:"departing"`
}

// Kind says what the requests on a route do.
type Kind string

// The kinds of a route.
const (
	Read  Kind = "read"
	Write Kind = "write"
)

// Route is what a caller names as its database.
type Route struct {
	Name  string `json:"name" validate:"required,name"`
	Group string `json:"group" validate:"required"`
	// Slot is the database on the group's servers in which the route's data lives.
	Slot string `json:"slot" validate:"required"`
	Kind Kind   `json:"kind" validate:"oneof=read write"`
	// AcceptedAgeMS is the age in milliseconds that a read accepts; zero means that it accepts none.
	AcceptedAgeMS int64 `json:"accepted_age_ms" validate:"min=0,max=86400000"`
	// Idempotent statements may be sent again after an unknown outcome.
	Idempotent bool `json:"idempotent"`
	// Open routes need no key. Their requests run for the organisation "open".
	Open bool `json:"open"`
	// Rate and Burst limit an open route over the whole fleet; other routes count for the caller's organisation.
	Rate  float64 `json:"rate,omitempty" validate:"gte=0,lte=10000000"`
	Burst float64 `json:"burst,omitempty" validate:"gte=0,lte=10000000"`
	// Freshness says which writes reads see, for routes that take reads and writes.
	Freshness Freshness `json:"freshness,omitempty" validate:"omitempty,oneof=every_write own_writes accepted_age"`
	// TimeoutMS limits one statement, and TargetLatencyMS is the time within which callers want an operation to end, in
	// milliseconds.
	TimeoutMS       int64 `json:"timeout_ms,omitempty" validate:"min=0,max=86400000"`
	TargetLatencyMS int64 `json:"target_latency_ms,omitempty" validate:"min=0,max=86400000"`
	// Priority orders routes under load; zero comes first.
	Priority int `json:"priority,omitempty" validate:"min=0,max=100"`
}

// Freshness says which writes the reads of a route see.
type Freshness string

// The kinds of freshness. Sessions see their own writes on all of them but AcceptedAge.
const (
	// EveryWrite reads see every write that was confirmed before they began.
	EveryWrite Freshness = "every_write"
	// OwnWrites reads see the session's writes, and those of others that are older than the accepted age.
	OwnWrites Freshness = "own_writes"
	// AcceptedAge reads see the writes that are older than the accepted age.
	AcceptedAge Freshness = "accepted_age"
)

// DefaultMaxFallbackHolders is the number of seats of a document that states none.
const DefaultMaxFallbackHolders = 32

// MaxHistory is the number of latest changes that a document keeps. At 12,000 changes a day it covers four minutes,
// in which the next operator completes the audit records of one that died.
const MaxHistory = 32

// OpenOrganisation is the organisation for which requests on open routes run.
const OpenOrganisation = "open"

// FindOrganisation returns the organisation of the name.
func (d Document) FindOrganisation(name string) (Organisation, bool) {
	return find(d.Organisations, func(o Organisation) bool { return o.Name == name })
}

// FindGroup returns the group of the name.
func (d Document) FindGroup(name string) (Group, bool) {
	return find(d.Groups, func(g Group) bool { return g.Name == name })
}

// FindRoute returns the route of the name.
func (d Document) FindRoute(name string) (Route, bool) {
	return find(d.Routes, func(r Route) bool { return r.Name == name })
}

// WithOrganisation returns a copy with the organisation added, or replaced when its name is there already.
func (d Document) WithOrganisation(o Organisation) Document {
	d.Organisations = withItem(d.Organisations, o, func(other Organisation) bool { return other.Name == o.Name })
	return d
}

// WithGroup returns a copy with the group added, or replaced when its name is there already.
func (d Document) WithGroup(g Group) Document {
	d.Groups = withItem(d.Groups, g, func(other Group) bool { return other.Name == g.Name })
	return d
}

// WithRoute returns a copy with the route added, or replaced when its name is there already.
func (d Document) WithRoute(r Route) Document {
	d.Routes = withItem(d.Routes, r, func(other Route) bool { return other.Name == r.Name })
	return d
}

// AcceptedAge returns the age that a read on the route accepts.
func (r Route) AcceptedAge() time.Duration { return time.Duration(r.AcceptedAgeMS) * time.Millisecond }

// Timeout returns the time that one statement may take.
func (r Route) Timeout() time.Duration { return time.Duration(r.TimeoutMS) * time.Millisecond }

// TargetLatency returns the time within which callers want an operation to end.
func (r Route) TargetLatency() time.Duration {
	return time.Duration(r.TargetLatencyMS) * time.Millisecond
}

// FindServer returns the server of the name.
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

func withItem[T any](items []T, item T, match func(T) bool) []T {
	items = slices.Clone(items)
	if i := slices.IndexFunc(items, match); i >= 0 {
		items[i] = item
		return items
	}
	return append(items, item)
}
