package document_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/document"
)

// deployment are the facts of a deployment in which the valid document has no finding.
func deployment() document.Facts {
	return document.Facts{Instances: 3, Slots: 4, RunTime: 5 * time.Millisecond, ReplicaDelay: 8 * time.Millisecond}
}

// requireFinding checks that the findings contain one of the rule for the field, and that it says what would be correct.
func requireFinding(t *testing.T, findings []document.Finding, rule document.Rule, field, value string, severity document.Severity) {
	t.Helper()
	for _, f := range findings {
		if f.Rule == rule && f.Field == field {
			require.Equal(t, value, f.Value)
			require.Equal(t, severity, f.Severity)
			require.NotEmpty(t, f.Section)
			require.NotEmpty(t, f.Key)
			require.NotEmpty(t, f.Correct)
			return
		}
	}
	require.Failf(t, "no such finding", "%s at %s in %v", rule, field, findings)
}

// Guards against contradictions and entries without effect that reach the instances unnoticed.
func TestCheck(t *testing.T) {
	require.Empty(t, validDocument().Check(deployment()))
	require.Empty(t, validDocument().Check(document.Facts{}), "unknown facts")
	const fails, warns = document.SeverityError, document.SeverityWarning
	for name, c := range map[string]struct {
		edit     func(d *document.Document, f *document.Facts)
		rule     document.Rule
		field    string
		value    string
		severity document.Severity
	}{
		"shadowed route": {func(d *document.Document, _ *document.Facts) {
			d.Routes = append(d.Routes, d.Routes[0])
		}, document.RuleShadowedRoute, "routes[0].name", `"w"`, fails},
		"organisation without a key": {func(d *document.Document, _ *document.Facts) {
			d.Organisations[0].Keys = nil
		}, document.RuleNotAdmitted, "organisations[0].keys", "0 entries", warns},
		"all routes are open": {func(d *document.Document, _ *document.Facts) {
			d.Routes = d.Routes[1:]
		}, document.RuleNotAdmitted, "organisations[1].keys", "1 entries", warns},
		"organisation twice": {func(d *document.Document, _ *document.Facts) {
			d.Organisations[1].Name = d.Organisations[0].Name
		}, document.RuleDuplicate, "organisations[1].name", `"acme"`, fails},
		"key of two organisations": {func(d *document.Document, _ *document.Facts) {
			d.Organisations[1].Keys[0].SHA256 = d.Organisations[0].Keys[0].SHA256
		}, document.RuleDuplicateKey, "organisations[1].keys[0].sha256", `the key of organisations[0].keys[0] "k1"`, fails},
		"key twice": {func(d *document.Document, _ *document.Facts) {
			keys := d.Organisations[0].Keys
			d.Organisations[0].Keys = slices.Concat(keys, []document.Key{{ID: "again", SHA256: keys[0].SHA256}})
		}, document.RuleDuplicateKey, "organisations[0].keys[1].sha256", `the key of organisations[0].keys[0] "k1"`, warns},
		"unknown group": {func(d *document.Document, _ *document.Facts) {
			d.Routes[0].Group = "other"
		}, document.RuleUnknownGroup, "routes[0].group", `"other"`, fails},
		"group without a route": {func(d *document.Document, _ *document.Facts) {
			unused := d.Groups[0]
			unused.Name = "unused"
			d.Groups = append(d.Groups, unused)
		}, document.RuleUnusedGroup, "groups[1].name", `"unused"`, warns},
		"group whose servers all depart": {func(d *document.Document, _ *document.Facts) {
			for i := range d.Groups[0].Servers {
				d.Groups[0].Servers[i].Departing = true
			}
		}, document.RuleNoServer, "groups[0].servers", "no server that may run statements", warns},
		"group without a listed server": {func(d *document.Document, f *document.Facts) {
			d.Groups[0].Servers, f.Servers = nil, map[string]document.GroupServers{}
		}, document.RuleNoServer, "groups[0].servers", "no server that may run statements", warns},
		"rate above the servers' slots": {func(d *document.Document, f *document.Facts) {
			d.Groups[0].Servers, f.Servers = nil, map[string]document.GroupServers{d.Groups[0].Name: {Count: 3, Slots: 12}}
			d.Organisations[0].Rate = 2401
		}, document.RuleRate, "organisations[0].rate", "2401", warns},
		"rate above the slots that are stated": {func(d *document.Document, f *document.Facts) {
			d.Groups[0].Servers, f.ServersPerGroup = nil, 3
			d.Organisations[0].Rate = 2401
		}, document.RuleRate, "organisations[0].rate", "2401", warns},
		"rate of an open route": {func(d *document.Document, f *document.Facts) {
			d.Routes[1].Rate, f.Slots = 1e6, 4
		}, document.RuleRate, "routes[1].rate", "1e+06", warns},
		"rate of zero":              {func(d *document.Document, _ *document.Facts) { d.Organisations[0].Rate = 0 }, document.RuleRate, "organisations[0].rate", "0", fails},
		"burst below one operation": {func(d *document.Document, _ *document.Facts) { d.Organisations[0].Burst = 0.5 }, document.RuleBurst, "organisations[0].burst", "0.5", fails},
		"fewer connections than instances": {func(d *document.Document, f *document.Facts) {
			d.Groups[0].Connections, f.Instances = 22, 23
		}, document.RuleConnections, "groups[0].connections", "22", warns},
		"fewer connections of a server": {func(d *document.Document, f *document.Facts) {
			d.Groups[0].Servers[1].Connections, f.Instances = 2, 3
		}, document.RuleConnections, "groups[0].servers[1].connections", "2", warns},
		"time limit below the objective": {func(d *document.Document, _ *document.Facts) {
			d.Routes[0].TimeoutMS, d.Routes[0].TargetLatencyMS = 100, 120
		}, document.RuleTimeout, "routes[0].timeout_ms", "100", warns},
		"staleness below the delay": {func(d *document.Document, _ *document.Facts) {
			d.Routes[0].Freshness, d.Routes[0].AcceptedAgeMS = document.OwnWrites, 7
		}, document.RuleStaleness, "routes[0].accepted_age_ms", "7", warns},
	} {
		t.Run(name, func(t *testing.T) {
			d, f := validDocument(), deployment()
			c.edit(&d, &f)
			requireFinding(t, d.Check(f), c.rule, c.field, c.value, c.severity)
		})
	}
}

