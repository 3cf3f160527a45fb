package spec

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/rhubarbwick/rhubarbwick/document"
)

// SectionBounds limits the exploration of the model of sections. An editor, a collector or a reader that takes no further
// step is one that died, so deaths have no bound of their own.
type SectionBounds struct {
	// Changes is the number of changes that are begun. Every second one leaves the entries alone.
	Changes int
	// Collections is the number of collections that are begun, each by a collector of its own.
	Collections int
	// Reads is the number of times that the reader reads the index.
	Reads int
	// Lost is the number of lost answers to updates of the index.
	Lost int
}

// SectionFaults takes guards out of the store, the editors, the collectors and the reader, to show that the invariants
// need them.
type SectionFaults struct {
	// IgnoreVersion lets the store take an editor's index whatever version it was built on.
	IgnoreVersion bool
	// RaiseAny lets the store take a collector's index whatever version it was built on.
	RaiseAny bool
	// NoCounter lets a collector delete without having replaced the index.
	NoCounter bool
	// SameAttempt lets an editor write its sections again under the same names.
	SameAttempt bool
	// ListLate lets a collector list the sections after it has replaced the index.
	ListLate bool
	// TakeAny puts every document in force that the reader reads.
	TakeAny bool
}

// editorStep is what an editor does next.
type editorStep int

const (
	editorPlans editorStep = iota
	editorWrites
	editorReplaces
	editorEnded
)

// sectionEditor is an editor of one change. version is that of the index from which it started.
type sectionEditor struct {
	next    editorStep
	index   document.SectionIndex
	version int
	attempt int
	base    document.Document
	change  document.Document
	planned document.SectionIndex
	written []document.SectionObject
	// accepted is true from the answer of the store on.
	accepted bool
}

// collectorStep is what a collector does next.
type collectorStep int

const (
	collectorLists collectorStep = iota
	collectorReads
	collectorReplaces
	collectorDeletes
)

// sectionCollector is a collection. names are the listed sections, and those still to be deleted from the third step on.
type sectionCollector struct {
	next    collectorStep
	names   []string
	index   document.SectionIndex
	version int
}

// sectionState is the store, the editors, the collectors and the reader.
type sectionState struct {
	bounds     SectionBounds
	faults     SectionFaults
	index      document.SectionIndex
	version    int
	objects    map[string][]byte
	documents  map[string]document.Document
	editors    []sectionEditor
	collectors []sectionCollector
	reader     sectionReader
	reads      int
	lost       int
	broken     string
}

// NewSections returns the initial state of the model of sections: the first document is stored and nobody has read it.
func NewSections(bounds SectionBounds, faults SectionFaults) State {
	first := firstDocument()
	s := sectionState{
		bounds: bounds, faults: faults, version: 1, objects: map[string][]byte{},
		documents: map[string]document.Document{first.Change.ID: first},
	}
	none := func(string) bool { return false }
	ix, written, problems := document.SectionIndex{}.WithDocument(document.Document{}, first, "first", none)
	if len(problems) > 0 {
		s.broken = fmt.Sprint("the first document cannot be stored: ", problems)
	}
	s.index = ix
	for _, w := range written {
		s.objects[w.Ref.ObjectName()] = w.Data
	}
	return s
}

// Key identifies the state.
func (s sectionState) Key() string {
	b := fmt.Append(nil, s.version, describeIndex(s.index), s.reads, s.lost, s.broken, slices.Sorted(maps.Keys(s.objects)))
	for _, e := range s.editors {
		b = fmt.Append(b, "|", e.next, e.version, e.attempt, e.base.Change.ID, e.change.Change.ID, describeIndex(e.planned), e.accepted)
	}
	for _, c := range s.collectors {
		b = fmt.Append(b, "|", c.next, c.names, describeIndex(c.index), c.version)
	}
	r := s.reader
	return string(fmt.Append(b, "|", r.knowledge.Document().Change.ID, r.highest, r.isReading, describeIndex(r.index)))
}

func describeIndex(ix document.SectionIndex) string {
	names := []string{ix.Document.Change.ID, fmt.Sprint(ix.GCCount)}
	for _, ref := range ix.Sections {
		names = append(names, ref.ObjectName())
	}
	return strings.Join(names, ",")
}

// Violation describes the broken invariant.
func (s sectionState) Violation() string {
	if s.broken != "" {
		return s.broken
	}
	for _, ref := range s.index.Sections {
		if _, found := s.objects[ref.ObjectName()]; !found {
			return fmt.Sprintf("revision %d names section %s, which was deleted", s.index.Document.Revision, ref.ObjectName())
		}
	}
	for _, e := range s.editors {
		if e.accepted && !hasChange(s.index.Document, e.change.Change) {
			return fmt.Sprintf("change %s was accepted and is not in revision %d", e.change.Change.ID, s.index.Document.Revision)
		}
	}
	if r := s.reader; r.knowledge.Revision() < r.highest {
		return fmt.Sprintf("revision %d is in force after revision %d", r.knowledge.Revision(), r.highest)
	}
	return ""
}

