package document

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// SectionPrefix is the prefix of the names of section objects in the store.
	SectionPrefix = "document_section/"
	// MaxObjectSize is the maximum size of an object in the store, in bytes.
	MaxObjectSize = 1 << 20
	// MaxSections is the maximum number of sections; it bounds the size of the index. A document of MaxSize needs 1,024
	// sections. The index of 2,048 sections has 0.3 MB.
	MaxSections = 2048

	// The number of sections is doubled while their average size exceeds targetSectionSize or the largest one exceeds
	// maxSectionSize, both in bytes. Small sections make changes cheap, because a change writes at least one section; many
	// sections make the index large, which every relay reads.
	targetSectionSize = 16 << 10
	maxSectionSize    = 256 << 10
	// shrinkFactor is how many times more sections than needed a document may have before their number is reduced. It
	// prevents a document whose size varies around a threshold from being split again with each change.
	shrinkFactor = 4
)

// Section is a shard of the document: the entries whose kind and name hash to the section's number.
type Section struct {
	Organisations []Organisation `json:"organisations"`
	Groups        []Group        `json:"groups"`
	Routes        []Route        `json:"routes"`
}

// SectionRef is the index's reference to a section.
type SectionRef struct {
	// Attempt is the random ID of the edit attempt that wrote the section. It is never reused.
	Attempt string `json:"attempt" validate:"required,max=100"`
	// Number is the section's position in the index.
	Number int `json:"-"`
	Size   int `json:"size" validate:"min=1,max=1048576"`
	// SHA256 is the hash of the encoded section in base64, which is a third shorter than hexadecimal.
	SHA256 string `json:"sha256" validate:"required,len=43"`
}

// SectionObject is an encoded section to be written to the store.
type SectionObject struct {
	Ref  SectionRef
	Data []byte
}

// ObjectName returns the name of the section's object in the store.
func (r SectionRef) ObjectName() string {
	return fmt.Sprintf("%s%s/%d", SectionPrefix, r.Attempt, r.Number)
}

// ParseSection decodes a section after checking its size and hash. Its entries are validated with the whole document.
func ParseSection(ref SectionRef, data []byte) (Section, []Violation) {
	path := fmt.Sprintf("sections[%d]", ref.Number)
	if got := newSectionRef(ref.Attempt, ref.Number, data); got != ref {
		given := fmt.Sprintf("%d bytes with SHA-256 %s", got.Size, got.SHA256)
		return Section{}, []Violation{{path, given, fmt.Sprintf("%d bytes with SHA-256 %s", ref.Size, ref.SHA256)}}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var s Section
	if err := decoder.Decode(&s); err != nil {
		return Section{}, []Violation{decodeViolation(err, decoder.InputOffset())}
	}
	return s, nil
}

// newSectionRef returns the reference to a section with the given encoding.
func newSectionRef(attempt string, number int, data []byte) SectionRef {
	sum := sha256.Sum256(data)
	return SectionRef{
		Attempt: attempt, Number: number, Size: len(data), SHA256: base64.RawStdEncoding.EncodeToString(sum[:]),
	}
}

// splitInto distributes the document's entries over n sections and encodes them.
func (d Document) splitInto(n int) ([][]byte, []Violation) {
	// The hash of a section must not depend on the order of the entries or on whether an empty list is nil.
	d = d.sorted().withEmptyLists()
	sections := make([]Section, n)
	for _, o := range d.Organisations {
		s := &sections[sectionNumber("organisation", o.Name, n)]
		s.Organisations = append(s.Organisations, o)
	}
	for _, g := range d.Groups {
		s := &sections[sectionNumber("group", g.Name, n)]
		s.Groups = append(s.Groups, g)
	}
	for _, r := range d.Routes {
		s := &sections[sectionNumber("route", r.Name, n)]
		s.Routes = append(s.Routes, r)
	}
	encoded := make([][]byte, n)
	for i, s := range sections {
		data, err := json.Marshal(s)
		if err != nil {
			return nil, []Violation{{"document", err.Error(), "values that JSON can hold"}}
		}
		encoded[i] = data
	}
	return encoded, nil
}

// sectionNumber returns the number of the entry's section. n must be a power of two.
func sectionNumber(kind, name string, n int) int {
	return int(xxhash.Sum64String(kind+"\x00"+name) & uint64(n-1))
}

// sectionCount returns the number of sections for a document of size bytes that now has current sections.
func sectionCount(size, current int) int {
	n := 1
	for n < MaxSections && size > n*targetSectionSize {
		n *= 2
	}
	if current > n && current <= shrinkFactor*n {
		return current
	}
	return n
}

// sorted returns the document with its entries sorted by name.
func (d Document) sorted() Document {
	d.Organisations = sortedByName(d.Organisations, organisationName)
	d.Groups = sortedByName(d.Groups, groupName)
	d.Routes = sortedByName(d.Routes, routeName)
	return d
}

// sortedByName returns the items sorted by name. It returns items itself if they are already sorted.
func sortedByName[T any](items []T, name func(T) string) []T {
	byName := func(a, b T) int { return cmp.Compare(name(a), name(b)) }
	if slices.IsSortedFunc(items, byName) {
		return items
	}
	items = slices.Clone(items)
	slices.SortStableFunc(items, byName)
	return items
}
