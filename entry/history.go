package entry

import (
	"context"
	"slices"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// MaxChanges limits the changes that one request for the audit trail returns. Each change that is no longer in the
// document's history costs one store call.
const MaxChanges = 200

// Changes returns the latest changes of the current document, newest first. Changes that are no longer in the document's
// history are read from the audit records. After an error, the changes read so far are returned with it.
func (e *Editor) Changes(ctx context.Context, limit int) ([]document.Change, error) {
	limit = min(limit, MaxChanges)
	changes := slices.Clone(e.cfg.Follower.Document().History)
	slices.Reverse(changes)
	if len(changes) >= limit {
		return changes[:limit], nil
	}
	for len(changes) > 0 && len(changes) < limit {
		oldest := changes[len(changes)-1].Revision
		if oldest <= 1 {
			return changes, nil
		}
		change, err := e.ReadAudit(ctx, oldest-1)
		if port.KindOf(err) == port.NotFound && err != nil {
			return changes, nil
		}
		if err != nil {
			return changes, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}