// Next returns the states after one event.
func (s sectionState) Next() []Step {
	steps := s.begins()
	for i := range s.editors {
		steps = append(steps, s.editorSteps(i)...)
	}
	if len(s.collectors) < s.bounds.Collections {
		n := s.clone()
		c := sectionCollector{}
		if s.faults.ListLate {
			c.next = collectorReads
		}
		n.collectors = append(n.collectors, c)
		steps = append(steps, Step{fmt.Sprintf("collection %d begins", len(s.collectors)), n})
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

// begins lets an editor read the document and make its change.
func (s sectionState) begins() []Step {
	number := len(s.editors)
	if number >= s.bounds.Changes {
		return nil
	}
	var edit document.Edit = document.PutOrganisation{Name: tenant, Rate: float64(number + 2), Burst: 1}
	if number%2 == 1 {
		edit = document.SetMaxFallbackHolders{MaxFallbackHolders: number + 1}
	}
	n := s.clone()
	e := sectionEditor{index: s.index, version: s.version, base: s.documents[s.index.Document.Change.ID]}
	change, problems := e.base.WithEdit(edit, document.Change{ID: fmt.Sprintf("c%d", number), Author: "operator"})
	if len(problems) > 0 {
		n.broken = fmt.Sprint("the edit is not possible: ", problems)
	}
	e.change = change
	n.documents[change.Change.ID] = change
	n.editors = append(n.editors, e)
	return []Step{{fmt.Sprintf("editor %d reads revision %d", number, e.base.Revision), n}}
}

// editorSteps lets an editor list and plan, write its sections, or replace the index with the answer heard or lost.
func (s sectionState) editorSteps(i int) []Step {
	n := s.clone()
	e := &n.editors[i]
	switch e.next {
	case editorPlans:
		return []Step{{fmt.Sprintf("editor %d lists the sections", i), n.plan(i)}}
	case editorWrites:
		for _, w := range e.written {
			// An object that exists already has the same content and counts as written.
			n.objects[w.Ref.ObjectName()] = w.Data
		}
		e.next = editorReplaces
		return []Step{{fmt.Sprintf("editor %d writes %d sections", i, len(e.written)), n}}
	case editorReplaces:
		return n.replaces(i)
	default:
		return nil
	}
}

func (s sectionState) plan(i int) sectionState {
	e := &s.editors[i]
	attempt := fmt.Sprintf("e%d-%d", i, e.attempt)
	if s.faults.SameAttempt {
		attempt = fmt.Sprintf("e%d", i)
	}
	exists := func(name string) bool { _, found := s.objects[name]; return found }
	planned, written, problems := e.index.WithDocument(e.base, e.change, attempt, exists)
	if len(problems) > 0 {
		s.broken = fmt.Sprint("the sections cannot be planned: ", problems)
	}
	e.planned, e.written, e.next = planned, written, editorWrites
	return s
}

// replaces lets the store take the index or refuse it. An editor that meets another version looks for its change, as
// entry.Editor does.
func (s sectionState) replaces(i int) []Step {
	e := &s.editors[i]
	fits := s.version == e.version || s.faults.IgnoreVersion && !hasChange(s.index.Document, e.change.Change)
	if fits {
		s.index, s.version = e.planned, s.version+1
		var steps []Step
		if s.lost < s.bounds.Lost {
			lost := s.clone()
			lost.lost++
			steps = append(steps, Step{fmt.Sprintf("the store takes the index of editor %d, its answer is lost", i), lost})
		}
		e.accepted, e.next = true, editorEnded
		return append(steps, Step{fmt.Sprintf("the store takes the index of editor %d", i), s})
	}
	event := fmt.Sprintf("editor %d meets version %d", i, s.version)
	switch {
	case hasChange(s.index.Document, e.change.Change):
		e.accepted, e.next = true, editorEnded
	case s.index.Document.Change.ID == e.index.Document.Change.ID:
		e.index, e.version, e.attempt, e.next = s.index, s.version, e.attempt+1, editorPlans
	default:
		e.next = editorEnded
	}
	return []Step{{event, s}}
}

// collectorSteps lets a collector list the sections, read the index, replace it and delete one section after the other.
func (s sectionState) collectorSteps(i int) []Step {
	n := s.clone()
	c := &n.collectors[i]
	switch c.next {
	case collectorLists:
		c.names, c.next = slices.Sorted(maps.Keys(s.objects)), collectorReads
		if s.faults.ListLate {
			c.names, c.next = c.index.Unreferenced(c.names), collectorDeletes
		}
		return []Step{{fmt.Sprintf("collector %d lists %d sections", i, len(s.objects)), n}}
	case collectorReads:
		c.index, c.version, c.next = s.index, s.version, collectorReplaces
		if s.faults.NoCounter {
			c.names, c.next = c.index.Unreferenced(c.names), collectorDeletes
		}
		return []Step{{fmt.Sprintf("collector %d reads version %d", i, s.version), n}}
	case collectorReplaces:
		return n.collectorReplaces(i)
	default:
		return n.deletes(i)
	}
}

func (s sectionState) collectorReplaces(i int) []Step {
	c := &s.collectors[i]
	if s.version != c.version && !s.faults.RaiseAny {
		c.names, c.next = nil, collectorDeletes
		return []Step{{fmt.Sprintf("collector %d meets version %d and ends", i, s.version), s}}
	}
	c.index = c.index.WithGC()
	s.index, s.version = c.index, s.version+1
	if c.next = collectorDeletes; s.faults.ListLate {
		c.next = collectorLists
	}
	c.names = c.index.Unreferenced(c.names)
	return []Step{{fmt.Sprintf("collector %d raises the counter", i), s}}
}

func (s sectionState) deletes(i int) []Step {
	c := &s.collectors[i]
	if len(c.names) == 0 {
		return nil
	}
	name := c.names[0]
	c.names = c.names[1:]
	delete(s.objects, name)
	return []Step{{fmt.Sprintf("collector %d deletes %s", i, name), s}}
}
