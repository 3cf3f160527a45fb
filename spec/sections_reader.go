package spec

import (
	"bytes"
	"fmt"

	"github.com/rhubarbwick/rhubarbwick/document"
)

// sectionReader is an instance that reads the document from the store. index is the one whose sections it is reading.
type sectionReader struct {
	localCopy       document.LocalCopy
	highestRevision document.Revision
	index           document.SectionIndex
	isReading       bool
}

// readerSteps lets the reader read the index, then the sections that it needs, or receive the document of an editor whose
// change was acknowledged.
func (s sectionState) readerSteps() []Step {
	var steps []Step
	if !s.reader.isReading && s.reads < s.bounds.Reads {
		n := s.clone()
		n.reads++
		n.reader.index, n.reader.isReading = s.index, true
		steps = append(steps, Step{fmt.Sprintf("the reader reads the index of revision %d", s.index.Document.Revision), n})
	}
	if s.reader.isReading {
		n := s.clone()
		n.readSections()
		steps = append(steps, Step{"the reader reads the sections", n})
	}
	for i, e := range s.editors {
		if e.acknowledged && e.change.Revision > s.reader.highestRevision {
			n := s.clone()
			n.install(n.reader.localCopy.WithDocument(e.change))
			steps = append(steps, Step{fmt.Sprintf("editor %d offers revision %d", i, e.change.Revision), n})
		}
	}
	return steps
}

// readSections handles an index like the product's poller. When a section is missing, it reads the index again.
func (s *sectionState) readSections() {
	ix := s.reader.index
	s.reader.index, s.reader.isReading = document.SectionIndex{}, false
	known := s.reader.localCopy.Document()
	if !s.faults.InstallAny && !document.IsNewer(ix.Header(), known) {
		return
	}
	d, derived := ix.Derive(known)
	if !derived {
		sections := ix.KnownSections(known)
		for _, ref := range ix.Sections {
			if _, isKnown := sections[ref.Number]; isKnown {
				continue
			}
			data, found := s.objects[ref.ObjectName()]
			if !found {
				return
			}
			section, problems := document.ParseSection(ref, data)
			if len(problems) > 0 {
				s.violation = fmt.Sprint("a section is invalid: ", problems)
			}
			sections[ref.Number] = section
		}
		d, _ = ix.Assemble(sections)
	}
	if !sameDocument(d, s.documents[ix.Document.Change.ID]) {
		s.violation = fmt.Sprintf("revision %d was read with different content", ix.Document.Revision)
	}
	localCopy := s.reader.localCopy
	if s.faults.InstallAny {
		localCopy = document.NewLocalCopy(0)
	}
	s.install(localCopy.WithDocument(d))
}

func (s *sectionState) install(localCopy document.LocalCopy) {
	s.reader.localCopy = localCopy
	s.reader.highestRevision = max(s.reader.highestRevision, localCopy.Revision())
}

func sameDocument(a, b document.Document) bool {
	first, _ := document.Encode(a)
	second, _ := document.Encode(b)
	return bytes.Equal(first, second)
}
