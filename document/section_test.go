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

// Guards against a section that is accepted with content that differs from its reference, and against a document that
// changes when it is split into sections and assembled again.
func TestSections(t *testing.T) {
	base := withOrganisations(280)
	ix, objects := requireUpdate(t, document.SectionIndex{}, document.Document{}, base, "one")
	t.Run("assembled from its sections", func(t *testing.T) {
		require.Len(t, ix.Sections, 4)
		requireAssembled(t, base, ix, objects)
	})
	t.Run("one change writes one section and has a patch", func(t *testing.T) {
		next, violations := base.WithEdit(document.PutOrganisation{Name: "o7", Rate: 9, Burst: 9}, change)
		require.Empty(t, violations)
		nextIndex, newObjects := requireUpdate(t, ix, base, next, "two")
		require.Len(t, objectNames(newObjects), 1)
		derived, ok := nextIndex.Derive(base)
		require.True(t, ok)
		require.Empty(t, document.Diff(next, derived))
		require.Len(t, nextIndex.KnownSections(base), 3)
		requireAssembled(t, next, nextIndex, append(objects, newObjects...))
		require.Equal(t, []string{ix.Sections[newObjects[0].Ref.Number].ObjectName()}, nextIndex.Unreferenced(objectNames(append(objects, newObjects...))))
	})
	t.Run("missing sections are written again", func(t *testing.T) {
		none := func(string) bool { return false }
		nextIndex, newObjects, violations := ix.WithDocument(base, base, "three", none)
		require.Empty(t, violations)
		require.Len(t, objectNames(newObjects), len(ix.Sections))
		require.NotEqual(t, ix.Sections, nextIndex.Sections)
	})
	t.Run("large patch is omitted", func(t *testing.T) {
		nextIndex, _ := requireUpdate(t, ix, document.Document{Revision: base.Revision - 1}, withOrganisations(2000), "four")
		require.Nil(t, nextIndex.Patch)
	})
	for name, damage := range map[string]func([]byte) []byte{
		"other size":    func(data []byte) []byte { return append(data, ' ') },
		"other content": func(data []byte) []byte { return []byte(strings.Replace(string(data), "o", "p", 1)) },
	} {
		t.Run(name, func(t *testing.T) {
			_, violations := document.ParseSection(objects[1].Ref, damage(slices.Clone(objects[1].Data)))
			requireViolation(t, violations, "sections[1]", "")
		})
	}
	t.Run("section missing", func(t *testing.T) {
		_, violations := ix.Assemble(map[int]document.Section{})
		requireViolation(t, violations, "sections[0]", "nothing")
	})
}

// Guards against a document that is split again with each change while its size varies around a threshold.
func TestSectionCount(t *testing.T) {
	ix, _ := requireUpdate(t, document.SectionIndex{}, document.Document{}, withOrganisations(280), "a")
	for _, c := range []struct{ organisations, sections int }{{500, 8}, {280, 8}, {110, 8}, {60, 1}, {2, 1}} {
		ix, _ = requireUpdate(t, ix, document.Document{}, withOrganisations(c.organisations), "b")
		require.Len(t, ix.Sections, c.sections, "sections of %d organisations", c.organisations)
	}
}

// Guards against a stored object that is decoded in the wrong format, and against an invalid index that is accepted.
func TestParseStored(t *testing.T) {
	ix, _ := requireUpdate(t, document.SectionIndex{}, document.Document{}, validDocument(), "a")
	t.Run("index", func(t *testing.T) {
		data, violations := document.EncodeIndex(ix)
		require.Empty(t, violations)
		stored, violations := document.ParseStored(data)
		require.Empty(t, violations)
		parsed, ok := stored.(document.SectionIndex)
		require.True(t, ok)
		require.Equal(t, ix.Sections, parsed.Sections)
		require.Equal(t, ix.Document.Revision, stored.Header().Revision)
	})
	t.Run("older format", func(t *testing.T) {
		data, violations := document.Encode(validDocument())
		require.Empty(t, violations)
		stored, violations := document.ParseStored(data)
		require.Empty(t, violations)
		single, ok := stored.(document.SingleObject)
		require.True(t, ok)
		require.Empty(t, document.Diff(validDocument(), single.Document))
	})
	section := `{"attempt":"a","size":5,"sha256":"` + strings.Repeat("A", 43) + `"}`
	for name, c := range map[string]struct{ text, path string }{
		"not JSON":             {`{"sections":[`, "document"},
		"no sections":          {`{"document":{"seats":1},"sections":[]}`, "sections"},
		"not a power of two":   {`{"document":{"seats":1},"sections":[` + section + "," + section + "," + section + `]}`, "sections"},
		"section of size zero": {`{"document":{"seats":1},"sections":[` + strings.Replace(section, "5", "0", 1) + `]}`, "sections[0].size"},
		"unknown field":        {`{"document":{"seats":1},"sections":[` + section + `],"section":1}`, "section"},
	} {
		t.Run(name, func(t *testing.T) {
			_, violations := document.ParseStored([]byte(c.text))
			requireViolation(t, violations, c.path, "")
		})
	}
}

