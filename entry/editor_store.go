package entry

import (
	"bytes"
	"context"
	"fmt"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// maxIndexReads is how often the index is read if one of its sections was removed in the meantime.
	maxIndexReads = 3
	// maxSectionRewrites is how often an edit writes its sections if a garbage collection, which runs once an hour,
	// interferes.
	maxSectionRewrites = 3
)

// storedDocument is the state of the document in the store. header has no organisations, groups and routes. index has no
// sections if the document is stored as a single object, the earlier format; only then is document set.
type storedDocument struct {
	header   document.Document
	index    document.SectionIndex
	document document.Document
	version  port.Version
}

// updateOutcome is the outcome of an index update. It is one of updateApplied, updateRejected and sectionsCollected.
type updateOutcome interface{ updateOutcome() }

// updateApplied means that the update took effect.
type updateApplied struct{}

// updateRejected means that another change was made first.
type updateRejected struct{ err error }

// sectionsCollected means that only the garbage collection counter has changed. The sections of the edit may have been
// removed.
type sectionsCollected struct{ current storedDocument }

func (updateApplied) updateOutcome()     {}
func (updateRejected) updateOutcome()    {}
func (sectionsCollected) updateOutcome() {}

// readBase returns the state of the document in the store and the document to which an edit applies.
func (e *Editor) readBase(ctx context.Context) (storedDocument, document.Document, error) {
	var err error
	for range maxIndexReads {
		var current storedDocument
		if current, err = e.read(ctx); err != nil {
			return storedDocument{}, document.Document{}, err
		}
		var base document.Document
		base, err = e.editBase(ctx, current)
		if err == nil || port.KindOf(err) != port.NotFound {
			return current, base, err
		}
	}
	return storedDocument{}, document.Document{}, err
}

// editBase returns the stored document, or the instance's current document if the store has lost updates.
func (e *Editor) editBase(ctx context.Context, current storedDocument) (document.Document, error) {
	local := e.cfg.Follower.Document()
	if document.IsNewer(local, current.header) {
		e.log(fmt.Sprintf("the store has revision %d, which is older than the current revision %d", current.header.Revision, local.Revision))
		return local, nil
	}
	if len(current.index.Sections) == 0 {
		return current.document, nil
	}
	sections := sectionReader{store: e.cfg.Store, timer: e.cfg.Timer}
	return sections.document(ctx, current.index, local)
}

func (e *Editor) read(ctx context.Context) (storedDocument, error) {
	limited, cancel := port.WithTimeout(ctx, e.cfg.Timer, EditCallTimeout)
	defer cancel()
	object, err := e.cfg.Store.Get(limited, DocumentObject)
	if err != nil && port.KindOf(err) == port.NotFound {
		return storedDocument{}, nil
	}
	if err != nil {
		return storedDocument{}, err
	}
	form, violations := document.ParseStored(object.Data)
	if len(violations) > 0 {
		return storedDocument{}, port.Wrapf(EditViolations(violations), port.Internal, "the stored document is invalid")
	}
	s := storedDocument{header: form.Header(), version: object.Version}
	switch form := form.(type) {
	case document.SingleObject:
		s.document = form.Document
	case document.SectionIndex:
		s.index = form
	}
	return s, nil
}

// storeEdit replaces current by next, which is the result of an edit of base. If a garbage collection runs in the
// meantime, the sections are written again under another attempt ID.
func (e *Editor) storeEdit(ctx context.Context, current storedDocument, base, next document.Document) error {
	for range maxSectionRewrites {
		data, err := e.writeSections(ctx, current.index, base, next)
		if err != nil {
			return nothingChanged(err, "cannot write the sections of the document")
		}
		outcome, err := e.replaceIndex(ctx, current, base, next, data)
		if err != nil {
			return err
		}
		switch outcome := outcome.(type) {
		case updateApplied:
			return nil
		case updateRejected:
			return outcome.err
		case sectionsCollected:
			current = outcome.current
		}
	}
	err := port.Errorf(port.Unavailable, "garbage collection interfered with all %d attempts", maxSectionRewrites)
	return nothingChanged(err, "cannot replace the document")
}

// writeSections writes the sections of next that are not in the store yet, and returns the encoded index of next.
func (e *Editor) writeSections(
	ctx context.Context, ix document.SectionIndex, base, next document.Document,
) ([]byte, error) {
	objects, err := e.listSections(ctx, ix)
	if err != nil {
		return nil, err
	}
	exists := func(name string) bool { return objects[name] }
	nextIndex, written, violations := ix.WithDocument(base, next, e.cfg.NewID(), exists)
	if len(violations) > 0 {
		return nil, port.Wrapf(EditViolations(violations), port.Invalid, "the edit is invalid")
	}
	data, violations := document.EncodeIndex(nextIndex)
	if len(violations) > 0 {
		return nil, port.Wrapf(EditViolations(violations), port.Invalid, "the edit is invalid")
	}
	return data, forEachSection(ctx, written, e.writeSection)
}

