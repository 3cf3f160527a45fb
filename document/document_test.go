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

// Guards against a faulty document in force, and against a fault that does not say where it is.
func TestCheck(t *testing.T) {
	t.Run("valid document", func(t *testing.T) { require.Empty(t, valid().Validate()) })
	for name, c := range map[string]struct {
		edit  func(d *document.Document)
		path  string
		value string
	}{
		"name pattern":          {func(d *document.Document) { d.Organisations[0].Name = "A b" }, "organisations[0].name", `"A b"`},
		"reserved organisation": {func(d *document.Document) { d.Organisations[0].Name = "open" }, "organisations[0].name", `"open"`},
		"organisation twice":    {func(d *document.Document) { d.Organisations[1].Name = "acme" }, "organisations[1].name", `"acme"`},
		"rate of zero":          {func(d *document.Document) { d.Organisations[0].Rate = 0 }, "organisations[0].rate", "0"},
		"key of two holders":    {func(d *document.Document) { d.Organisations[1].Keys[0].SHA256 = hashA }, "organisations[1].keys[0].sha256", "a text of 64 characters"},
		"key instead of hash":   {func(d *document.Document) { d.Organisations[0].Keys[0].SHA256 = "secret" }, "organisations[0].keys[0].sha256", "a text of 6 characters"},
		"host name":             {func(d *document.Document) { d.Groups[0].Servers[0].Address = "db:5432" }, "groups[0].servers[0].address", `"db:5432"`},
		"address twice":         {func(d *document.Document) { d.Groups[0].Servers[1].Address = "10.0.0.1:5432" }, "groups[0].servers[1].address", `"10.0.0.1:5432"`},
		"slot twice":            {func(d *document.Document) { d.Groups[0].Slots = []string{"s1", "s1"} }, "groups[0].slots[1]", `"s1"`},
		"no servers":            {func(d *document.Document) { d.Groups[0].Servers = nil }, "groups[0].servers", "0 entries"},
		"unknown group":         {func(d *document.Document) { d.Routes[0].Group = "other" }, "routes[0].group", `"other"`},
		"unknown slot":          {func(d *document.Document) { d.Routes[0].Slot = "other" }, "routes[0].slot", `"other"`},
		"unknown kind":          {func(d *document.Document) { d.Routes[0].Kind = "both" }, "routes[0].kind", `"both"`},
		"open route writes":     {func(d *document.Document) { d.Routes[1].Kind = document.Write }, "routes[1].kind", `"write"`},
		"open route no rate":    {func(d *document.Document) { d.Routes[1].Rate = 0 }, "routes[1].rate", "0"},
		"rate on keyed route":   {func(d *document.Document) { d.Routes[0].Rate = 5 }, "routes[0].rate", "5"},
		"serving instances":     {func(d *document.Document) { d.Groups[0].ServingInstances = -1 }, "groups[0].serving_instances", "-1"},
		"no seats":              {func(d *document.Document) { d.MaxFallbackHolders = 0 }, "seats", "0"},
	} {
		t.Run(name, func(t *testing.T) {
			d := valid()
			c.edit(&d)
			requireFault(t, d.Validate(), c.path, c.value)
		})
	}
}

// Guards against text that is taken for something that the operator did not mean.
func TestParse(t *testing.T) {
	t.Run("reads what Encode wrote", func(t *testing.T) {
		data, faults := document.Encode(valid())
		require.Empty(t, faults)
		d, faults := document.Parse(data)
		require.Empty(t, faults)
		require.Empty(t, document.Diff(valid(), d))
	})
	for name, c := range map[string]struct{ text, path string }{
		"unknown field":   {`{"seats":1,"seat":2}`, "seat"},
		"wrong type":      {`{"seats":"many"}`, "seats"},
		"text afterwards": {`{"seats":1} {}`, "document"},
		"cut off":         {`{"seats":1`, "document"},
		"too large":       {`{"seats":1}` + strings.Repeat(" ", document.MaxSize), "document"},
	} {
		t.Run(name, func(t *testing.T) {
			_, faults := document.Parse([]byte(c.text))
			requireFault(t, faults, c.path, "")
		})
	}
}

