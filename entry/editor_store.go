package entry

import (
	"bytes"
	"context"
	"fmt"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// maxIndexReads is how often the index is read again because a section that it names was removed meanwhile.
	maxIndexReads = 3
	// maxSectionRewrites is how often an edit writes its sections again because unreferenced sections were removed
	// meanwhile, which happens once an hour.
	maxSectionRewrites = 3
)

// storedDocument is what the store holds of the document. head has no organisations, groups and routes, and index no sections
// in the earlier form.
type storedDocument struct {
	header   document.Document
	index    document.SectionIndex
	document document.Document
	version  port.Version
}

// updateOutcome is what became of an index update that met another version. It is one of changeStored, changeRefused and
// indexCollected.
type updateOutcome interface{ settlement() }

// updateApplied says that the update took effect.
type updateApplied struct{}

// updateRejected says that another change was made first.
type updateRejected struct{ err error }

// sectionsCollected says that only the collection counter has changed. The sections of the edit may have been removed.
type sectionsCollected struct{ current storedDocument }

func (updateApplied) settlement()     {}
func (updateRejected) settlement()    {}
func (sectionsCollected) settlement() {}

// readBase returns what the store holds and the document from which an edit starts.
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

// editBase returns the document in force if the store has lost updates, and the stored one otherwise.
func (e *Editor) editBase(ctx context.Context, current storedDocument) (document.Document, error) {
	inForce := e.cfg.Follower.Document()
	if document.IsNewer(inForce, current.header) {
		e.log(fmt.Sprintf("the store holds revision %d, revision %d is in force", current.header.Revision, inForce.Revision))
		return inForce, nil
	}
	if len(current.index.Sections) == 0 {
		return current.document, nil
	}
	sections := sectionReader{store: e.cfg.Store, timer: e.cfg.Timer}
	return sections.document(ctx, current.index, inForce)
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
	form, faults := document.ParseStored(object.Data)
	if len(faults) > 0 {
		return storedDocument{}, port.Wrapf(EditViolations(faults), port.Internal, "the stored document has faults")
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

// storeEdit puts next, which was made from base, in the place of current. When unreferenced sections are removed meanwhile,
// the sections are written again under another attempt.
func (e *Editor) storeEdit(ctx context.Context, current storedDocument, base, next document.Document) error {
	for range maxSectionRewrites {
		data, err := e.writeSections(ctx, current.index, base, next)
		if err != nil {
			return nothingChanged(err, "the sections of the document were not written")
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
	err := port.Errorf(port.Unavailable, "unreferenced sections were removed %d times", maxSectionRewrites)
	return nothingChanged(err, "the document was not replaced")
}

// writeSections writes the sections of next that the store does not hold yet, and returns the index that refers to them.
func (e *Editor) writeSections(
	ctx context.Context, ix document.SectionIndex, base, next document.Document,
) ([]byte, error) {
	objects, err := e.listSections(ctx, ix)
	if err != nil {
		return nil, err
	}
	exists := func(name string) bool { return objects[name] }
	following, written, faults := ix.WithDocument(base, next, e.cfg.NewID(), exists)
	if len(faults) > 0 {
		return nil, port.Wrapf(EditViolations(faults), port.Invalid, "the edit is not possible")
	}
	data, faults := document.EncodeIndex(following)
	if len(faults) > 0 {
		return nil, port.Wrapf(EditViolations(faults), port.Invalid, "the edit is not possible")
	}
	return data, forEachSection(ctx, written, e.writeSection)
}

// listSections returns the names of the sections in the store. A restored backup may have lost some to which its index
// refers.
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

// writeSection writes one section. After a lost answer it is written again, and an object with the same content counts
// as written.
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
		return port.Errorf(port.Internal, "object %s exists with another content", name)
	}
	return err
}

// replaceIndex writes the index. While the answer is unknown the same update is sent again: an update that is still on
// its way can then no longer take effect after the outcome was told.
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

// resolveOutcome reads the index after an update met another version. An error means that the outcome is not known.
func (e *Editor) resolveOutcome(ctx context.Context, current storedDocument, base, next document.Document) (updateOutcome, error) {
	now, err := e.read(ctx)
	if err != nil {
		return nil, err
	}
	if hasChange(now.header, next.Change) {
		return updateApplied{}, nil
	}
	if now.header.Revision == current.header.Revision && now.header.Change.ID == current.header.Change.ID {
		return sectionsCollected{now}, nil
	}
	if len(now.header.History) > 0 && now.header.History[0].Revision > next.Revision {
		return e.resolveByAudit(ctx, base, next, now.header)
	}
	return updateRejected{conflictError(base.Revision, now.header)}, nil
}

// resolveByAudit looks the change up in the audit records, after so many changes that the document's history no longer
// reaches back to it.
func (e *Editor) resolveByAudit(ctx context.Context, base, next, now document.Document) (updateOutcome, error) {
	record, err := e.ReadAudit(ctx, next.Revision)
	if err != nil {
		return nil, err
	}
	if record.ID == next.Change.ID {
		return updateApplied{}, nil
	}
	return updateRejected{conflictError(base.Revision, now)}, nil
}
