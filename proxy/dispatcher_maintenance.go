package proxy

import "github.com/rhubarbwick/rhubarbwick/port"

// maintenanceChanged makes the dispatcher apply a changed list of data centres in maintenance.
type maintenanceChanged struct{}

func (maintenanceChanged) dispatcherCommand() {}

// MaintenanceChanged makes the dispatcher close the unused connections to servers in maintenance and send the waiting
// statements elsewhere.
func (d *Dispatcher) MaintenanceChanged() { d.send(maintenanceChanged{}) }

// updateMaintenance applies the current list of data centres in maintenance. It is called before each command, so that
// no statement is granted a connection by an older list than the one that the last statement was checked against.
func (d *Dispatcher) updateMaintenance() {
	if d.cfg.Maintenance == nil {
		return
	}
	current := d.cfg.Maintenance()
	if current.HasSame(d.maintenance) {
		return
	}
	d.maintenance = current
	for _, s := range d.servers {
		if d.isInMaintenance(s) {
			s.closeIdle(func(*Connection) bool { return true })
		}
	}
}

func (d *Dispatcher) isInMaintenance(s *serverState) bool {
	return d.maintenance.Has(s.server.Listing.DataCentre)
}

// maintenanceError returns the error for a statement whose possible servers are all in maintenance.
func (w *waiter) maintenanceError() error {
	return port.Errorf(port.NoPrimary, "every server that could run the statement is in a data centre in maintenance")
}