// Guards against a field that is missing in the comparisons from which a patch is made: a change of that field alone
// would be lost.
func TestPatchCoversEveryField(t *testing.T) {
	for kind, entryOf := range map[string]func(*document.Document) any{
		"organisation": func(d *document.Document) any { return &d.Organisations[0] },
		"group":        func(d *document.Document) any { return &d.Groups[0] },
		"route":        func(d *document.Document) any { return &d.Routes[0] },
		"server":       func(d *document.Document) any { return &d.Groups[0].Servers[0] },
	} {
		for field := range reflect.TypeOf(entryOf(ptr(validDocument()))).Elem().Fields() {
			t.Run(kind+" "+field.Name, func(t *testing.T) {
				from, to := cloneJSON(t, validDocument()), cloneJSON(t, validDocument())
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
				require.True(t, ok, "no patch for a change of %s", field.Name)
				require.Positive(t, changed, "the patch does not change %s", field.Name)
			})
		}
	}
}

// different returns a different value of the same type.
func different(v reflect.Value) reflect.Value {
	switch v.Kind() {
	case reflect.String:
		return reflect.ValueOf(v.String() + "x").Convert(v.Type())
	case reflect.Bool:
		return reflect.ValueOf(!v.Bool())
	case reflect.Struct:
		return reflect.ValueOf(document.NewHomes(append(v.Interface().(document.Homes).List(), "other")...))
	case reflect.Float64:
		return reflect.ValueOf(v.Float() + 1)
	default:
		return reflect.ValueOf(v.Int() + 1).Convert(v.Type())
	}
}

func ptr(d document.Document) *document.Document { return &d }

func cloneJSON(t *testing.T, d document.Document) document.Document {
	t.Helper()
	data, err := json.Marshal(d)
	require.NoError(t, err)
	var other document.Document
	require.NoError(t, json.Unmarshal(data, &other))
	return other
}

// withOrganisations returns a document of n organisations of 224 bytes.
func withOrganisations(n int) document.Document {
	d := validDocument()
	d.Organisations = nil
	for i := range n {
		d.Organisations = append(d.Organisations, document.Organisation{Name: fmt.Sprintf("o%d", i), Rate: 10, Burst: 10, Keys: []document.Key{
			{ID: "k1", SHA256: fmt.Sprintf("%064x", i)}, {ID: "k2", SHA256: fmt.Sprintf("%064x", n+i)},
		}})
	}
	return d
}

// requireUpdate returns the index of next and the sections to be written, if the store has all earlier sections.
func requireUpdate(
	t *testing.T, ix document.SectionIndex, base, next document.Document, attempt string,
) (document.SectionIndex, []document.SectionObject) {
	t.Helper()
	nextIndex, objects, violations := ix.WithDocument(base, next, attempt, func(string) bool { return true })
	require.Empty(t, violations)
	data, violations := document.EncodeIndex(nextIndex)
	require.Empty(t, violations)
	require.LessOrEqual(t, len(data), document.MaxObjectSize)
	return nextIndex, objects
}

func requireAssembled(t *testing.T, want document.Document, ix document.SectionIndex, objects []document.SectionObject) {
	t.Helper()
	sections := make(map[int]document.Section)
	for _, o := range objects {
		if s, violations := document.ParseSection(ix.Sections[o.Ref.Number], o.Data); len(violations) == 0 {
			sections[o.Ref.Number] = s
		}
	}
	d, violations := ix.Assemble(sections)
	require.Empty(t, violations)
	require.Empty(t, document.Diff(want, d))
	require.True(t, slices.IsSortedFunc(d.Organisations, func(a, b document.Organisation) int { return strings.Compare(a.Name, b.Name) }))
}

func objectNames(objects []document.SectionObject) []string {
	var names []string
	for _, o := range objects {
		names = append(names, o.Ref.ObjectName())
	}
	return names
}
