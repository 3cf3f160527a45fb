package document_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/document"
)

var (
	hashA  = strings.Repeat("a", 64)
	hashB  = strings.Repeat("b", 64)
	change = document.Change{ID: "c1", Author: "ana"}
)

// Guards against an invalid document that is accepted, and against a violation that has the wrong path or value.
func TestValidate(t *testing.T) {
	t.Run("valid document", func(t *testing.T) { require.Empty(t, validDocument().Validate()) })
	for name, c := range map[string]struct {
		edit  func(d *document.Document)
		path  string
		value string
	}{
		"name pattern":             {func(d *document.Document) { d.Organisations[0].Name = "A b" }, "organisations[0].name", `"A b"`},
		"reserved organisation":    {func(d *document.Document) { d.Organisations[0].Name = "open" }, "organisations[0].name", `"open"`},
		"organisation twice":       {func(d *document.Document) { d.Organisations[1].Name = "acme" }, "organisations[1].name", `"acme"`},
		"rate of zero":             {func(d *document.Document) { d.Organisations[0].Rate = 0 }, "organisations[0].rate", "0"},
		"key of two organisations": {func(d *document.Document) { d.Organisations[1].Keys[0].SHA256 = hashA }, "organisations[1].keys[0].sha256", "a text of 64 characters"},
		"key instead of hash":      {func(d *document.Document) { d.Organisations[0].Keys[0].SHA256 = "secret" }, "organisations[0].keys[0].sha256", "a text of 6 characters"},
		"host name":                {func(d *document.Document) { d.Groups[0].Servers[0].Address = "db:5432" }, "groups[0].servers[0].address", `"db:5432"`},
		"address twice":            {func(d *document.Document) { d.Groups[0].Servers[1].Address = "10.0.0.1:5432" }, "groups[0].servers[1].address", `"10.0.0.1:5432"`},
		"slot twice":               {func(d *document.Document) { d.Groups[0].Slots = []string{"s1", "s1"} }, "groups[0].slots[1]", `"s1"`},
		"no servers":               {func(d *document.Document) { d.Groups[0].Servers = nil }, "groups[0].servers", "0 entries"},
		"unknown group":            {func(d *document.Document) { d.Routes[0].Group = "other" }, "routes[0].group", `"other"`},
		"unknown slot":             {func(d *document.Document) { d.Routes[0].Slot = "other" }, "routes[0].slot", `"other"`},
		"unknown kind":             {func(d *document.Document) { d.Routes[0].Kind = "both" }, "routes[0].kind", `"both"`},
		"open route writes":        {func(d *document.Document) { d.Routes[1].Kind = document.Write }, "routes[1].kind", `"write"`},
		"open route no rate":       {func(d *document.Document) { d.Routes[1].Rate = 0 }, "routes[1].rate", "0"},
		"rate on keyed route":      {func(d *document.Document) { d.Routes[0].Rate = 5 }, "routes[0].rate", "5"},
		"serving instances":        {func(d *document.Document) { d.Groups[0].ServingInstances = -1 }, "groups[0].serving_instances", "-1"},
		"no fallback holders":      {func(d *document.Document) { d.MaxFallbackHolders = 0 }, "seats", "0"},
	} {
		t.Run(name, func(t *testing.T) {
			d := validDocument()
			c.edit(&d)
			requireViolation(t, d.Validate(), c.path, c.value)
		})
	}
}

// Guards against malformed JSON that is accepted as a document, such as an unknown field or trailing text.
func TestParse(t *testing.T) {
	t.Run("decodes the output of Encode", func(t *testing.T) {
		data, violations := document.Encode(validDocument())
		require.Empty(t, violations)
		d, violations := document.Parse(data)
		require.Empty(t, violations)
		require.Empty(t, document.Diff(validDocument(), d))
	})
	for name, c := range map[string]struct{ text, path string }{
		"unknown field": {`{"seats":1,"seat":2}`, "seat"},
		"wrong type":    {`{"seats":"many"}`, "seats"},
		"trailing text": {`{"seats":1} {}`, "document"},
		"truncated":     {`{"seats":1`, "document"},
		"too large":     {`{"seats":1}` + strings.Repeat(" ", document.MaxSize), "document"},
	} {
		t.Run(name, func(t *testing.T) {
			_, violations := document.Parse([]byte(c.text))
			requireViolation(t, violations, c.path, "")
		})
	}
}

