package document

import (
	"fmt"
	"time"
)

const (
	// fastestStatement is the assumed time of a statement if it is unknown. No known deployment has a mean below 2.5 ms, so
	// a rate that is too high even with it cannot be served.
	fastestStatement = time.Millisecond
	// usualReplicaDelay is the assumed delay of replicas if it is unknown: the larger one of the known deployments.
	usualReplicaDelay = 20 * time.Millisecond
)

// Check returns what is likely to be wrong with a document whose fields are valid: entries without effect, limits that
// contradict each other, and references that lead nowhere. It does not repeat Validate, and a document with findings may
// be used.
func (d Document) Check(f Facts) []Finding {
	c := &checker{document: d, facts: f.withDefaults(), groups: make(map[string]bool, len(d.Groups)), routed: make(map[string]bool, len(d.Groups))}
	for _, g := range d.Groups {
		c.groups[g.Name] = true
	}
	for _, r := range d.Routes {
		c.routed[r.Group] = true
		c.hasKeyedRoute = c.hasKeyedRoute || !r.Open
	}
	c.checkOrganisations()
	c.checkGroups()
	c.checkRoutes()
	return c.findings
}

// checker collects the findings of one document.
type checker struct {
	document Document
	facts    Facts
	// groups and routed hold the names of the groups that exist and of those that a route uses.
	groups, routed map[string]bool
	hasKeyedRoute  bool
	findings       []Finding
}

// entry is an entry of one of the document's lists.
type entry struct {
	path fieldPath
	name string
}

func (e entry) String() string {
	path := e.path
	path.field = ""
	return fmt.Sprintf("%s %q", path, e.name)
}

// description describes a value that is not shown itself.
type description string

func (c *checker) add(severity Severity, rule Rule, at entry, key string, value any, correct string) {
	text := ""
	switch v := value.(type) {
	case description:
		text = string(v)
	case string:
		text = quote(v)
	case float64:
		text = formatNumber(v)
	default:
		text = fmt.Sprint(v)
	}
	c.findings = append(c.findings, Finding{
		Severity: severity, Rule: rule, Section: at.String(), Key: key, Value: text, Correct: correct, Field: at.path.withField(key).String(),
	})
}

// addDuplicate records the name of an entry that occurred before.
func (c *checker) addDuplicate(seen map[string]entry, at entry) {
	if first, found := seen[at.name]; found {
		c.add(SeverityError, RuleDuplicate, at, "name", at.name, "a name other than that of "+first.String())
		return
	}
	seen[at.name] = at
}

func (c *checker) checkOrganisations() {
	names, keys := make(map[string]entry), make(map[string]entry)
	capacity, isKnown := c.capacity()
	for i, o := range c.document.Organisations {
		at := entry{path: fieldPath{list: "organisations", entry: i}, name: o.Name}
		c.addDuplicate(names, at)
		c.checkKeys(keys, at, o.Keys)
		switch {
		case len(o.Keys) == 0:
			c.add(SeverityWarning, RuleNotAdmitted, at, "keys", description("0 entries"), "at least one key, without which no route admits the organisation")
		case !c.hasKeyedRoute && len(c.document.Routes) > 0:
			c.add(SeverityWarning, RuleNotAdmitted, at, "keys", description(fmt.Sprintf("%d entries", len(o.Keys))),
				"at least one route that is not open: requests on open routes run for the organisation \"open\"")
		}
		c.checkRate(at, o.Rate, o.Burst)
		if isKnown && o.Rate > capacity {
			c.add(SeverityWarning, RuleRate, at, "rate", o.Rate, c.capacityText(capacity, "all groups"))
		}
	}
}

// checkKeys checks the keys of one organisation. Two organisations with the same key are an error: whoever has the key
// could act for either of them. A key that is listed twice in one has no effect, and is not withdrawn with one entry.
func (c *checker) checkKeys(seen map[string]entry, of entry, keys []Key) {
	for j, k := range keys {
		at := entry{path: of.path.inList("keys", j), name: k.ID}
		first, found := seen[k.SHA256]
		switch {
		case !found:
			seen[k.SHA256] = at
		case first.path.entry == of.path.entry:
			c.add(SeverityWarning, RuleDuplicateKey, at, "sha256", description("the key of "+first.String()), "one entry for each key, so that a withdrawal removes it")
		default:
			c.add(SeverityError, RuleDuplicateKey, at, "sha256", description("the key of "+first.String()), "a key that no other organisation has")
		}
	}
}

func (c *checker) checkRate(at entry, rate, burst float64) {
	if rate <= 0 {
		c.add(SeverityError, RuleRate, at, "rate", rate, "a number above 0, without which nothing is admitted")
	}
	if burst < 1 {
		c.add(SeverityError, RuleBurst, at, "burst", burst, "1 or more, because one operation takes 1")
	}
}