// listSections returns the names of the sections in the store. In a restored backup, sections of its index may be
// missing.
func (e *Editor) listSections(ctx context.Context, ix document.SectionIndex) (map[string]bool, error) {
	if len(ix.Sections) == 0 {
		return nil, nil
	}
	limited, cancel := port.WithTimeout(ctx, e.cfg.Timer, EditCallTimeout)
	defer cancel()
	listed, err := e.cfg.Store.List(limited, document.SectionPrefix)
	if err != nil {
		return nil, err
	}
	names := make(map[string]bool, len(listed))
	for _, object := range listed {
		names[object.Name] = true
	}
	return names, nil
}

// writeSection writes one section. If the answer is lost, the write is repeated; an existing object with the same content
// counts as success.
func (e *Editor) writeSection(ctx context.Context, s document.SectionObject) error {
	name := s.Ref.ObjectName()
	var err error
	for attempt := range UpdateAttempts {
		if attempt > 0 {
			_ = port.Sleep(ctx, e.cfg.Timer, updateRetryDelay)
		}
		err = e.put(ctx, name, s.Data, 0)
		if err != nil && port.KindOf(err) == port.Conflict {
			err = e.compareSection(ctx, name, s.Data)
		}
		if err == nil || ctx.Err() != nil || port.KindOf(err) == port.TooLarge || port.KindOf(err) == port.Internal {
			return err
		}
	}
	return err
}

func (e *Editor) compareSection(ctx context.Context, name string, want []byte) error {
	limited, cancel := port.WithTimeout(ctx, e.cfg.Timer, EditCallTimeout)
	defer cancel()
	object, err := e.cfg.Store.Get(limited, name)
	if err == nil && !bytes.Equal(object.Data, want) {
		return port.Errorf(port.Internal, "object %s already exists with different content", name)
	}
	return err
}

// replaceIndex writes the index. While the answer is lost, the same conditional update is sent again. Its answer ensures
// that no earlier copy of the update still in transit can take effect after the outcome was reported.
func (e *Editor) replaceIndex(
	ctx context.Context, current storedDocument, base, next document.Document, data []byte,
) (updateOutcome, error) {
	var err error
	for attempt := range UpdateAttempts {
		if attempt > 0 {
			_ = port.Sleep(ctx, e.cfg.Timer, updateRetryDelay)
		}
		err = e.put(ctx, DocumentObject, data, current.version)
		if err == nil {
			return updateApplied{}, nil
		}
		if port.KindOf(err) == port.TooLarge || ctx.Err() != nil {
			return nil, err
		}
		if port.KindOf(err) != port.Conflict {
			continue
		}
		var outcome updateOutcome
		if outcome, err = e.resolveOutcome(ctx, current, base, next); err == nil {
			return outcome, nil
		}
	}
	return nil, port.Wrapf(err, port.Unavailable, "it is not known whether change %s was stored", next.Change.ID)
}

// resolveOutcome reads the index after a version conflict and determines the outcome of the update. An error means that
// the outcome is unknown.
func (e *Editor) resolveOutcome(ctx context.Context, current storedDocument, base, next document.Document) (updateOutcome, error) {
	latest, err := e.read(ctx)
	if err != nil {
		return nil, err
	}
	if hasChange(latest.header, next.Change) {
		return updateApplied{}, nil
	}
	if latest.header.Revision == current.header.Revision && latest.header.Change.ID == current.header.Change.ID {
		return sectionsCollected{latest}, nil
	}
	if len(latest.header.History) > 0 && latest.header.History[0].Revision > next.Revision {
		return e.resolveByAudit(ctx, base, next, latest.header)
	}
	return updateRejected{conflictError(base.Revision, latest.header)}, nil
}

// resolveByAudit determines the outcome from the audit records, for a change that is too old for the document's history.
func (e *Editor) resolveByAudit(ctx context.Context, base, next, latest document.Document) (updateOutcome, error) {
	record, err := e.ReadAudit(ctx, next.Revision)
	if err != nil {
		return nil, err
	}
	if record.ID == next.Change.ID {
		return updateApplied{}, nil
	}
	return updateRejected{conflictError(base.Revision, latest)}, nil
}
