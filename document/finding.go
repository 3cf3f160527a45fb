package document

import (
	"fmt"
	"strings"
	"time"
)

// Severity says whether a finding makes a document unusable.
type Severity string

// The severities. An error makes the document or the entry unusable; a warning is about an entry that has no effect or
// that contradicts another one.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Rule identifies what a finding is about.
type Rule string

// The rules.
const (
	RuleInvalid       Rule = "invalid"
	RuleDuplicate     Rule = "duplicate"
	RuleUnknownGroup  Rule = "unknown_group"
	RuleShadowedRoute Rule = "shadowed_route"
	RuleNotAdmitted   Rule = "not_admitted"
	RuleDuplicateKey  Rule = "duplicate_key"
	RuleUnusedGroup   Rule = "unused_group"
	RuleNoServer      Rule = "no_server"
	RuleRate          Rule = "rate_above_capacity"
	RuleBurst         Rule = "burst_below_operation"
	RuleConnections   Rule = "connections_below_instances"
	RuleTimeout       Rule = "timeout_below_objective"
	RuleStaleness     Rule = "staleness_below_delay"
	RuleFreshness     Rule = "unknown_freshness"
)

// Finding is one result of a check. Field is the path of the value, for example "routes[2].timeout_ms".
type Finding struct {
	Severity Severity
	Rule     Rule
	// Section is the entry, for example `routes[2] "orders"`, and Key the name of the field in it.
	Section string
	Key     string
	// Value is the current value, and Correct what would be correct.
	Value   string
	Correct string
	Field   string
}

// String returns the finding as one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s %s: %s is given; correct: %s (%s)", f.Section, f.Key, f.Value, f.Correct, f.Rule)
}

// FindingOf returns a violation as a finding.
func FindingOf(v Violation) Finding {
	section, key := splitField(v.Path)
	return Finding{Severity: SeverityError, Rule: RuleInvalid, Section: section, Key: key, Value: v.Value, Correct: v.Allowed, Field: v.Path}
}

// splitField separates the last field of a path from the entry that it belongs to.
func splitField(path string) (section, key string) {
	if i := strings.LastIndexByte(path, '.'); i >= 0 {
		return path[:i], path[i+1:]
	}
	return "document", path
}

// Facts are what is known about the deployment that uses a document. Zero values are unknown, and the checks that need
// them are left out.
type Facts struct {
	// Instances is the number of instances.
	Instances int
	// Servers holds by group the servers that the platform lists, if the document does not list them. A nil map means
	// that they are unknown.
	Servers map[string]GroupServers
	// ServersPerGroup is the number of servers of each group whose servers neither the document nor the platform lists.
	ServersPerGroup int
	// Slots is the number of statements that a server runs at once, for servers without a number of their own.
	Slots int
	// RunTime is the mean time that a statement runs at a server.
	RunTime time.Duration
	// ReplicaDelay is how far replicas are usually behind the primary.
	ReplicaDelay time.Duration
}

// GroupServers are the servers of a group that may run statements.
type GroupServers struct {
	Count int
	// Slots is the sum of their slots.
	Slots int
}

// withDefaults returns the facts with assumptions in place of what is unknown.
func (f Facts) withDefaults() Facts {
	if f.RunTime == 0 {
		f.RunTime = fastestStatement
	}
	if f.ReplicaDelay == 0 {
		f.ReplicaDelay = usualReplicaDelay
	}
	return f
}
