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

// maxIndexPatch is the largest patch in bytes that an index carries. A relay that finds none reads the changed sections
// instead, so a large edit does not bring the index near the size limit of the store.
const maxIndexPatch = 128 << 10

// Stored is what the store's object of the document holds. It is a SectionIndex, or a Whole in the earlier form.
type Stored interface {
	stored()
	// Header returns the document without organisations, groups and routes.
	Header() Document
}

// SingleObject is the earlier form: the document in one object.
type SingleObject struct{ Document Document }

// SectionIndex refers to the sections over which the entries of a document are distributed. It is never changed in
// place; its With methods return copies. The zero value is the index of an empty document without sections.
type SectionIndex struct {
	// Document is the document without organisations, groups and routes.
	Document Document `json:"document"`
	// GCCount is the number of times that unreferenced sections were removed. Raising it makes every edit fail that
	// began before, whose sections may be among the removed ones.
	GCCount  uint64       `json:"collections"`
	Sections []SectionRef `json:"sections" validate:"min=1,max=2048,dive"`
	// Patch leads here from the previous revision. It is absent when it is too large or when there is none.
	Patch *Patch `json:"patch,omitempty"`
}

func (SingleObject) stored() {}
func (SectionIndex) stored() {}

// Header returns the document without organisations, groups and routes.
func (w SingleObject) Header() Document { return w.Document.head() }

// Header returns the document without organisations, groups and routes.
func (ix SectionIndex) Header() Document { return ix.Document }

func (d Document) head() Document {
	d.Organisations, d.Groups, d.Routes = nil, nil, nil
	return d
}

// ParseStored reads what the store's object of the document holds.
func ParseStored(data []byte) (Stored, []Violation) {
	var form struct {
		Sections json.RawMessage `json:"sections"`
	}
	// Text that is not JSON is told as a fault of the document.
	if err := json.Unmarshal(data, &form); err != nil || form.Sections == nil {
		d, faults := Parse(data)
		return SingleObject{d}, faults
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var ix SectionIndex
	if err := decoder.Decode(&ix); err != nil {
		return nil, []Violation{decodeFault(err, decoder.InputOffset())}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, []Violation{{"document", fmt.Sprintf("text after byte %d", decoder.InputOffset()), "one JSON object"}}
	}
	ix.Document = ix.Document.head()
	for i := range ix.Sections {
		ix.Sections[i].Number = i
	}
	return ix, ix.check()
}

// EncodeIndex returns the index's JSON. It fails when the index is too large for the store.
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

func (ix SectionIndex) check() []Violation {
	faults := checkFields(ix)
	if n := len(ix.Sections); n&(n-1) != 0 {
		faults = append(faults, Violation{"sections", fmt.Sprintf("%d entries", n), "a power of two"})
	}
	return faults
}

// WithDocument returns the index of next and the sections that have to be written first, under the attempt. A section
// whose content is the same stays where it is if its object exists. base is the document that next was made from.
func (ix SectionIndex) WithDocument(
	base, next Document, attempt string, exists func(object string) bool,
) (SectionIndex, []SectionObject, []Violation) {
	data, faults := Encode(next)
	if len(faults) > 0 {
		return SectionIndex{}, nil, faults
	}
	encoded, faults := next.splitFor(len(data), len(ix.Sections))
	if len(faults) > 0 {
		return SectionIndex{}, nil, faults
	}
	following := SectionIndex{Document: next.head(), GCCount: ix.GCCount}
	var written []SectionObject
	for i, data := range encoded {
		ref := refOf(attempt, i, data)
		if kept, ok := ix.section(i, ref); ok && len(encoded) == len(ix.Sections) && exists(kept.ObjectName()) {
			following.Sections = append(following.Sections, kept)
			continue
		}
		following.Sections = append(following.Sections, ref)
		written = append(written, SectionObject{Ref: ref, Data: data})
	}
	following.Patch = indexPatch(base, next)
	return following, written, nil
}

// splitFor divides a document of the size that has current sections now.
func (d Document) splitFor(size, current int) ([][]byte, []Violation) {
	for n := sectionCount(size, current); ; n *= 2 {
		encoded, faults := d.split(n)
		if len(faults) > 0 {
			return nil, faults
		}
		largest := 0
		for _, data := range encoded {
			largest = max(largest, len(data))
		}
		if largest <= maxSection {
			return encoded, nil
		}
		if n == MaxSections {
			return nil, []Violation{{"document", fmt.Sprintf("a section of %d bytes", largest), fmt.Sprintf("at most %d bytes", maxSection)}}
		}
	}
}

// section returns the reference to section number i when its content is the given one.
func (ix SectionIndex) section(i int, content SectionRef) (SectionRef, bool) {
	if i >= len(ix.Sections) {
		return SectionRef{}, false
	}
	kept := ix.Sections[i]
	return kept, kept.Size == content.Size && kept.SHA256 == content.SHA256
}

func indexPatch(base, next Document) *Patch {
	if base.Revision == 0 {
		return nil
	}
	patch, ok := base.PatchTo(next)
	if !ok {
		return nil
	}
	data, faults := EncodePatch(patch)
	if len(faults) > 0 || len(data) > maxIndexPatch {
		return nil
	}
	return &patch
}

// WithGC returns the index with the collection counter raised.
func (ix SectionIndex) WithGC() SectionIndex {
	ix.GCCount++
	return ix
}

// Unreferenced returns those of the objects that hold a section to which the index does not refer.
func (ix SectionIndex) Unreferenced(objects []string) []string {
	referenced := make(map[string]bool, len(ix.Sections))
	for _, ref := range ix.Sections {
		referenced[ref.ObjectName()] = true
	}
	return slices.DeleteFunc(slices.Clone(objects), func(name string) bool {
		return !strings.HasPrefix(name, SectionPrefix) || referenced[name]
	})
}

// Derive returns the index's document if it follows from the known one without reading a section.
func (ix SectionIndex) Derive(known Document) (Document, bool) {
	if known.Revision == ix.Document.Revision && known.Change.ID == ix.Document.Change.ID {
		return known, known.Revision > 0
	}
	if ix.Patch == nil || ix.Patch.Revision != ix.Document.Revision {
		return Document{}, false
	}
	d, faults := known.WithPatch(*ix.Patch)
	return d, len(faults) == 0
}

// KnownSections returns the sections of the index whose content the known document has, by number. The others have to be read.
func (ix SectionIndex) KnownSections(known Document) map[int]Section {
	held := make(map[int]Section)
	encoded, faults := known.split(len(ix.Sections))
	if known.Revision == 0 || len(faults) > 0 {
		return held
	}
	for i, data := range encoded {
		ref := ix.Sections[i]
		if s, faults := ParseSection(ref, data); len(faults) == 0 {
			held[i] = s
		}
	}
	return held
}

// Assemble returns the document of the index from all its sections, by number.
func (ix SectionIndex) Assemble(sections map[int]Section) (Document, []Violation) {
	d := ix.Document.head()
	for i, ref := range ix.Sections {
		s, found := sections[i]
		if !found {
			return Document{}, []Violation{{fmt.Sprintf("sections[%d]", i), "nothing", "the content of " + ref.ObjectName()}}
		}
		d.Organisations = append(d.Organisations, s.Organisations...)
		d.Groups = append(d.Groups, s.Groups...)
		d.Routes = append(d.Routes, s.Routes...)
	}
	d = d.inOrder()
	if faults := d.Validate(); len(faults) > 0 {
		return Document{}, faults
	}
	return d, nil
}
