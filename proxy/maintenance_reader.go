package proxy

import (
	"context"
	"time"

	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// maintenanceReadInterval is how often the list of data centres in maintenance is also read in full. A waiting call
	// misses changes when the store loses its history, and a maintenance must take effect within 5 s.
	maintenanceReadInterval = 1500 * time.Millisecond
	// missingListDelay is how long an instance waits for the list from its relay before it reads it from the store
	// itself. The relay may be of an earlier version, which does not distribute the list.
	missingListDelay = time.Second
)

// reader reads something from the store until ctx ends.
type reader interface{ loop(ctx context.Context) }

// maintenanceReaders returns the readers of the list of data centres in maintenance. There are none if the deployment
// does not use the list.
func (r *StoreReaders) maintenanceReaders() []reader {
	if r.Maintenances == nil {
		return nil
	}
	return []reader{
		&periodicReader{timer: r.Timer, delay: maintenanceReadInterval, interval: maintenanceReadInterval, read: withoutVersion(r.readMaintenance), backoff: backoff{max: maxFullReadBackoff}},
		&watcher{timer: r.Timer, read: r.readMaintenance, await: r.awaitMaintenance},
	}
}

// readMaintenance reads the list and returns the version from which its changes can be awaited.
func (r *StoreReaders) readMaintenance(ctx context.Context) (port.Version, error) {
	requestedAt := r.Timer.Now()
	callCtx, cancel := port.WithTimeout(ctx, r.Timer, readTimeout)
	defer cancel()
	names, version, err := r.Maintenances.ReadAll(callCtx)
	if err == nil {
		r.State.SetMaintenance(MaintenanceList{DataCentres: names, Version: version})
	}
	if isAnswer(err) {
		r.State.ConfirmMaintenance(requestedAt)
		r.State.recordOwnRead(func(t ReadTimes) ReadTimes { return t.WithMaintenance(requestedAt) })
	}
	return version, err
}

// awaitMaintenance waits for changes to the list after version since and applies them.
func (r *StoreReaders) awaitMaintenance(ctx context.Context, since port.Version) (port.Version, error) {
	changes, next, err := r.Maintenances.AwaitChanges(ctx, since, longPollWait)
	if err == nil {
		r.State.ApplyMaintenanceChanges(changes, next)
	}
	return next, err
}

// missingListReader reads the list of data centres in maintenance from the store if the relay does not supply it.
type missingListReader struct {
	readers *StoreReaders
}

func (m *missingListReader) loop(ctx context.Context) {
	timer, state := m.readers.Timer, m.readers.State
	if m.readers.Maintenances == nil {
		return
	}
	for port.Sleep(ctx, timer, missingListDelay) == nil && state.MaintenanceList() == nil {
		if servers, _ := state.Servers(); servers != nil {
			// After a failure, the list is read again after the next delay.
			_, _ = m.readers.readMaintenance(ctx)
		}
	}
}
