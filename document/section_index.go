package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// maxIndexPatchSize is the maximum size in bytes of the patch in an index; it keeps the index well below the store's
// object size limit after a large edit. Without a patch, relays read the changed sections instead.
const maxIndexPatchSize = 128 << 10

// Stored is the content of the document's object in the store. It is a SectionIndex, or a SingleObject in the older
// format.
type Stored interface {
	stored()
	// Header returns the document without organisations, groups and routes.
	Header() Document
}

// SingleObject is the older format: the whole document in one object.
type SingleObject struct{ Document Document }

// SectionIndex lists the sections over which the entries of a document are distributed. It is immutable; its With
// methods return copies. The zero value is the index of an empty document without sections.
type SectionIndex struct {
	// Document is the document without organisations, groups and routes.
	Document Document `json:"document"`
	// GCCount is the number of garbage collections of unreferenced sections. A collection increments it, so that every edit
	// that began before fails: the sections that the edit has written may be among the removed ones.
	GCCount  uint64       `json:"collections"`
	Sections []SectionRef `json:"sections" validate:"min=1,max=2048,dive"`
	// Patch is the patch from the previous revision. It is nil if it is too large or if there is no previous revision.
	Patch *Patch `json:"patch,omitempty"`
}

func (SingleObject) stored() {}
func (SectionIndex) stored() {}

// Header returns the document without organisations, groups and routes.
func (w SingleObject) Header() Document { return w.Document.header() }

// Header returns the document without organisations, groups and routes.
func (ix SectionIndex) Header() Document { return ix.Document }

func (d Document) header() Document {
	d.Organisations, d.Groups, d.Routes = nil, nil, nil
	return d
}

