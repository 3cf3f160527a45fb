package entry

import (
	"context"
	"slices"
	"sync"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// maxSectionCalls limits the concurrent calls for sections. Read sequentially, the 256 sections of a 4 MB document take a
// second at start-up.
const maxSectionCalls = 8

// sectionReader reads the document of an index. It caches the sections that it has read until the document is complete,
// so that an attempt after a time-out continues where the previous one ended.
type sectionReader struct {
	store port.Store
	timer port.Timer
	read  map[document.SectionRef]document.Section
}

// sectionRead is the read of one section. section is nil until the read succeeds.
type sectionRead struct {
	ref     document.SectionRef
	section *document.Section
}

// document returns the document of the index. It reads only the sections whose content is not in the known document. The
// error is of kind NotFound if a section does not exist.
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
	d, violations := ix.Assemble(sections)
	if len(violations) > 0 {
		return document.Document{}, port.Wrapf(EditViolations(violations), port.Internal, "the stored document is invalid")
	}
	r.read = nil
	return d, nil
}

// readAll reads the sections of the index that are neither known nor cached.
func (r *sectionReader) readAll(ctx context.Context, ix document.SectionIndex, known map[int]document.Section) error {
	cached := make(map[document.SectionRef]document.Section)
	var reads []*sectionRead
	for _, ref := range ix.Sections {
		if _, found := known[ref.Number]; found {
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
	s, violations := document.ParseSection(read.ref, object.Data)
	if len(violations) > 0 {
		return port.Wrapf(EditViolations(violations), port.Internal, "section %s is invalid", read.ref.ObjectName())
	}
	read.section = &s
	return nil
}

// sectionCall is a call for one section.
type sectionCall[T any] struct {
	item T
	call func(context.Context, T) error
	err  error
}

func (c *sectionCall[T]) run(ctx context.Context) { c.err = c.call(ctx, c.item) }

// forEachSection makes a call for each item, up to maxSectionCalls concurrently. It returns after the first batch of calls
// with an error.
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
