package spec

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/rhubarbwick/rhubarbwick/document"
)

// SectionBounds limits the exploration of the model of sections. A crash of an editor, a collector or the reader is
// modelled as one without further steps, so crashes have no bound.
type SectionBounds struct {
	// Changes is the number of changes that editors begin. Every second one does not change the sections.
	Changes int
	// GCRuns is the number of garbage collections, each by a collector of its own.
	GCRuns int
	// Reads is the number of times that the reader reads the index.
	Reads int
	// LostResponses is the number of lost responses to updates of the index.
	LostResponses int
}

// SectionFaults disables guards of the store, the editors, the collectors and the reader, to show that the invariants
// depend on them.
type SectionFaults struct {
	// IgnoreVersion lets the store accept an editor's index that is based on an outdated version.
	IgnoreVersion bool
	// GCIgnoreVersion lets the store accept a collector's index that is based on an outdated version.
	GCIgnoreVersion bool
	// DeleteWithoutCounter lets a collector delete sections without incrementing the counter in the index first.
	DeleteWithoutCounter bool
	// ReuseObjectNames lets an editor write the sections of a further attempt under the same names.
	ReuseObjectNames bool
	// ListAfterReplace lets a collector list the sections after it has replaced the index.
	ListAfterReplace bool
	// InstallAny lets the reader install every document that it reads, also an older one.
	InstallAny bool
}

// editorStep is what an editor does next.
type editorStep int

const (
	editorPlans editorStep = iota
	editorWrites
	editorReplaces
	editorDone
)

// sectionEditor makes one change. version is the version of the index on which the change is based.
type sectionEditor struct {
	next    editorStep
	index   document.SectionIndex
	version int
	attempt int
	base    document.Document
	change  document.Document
	planned document.SectionIndex
	objects []document.SectionObject
	// acknowledged is true once the editor has received the response of the store.
	acknowledged bool
}

// collectorStep is what a collector does next.
type collectorStep int

const (
	collectorLists collectorStep = iota
	collectorReads
	collectorReplaces
	collectorDeletes
)

// sectionCollector is one garbage collection. names are the listed sections, and after the index was replaced those that
// remain to be deleted.
type sectionCollector struct {
	next    collectorStep
	names   []string
	index   document.SectionIndex
	version int
}

// sectionState is the store, the editors, the collectors and the reader.
type sectionState struct {
	bounds        SectionBounds
	faults        SectionFaults
	index         document.SectionIndex
	version       int
	objects       map[string][]byte
	documents     map[string]document.Document
	editors       []sectionEditor
	collectors    []sectionCollector
	reader        sectionReader
	reads         int
	lostResponses int
	violation     string
}

// NewSections returns the initial state of the model of sections: the first document is stored and was not read yet.
func NewSections(bounds SectionBounds, faults SectionFaults) State {
	first := firstDocument()
	s := sectionState{
		bounds: bounds, faults: faults, version: 1, objects: map[string][]byte{},
		documents: map[string]document.Document{first.Change.ID: first},
	}
	none := func(string) bool { return false }
	ix, written, problems := document.SectionIndex{}.WithDocument(document.Document{}, first, "first", none)
	if len(problems) > 0 {
		s.violation = fmt.Sprint("the first document cannot be stored: ", problems)
	}
	s.index = ix
	for _, w := range written {
		s.objects[w.Ref.ObjectName()] = w.Data
	}
	return s
}

func (s sectionState) Key() string {
	b := fmt.Append(nil, s.version, describeIndex(s.index), s.reads, s.lostResponses, s.violation, slices.Sorted(maps.Keys(s.objects)))
	for _, e := range s.editors {
		b = fmt.Append(b, "|", e.next, e.version, e.attempt, e.base.Change.ID, e.change.Change.ID, describeIndex(e.planned), e.acknowledged)
	}
	for _, c := range s.collectors {
		b = fmt.Append(b, "|", c.next, c.names, describeIndex(c.index), c.version)
	}
	r := s.reader
	return string(fmt.Append(b, "|", r.localCopy.Document().Change.ID, r.highestRevision, r.isReading, describeIndex(r.index)))
}

