package entry

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// Run writes audit records that editors did not write because they failed, until ctx ends. Only the first relay does this.
func (e *Editor) Run(ctx context.Context) { e.loop(ctx) }

func (e *Editor) loop(ctx context.Context) {
	documents := ring.New[document.Document](1)
	if err := e.cfg.Follower.Subscribe(ctx, func(d document.Document) { documents.PutDroppingOldest(d) }); err != nil {
		return
	}
	var loggedRevision document.Revision
	for {
		d, err := documents.Take(ctx)
		if err != nil {
			return
		}
		_ = port.Sleep(ctx, e.cfg.Timer, AuditDelay)
		if !e.cfg.Follower.List().IsFirstRelay(e.cfg.Self) {
			continue
		}
		err = e.CompleteAudit(ctx, d)
		if err == nil {
			continue
		}
		if loggedRevision != d.Revision {
			loggedRevision = d.Revision
			e.log(fmt.Sprintf("cannot write the audit records up to revision %d, will retry: %s", d.Revision, err))
		}
		documents.TryPut(d)
	}
}

// CompleteAudit writes the missing audit records of the document's history, oldest first. A record therefore exists only
// if all earlier ones of the history exist, so the backward search can stop at the first existing record.
func (e *Editor) CompleteAudit(ctx context.Context, d document.Document) error {
	first := len(d.History)
	for first > 0 {
		_, err := e.ReadAudit(ctx, d.History[first-1].Revision)
		if err == nil {
			break
		}
		if port.KindOf(err) != port.NotFound {
			return err
		}
		first--
	}
	for _, change := range d.History[first:] {
		if err := e.writeAudit(ctx, change); err != nil {
			return err
		}
	}
	return nil
}

// ReadAudit returns the audit record of a revision.
func (e *Editor) ReadAudit(ctx context.Context, r document.Revision) (document.Change, error) {
	limited, cancel := port.WithTimeout(ctx, e.cfg.Timer, EditCallTimeout)
	defer cancel()
	object, err := e.cfg.Store.Get(limited, auditName(r))
	if err != nil {
		return document.Change{}, err
	}
	var change document.Change
	if err := json.Unmarshal(object.Data, &change); err != nil {
		return document.Change{}, port.Wrapf(err, port.Internal, "cannot decode the audit record of revision %d", r)
	}
	return change, nil
}

func (e *Editor) writeAudit(ctx context.Context, change document.Change) error {
	data, err := json.Marshal(change)
	if err != nil {
		return port.Wrapf(err, port.Internal, "cannot encode the audit record of revision %d", change.Revision)
	}
	err = e.put(ctx, auditName(change.Revision), data, 0)
	if err != nil && port.KindOf(err) == port.Conflict {
		// Another instance has written the same record from the same history.
		return nil
	}
	return err
}

func auditName(r document.Revision) string { return fmt.Sprintf("%s%d", auditPrefix, r) }
