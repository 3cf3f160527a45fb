package entry

import (
	"context"
	"encoding/json"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// statusWriter is the duty that writes a group's status object. Its ring holds the latest announcement.
type statusWriter struct {
	cfg     PromoterConfig
	updates *ring.Ring[GroupStatus]
	results *ring.Ring[promoterMessage]
}

func (a *statusWriter) loop(ctx context.Context) {
	for {
		status, err := a.updates.Take(ctx)
		if err != nil {
			return
		}
		stored, err := a.write(ctx, status)
		if err != nil {
			continue // The promotion orders the announcement again.
		}
		if a.results.Put(ctx, statusStored{stored}) != nil {
			return
		}
	}
}

// write raises the term of the status object and returns what the object holds then. Whatever the store answered to
// an update, the object is read again, so a lost answer and another promoter's update are settled alike.
func (a *statusWriter) write(ctx context.Context, status GroupStatus) (GroupStatus, error) {
	data, err := json.Marshal(status)
	if err != nil {
		return GroupStatus{}, port.Wrapf(err, port.Internal, "status of group %q cannot be written", status.Group)
	}
	for range statusWriteAttempts {
		var stored GroupStatus
		var version port.Version
		stored, version, err = a.read(ctx, status.Group)
		if err != nil {
			return GroupStatus{}, err
		}
		if stored.Term >= status.Term {
			return stored, nil
		}
		if err = a.put(ctx, status, data, version); err == nil {
			return status, nil
		}
	}
	return GroupStatus{}, err
}

func (a *statusWriter) put(ctx context.Context, status GroupStatus, data []byte, version port.Version) error {
	ctx, cancel := port.WithTimeout(ctx, a.cfg.Timer, StoreTimeout)
	defer cancel()
	_, err := a.cfg.Store.Put(ctx, StatusObject(status.Group), data, version)
	return err
}

// read returns the status object. An object that cannot be read as one counts as term zero and is replaced.
func (a *statusWriter) read(ctx context.Context, groupName string) (GroupStatus, port.Version, error) {
	ctx, cancel := port.WithTimeout(ctx, a.cfg.Timer, StoreTimeout)
	defer cancel()
	object, err := a.cfg.Store.Get(ctx, StatusObject(groupName))
	if err != nil && port.KindOf(err) != port.NotFound {
		return GroupStatus{}, 0, err
	}
	status, _ := ParseGroupStatus(object.Data)
	return status, object.Version, nil
}

// statusReader is the duty that follows a group's status object while the instance watches the group.
type statusReader struct {
	cfg     PromoterConfig
	results *ring.Ring[promoterMessage]
}

func (r *statusReader) loop(ctx context.Context) {
	var seen port.Version
	for {
		object, changed, err := r.watch(ctx, seen)
		if err != nil || !changed {
			// The pause also bounds the calls to a store that answers without waiting.
			if port.Sleep(ctx, r.cfg.Timer, StoreRetryDelay) != nil {
				return
			}
			continue
		}
		seen = object.Version
		status, err := ParseGroupStatus(object.Data)
		if err != nil {
			continue
		}
		if r.results.Put(ctx, statusStored{status}) != nil {
			return
		}
	}
}

func (r *statusReader) watch(ctx context.Context, seen port.Version) (port.Object, bool, error) {
	ctx, cancel := port.WithTimeout(ctx, r.cfg.Timer, StatusWatchWait+StoreTimeout)
	defer cancel()
	return r.cfg.Store.Watch(ctx, StatusObject(r.cfg.Monitor.Group()), seen, StatusWatchWait)
}