func describeIndex(ix document.SectionIndex) string {
	names := []string{ix.Document.Change.ID, fmt.Sprint(ix.GCCount)}
	for _, ref := range ix.Sections {
		names = append(names, ref.ObjectName())
	}
	return strings.Join(names, ",")
}

func (s sectionState) Violation() string {
	if s.violation != "" {
		return s.violation
	}
	for _, ref := range s.index.Sections {
		if _, found := s.objects[ref.ObjectName()]; !found {
			return fmt.Sprintf("revision %d references section %s, which was deleted", s.index.Document.Revision, ref.ObjectName())
		}
	}
	for _, e := range s.editors {
		if e.acknowledged && !hasChange(s.index.Document, e.change.Change) {
			return fmt.Sprintf("change %s was acknowledged and is not in revision %d", e.change.Change.ID, s.index.Document.Revision)
		}
	}
	if r := s.reader; r.localCopy.Revision() < r.highestRevision {
		return fmt.Sprintf("revision %d was installed after revision %d", r.localCopy.Revision(), r.highestRevision)
	}
	return ""
}

func (s sectionState) Next() []Step {
	steps := s.beginSteps()
	for i := range s.editors {
		steps = append(steps, s.editorSteps(i)...)
	}
	if len(s.collectors) < s.bounds.GCRuns {
		n := s.clone()
		c := sectionCollector{}
		if s.faults.ListAfterReplace {
			c.next = collectorReads
		}
		n.collectors = append(n.collectors, c)
		steps = append(steps, Step{fmt.Sprintf("garbage collection %d begins", len(s.collectors)), n})
	}
	for i := range s.collectors {
		steps = append(steps, s.collectorSteps(i)...)
	}
	return append(steps, s.readerSteps()...)
}

func (s sectionState) clone() sectionState {
	s.objects = maps.Clone(s.objects)
	s.documents = maps.Clone(s.documents)
	s.editors = slices.Clone(s.editors)
	s.collectors = slices.Clone(s.collectors)
	return s
}

// beginSteps lets an editor read the document and edit it.
func (s sectionState) beginSteps() []Step {
	number := len(s.editors)
	if number >= s.bounds.Changes {
		return nil
	}
	var edit document.Edit = document.PutOrganisation{Name: organisationName, Rate: float64(number + 2), Burst: 1}
	if number%2 == 1 {
		edit = document.SetMaxFallbackHolders{MaxFallbackHolders: number + 1}
	}
	n := s.clone()
	e := sectionEditor{index: s.index, version: s.version, base: s.documents[s.index.Document.Change.ID]}
	change, problems := e.base.WithEdit(edit, document.Change{ID: fmt.Sprintf("c%d", number), Author: "operator"})
	if len(problems) > 0 {
		n.violation = fmt.Sprint("the edit is invalid: ", problems)
	}
	e.change = change
	n.documents[change.Change.ID] = change
	n.editors = append(n.editors, e)
	return []Step{{fmt.Sprintf("editor %d reads revision %d", number, e.base.Revision), n}}
}

// editorSteps lets an editor list and plan the sections, write them, or replace the index.
func (s sectionState) editorSteps(i int) []Step {
	n := s.clone()
	e := &n.editors[i]
	switch e.next {
	case editorPlans:
		return []Step{{fmt.Sprintf("editor %d lists the sections", i), n.planSections(i)}}
	case editorWrites:
		for _, w := range e.objects {
			// An existing object of the same name has the same content.
			n.objects[w.Ref.ObjectName()] = w.Data
		}
		e.next = editorReplaces
		return []Step{{fmt.Sprintf("editor %d writes %d sections", i, len(e.objects)), n}}
	case editorReplaces:
		return n.replaceSteps(i)
	default:
		return nil
	}
}

