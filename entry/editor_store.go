package entry

import (
	"bytes"
	"context"
	"fmt"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// indexReads is how often the index is read again because a section that it names was removed meanwhile.
	indexReads = 3
	// collectedAttempts is how often an edit writes its sections again because unreferenced sections were removed
	// meanwhile, which happens once an hour.
	collectedAttempts = 3
)

// stored is what the store holds of the document. head has no organisations, groups and routes, and index no sections
// in the earlier form.
type stored struct {
	head    document.Document
	index   document.SectionIndex
	whole   document.Document
	version port.Version
}

// settlement is what became of an index update that met another version. It is one of changeStored, changeRefused and
// indexCollected.
type settlement interface{ settlement() }

// changeStored says that the update took effect.
type changeStored struct{}

// changeRefused says that another change was made first.
type changeRefused struct{ err error }

// indexCollected says that only the collection counter has changed. The sections of the edit may have been removed.
type indexCollected struct{ now stored }

func (changeStored) settlement()   {}
func (changeRefused) settlement()  {}
func (indexCollected) settlement() {}

// readBase returns what the store holds and the document from which an edit starts.
func (e *Editor) readBase(ctx context.Context) (stored, document.Document, error) {
	var err error
	for range indexReads {
		var current stored
		if current, err = e.read(ctx); err != nil {
			return stored{}, document.Document{}, err
		}
		var base document.Document
		base, err = e.base(ctx, current)
		if err == nil || port.KindOf(err) != port.NotFound {
			return current, base, err
		}
	}
	return stored{}, document.Document{}, err
}

// base returns the document in force if the store has lost updates, and the stored one otherwise.
func (e *Editor) base(ctx context.Context, current stored) (document.Document, error) {
	inForce := e.cfg.Follower.Document()
	if document.IsNewer(inForce, current.head) {
		e.log(fmt.Sprintf("the store holds revision %d, revision %d is in force", current.head.Revision, inForce.Revision))
		return inForce, nil
	}
	if len(current.index.Sections) == 0 {
		return current.whole, nil
	}
	sections := sectionReader{store: e.cfg.Store, timer: e.cfg.Timer}
	return sections.document(ctx, current.index, inForce)
}

func (e *Editor) read(ctx context.Context) (stored, error) {
	limited, cancel := port.WithTimeout(ctx, e.cfg.Timer, EditCallTimeout)
	defer cancel()
	object, err := e.cfg.Store.Get(limited, DocumentObject)
	if err != nil && port.KindOf(err) == port.NotFound {
		return stored{}, nil
	}
	if err != nil {
		return stored{}, err
	}
	form, faults := document.ParseStored(object.Data)
	if len(faults) > 0 {
		return stored{}, port.Wrapf(EditViolations(faults), port.Internal, "the stored document has faults")
	}
	s := stored{head: form.Header(), version: object.Version}
	switch form := form.(type) {
	case document.SingleObject:
		s.whole = form.Document
	case document.SectionIndex:
		s.index = form
	}
	return s, nil
}

// store puts next, which was made from base, in the place of current. When unreferenced sections are removed meanwhile,
// the sections are written again under another attempt.
func (e *Editor) store(ctx context.Context, current stored, base, next document.Document) error {
	for range collectedAttempts {
		data, err := e.writeSections(ctx, current.index, base, next)
		if err != nil {
			return nothingChanged(err, "the sections of the document were not written")
		}
		outcome, err := e.replaceIndex(ctx, current, base, next, data)
		if err != nil {
			return err
		}
		switch outcome := outcome.(type) {
		case changeStored:
			return nil
		case changeRefused:
			return outcome.err
		case indexCollected:
			current = outcome.now
		}
	}
	err := port.Errorf(port.Unavailable, "unreferenced sections were removed %d times", collectedAttempts)
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
	return data, eachSection(ctx, written, e.writeSection)
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
	for attempt := range SettleAttempts {
		if attempt > 0 {
			_ = port.Sleep(ctx, e.cfg.Timer, settlePause)
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
	ctx context.Context, current stored, base, next document.Document, data []byte,
) (settlement, error) {
	var err error
	for attempt := range SettleAttempts {
		if attempt > 0 {
			_ = port.Sleep(ctx, e.cfg.Timer, settlePause)
		}
		err = e.put(ctx, DocumentObject, data, current.version)
		if err == nil {
			return changeStored{}, nil
		}
		if port.KindOf(err) == port.TooLarge || ctx.Err() != nil {
			return nil, err
		}
		if port.KindOf(err) != port.Conflict {
			continue
		}
		var outcome settlement
		if outcome, err = e.settle(ctx, current, base, next); err == nil {
			return outcome, nil
		}
	}
	return nil, port.Wrapf(err, port.Unavailable, "it is not known whether change %s was stored", next.Change.ID)
}

// settle reads the index after an update met another version. An error means that the outcome is not known.
func (e *Editor) settle(ctx context.Context, current stored, base, next document.Document) (settlement, error) {
	now, err := e.read(ctx)
	if err != nil {
		return nil, err
	}
	if hasChange(now.head, next.Change) {
		return changeStored{}, nil
	}
	if now.head.Revision == current.head.Revision && now.head.Change.ID == current.head.Change.ID {
		return indexCollected{now}, nil
	}
	if len(now.head.History) > 0 && now.head.History[0].Revision > next.Revision {
		return e.settleByAudit(ctx, base, next, now.head)
	}
	return changeRefused{conflict(base.Revision, now.head)}, nil
}

// settleByAudit looks the change up in the audit records, after so many changes that the document's history no longer
// reaches back to it.
func (e *Editor) settleByAudit(ctx context.Context, base, next, now document.Document) (settlement, error) {
	record, err := e.ReadAudit(ctx, next.Revision)
	if err != nil {
		return nil, err
	}
	if record.ID == next.Change.ID {
		return changeStored{}, nil
	}
	return changeRefused{conflict(base.Revision, now)}, nil
}
