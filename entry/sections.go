package entry

import (
	"context"
	"slices"
	"sync"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// maxSectionCalls is how many sections are read or written at once. One after the other, the 256 sections of a document of
// 4 MB take a second at a start.
const maxSectionCalls = 8

// sectionReader reads the document of an index. It keeps the sections that it has read until the document is complete,
// so that a slow store does not make it begin anew.
type sectionReader struct {
	store port.Store
	timer port.Timer
	read  map[document.SectionRef]document.Section
}

// sectionRead is a section that has to be read. section is nil until it was.
type sectionRead struct {
	ref     document.SectionRef
	section *document.Section
}

// document returns the index's document. It reads the sections whose content the known document does not have. The
// error is of kind NotFound when a section does not exist.
func (r *sectionReader) document(
	ctx context.Context, ix document.SectionIndex, known document.Document,
) (document.Document, error) {
	if d, ok := ix.Derive(known); ok {
		r.read = nil
		return d, nil
	}
	sections := ix.KnownSections(known)
	if err := r.readAll(ctx, ix, sections); err != nil {
		return document.Document{}, err
	}
	for _, ref := range ix.Sections {
		if s, found := r.read[ref]; found {
			sections[ref.Number] = s
		}
	}
	d, faults := ix.Assemble(sections)
	if len(faults) > 0 {
		return document.Document{}, port.Wrapf(EditViolations(faults), port.Internal, "the stored document has faults")
	}
	r.read = nil
	return d, nil
}

// readAll reads the sections of the index that are neither held nor read.
func (r *sectionReader) readAll(ctx context.Context, ix document.SectionIndex, held map[int]document.Section) error {
	cached := make(map[document.SectionRef]document.Section)
	var reads []*sectionRead
	for _, ref := range ix.Sections {
		if _, found := held[ref.Number]; found {
			continue
		}
		if s, found := r.read[ref]; found {
			cached[ref] = s
			continue
		}
		reads = append(reads, &sectionRead{ref: ref})
	}
	r.read = cached
	err := forEachSection(ctx, reads, r.readOne)
	for _, read := range reads {
		if read.section != nil {
			r.read[read.ref] = *read.section
		}
	}
	return err
}

func (r *sectionReader) readOne(ctx context.Context, read *sectionRead) error {
	limited, cancel := port.WithTimeout(ctx, r.timer, DocumentTimeout)
	defer cancel()
	object, err := r.store.Get(limited, read.ref.ObjectName())
	if err != nil {
		return port.Wrapf(err, port.KindOf(err), "section %s was not read", read.ref.ObjectName())
	}
	s, faults := document.ParseSection(read.ref, object.Data)
	if len(faults) > 0 {
		return port.Wrapf(EditViolations(faults), port.Internal, "section %s has faults", read.ref.ObjectName())
	}
	read.section = &s
	return nil
}

// sectionCall is one call for a section.
type sectionCall[T any] struct {
	item T
	call func(context.Context, T) error
	err  error
}

func (c *sectionCall[T]) run(ctx context.Context) { c.err = c.call(ctx, c.item) }

// forEachSection makes a call for each item, sectionCalls at once, and stops after the calls of which one failed.
func forEachSection[T any](ctx context.Context, items []T, call func(context.Context, T) error) error {
	for chunk := range slices.Chunk(items, maxSectionCalls) {
		calls := make([]sectionCall[T], len(chunk))
		var running sync.WaitGroup
		for i, item := range chunk {
			calls[i] = sectionCall[T]{item: item, call: call}
			running.Go(func() { calls[i].run(ctx) })
		}
		running.Wait()
		for _, c := range calls {
			if c.err != nil {
				return c.err
			}
		}
	}
	return nil
}