func (s sectionState) planSections(i int) sectionState {
	e := &s.editors[i]
	attempt := fmt.Sprintf("e%d-%d", i, e.attempt)
	if s.faults.ReuseObjectNames {
		attempt = fmt.Sprintf("e%d", i)
	}
	exists := func(name string) bool { _, found := s.objects[name]; return found }
	planned, written, problems := e.index.WithDocument(e.base, e.change, attempt, exists)
	if len(problems) > 0 {
		s.violation = fmt.Sprint("the sections cannot be planned: ", problems)
	}
	e.planned, e.objects, e.next = planned, written, editorWrites
	return s
}

// replaceSteps lets the store accept or reject the index, and lets the response be lost. When the version has changed,
// the editor looks for its change in the new index, like entry.Editor.
func (s sectionState) replaceSteps(i int) []Step {
	e := &s.editors[i]
	isCurrent := s.version == e.version || s.faults.IgnoreVersion && !hasChange(s.index.Document, e.change.Change)
	if isCurrent {
		s.index, s.version = e.planned, s.version+1
		var steps []Step
		if s.lostResponses < s.bounds.LostResponses {
			lost := s.clone()
			lost.lostResponses++
			steps = append(steps, Step{fmt.Sprintf("the store accepts the index of editor %d, its response is lost", i), lost})
		}
		e.acknowledged, e.next = true, editorDone
		return append(steps, Step{fmt.Sprintf("the store accepts the index of editor %d", i), s})
	}
	event := fmt.Sprintf("editor %d conflicts with version %d", i, s.version)
	switch {
	case hasChange(s.index.Document, e.change.Change):
		e.acknowledged, e.next = true, editorDone
	case s.index.Document.Change.ID == e.index.Document.Change.ID:
		e.index, e.version, e.attempt, e.next = s.index, s.version, e.attempt+1, editorPlans
	default:
		e.next = editorDone
	}
	return []Step{{event, s}}
}

// collectorSteps lets a collector list the sections, read the index, replace it, and delete the sections one by one.
func (s sectionState) collectorSteps(i int) []Step {
	n := s.clone()
	c := &n.collectors[i]
	switch c.next {
	case collectorLists:
		c.names, c.next = slices.Sorted(maps.Keys(s.objects)), collectorReads
		if s.faults.ListAfterReplace {
			c.names, c.next = c.index.Unreferenced(c.names), collectorDeletes
		}
		return []Step{{fmt.Sprintf("collector %d lists %d sections", i, len(s.objects)), n}}
	case collectorReads:
		c.index, c.version, c.next = s.index, s.version, collectorReplaces
		if s.faults.DeleteWithoutCounter {
			c.names, c.next = c.index.Unreferenced(c.names), collectorDeletes
		}
		return []Step{{fmt.Sprintf("collector %d reads version %d", i, s.version), n}}
	case collectorReplaces:
		return n.collectorReplaceSteps(i)
	default:
		return n.deleteSteps(i)
	}
}

func (s sectionState) collectorReplaceSteps(i int) []Step {
	c := &s.collectors[i]
	if s.version != c.version && !s.faults.GCIgnoreVersion {
		c.names, c.next = nil, collectorDeletes
		return []Step{{fmt.Sprintf("collector %d conflicts with version %d and stops", i, s.version), s}}
	}
	c.index = c.index.WithGC()
	s.index, s.version = c.index, s.version+1
	if c.next = collectorDeletes; s.faults.ListAfterReplace {
		c.next = collectorLists
	}
	c.names = c.index.Unreferenced(c.names)
	return []Step{{fmt.Sprintf("collector %d increments the counter", i), s}}
}

func (s sectionState) deleteSteps(i int) []Step {
	c := &s.collectors[i]
	if len(c.names) == 0 {
		return nil
	}
	name := c.names[0]
	c.names = c.names[1:]
	delete(s.objects, name)
	return []Step{{fmt.Sprintf("collector %d deletes %s", i, name), s}}
}
