package document

import (
	"fmt"
	"slices"
	"strings"
)

// ChangeKind is the kind of a change between two documents.
type ChangeKind string

// The kinds of a change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Impact is a change between two documents with its effect on open sessions.
type Impact struct {
	Kind ChangeKind
	// Section is the entry, for example `route "orders"`, and Key the field; it is empty if the whole entry was added or
	// removed.
	Section string
	Key     string
	// Before and After are the values. They are empty for entries and for keys, of which nothing is shown.
	Before string
	After  string
	Effect string
}

// The effects of changes on open sessions.
const (
	effectNone          = "none on open sessions"
	effectNextStatement = "from the next statement of each session on"
	effectNextOperation = "from the next operation on, at all instances within seconds; running statements are not affected"
	effectKeyRemoved    = "sessions with the key are refused (key_refused) from the next statement on, and their idle transactions are ended"
	effectRouteRemoved  = "sessions on the route are refused (unknown_route) from the next statement on; open transactions may end"
	effectHomes         = "from the next statement of each session outside a transaction on; open transactions end where they began"
	effectOtherGroup    = "the next statement of each session outside a transaction runs at the other group, which does not have the session's earlier writes; open transactions end where they began"
	effectRouteClosed   = "sessions without a key are refused (key_refused) from the next statement on"
	effectConnections   = "open transactions keep their connections; idle connections above the limit are closed within seconds"
	effectServerRemoved = "idle connections to the server are closed; transactions there may end"
	effectDeparting     = "no new statements; transactions there may end"
	effectReplacement   = "from the next replacement of the primary on"
	effectIdle          = "from the next time that a transaction becomes idle"
	effectOutage        = "from the next outage of the store on"
)

// Impacts returns the changes from old to next, by section.
func Impacts(old, next Document) []Impact {
	c := &comparison{}
	c.field("document", "seats", old.MaxFallbackHolders, next.MaxFallbackHolders, effectOutage)
	c.field("document", "transaction_idle_ms", old.TransactionIdleMS, next.TransactionIdleMS, effectIdle)
	compareLists(c, "organisation", old.Organisations, next.Organisations, organisationName, effectNone, effectKeyRemoved, c.organisation)
	compareLists(c, "group", old.Groups, next.Groups, groupName, effectNone, effectRouteRemoved, c.group)
	compareLists(c, "route", old.Routes, next.Routes, routeName, effectNone, effectRouteRemoved, c.route)
	return c.impacts
}

// comparison collects the changes between two documents.
type comparison struct{ impacts []Impact }

func (c *comparison) field(section, key string, before, after any, effect string) {
	if before != after {
		c.impacts = append(c.impacts, Impact{
			Kind: Changed, Section: section, Key: key, Before: fmt.Sprint(before), After: fmt.Sprint(after), Effect: effect,
		})
	}
}

// compareLists compares the entries of a list by name.
func compareLists[T any](c *comparison, kind string, old, next []T, name func(T) string, added, removed string, changed func(section string, a, b T)) {
	matchItems(old, next, name, func(change ChangeKind, a, b T) {
		switch change {
		case Added:
			c.impacts = append(c.impacts, Impact{Kind: Added, Section: fmt.Sprintf("%s %q", kind, name(b)), Effect: added})
		case Removed:
			c.impacts = append(c.impacts, Impact{Kind: Removed, Section: fmt.Sprintf("%s %q", kind, name(a)), Effect: removed})
		default:
			changed(fmt.Sprintf("%s %q", kind, name(b)), a, b)
		}
	})
}

func (c *comparison) organisation(section string, a, b Organisation) {
	c.field(section, "rate", a.Rate, b.Rate, effectNextOperation)
	c.field(section, "burst", a.Burst, b.Burst, effectNextOperation)
	c.field(section, "priority", a.Priority, b.Priority, effectNextStatement)
	c.homes(section, a.Homes, b.Homes)
	// A key that was replaced under its id is refused like a removed one.
	identity := func(k Key) string { return k.ID + "\x00" + k.SHA256 }
	for _, k := range b.Keys {
		if !slices.ContainsFunc(a.Keys, func(other Key) bool { return identity(other) == identity(k) }) {
			c.impacts = append(c.impacts, Impact{Kind: Added, Section: section, Key: "key " + k.ID, Effect: effectNone})
		}
	}
	for _, k := range a.Keys {
		if !slices.ContainsFunc(b.Keys, func(other Key) bool { return identity(other) == identity(k) }) {
			c.impacts = append(c.impacts, Impact{Kind: Removed, Section: section, Key: "key " + k.ID, Effect: effectKeyRemoved})
		}
	}
}

func (c *comparison) group(section string, a, b Group) {
	if !slices.Equal(a.Slots, b.Slots) {
		c.field(section, "slots", fmt.Sprint(a.Slots), fmt.Sprint(b.Slots), effectNextStatement)
	}
	c.field(section, "serving_instances", a.ServingInstances, b.ServingInstances, effectNextStatement)
	c.field(section, "connections", a.Connections, b.Connections, effectConnections)
	c.field(section, "synchronous_replicas", a.SynchronousReplicas, b.SynchronousReplicas, effectReplacement)
	c.field(section, "cold_per_s", a.ColdRate, b.ColdRate, effectNextStatement)
	c.field(section, "cold_start_ms", a.ColdStartMS, b.ColdStartMS, effectNextStatement)
	compareLists(c, section+" server", a.Servers, b.Servers, func(s Server) string { return s.Name }, effectNone, effectServerRemoved, c.server)
}

func (c *comparison) server(section string, a, b Server) {
	c.field(section, "address", a.Address, b.Address, effectServerRemoved)
	c.field(section, "data_centre", a.DataCentre, b.DataCentre, effectNextStatement)
	c.field(section, "connections", a.Connections, b.Connections, effectConnections)
	c.field(section, "departing", a.Departing, b.Departing, departingEffect(b))
}

func departingEffect(s Server) string {
	if s.Departing {
		return effectDeparting
	}
	return effectNone
}

func (c *comparison) route(section string, a, b Route) {
	c.field(section, "group", a.Group, b.Group, effectOtherGroup)
	c.field(section, "slot", a.Slot, b.Slot, effectOtherGroup)
	openEffect := effectNone
	if !b.Open {
		openEffect = effectRouteClosed
	}
	c.field(section, "open", a.Open, b.Open, openEffect)
	c.field(section, "rate", a.Rate, b.Rate, effectNextOperation)
	c.field(section, "burst", a.Burst, b.Burst, effectNextOperation)
	c.field(section, "kind", a.Kind, b.Kind, effectNextStatement)
	c.field(section, "freshness", a.Freshness, b.Freshness, effectNextStatement)
	c.field(section, "accepted_age_ms", a.AcceptedAgeMS, b.AcceptedAgeMS, effectNextStatement)
	c.field(section, "idempotent", a.Idempotent, b.Idempotent, effectNextStatement)
	c.field(section, "timeout_ms", a.TimeoutMS, b.TimeoutMS, effectNextStatement)
	c.field(section, "target_latency_ms", a.TargetLatencyMS, b.TargetLatencyMS, effectNextStatement)
	c.field(section, "priority", a.Priority, b.Priority, effectNextStatement)
	c.homes(section, a.Homes, b.Homes)
}

func (c *comparison) homes(section string, a, b Homes) {
	c.field(section, "homes", strings.Join(a.List(), " "), strings.Join(b.List(), " "), effectHomes)
}
