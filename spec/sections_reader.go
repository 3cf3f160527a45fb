package spec

import (
	"bytes"
	"fmt"

	"github.com/rhubarbwick/rhubarbwick/document"
)

// sectionReader is an instance that reads the document from the store, with the index whose sections it is reading.
type sectionReader struct {
	knowledge document.LocalCopy
	highest   document.Revision
	index     document.SectionIndex
	isReading bool
}

// readerSteps lets the reader read the index, then the sections that it needs, and take the document of an editor whose
// change was accepted.
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
		if e.accepted && e.change.Revision > s.reader.highest {
			n := s.clone()
			n.take(n.reader.knowledge.WithDocument(e.change))
			steps = append(steps, Step{fmt.Sprintf("editor %d offers revision %d", i, e.change.Revision), n})
		}
	}
	return steps
}

// readSections is what the product's poller does with an index. When a section is missing it reads the index again.
func (s *sectionState) readSections() {
	ix := s.reader.index
	s.reader.index, s.reader.isReading = document.SectionIndex{}, false
	known := s.reader.knowledge.Document()
	if !s.faults.TakeAny && !document.IsNewer(ix.Header(), known) {
		return
	}
	d, derived := ix.Derive(known)
	if !derived {
		sections := ix.KnownSections(known)
		for _, ref := range ix.Sections {
			if _, held := sections[ref.Number]; held {
				continue
			}
			data, found := s.objects[ref.ObjectName()]
			if !found {
				return
			}
			section, problems := document.ParseSection(ref, data)
			if len(problems) > 0 {
				s.broken = fmt.Sprint("a section has faults: ", problems)
			}
			sections[ref.Number] = section
		}
		d, _ = ix.Assemble(sections)
	}
	if !sameDocument(d, s.documents[ix.Document.Change.ID]) {
		s.broken = fmt.Sprintf("revision %d was read with another content", ix.Document.Revision)
	}
	k := s.reader.knowledge
	if s.faults.TakeAny {
		k = document.NewLocalCopy(0)
	}
	s.take(k.WithDocument(d))
}

func (s *sectionState) take(k document.LocalCopy) {
	s.reader.knowledge = k
	s.reader.highest = max(s.reader.highest, k.Revision())
}

func sameDocument(a, b document.Document) bool {
	first, _ := document.Encode(a)
	second, _ := document.Encode(b)
	return bytes.Equal(first, second)
}