// Guards against an edit that makes other changes than requested, or that modifies the original document.
func TestWithEdit(t *testing.T) {
	for name, c := range map[string]struct {
		edit  document.Edit
		lines []string
	}{
		"put organisation": {document.PutOrganisation{Name: "acme", Rate: 9, Burst: 10}, []string{"organisation acme rate: 10 to 9"}},
		"add organisation": {document.PutOrganisation{Name: "new", Rate: 9, Burst: 10}, []string{
			"organisation new: added", "organisation new rate: 9", "organisation new burst: 10",
		}},
		"remove organisation":  {document.RemoveOrganisation{Name: "acme"}, []string{"organisation acme: removed"}},
		"grant key":            {document.GrantKey{Organisation: "acme", Key: document.Key{ID: "k2", SHA256: strings.Repeat("c", 64)}}, []string{"organisation acme key k2: added"}},
		"withdraw key":         {document.WithdrawKey{Organisation: "acme", KeyID: "k1"}, []string{"organisation acme key k1: removed"}},
		"put group":            {document.PutGroup{Group: document.Group{Name: "g", Slots: []string{"s1", "s2"}, Servers: validDocument().Groups[0].Servers}}, []string{"group g slots: [s1] to [s1 s2]"}},
		"put route":            {document.PutRoute{Route: document.Route{Name: "w", Group: "g", Slot: "s1", Kind: document.Read}}, []string{"route w kind: write to read"}},
		"remove route":         {document.RemoveRoute{Name: "w"}, []string{"route w: removed"}},
		"drain server":         {document.SetDeparting{Group: "g", Server: "b", Departing: true}, []string{"group g server b departing: true"}},
		"set fallback holders": {document.SetMaxFallbackHolders{MaxFallbackHolders: 4}, []string{"seats: 32 to 4"}},
		"replace":              {document.Replace{Document: document.Document{MaxFallbackHolders: 32, Groups: validDocument().Groups, Routes: validDocument().Routes}}, []string{"organisation acme: removed", "organisation bolt: removed"}},
	} {
		t.Run(name, func(t *testing.T) {
			before := validDocument()
			next, violations := before.WithEdit(c.edit, change)
			require.Empty(t, violations)
			require.Equal(t, c.lines, document.Diff(before, next))
			require.Equal(t, validDocument(), before)
			requireChange(t, next, before.Revision+1, strings.Join(c.lines, "; "))
			requirePatch(t, before, next)
		})
	}
	for name, c := range map[string]struct {
		edit document.Edit
		path string
	}{
		"group in use":   {document.RemoveGroup{Name: "g"}, "routes[0].group"},
		"key id in use":  {document.GrantKey{Organisation: "acme", Key: document.Key{ID: "k1", SHA256: hashB}}, "key"},
		"missing key":    {document.WithdrawKey{Organisation: "acme", KeyID: "k9"}, "key"},
		"missing route":  {document.RemoveRoute{Name: "x"}, "route"},
		"missing server": {document.SetDeparting{Group: "g", Server: "x"}, "server"},
		"invalid result": {document.PutOrganisation{Name: "open", Rate: 1, Burst: 1}, "organisations[2].name"},
	} {
		t.Run(name, func(t *testing.T) {
			_, violations := validDocument().WithEdit(c.edit, change)
			requireViolation(t, violations, c.path, "")
		})
	}
	t.Run("change without author", func(t *testing.T) {
		_, violations := validDocument().WithEdit(document.SetMaxFallbackHolders{MaxFallbackHolders: 2}, document.Change{ID: "c"})
		requireViolation(t, violations, "change.author", `""`)
	})
	t.Run("history keeps the latest changes up to its limit", func(t *testing.T) {
		d := document.Document{}
		for i := range document.MaxHistory + 3 {
			var violations []document.Violation
			d, violations = d.WithEdit(document.SetMaxFallbackHolders{MaxFallbackHolders: i + 1}, document.Change{ID: fmt.Sprint(i), Author: "ana"})
			require.Empty(t, violations)
		}
		require.Len(t, d.History, document.MaxHistory)
		require.Equal(t, d.Change, d.History[document.MaxHistory-1])
		require.Equal(t, document.Revision(4), d.History[0].Revision)
	})
}

