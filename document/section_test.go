package document_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/document"
)

// Guards against a section that is taken with another content, and against a document that differs after it was split.
func TestSections(t *testing.T) {
	base := withOrganisations(280)
	ix, written := requireStore(t, document.SectionIndex{}, document.Document{}, base, "one")
	t.Run("assembled again", func(t *testing.T) {
		require.Len(t, ix.Sections, 4)
		requireAssembled(t, base, ix, written)
	})
	t.Run("one change writes one section and brings a patch", func(t *testing.T) {
		next, faults := base.WithEdit(document.PutOrganisation{Name: "o7", Rate: 9, Burst: 9}, change)
		require.Empty(t, faults)
		following, again := requireStore(t, ix, base, next, "two")
		require.Len(t, objectsOf(again), 1)
		derived, ok := following.Derive(base)
		require.True(t, ok)
		require.Empty(t, document.Diff(next, derived))
		require.Len(t, following.KnownSections(base), 3)
		requireAssembled(t, next, following, append(written, again...))
		require.Equal(t, []string{ix.Sections[again[0].Ref.Number].ObjectName()}, following.Unreferenced(objectsOf(append(written, again...))))
	})
	t.Run("missing sections are written again", func(t *testing.T) {
		none := func(string) bool { return false }
		following, again, faults := ix.WithDocument(base, base, "three", none)
		require.Empty(t, faults)
		require.Len(t, objectsOf(again), len(ix.Sections))
		require.NotEqual(t, ix.Sections, following.Sections)
	})
	t.Run("large patch is left out", func(t *testing.T) {
		following, _ := requireStore(t, ix, document.Document{Revision: base.Revision - 1}, withOrganisations(2000), "four")
		require.Nil(t, following.Patch)
	})
	for name, damage := range map[string]func([]byte) []byte{
		"other size":    func(data []byte) []byte { return append(data, ' ') },
		"other content": func(data []byte) []byte { return []byte(strings.Replace(string(data), "o", "p", 1)) },
	} {
		t.Run(name, func(t *testing.T) {
			_, faults := document.ParseSection(written[1].Ref, damage(slices.Clone(written[1].Data)))
			requireFault(t, faults, "sections[1]", "")
		})
	}
	t.Run("section left out", func(t *testing.T) {
		_, faults := ix.Assemble(map[int]document.Section{})
		requireFault(t, faults, "sections[0]", "nothing")
	})
}

// Guards against a document that is divided anew with each change while its size moves around a limit.
func TestSectionCount(t *testing.T) {
	ix, _ := requireStore(t, document.SectionIndex{}, document.Document{}, withOrganisations(280), "a")
	for _, c := range []struct{ organisations, sections int }{{500, 8}, {280, 8}, {110, 8}, {60, 1}, {2, 1}} {
		ix, _ = requireStore(t, ix, document.Document{}, withOrganisations(c.organisations), "b")
		require.Len(t, ix.Sections, c.sections, "sections of %d organisations", c.organisations)
	}
}

// Guards against an object in the store that is taken for something else than it is.
func TestParseStored(t *testing.T) {
	ix, _ := requireStore(t, document.SectionIndex{}, document.Document{}, valid(), "a")
	t.Run("index", func(t *testing.T) {
		data, faults := document.EncodeIndex(ix)
		require.Empty(t, faults)
		form, faults := document.ParseStored(data)
		require.Empty(t, faults)
		again, ok := form.(document.SectionIndex)
		require.True(t, ok)
		require.Equal(t, ix.Sections, again.Sections)
		require.Equal(t, ix.Document.Revision, form.Header().Revision)
	})
	t.Run("earlier form", func(t *testing.T) {
		data, faults := document.Encode(valid())
		require.Empty(t, faults)
		form, faults := document.ParseStored(data)
		require.Empty(t, faults)
		whole, ok := form.(document.SingleObject)
		require.True(t, ok)
		require.Empty(t, document.Diff(valid(), whole.Document))
	})
	section := `{"attempt":"a","size":5,"sha256":"` + strings.Repeat("A", 43) + `"}`
	for name, c := range map[string]struct{ text, path string }{
		"not JSON":           {`{"sections":[`, "document"},
		"no sections":        {`{"document":{"seats":1},"sections":[]}`, "sections"},
		"no power of two":    {`{"document":{"seats":1},"sections":[` + section + "," + section + "," + section + `]}`, "sections"},
		"section of no size": {`{"document":{"seats":1},"sections":[` + strings.Replace(section, "5", "0", 1) + `]}`, "sections[0].size"},
		"unknown field":      {`{"document":{"seats":1},"sections":[` + section + `],"section":1}`, "section"},
	} {
		t.Run(name, func(t *testing.T) {
			_, faults := document.ParseStored([]byte(c.text))
			requireFault(t, faults, c.path, "")
		})
	}
}