// Guards against a document with an error whose other faults are reported only after it was corrected, and against a
// fault that is reported twice.
func TestInspect(t *testing.T) {
	d := validDocument()
	d.Organisations[1].Name = d.Organisations[0].Name
	d.Routes[0].TimeoutMS, d.Routes[0].TargetLatencyMS = 100, 120
	data, violations := document.Encode(d)
	require.Empty(t, violations)
	_, findings := document.Inspect(data, document.Facts{})
	require.Len(t, findings, 2)
	requireFinding(t, findings, document.RuleInvalid, "organisations[1].name", `"acme"`, document.SeverityError)
	requireFinding(t, findings, document.RuleTimeout, "routes[0].timeout_ms", "100", document.SeverityWarning)
	_, findings = document.Inspect([]byte("{"), document.Facts{})
	require.Len(t, findings, 1)
	require.Equal(t, document.RuleInvalid, findings[0].Rule)
}

// Guards against a change that is sent without knowing what it does to open sessions, and against key hashes in the
// output.
func TestImpacts(t *testing.T) {
	for name, c := range map[string]struct {
		edit   func(d *document.Document)
		want   document.Impact
		effect string
	}{
		"key removed":          {func(d *document.Document) { d.Organisations[0].Keys = nil }, document.Impact{Kind: document.Removed, Section: `organisation "acme"`, Key: "key k1"}, "key_refused"},
		"organisation removed": {func(d *document.Document) { d.Organisations = d.Organisations[1:] }, document.Impact{Kind: document.Removed, Section: `organisation "acme"`}, "key_refused"},
		"organisation added": {func(d *document.Document) {
			*d = d.WithOrganisation(document.Organisation{Name: "new"})
		}, document.Impact{Kind: document.Added, Section: `organisation "new"`}, "none"},
		"rate":          {func(d *document.Document) { d.Organisations[0].Rate = 7 }, document.Impact{Kind: document.Changed, Section: `organisation "acme"`, Key: "rate", Before: "10", After: "7"}, "next operation"},
		"route removed": {func(d *document.Document) { d.Routes = d.Routes[1:] }, document.Impact{Kind: document.Removed, Section: `route "w"`}, "unknown_route"},
		"route's group": {func(d *document.Document) { d.Routes[0].Group = "two" }, document.Impact{Kind: document.Changed, Section: `route "w"`, Key: "group", Before: "g", After: "two"}, "other group"},
		"idle time":     {func(d *document.Document) { d.TransactionIdleMS = 9 }, document.Impact{Kind: document.Changed, Section: "document", Key: "transaction_idle_ms", Before: "0", After: "9"}, "idle"},
		"server departs": {func(d *document.Document) {
			d.Groups[0].Servers[0].Departing = true
		}, document.Impact{Kind: document.Changed, Section: `group "g" server "a"`, Key: "departing", Before: "false", After: "true"}, "no new statements"},
	} {
		t.Run(name, func(t *testing.T) {
			next := validDocument()
			c.edit(&next)
			impacts := document.Impacts(validDocument(), next)
			require.Len(t, impacts, 1)
			require.Contains(t, impacts[0].Effect, c.effect)
			c.want.Effect = impacts[0].Effect
			require.Equal(t, c.want, impacts[0])
		})
	}
	t.Run("no change", func(t *testing.T) { require.Empty(t, document.Impacts(validDocument(), validDocument())) })
	t.Run("a replaced key is removed and added, without its hash", func(t *testing.T) {
		next := validDocument()
		next.Organisations[0].Keys[0].SHA256 = hashB
		impacts := document.Impacts(validDocument(), next)
		require.Len(t, impacts, 2)
		for _, i := range impacts {
			require.NotContains(t, i.Before+i.After+i.Key+i.Section, hashB[:8])
		}
	})
}
