package proxy

import (
	"slices"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// firstListTimeout is how long an instance that knows the servers waits for the first list of data centres in
// maintenance. Until then it sends no statements, because any server may be out of service. A list that cannot be read
// must not keep the instance from serving for longer than the bound within which a maintenance takes effect.
const firstListTimeout = 5 * time.Second

// MaintenanceList is the list of data centres in maintenance and the version of the store at which it was read.
type MaintenanceList struct {
	DataCentres []string
	Version     port.Version
}

// maintenanceState is the part of ClusterState that holds the list of data centres in maintenance. It is guarded by
// ClusterState.mu.
type maintenanceState struct {
	// isUsed is true if the deployment uses the list. isKnown is true once it has been read.
	isUsed  bool
	isKnown bool
	set     dispatch.Maintenance
	// readVersion is the newest version of the store at which the list was read; changedVersion is that at which it last
	// changed.
	readVersion    port.Version
	changedVersion port.Version
	// readAt is when the list was last requested from the store, by this instance or for its relay.
	readAt time.Duration
	// serversSince is when the servers were first known while the list was not; zero before.
	serversSince time.Duration
}

// UseMaintenance makes the state wait for the list of data centres in maintenance. It must be called before the state is
// used.
func (c *ClusterState) UseMaintenance() { c.maintenance.isUsed = true }

// Maintenance returns the data centres in maintenance.
func (c *ClusterState) Maintenance() dispatch.Maintenance {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitsMaintenance() {
		return dispatch.UnknownMaintenance()
	}
	return c.maintenance.set
}

// awaitsMaintenance reports whether the first list is still waited for. mu must be held.
func (c *ClusterState) awaitsMaintenance() bool {
	s := &c.maintenance
	if !s.isUsed || s.isKnown {
		return false
	}
	now := c.timer.Now()
	if s.serversSince == 0 && c.servers != nil {
		s.serversSince = now
	}
	return s.serversSince == 0 || now-s.serversSince < firstListTimeout
}

// MaintenanceVersion returns the version of the list, which is zero while it is not known, or nil if the deployment does
// not use the list.
func (c *ClusterState) MaintenanceVersion() *port.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.maintenance.isUsed {
		return nil
	}
	version := c.maintenance.readVersion
	return &version
}

// MaintenanceList returns the list and its version, or nil if it is not known.
func (c *ClusterState) MaintenanceList() *MaintenanceList {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.maintenance.isKnown {
		return nil
	}
	return &MaintenanceList{DataCentres: c.maintenance.set.DataCentres(), Version: c.maintenance.readVersion}
}

// hasNewerMaintenance reports whether the list changed after the version, which is nil for an instance that does not use
// the list.
func (c *ClusterState) hasNewerMaintenance(known *port.Version) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return known != nil && c.maintenance.isKnown && c.maintenance.changedVersion > *known
}

// SetMaintenance updates the list of data centres in maintenance as of a store version. An older list is ignored: the
// list never reverts.
func (c *ClusterState) SetMaintenance(l MaintenanceList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setMaintenance(l)
}

// MaintenanceReadAt returns when the list was last requested from the store, by this instance or for its relay.
func (c *ClusterState) MaintenanceReadAt() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maintenance.readAt
}

// ConfirmMaintenance records that the list was requested from the store at the given time.
func (c *ClusterState) ConfirmMaintenance(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maintenance.readAt = max(c.maintenance.readAt, at)
}

// ApplyMaintenanceChanges applies changes up to a store version, unless a newer list is known.
func (c *ClusterState) ApplyMaintenanceChanges(changes []MaintenanceChange, at port.Version) {
	if len(changes) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	names := c.maintenance.set.DataCentres()
	for _, change := range changes {
		switch change := change.(type) {
		case MaintenanceBegun:
			names = append(names, change.DataCentre)
		case MaintenanceEnded:
			names = slices.DeleteFunc(names, func(name string) bool { return name == change.DataCentre })
		}
	}
	c.setMaintenance(MaintenanceList{DataCentres: names, Version: at})
}

// setMaintenance implements SetMaintenance. mu must be held.
func (c *ClusterState) setMaintenance(l MaintenanceList) {
	s := &c.maintenance
	if s.isKnown && l.Version < s.readVersion {
		return
	}
	next := s.set.WithDataCentres(l.DataCentres, c.timer.Now())
	isChange := !s.isKnown || !next.HasSame(s.set)
	s.isKnown, s.readVersion = true, l.Version
	if isChange {
		s.set, s.changedVersion = next, l.Version
		c.notifyChanged()
	}
}