// Guards against a field that a patch leaves out: a comparison that does not know it takes two documents for the same.
func TestPatchCoversEveryField(t *testing.T) {
	for kind, entryOf := range map[string]func(*document.Document) any{
		"organisation": func(d *document.Document) any { return &d.Organisations[0] },
		"group":        func(d *document.Document) any { return &d.Groups[0] },
		"route":        func(d *document.Document) any { return &d.Routes[0] },
		"server":       func(d *document.Document) any { return &d.Groups[0].Servers[0] },
	} {
		for field := range reflect.TypeOf(entryOf(ptr(valid()))).Elem().Fields() {
			t.Run(kind+" "+field.Name, func(t *testing.T) {
				from, to := copied(t, valid()), copied(t, valid())
				slices.Reverse(from.Routes)
				slices.Reverse(to.Routes)
				to.Revision++
				value := reflect.ValueOf(entryOf(&to)).Elem().FieldByIndex(field.Index)
				if value.Kind() == reflect.Slice {
					value.SetZero()
				} else {
					value.Set(different(value))
				}
				patch, ok := from.PatchTo(to)
				changed := len(patch.Organisations) + len(patch.Groups) + len(patch.Routes)
				require.True(t, ok, "no patch leads to another %s", field.Name)
				require.Positive(t, changed, "the patch does not change %s", field.Name)
			})
		}
	}
}

// different returns a value of the same type that is not equal.
func different(v reflect.Value) reflect.Value {
	switch v.Kind() {
	case reflect.String:
		return reflect.ValueOf(v.String() + "x").Convert(v.Type())
	case reflect.Bool:
		return reflect.ValueOf(!v.Bool())
	case reflect.Float64:
		return reflect.ValueOf(v.Float() + 1)
	default:
		return reflect.ValueOf(v.Int() + 1).Convert(v.Type())
	}
}

func ptr(d document.Document) *document.Document { return &d }

func copied(t *testing.T, d document.Document) document.Document {
	t.Helper()
	data, err := json.Marshal(d)
	require.NoError(t, err)
	var other document.Document
	require.NoError(t, json.Unmarshal(data, &other))
	return other
}

// withOrganisations returns a document of n organisations of 224 bytes.
func withOrganisations(n int) document.Document {
	d := valid()
	d.Organisations = nil
	for i := range n {
		d.Organisations = append(d.Organisations, document.Organisation{Name: fmt.Sprintf("o%d", i), Rate: 10, Burst: 10, Keys: []document.Key{
			{ID: "k1", SHA256: fmt.Sprintf("%064x", i)}, {ID: "k2", SHA256: fmt.Sprintf("%064x", n+i)},
		}})
	}
	return d
}

// requireStore returns the index of next and the sections that have to be written, when the store has all earlier ones.
func requireStore(
	t *testing.T, ix document.SectionIndex, base, next document.Document, attempt string,
) (document.SectionIndex, []document.SectionObject) {
	t.Helper()
	following, written, faults := ix.WithDocument(base, next, attempt, func(string) bool { return true })
	require.Empty(t, faults)
	data, faults := document.EncodeIndex(following)
	require.Empty(t, faults)
	require.LessOrEqual(t, len(data), document.MaxObjectSize)
	return following, written
}

func requireAssembled(t *testing.T, want document.Document, ix document.SectionIndex, objects []document.SectionObject) {
	t.Helper()
	sections := make(map[int]document.Section)
	for _, o := range objects {
		if s, faults := document.ParseSection(ix.Sections[o.Ref.Number], o.Data); len(faults) == 0 {
			sections[o.Ref.Number] = s
		}
	}
	d, faults := ix.Assemble(sections)
	require.Empty(t, faults)
	require.Empty(t, document.Diff(want, d))
	require.True(t, slices.IsSortedFunc(d.Organisations, func(a, b document.Organisation) int { return strings.Compare(a.Name, b.Name) }))
}

func objectsOf(objects []document.SectionObject) []string {
	var names []string
	for _, o := range objects {
		names = append(names, o.Ref.ObjectName())
	}
	return names
}