// ParseStored decodes the document's object in the store, in either format.
func ParseStored(data []byte) (Stored, []Violation) {
	var form struct {
		Sections json.RawMessage `json:"sections"`
	}
	// Parse reports text that is not JSON as a violation.
	if err := json.Unmarshal(data, &form); err != nil || form.Sections == nil {
		d, violations := Parse(data)
		return SingleObject{d}, violations
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var ix SectionIndex
	if err := decoder.Decode(&ix); err != nil {
		return nil, []Violation{decodeViolation(err, decoder.InputOffset())}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, []Violation{{"document", fmt.Sprintf("text after byte %d", decoder.InputOffset()), "one JSON object"}}
	}
	ix.Document = ix.Document.header()
	for i := range ix.Sections {
		ix.Sections[i].Number = i
	}
	return ix, ix.validate()
}

// EncodeIndex returns the JSON encoding of the index. It fails if the encoding exceeds MaxObjectSize.
func EncodeIndex(ix SectionIndex) ([]byte, []Violation) {
	ix.Document = ix.Document.withEmptyLists()
	data, err := json.Marshal(ix)
	if err != nil {
		return nil, []Violation{{"document", err.Error(), "values that JSON can hold"}}
	}
	if len(data) > MaxObjectSize {
		return nil, []Violation{{"document", fmt.Sprintf("an index of %d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxObjectSize)}}
	}
	return data, nil
}

func (ix SectionIndex) validate() []Violation {
	violations := validateFields(ix)
	if n := len(ix.Sections); n&(n-1) != 0 {
		violations = append(violations, Violation{"sections", fmt.Sprintf("%d entries", n), "a power of two"})
	}
	return violations
}

// WithDocument returns the index of next and the sections that must be written before it, named after the attempt. An
// unchanged section is reused if its object exists. base is the document from which next was made.
func (ix SectionIndex) WithDocument(
	base, next Document, attempt string, exists func(object string) bool,
) (SectionIndex, []SectionObject, []Violation) {
	data, violations := Encode(next)
	if len(violations) > 0 {
		return SectionIndex{}, nil, violations
	}
	encoded, violations := next.splitBySize(len(data), len(ix.Sections))
	if len(violations) > 0 {
		return SectionIndex{}, nil, violations
	}
	nextIndex := SectionIndex{Document: next.header(), GCCount: ix.GCCount}
	var objects []SectionObject
	for i, data := range encoded {
		ref := newSectionRef(attempt, i, data)
		if kept, ok := ix.matchingRef(i, ref); ok && len(encoded) == len(ix.Sections) && exists(kept.ObjectName()) {
			nextIndex.Sections = append(nextIndex.Sections, kept)
			continue
		}
		nextIndex.Sections = append(nextIndex.Sections, ref)
		objects = append(objects, SectionObject{Ref: ref, Data: data})
	}
	nextIndex.Patch = patchForIndex(base, next)
	return nextIndex, objects, nil
}

// splitBySize encodes the sections of a document of size bytes that now has current sections. It doubles their number
// until no section exceeds maxSectionSize.
func (d Document) splitBySize(size, current int) ([][]byte, []Violation) {
	for n := sectionCount(size, current); ; n *= 2 {
		encoded, violations := d.splitInto(n)
		if len(violations) > 0 {
			return nil, violations
		}
		largest := 0
		for _, data := range encoded {
			largest = max(largest, len(data))
		}
		if largest <= maxSectionSize {
			return encoded, nil
		}
		if n == MaxSections {
			return nil, []Violation{{"document", fmt.Sprintf("a section of %d bytes", largest), fmt.Sprintf("at most %d bytes", maxSectionSize)}}
		}
	}
}

// matchingRef returns the reference to section i, and whether its content equals that of the given one.
func (ix SectionIndex) matchingRef(i int, other SectionRef) (SectionRef, bool) {
	if i >= len(ix.Sections) {
		return SectionRef{}, false
	}
	current := ix.Sections[i]
	return current, current.Size == other.Size && current.SHA256 == other.SHA256
}

func patchForIndex(base, next Document) *Patch {
	if base.Revision == 0 {
		return nil
	}
	patch, ok := base.PatchTo(next)
	if !ok {
		return nil
	}
	data, violations := EncodePatch(patch)
	if len(violations) > 0 || len(data) > maxIndexPatchSize {
		return nil
	}
	return &patch
}

// WithGC returns the index with GCCount incremented.
func (ix SectionIndex) WithGC() SectionIndex {
	ix.GCCount++
	return ix
}

// Unreferenced returns the names of the given objects that are sections to which the index does not refer.
func (ix SectionIndex) Unreferenced(objects []string) []string {
	referenced := make(map[string]bool, len(ix.Sections))
	for _, ref := range ix.Sections {
		referenced[ref.ObjectName()] = true
	}
	return slices.DeleteFunc(slices.Clone(objects), func(name string) bool {
		return !strings.HasPrefix(name, SectionPrefix) || referenced[name]
	})
}

// Derive returns the index's document if it can be derived from the known one without reading any section.
func (ix SectionIndex) Derive(known Document) (Document, bool) {
	if known.Revision == ix.Document.Revision && known.Change.ID == ix.Document.Change.ID {
		return known, known.Revision > 0
	}
	if ix.Patch == nil || ix.Patch.Revision != ix.Document.Revision {
		return Document{}, false
	}
	d, violations := known.WithPatch(*ix.Patch)
	return d, len(violations) == 0
}

// KnownSections returns the sections of the index that can be taken from the known document, by number. The others must
// be read from the store.
func (ix SectionIndex) KnownSections(known Document) map[int]Section {
	sections := make(map[int]Section)
	encoded, violations := known.splitInto(len(ix.Sections))
	if known.Revision == 0 || len(violations) > 0 {
		return sections
	}
	for i, data := range encoded {
		ref := ix.Sections[i]
		if s, violations := ParseSection(ref, data); len(violations) == 0 {
			sections[i] = s
		}
	}
	return sections
}

// Assemble returns the index's document, assembled from all its sections and validated. sections maps section numbers
// to sections.
func (ix SectionIndex) Assemble(sections map[int]Section) (Document, []Violation) {
	d := ix.Document.header()
	for i, ref := range ix.Sections {
		s, found := sections[i]
		if !found {
			return Document{}, []Violation{{fmt.Sprintf("sections[%d]", i), "nothing", "the content of " + ref.ObjectName()}}
		}
		d.Organisations = append(d.Organisations, s.Organisations...)
		d.Groups = append(d.Groups, s.Groups...)
		d.Routes = append(d.Routes, s.Routes...)
	}
	d = d.sorted()
	if violations := d.Validate(); len(violations) > 0 {
		return Document{}, violations
	}
	return d, nil
}
