package document

import (
	"fmt"
	"slices"
	"strings"
)

// maxSummary is the greatest length in bytes of a change's summary.
const maxSummary = 500

// Diff returns what changed from old to next, one readable line for each change. Key hashes are not shown.
func Diff(old, next Document) []string {
	var lines []string
	if old.MaxFallbackHolders != next.MaxFallbackHolders {
		lines = append(lines, fmt.Sprintf("seats: %d to %d", old.MaxFallbackHolders, next.MaxFallbackHolders))
	}
	lines = append(lines, differ("organisation", old.Organisations, next.Organisations, organisationName, organisationLines)...)
	lines = append(lines, differ("group", old.Groups, next.Groups, groupName, groupLines)...)
	return append(lines, differ("route", old.Routes, next.Routes, routeName, routeLines)...)
}

// differ reports the items that were added, removed or changed. changed describes the changes within one item.
func differ[T any](kind string, old, next []T, name func(T) string, changed func(path string, a, b T) []string) []string {
	var lines []string
	before := make(map[string]T, len(old))
	for _, item := range old {
		before[name(item)] = item
	}
	for _, item := range next {
		path := kind + " " + name(item)
		previous, found := before[name(item)]
		delete(before, name(item))
		if !found {
			lines = append(lines, path+": added")
		}
		lines = append(lines, changed(path, previous, item)...)
	}
	for _, item := range old {
		if _, left := before[name(item)]; left {
			lines = append(lines, kind+" "+name(item)+": removed")
		}
	}
	return lines
}

func organisationLines(path string, a, b Organisation) []string {
	lines := valueLine(nil, path, "rate", a.Rate, b.Rate)
	lines = valueLine(lines, path, "burst", a.Burst, b.Burst)
	lines = valueLine(lines, path, "priority", a.Priority, b.Priority)
	return append(lines, differ(path+" key", a.Keys, b.Keys, func(k Key) string { return k.ID }, keyLines)...)
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
	lines = valueLine(lines, path, "serving instances", a.ServingInstances, b.ServingInstances)
	lines = valueLine(lines, path, "connections", a.Connections, b.Connections)
	lines = valueLine(lines, path, "synchronous replicas", a.SynchronousReplicas, b.SynchronousReplicas)
	return append(lines, differ(path+" server", a.Servers, b.Servers, func(s Server) string { return s.Name }, serverLines)...)
}

func serverLines(path string, a, b Server) []string {
	lines := valueLine(nil, path, "address", a.Address, b.Address)
	lines = valueLine(lines, path, "data centre", a.DataCentre, b.DataCentre)
	lines = valueLine(lines, path, "connections", a.Connections, b.Connections)
	return valueLine(lines, path, "departing", a.Departing, b.Departing)
}

func routeLines(path string, a, b Route) []string {
	lines := valueLine(nil, path, "group", a.Group, b.Group)
	lines = valueLine(lines, path, "slot", a.Slot, b.Slot)
	lines = valueLine(lines, path, "kind", a.Kind, b.Kind)
	lines = valueLine(lines, path, "accepted age", a.AcceptedAge(), b.AcceptedAge())
	lines = valueLine(lines, path, "idempotent", a.Idempotent, b.Idempotent)
	lines = valueLine(lines, path, "open", a.Open, b.Open)
	lines = valueLine(lines, path, "rate", a.Rate, b.Rate)
	lines = valueLine(lines, path, "burst", a.Burst, b.Burst)
	lines = valueLine(lines, path, "freshness", a.Freshness, b.Freshness)
	lines = valueLine(lines, path, "timeout", a.Timeout(), b.Timeout())
	lines = valueLine(lines, path, "target latency", a.TargetLatency(), b.TargetLatency())
	return valueLine(lines, path, "priority", a.Priority, b.Priority)
}

func valueLine[T comparable](lines []string, path, field string, a, b T) []string {
	if a == b {
		return lines
	}
	var zero T
	if a == zero {
		return append(lines, fmt.Sprintf("%s %s: %v", path, field, b))
	}
	return append(lines, fmt.Sprintf("%s %s: %v to %v", path, field, a, b))
}

// summary joins the lines as far as they fit.
func summary(lines []string) string {
	const more = "; and more"
	text := ""
	for i, line := range lines {
		if i > 0 {
			line = "; " + line
		}
		if len(text)+len(line) > maxSummary-len(more) {
			return text + more
		}
		text += line
	}
	return text
}
