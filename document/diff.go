package document

import (
	"fmt"
	"slices"
	"strings"
)

// maxSummarySize is the maximum length of a change's summary in bytes.
const maxSummarySize = 500

// Diff describes the changes from old to next, one line per change. It does not show key hashes.
func Diff(old, next Document) []string {
	var lines []string
	if old.MaxFallbackHolders != next.MaxFallbackHolders {
		lines = append(lines, fmt.Sprintf("seats: %d to %d", old.MaxFallbackHolders, next.MaxFallbackHolders))
	}
	lines = append(lines, diffItems("organisation", old.Organisations, next.Organisations, organisationName, organisationLines)...)
	lines = append(lines, diffItems("group", old.Groups, next.Groups, groupName, groupLines)...)
	return append(lines, diffItems("route", old.Routes, next.Routes, routeName, routeLines)...)
}

// matchItems calls visit for each item of next, with the item of old that has its name, and then for each item of old that
// was removed. An item that was added or removed is paired with the zero value.
func matchItems[T any](old, next []T, name func(T) string, visit func(change ChangeKind, a, b T)) {
	before := make(map[string]T, len(old))
	for _, item := range old {
		before[name(item)] = item
	}
	kept := make(map[string]bool, len(next))
	for _, item := range next {
		kept[name(item)] = true
		if previous, found := before[name(item)]; found {
			visit(Changed, previous, item)
		} else {
			visit(Added, previous, item)
		}
	}
	for _, item := range old {
		if !kept[name(item)] {
			var none T
			visit(Removed, item, none)
		}
	}
}

// diffItems describes the items that were added, removed or changed. changed describes the changes within one item.
func diffItems[T any](kind string, old, next []T, name func(T) string, changed func(path string, a, b T) []string) []string {
	var lines []string
	matchItems(old, next, name, func(change ChangeKind, a, b T) {
		if change == Removed {
			lines = append(lines, kind+" "+name(a)+": removed")
			return
		}
		path := kind + " " + name(b)
		if change == Added {
			lines = append(lines, path+": added")
		}
		lines = append(lines, changed(path, a, b)...)
	})
	return lines
}

func organisationLines(path string, a, b Organisation) []string {
	lines := appendChange(nil, path, "rate", a.Rate, b.Rate)
	lines = appendChange(lines, path, "burst", a.Burst, b.Burst)
	lines = appendChange(lines, path, "priority", a.Priority, b.Priority)
	lines = appendChange(lines, path, "homes", strings.Join(a.Homes.List(), " "), strings.Join(b.Homes.List(), " "))
	return append(lines, diffItems(path+" key", a.Keys, b.Keys, func(k Key) string { return k.ID }, keyLines)...)
}

func keyLines(path string, a, b Key) []string {
	if a.SHA256 == "" || a.SHA256 == b.SHA256 {
		return nil
	}
	return []string{path + ": replaced by another key"}
}

func groupLines(path string, a, b Group) []string {
	var lines []string
	if !slices.Equal(a.Slots, b.Slots) {
		lines = append(lines, fmt.Sprintf("%s slots: [%s] to [%s]", path, strings.Join(a.Slots, " "), strings.Join(b.Slots, " ")))
	}
	lines = appendChange(lines, path, "serving instances", a.ServingInstances, b.ServingInstances)
	lines = appendChange(lines, path, "connections", a.Connections, b.Connections)
	lines = appendChange(lines, path, "synchronous replicas", a.SynchronousReplicas, b.SynchronousReplicas)
	lines = appendChange(lines, path, "statements per second at a cold server", a.ColdRate, b.ColdRate)
	lines = appendChange(lines, path, "cold start in milliseconds", a.ColdStartMS, b.ColdStartMS)
	return append(lines, diffItems(path+" server", a.Servers, b.Servers, func(s Server) string { return s.Name }, serverLines)...)
}

func serverLines(path string, a, b Server) []string {
	lines := appendChange(nil, path, "address", a.Address, b.Address)
	lines = appendChange(lines, path, "data centre", a.DataCentre, b.DataCentre)
	lines = appendChange(lines, path, "connections", a.Connections, b.Connections)
	return appendChange(lines, path, "departing", a.Departing, b.Departing)
}

func routeLines(path string, a, b Route) []string {
	lines := appendChange(nil, path, "group", a.Group, b.Group)
	lines = appendChange(lines, path, "slot", a.Slot, b.Slot)
	lines = appendChange(lines, path, "kind", a.Kind, b.Kind)
	lines = appendChange(lines, path, "accepted age", a.AcceptedAge(), b.AcceptedAge())
	lines = appendChange(lines, path, "idempotent", a.Idempotent, b.Idempotent)
	lines = appendChange(lines, path, "open", a.Open, b.Open)
	lines = appendChange(lines, path, "rate", a.Rate, b.Rate)
	lines = appendChange(lines, path, "burst", a.Burst, b.Burst)
	lines = appendChange(lines, path, "freshness", a.Freshness, b.Freshness)
	lines = appendChange(lines, path, "timeout", a.Timeout(), b.Timeout())
	lines = appendChange(lines, path, "target latency", a.TargetLatency(), b.TargetLatency())
	lines = appendChange(lines, path, "homes", strings.Join(a.Homes.List(), " "), strings.Join(b.Homes.List(), " "))
	return appendChange(lines, path, "priority", a.Priority, b.Priority)
}

func appendChange[T comparable](lines []string, path, field string, a, b T) []string {
	if a == b {
		return lines
	}
	var zero T
	if a == zero {
		return append(lines, fmt.Sprintf("%s %s: %v", path, field, b))
	}
	return append(lines, fmt.Sprintf("%s %s: %v to %v", path, field, a, b))
}

// summarize joins the lines, up to maxSummarySize.
func summarize(lines []string) string {
	const more = "; and more"
	text := ""
	for i, line := range lines {
		if i > 0 {
			line = "; " + line
		}
		if len(text)+len(line) > maxSummarySize-len(more) {
			return text + more
		}
		text += line
	}
	return text
}
