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
	// SectionPrefix starts the name of each object that holds a section.
	SectionPrefix = "document_section/"
	// MaxObjectSize is the largest value in bytes that the store keeps.
	MaxObjectSize = 1 << 20
	// MaxSections bounds the size of the index. A document of MaxSize needs 1,024 sections; twice as many make an index
	// of 0.3 MB.
	MaxSections = 2048

	// averageSection and maxSection are the sizes in bytes from which a document gets more sections. A change writes at
	// least one section, and the index, which every relay reads, grows with their number.
	averageSection = 16 << 10
	maxSection     = 256 << 10
	// shrinkFactor keeps a document whose size moves around a limit from being divided anew with each change.
	shrinkFactor = 4
)

// Section is a part of the document: the entries whose kind and name have the section's number as their hash.
type Section struct {
	Organisations []Organisation `json:"organisations"`
	Groups        []Group        `json:"groups"`
	Routes        []Route        `json:"routes"`
}

// SectionRef names a section that the index refers to and describes its content.
type SectionRef struct {
	// Attempt is the random identity of the edit that wrote the section. It is never used twice.
	Attempt string `json:"attempt" validate:"required,max=100"`
	// Number is the section's place in the index.
	Number int `json:"-"`
	Size   int `json:"size" validate:"min=1,max=1048576"`
	// SHA256 is the hash of the section in base64, which is a third shorter than hexadecimal digits.
	SHA256 string `json:"sha256" validate:"required,len=43"`
}

// SectionObject is an encoded section that has to be written.
type SectionObject struct {
	Ref  SectionRef
	Data []byte
}

// ObjectName returns the name of the object that holds the section.
func (r SectionRef) ObjectName() string {
	return fmt.Sprintf("%s%s/%d", SectionPrefix, r.Attempt, r.Number)
}

// ParseSection reads a section and checks its size and hash. Its entries are checked with the whole document.
func ParseSection(ref SectionRef, data []byte) (Section, []Violation) {
	path := fmt.Sprintf("sections[%d]", ref.Number)
	if got := refOf(ref.Attempt, ref.Number, data); got != ref {
		given := fmt.Sprintf("%d bytes with SHA-256 %s", got.Size, got.SHA256)
		return Section{}, []Violation{{path, given, fmt.Sprintf("%d bytes with SHA-256 %s", ref.Size, ref.SHA256)}}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var s Section
	if err := decoder.Decode(&s); err != nil {
		return Section{}, []Violation{decodeFault(err, decoder.InputOffset())}
	}
	return s, nil
}

// refOf returns the reference to a section with the content.
func refOf(attempt string, number int, data []byte) SectionRef {
	sum := sha256.Sum256(data)
	return SectionRef{
		Attempt: attempt, Number: number, Size: len(data), SHA256: base64.RawStdEncoding.EncodeToString(sum[:]),
	}
}

// split divides the document's entries into n sections and encodes them.
func (d Document) split(n int) ([][]byte, []Violation) {
	// The hash of a section must depend neither on the order of the document nor on whether an empty list is absent.
	d = d.inOrder().withEmptyLists()
	sections := make([]Section, n)
	for _, o := range d.Organisations {
		s := &sections[sectionOf("organisation", o.Name, n)]
		s.Organisations = append(s.Organisations, o)
	}
	for _, g := range d.Groups {
		s := &sections[sectionOf("group", g.Name, n)]
		s.Groups = append(s.Groups, g)
	}
	for _, r := range d.Routes {
		s := &sections[sectionOf("route", r.Name, n)]
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

// sectionOf returns the number of the section that holds the entry. n is a power of two.
func sectionOf(kind, name string, n int) int {
	return int(xxhash.Sum64String(kind+"\x00"+name) & uint64(n-1))
}

// sectionCount returns the number of sections for a document of the size in bytes that has current sections now.
func sectionCount(size, current int) int {
	n := 1
	for n < MaxSections && size > n*averageSection {
		n *= 2
	}
	if current > n && current <= shrinkFactor*n {
		return current
	}
	return n
}

// inOrder returns the document with its entries ordered by name.
func (d Document) inOrder() Document {
	d.Organisations = ordered(d.Organisations, organisationName)
	d.Groups = ordered(d.Groups, groupName)
	d.Routes = ordered(d.Routes, routeName)
	return d
}

// ordered returns the items by name. Items that are in order are not copied.
func ordered[T any](items []T, name func(T) string) []T {
	byName := func(a, b T) int { return cmp.Compare(name(a), name(b)) }
	if slices.IsSortedFunc(items, byName) {
		return items
	}
	items = slices.Clone(items)
	slices.SortStableFunc(items, byName)
	return items
}
