package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// errMaintenance ends the wait of a transaction whose server is in a data centre in maintenance.
var errMaintenance = port.Errorf(port.NotKept, "the transaction was ended because its server's data centre is in maintenance")

// MaintenanceSource provides the data centres in maintenance.
type MaintenanceSource interface {
	Maintenance() dispatch.Maintenance
	// Changed returns a channel that is closed when the set may have changed.
	Changed() <-chan struct{}
}

// maintenanceWatcher decides for a SessionManager which statements may be sent, and ends the waits of transactions that
// are idle at a server in maintenance.
type maintenanceWatcher struct {
	// source is nil if the deployment has no maintenance.
	source   MaintenanceSource
	timer    port.Timer
	recorder Recorder
	idle     idleTransactions
}

func (w *maintenanceWatcher) current() dispatch.Maintenance {
	if w.source == nil {
		return dispatch.Maintenance{}
	}
	return w.source.Maintenance()
}

// add watches a transaction that is idle at the endpoint until the returned function is called.
func (w *maintenanceWatcher) add(e Endpoint, end context.CancelCauseFunc) (remove func()) {
	if w.source == nil {
		return func() {}
	}
	return w.idle.add(func() {
		if _, isOver := dispatch.CheckSend(w.current(), e.DataCentre, true, w.timer.Now()).(dispatch.EndTransaction); isOver {
			end(errMaintenance)
		}
	})
}

func (w *maintenanceWatcher) loop(ctx context.Context) {
	if w.source == nil {
		return
	}
	for ctx.Err() == nil {
		changed := w.source.Changed()
		m := w.current()
		w.idle.checkAll()
		awaitChange(ctx, w.timer, changed, w.untilNextEnd(m))
	}
}

// untilNextEnd returns the time until transactions in one of the data centres have to end, or zero if there is none.
func (w *maintenanceWatcher) untilNextEnd(m dispatch.Maintenance) time.Duration {
	now, next := w.timer.Now(), time.Duration(0)
	for _, name := range m.DataCentres() {
		if left := m.Since(name) + dispatch.TransactionGrace - now; left > 0 && (next == 0 || left < next) {
			next = left
		}
	}
	return next
}

// checkMaintenance decides whether the steps may be sent to the connection's server. A rollback may not: the connection
// is closed instead, which has the same effect.
func (w *maintenanceWatcher) checkMaintenance(conn *acquiredConnection, steps []statement.Step) error {
	e, m := conn.connection.Endpoint, w.current()
	if !m.Has(e.DataCentre) {
		return nil
	}
	if isRollback(steps) {
		return &NotSentError{Err: port.Errorf(port.NotKept, "the data centre of server %s is in maintenance", e.Server)}
	}
	inTransaction := conn.state != statement.Idle
	switch dispatch.CheckSend(m, e.DataCentre, inTransaction, w.timer.Now()).(type) {
	case dispatch.RunElsewhere:
		w.recorder.Record(MaintenanceRefusal{DataCentre: e.DataCentre})
		return &NotSentError{Err: port.Errorf(port.NoPrimary, "the data centre of server %s is in maintenance", e.Server)}
	case dispatch.EndTransaction:
		w.recorder.Record(MaintenanceRefusal{DataCentre: e.DataCentre, InTransaction: true})
		return &NotSentError{Err: port.Errorf(port.NotKept, "the data centre of server %s is in maintenance and the transaction was ended", e.Server)}
	default:
		return nil
	}
}

// excludeInMaintenance prevents the statement from being sent again to a server that refused it because of maintenance,
// which this instance may not know of yet.
func (w *pendingStatement) excludeInMaintenance(err error, conn *acquiredConnection) {
	var notSent *NotSentError
	if errors.As(err, &notSent) && port.KindOf(err) == port.NoPrimary {
		w.excluded = append(w.excluded, conn.connection.Endpoint.Server)
		w.noServerWait = true
	}
}