func (c *checker) checkGroups() {
	names := make(map[string]entry)
	for i, g := range c.document.Groups {
		at := entry{path: fieldPath{list: "groups", entry: i}, name: g.Name}
		c.addDuplicate(names, at)
		if !c.routed[g.Name] {
			c.add(SeverityWarning, RuleUnusedGroup, at, "name", g.Name, "a group that a route uses")
		}
		if servers, isKnown := c.serversOf(g); isKnown && servers.Count == 0 {
			c.add(SeverityWarning, RuleNoServer, at, "servers", description("no server that may run statements"), "at least one server that is not departing")
		}
		c.checkConnections(at, "connections", g.Connections)
		for j, s := range g.Servers {
			c.checkConnections(entry{path: at.path.inList("servers", j), name: s.Name}, "connections", s.Connections)
		}
	}
}

// checkConnections checks a limit that all instances share. Below their number, an instance that has to connect directly,
// because it reaches no owner of the server's pool, may find no connection.
func (c *checker) checkConnections(at entry, key string, limit int) {
	if limit > 0 && limit < c.facts.Instances {
		c.add(SeverityWarning, RuleConnections, at, key, limit, fmt.Sprintf("%d or more, the number of instances", c.facts.Instances))
	}
}

func (c *checker) checkRoutes() {
	last := make(map[string]entry)
	for i, r := range c.document.Routes {
		last[r.Name] = entry{path: fieldPath{list: "routes", entry: i}, name: r.Name}
	}
	for i, r := range c.document.Routes {
		at := entry{path: fieldPath{list: "routes", entry: i}, name: r.Name}
		if last[r.Name] != at {
			c.add(SeverityError, RuleShadowedRoute, at, "name", r.Name, "a name other than that of "+last[r.Name].String()+", which is used instead")
		}
		if !c.groups[r.Group] {
			c.add(SeverityError, RuleUnknownGroup, at, "group", r.Group, "the name of a group in groups")
		}
		if r.TimeoutMS > 0 && r.TimeoutMS < r.TargetLatencyMS {
			c.add(SeverityWarning, RuleTimeout, at, "timeout_ms", r.TimeoutMS, fmt.Sprintf("%d or more, the target latency", r.TargetLatencyMS))
		}
		c.checkStaleness(at, r)
		c.checkOpenRate(at, r)
	}
}

// checkStaleness checks whether replicas can serve the route's reads.
func (c *checker) checkStaleness(at entry, r Route) {
	if r.Freshness != OwnWrites && r.Freshness != AcceptedAge {
		return
	}
	if r.AcceptedAge() < c.facts.ReplicaDelay {
		c.add(SeverityWarning, RuleStaleness, at, "accepted_age_ms", r.AcceptedAgeMS,
			fmt.Sprintf("%d or more, the delay of replicas: the primary serves the reads otherwise", c.facts.ReplicaDelay.Milliseconds()))
	}
}

// checkOpenRate checks the limits of an open route that states any. The platform's open routes have none.
func (c *checker) checkOpenRate(at entry, r Route) {
	if !r.Open || r.Rate == 0 && r.Burst == 0 {
		return
	}
	c.checkRate(at, r.Rate, r.Burst)
	for _, g := range c.document.Groups {
		if g.Name != r.Group {
			continue
		}
		if capacity, isKnown := c.groupCapacity(g); isKnown && r.Rate > capacity {
			c.add(SeverityWarning, RuleRate, at, "rate", r.Rate, c.capacityText(capacity, "group "+g.Name))
		}
	}
}

func (c *checker) capacityText(capacity float64, of string) string {
	return fmt.Sprintf("%s or less, what the servers of %s can run if a statement takes %s", formatNumber(float64(int64(capacity))), of, c.facts.RunTime)
}

// serversOf returns the servers of a group that may run statements.
func (c *checker) serversOf(g Group) (GroupServers, bool) {
	if len(g.Servers) == 0 {
		if c.facts.Servers == nil {
			return GroupServers{Count: c.facts.ServersPerGroup}, c.facts.ServersPerGroup > 0
		}
		return c.facts.Servers[g.Name], true
	}
	var servers GroupServers
	for _, s := range g.Servers {
		if !s.Departing {
			servers.Count++
		}
	}
	return servers, true
}

// groupCapacity returns how many statements a second the group's servers can run: slots divided by the run time, or
// connections divided by it if the slots are unknown.
func (c *checker) groupCapacity(g Group) (float64, bool) {
	servers, isKnown := c.serversOf(g)
	if !isKnown {
		return 0, false
	}
	slots := servers.Slots
	if slots == 0 {
		slots = servers.Count * c.facts.Slots
	}
	if slots == 0 {
		for _, s := range g.Servers {
			if !s.Departing {
				slots += s.Connections
			}
		}
	}
	return float64(slots) / c.facts.RunTime.Seconds(), slots > 0
}

// capacity returns the sum of the groups' capacities, if all are known.
func (c *checker) capacity() (float64, bool) {
	total := 0.0
	for _, g := range c.document.Groups {
		capacity, isKnown := c.groupCapacity(g)
		if !isKnown {
			return 0, false
		}
		total += capacity
	}
	return total, len(c.document.Groups) > 0
}