// Guards against a patch that is applied to a document that it was not made from, and against a patch that makes a
// document invalid.
func TestWithPatch(t *testing.T) {
	next, _ := validDocument().WithEdit(document.SetMaxFallbackHolders{MaxFallbackHolders: 5}, change)
	patch, ok := validDocument().PatchTo(next)
	require.True(t, ok)
	forked, later := validDocument(), validDocument()
	forked.Change.ID = "other"
	later.Revision++
	for name, d := range map[string]document.Document{"other revision": later, "other change of the same revision": forked} {
		t.Run(name, func(t *testing.T) {
			_, violations := d.WithPatch(patch)
			requireViolation(t, violations, "base", "")
		})
	}
	t.Run("violations", func(t *testing.T) {
		faulty := patch
		faulty.MaxFallbackHolders, faulty.RemovedGroups = -1, []string{"g"}
		_, violations := validDocument().WithPatch(faulty)
		requireViolation(t, violations, "seats", "-1")
		requireViolation(t, violations, "routes[0].group", `"g"`)
	})
	t.Run("no patch for a changed order", func(t *testing.T) {
		reordered := next
		reordered.Organisations = []document.Organisation{next.Organisations[1], next.Organisations[0]}
		_, ok := validDocument().PatchTo(reordered)
		require.False(t, ok)
	})
}

// Guards against a document that is replaced by an older revision or by itself.
func TestIsNewer(t *testing.T) {
	for revision, want := range map[document.Revision]bool{1: false, 2: false, 3: true} {
		require.Equal(t, want, document.IsNewer(document.Document{Revision: revision}, document.Document{Revision: 2}))
	}
}

func validDocument() document.Document {
	return document.Document{
		Revision:           7,
		MaxFallbackHolders: document.DefaultMaxFallbackHolders,
		Organisations: []document.Organisation{
			{Name: "acme", Rate: 10, Burst: 10, Keys: []document.Key{{ID: "k1", SHA256: hashA}}},
			{Name: "bolt", Rate: 10, Burst: 10, Keys: []document.Key{{ID: "k1", SHA256: hashB}}},
		},
		Groups: []document.Group{{Name: "g", Slots: []string{"s1"}, Servers: []document.Server{
			{Name: "a", Address: "10.0.0.1:5432", DataCentre: "dc1", Connections: 50},
			{Name: "b", Address: "[fd00::1]:5432", DataCentre: "dc2", Connections: 50},
		}}},
		Routes: []document.Route{
			{Name: "w", Group: "g", Slot: "s1", Kind: document.Write},
			{Name: "menu", Group: "g", Slot: "s1", Kind: document.Read, Open: true, Rate: 5, Burst: 5},
		},
	}
}

func requireViolation(t *testing.T, violations []document.Violation, path, value string) {
	t.Helper()
	for _, v := range violations {
		if v.Path == path && (value == "" || v.Value == value) {
			require.NotEmpty(t, v.Allowed)
			return
		}
	}
	require.Failf(t, "violation not found", "path %s, value %s in %v", path, value, violations)
}

// requirePatch checks that the patch from one document to the other gives the latter after encoding and decoding.
func requirePatch(t *testing.T, from, to document.Document) {
	t.Helper()
	patch, ok := from.PatchTo(to)
	require.True(t, ok)
	data, violations := document.EncodePatch(patch)
	require.Empty(t, violations)
	patch, violations = document.ParsePatch(data)
	require.Empty(t, violations)
	got, violations := from.WithPatch(patch)
	require.Empty(t, violations)
	want, _ := document.Encode(to)
	have, _ := document.Encode(got)
	require.JSONEq(t, string(want), string(have))
}

func requireChange(t *testing.T, d document.Document, revision document.Revision, summary string) {
	t.Helper()
	require.Equal(t, revision, d.Revision)
	require.Equal(t, document.Change{ID: change.ID, Author: change.Author, Revision: revision, Summary: summary}, d.Change)
	require.Equal(t, d.Change, d.History[len(d.History)-1])
}
