package entry

import (
	"context"
	"encoding/json"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// statusWriter writes the status object of a group. Its ring holds the latest update.
type statusWriter struct {
	cfg     PromoterConfig
	updates *ring.Ring[GroupStatus]
	results *ring.Ring[promoterMessage]
}

func (w *statusWriter) loop(ctx context.Context) {
	for {
		status, err := w.updates.Take(ctx)
		if err != nil {
			return
		}
		stored, err := w.write(ctx, status)
		if err != nil {
			continue // The promotion requests the update again.
		}
		if w.results.Put(ctx, statusStored{stored}) != nil {
			return
		}
	}
}

// write raises the term of the status object and returns the resulting status. After a failed update the object is read
// again, which resolves both a lost answer and a concurrent update by another promoter.
func (w *statusWriter) write(ctx context.Context, status GroupStatus) (GroupStatus, error) {
	data, err := json.Marshal(status)
	if err != nil {
		return GroupStatus{}, port.Wrapf(err, port.Internal, "cannot encode the status of group %q", status.Group)
	}
	for range statusWriteAttempts {
		var stored GroupStatus
		var version port.Version
		stored, version, err = w.read(ctx, status.Group)
		if err != nil {
			return GroupStatus{}, err
		}
		if stored.Term >= status.Term {
			return stored, nil
		}
		if err = w.put(ctx, status, data, version); err == nil {
			return status, nil
		}
	}
	return GroupStatus{}, err
}

func (w *statusWriter) put(ctx context.Context, status GroupStatus, data []byte, version port.Version) error {
	ctx, cancel := port.WithTimeout(ctx, w.cfg.Timer, StoreTimeout)
	defer cancel()
	_, err := w.cfg.Store.Put(ctx, StatusObject(status.Group), data, version)
	return err
}

// read returns the status object. An object that cannot be decoded counts as term zero and is replaced.
func (w *statusWriter) read(ctx context.Context, groupName string) (GroupStatus, port.Version, error) {
	ctx, cancel := port.WithTimeout(ctx, w.cfg.Timer, StoreTimeout)
	defer cancel()
	object, err := w.cfg.Store.Get(ctx, StatusObject(groupName))
	if err != nil && port.KindOf(err) != port.NotFound {
		return GroupStatus{}, 0, err
	}
	status, _ := ParseGroupStatus(object.Data)
	return status, object.Version, nil
}

// statusReader watches the status object of a group while the instance is a watcher of the group.
type statusReader struct {
	cfg     PromoterConfig
	results *ring.Ring[promoterMessage]
}

func (r *statusReader) loop(ctx context.Context) {
	var version port.Version
	for {
		object, changed, err := r.watch(ctx, version)
		if err != nil || !changed {
			// The delay also limits the call rate if the store answers without waiting.
			if port.Sleep(ctx, r.cfg.Timer, StoreRetryDelay) != nil {
				return
			}
			continue
		}
		version = object.Version
		status, err := ParseGroupStatus(object.Data)
		if err != nil {
			continue
		}
		if r.results.Put(ctx, statusStored{status}) != nil {
			return
		}
	}
}

func (r *statusReader) watch(ctx context.Context, version port.Version) (port.Object, bool, error) {
	ctx, cancel := port.WithTimeout(ctx, r.cfg.Timer, StatusWatchWait+StoreTimeout)
	defer cancel()
	return r.cfg.Store.Watch(ctx, StatusObject(r.cfg.Monitor.Group()), version, StatusWatchWait)
}