// Guards against an edit that does something else than it says, or changes the document in place.
func TestWithEdit(t *testing.T) {
	for name, c := range map[string]struct {
		edit  document.Edit
		lines []string
	}{
		"put organisation": {document.PutOrganisation{Name: "acme", Rate: 9, Burst: 10}, []string{"organisation acme rate: 10 to 9"}},
		"add organisation": {document.PutOrganisation{Name: "new", Rate: 9, Burst: 10}, []string{
			"organisation new: added", "organisation new rate: 9", "organisation new burst: 10",
		}},
		"remove organisation": {document.RemoveOrganisation{Name: "acme"}, []string{"organisation acme: removed"}},
		"grant key":           {document.GrantKey{Organisation: "acme", Key: document.Key{ID: "k2", SHA256: strings.Repeat("c", 64)}}, []string{"organisation acme key k2: added"}},
		"withdraw key":        {document.WithdrawKey{Organisation: "acme", KeyID: "k1"}, []string{"organisation acme key k1: removed"}},
		"put group":           {document.PutGroup{Group: document.Group{Name: "g", Slots: []string{"s1", "s2"}, Servers: valid().Groups[0].Servers}}, []string{"group g slots: [s1] to [s1 s2]"}},
		"put route":           {document.PutRoute{Route: document.Route{Name: "w", Group: "g", Slot: "s1", Kind: document.Read}}, []string{"route w kind: write to read"}},
		"remove route":        {document.RemoveRoute{Name: "w"}, []string{"route w: removed"}},
		"departing":           {document.SetDeparting{Group: "g", Server: "b", Departing: true}, []string{"group g server b departing: true"}},
		"seats":               {document.SetMaxFallbackHolders{MaxFallbackHolders: 4}, []string{"seats: 32 to 4"}},
		"replace":             {document.Replace{Document: document.Document{MaxFallbackHolders: 32, Groups: valid().Groups, Routes: valid().Routes}}, []string{"organisation acme: removed", "organisation bolt: removed"}},
	} {
		t.Run(name, func(t *testing.T) {
			before := valid()
			next, faults := before.WithEdit(c.edit, change)
			require.Empty(t, faults)
			require.Equal(t, c.lines, document.Diff(before, next))
			require.Equal(t, valid(), before)
			requireChange(t, next, before.Revision+1, strings.Join(c.lines, "; "))
			requirePatch(t, before, next)
		})
	}
	for name, c := range map[string]struct {
		edit document.Edit
		path string
	}{
		"group in use":       {document.RemoveGroup{Name: "g"}, "routes[0].group"},
		"key id in use":      {document.GrantKey{Organisation: "acme", Key: document.Key{ID: "k1", SHA256: hashB}}, "key"},
		"key of nobody":      {document.WithdrawKey{Organisation: "acme", KeyID: "k9"}, "key"},
		"missing route":      {document.RemoveRoute{Name: "x"}, "route"},
		"missing server":     {document.SetDeparting{Group: "g", Server: "x"}, "server"},
		"result is at fault": {document.PutOrganisation{Name: "open", Rate: 1, Burst: 1}, "organisations[2].name"},
	} {
		t.Run(name, func(t *testing.T) {
			_, faults := valid().WithEdit(c.edit, change)
			requireFault(t, faults, c.path, "")
		})
	}
	t.Run("anonymous change", func(t *testing.T) {
		_, faults := valid().WithEdit(document.SetMaxFallbackHolders{MaxFallbackHolders: 2}, document.Change{ID: "c"})
		requireFault(t, faults, "change.author", `""`)
	})
	t.Run("history is bounded and keeps the latest", func(t *testing.T) {
		d := document.Document{}
		for i := range document.MaxHistory + 3 {
			var faults []document.Violation
			d, faults = d.WithEdit(document.SetMaxFallbackHolders{MaxFallbackHolders: i + 1}, document.Change{ID: fmt.Sprint(i), Author: "ana"})
			require.Empty(t, faults)
		}
		require.Len(t, d.History, document.MaxHistory)
		require.Equal(t, d.Change, d.History[document.MaxHistory-1])
		require.Equal(t, document.Revision(4), d.History[0].Revision)
	})
}

// Guards against a patch that is applied to another document than it was made from, or brings faults.
func TestWithPatch(t *testing.T) {
	next, _ := valid().WithEdit(document.SetMaxFallbackHolders{MaxFallbackHolders: 5}, change)
	patch, ok := valid().PatchTo(next)
	require.True(t, ok)
	forked, later := valid(), valid()
	forked.Change.ID = "other"
	later.Revision++
	for name, d := range map[string]document.Document{"other revision": later, "other change of the same revision": forked} {
		t.Run(name, func(t *testing.T) {
			_, faults := d.WithPatch(patch)
			requireFault(t, faults, "base", "")
		})
	}
	t.Run("faults", func(t *testing.T) {
		faulty := patch
		faulty.MaxFallbackHolders, faulty.RemovedGroups = -1, []string{"g"}
		_, faults := valid().WithPatch(faulty)
		requireFault(t, faults, "seats", "-1")
		requireFault(t, faults, "routes[0].group", `"g"`)
	})
	t.Run("none for another order", func(t *testing.T) {
		reordered := next
		reordered.Organisations = []document.Organisation{next.Organisations[1], next.Organisations[0]}
		_, ok := valid().PatchTo(reordered)
		require.False(t, ok)
	})
}

// Guards against a document that reverts.
func TestSucceeds(t *testing.T) {
	for revision, want := range map[document.Revision]bool{1: false, 2: false, 3: true} {
		require.Equal(t, want, document.IsNewer(document.Document{Revision: revision}, document.Document{Revision: 2}))
	}
}

func valid() document.Document {
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

func requireFault(t *testing.T, faults []document.Violation, path, value string) {
	t.Helper()
	for _, f := range faults {
		if f.Path == path && (value == "" || f.Value == value) {
			require.NotEmpty(t, f.Allowed)
			return
		}
	}
	require.Failf(t, "fault is missing", "path %s, value %s in %v", path, value, faults)
}

// requirePatch checks that the patch, encoded and parsed, leads from one document to the other.
func requirePatch(t *testing.T, from, to document.Document) {
	t.Helper()
	patch, ok := from.PatchTo(to)
	require.True(t, ok)
	data, faults := document.EncodePatch(patch)
	require.Empty(t, faults)
	patch, faults = document.ParsePatch(data)
	require.Empty(t, faults)
	got, faults := from.WithPatch(patch)
	require.Empty(t, faults)
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
