package proxy

import (
	"context"
	"slices"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// maintenanceCheckInterval is how often the progress of a maintenance is checked.
const maintenanceCheckInterval = 500 * time.Millisecond

// MaintenanceStatus is the progress of the maintenance of one data centre as seen by one instance.
type MaintenanceStatus struct {
	DataCentre string
	// Elapsed is the time since this instance learned of the maintenance.
	Elapsed time.Duration
	// IsKnown is false if no server and no instance is in the data centre.
	IsKnown bool
	// Groups are the groups whose primary is still in the data centre, sorted by name.
	Groups []string
	// Running is the number of statements and open transactions of this instance at servers in the data centre.
	Running int
}

// isCleared reports whether the data centre is no longer used.
func (s MaintenanceStatus) isCleared() bool { return len(s.Groups) == 0 && s.Running == 0 }

// MaintenanceMonitorConfig configures a MaintenanceMonitor.
type MaintenanceMonitorConfig struct {
	Timer      port.Timer
	State      *ClusterState
	Views      *PrimaryViews
	Dispatcher *Dispatcher
	// Bound is the time within which a maintenance must have taken effect.
	Bound time.Duration
	// Recorder may be nil.
	Recorder Recorder
}

// MaintenanceMonitor informs the dispatcher of changes to the list of data centres in maintenance, and reports the
// progress.
type MaintenanceMonitor struct {
	cfg MaintenanceMonitorConfig

	// The fields below are owned by loop.
	seen dispatch.Maintenance
	// reported holds the data centres of which the instance reported that they are no longer used, and overdue those of
	// which it reported that they are still used after the bound.
	reported map[string]bool
	overdue  map[string]bool
}

// NewMaintenanceMonitor returns a monitor. Run starts it.
func NewMaintenanceMonitor(cfg MaintenanceMonitorConfig) *MaintenanceMonitor {
	cfg.Recorder = recorderOrNop(cfg.Recorder)
	return &MaintenanceMonitor{cfg: cfg, reported: make(map[string]bool), overdue: make(map[string]bool)}
}

// Run follows the list until ctx ends.
func (m *MaintenanceMonitor) Run(ctx context.Context) { m.loop(ctx) }

func (m *MaintenanceMonitor) loop(ctx context.Context) {
	for ctx.Err() == nil {
		changed := m.cfg.State.Changed()
		m.update(m.cfg.State.Maintenance())
		limit := time.Duration(0)
		if !m.seen.IsEmpty() {
			m.reportProgress()
			limit = maintenanceCheckInterval
		}
		awaitChange(ctx, m.cfg.Timer, changed, limit)
	}
}

// update reports which data centres were added to the list and removed from it.
func (m *MaintenanceMonitor) update(next dispatch.Maintenance) {
	if next.HasSame(m.seen) {
		return
	}
	before, after := m.seen.DataCentres(), next.DataCentres()
	m.seen = next
	m.cfg.Dispatcher.MaintenanceChanged()
	for _, name := range after {
		if !slices.Contains(before, name) {
			m.cfg.Recorder.Record(MaintenanceUpdated{DataCentre: name, Begun: true, IsKnown: m.isKnown(name)})
		}
	}
	for _, name := range before {
		if !slices.Contains(after, name) {
			delete(m.reported, name)
			delete(m.overdue, name)
			m.cfg.Recorder.Record(MaintenanceUpdated{DataCentre: name, IsKnown: m.isKnown(name)})
		}
	}
}

// reportProgress records once when a data centre is no longer used, and once when it is still used after the bound.
func (m *MaintenanceMonitor) reportProgress() {
	for _, s := range m.Status() {
		if !s.isCleared() && s.Elapsed >= m.cfg.Bound && !m.overdue[s.DataCentre] {
			m.overdue[s.DataCentre] = true
			m.cfg.Recorder.Record(MaintenanceProgress{Status: s})
		}
		if s.isCleared() && !m.reported[s.DataCentre] {
			m.reported[s.DataCentre] = true
			m.cfg.Recorder.Record(MaintenanceProgress{Status: s, Cleared: true})
		}
	}
}

// Status returns the progress of each maintenance, sorted by data centre. It is safe for concurrent use.
func (m *MaintenanceMonitor) Status() []MaintenanceStatus {
	set, now := m.cfg.State.Maintenance(), m.cfg.Timer.Now()
	statuses := make([]MaintenanceStatus, 0, len(set.DataCentres()))
	for _, name := range set.DataCentres() {
		statuses = append(statuses, MaintenanceStatus{
			DataCentre: name, Elapsed: now - set.Since(name), IsKnown: m.isKnown(name), Groups: m.groups(name), Running: m.running(name),
		})
	}
	return statuses
}

// isKnown reports whether a server or an instance is in the data centre.
func (m *MaintenanceMonitor) isKnown(dataCentre string) bool {
	servers, _ := m.cfg.State.Servers()
	for _, l := range servers {
		if l.DataCentre == dataCentre {
			return true
		}
	}
	records, _ := m.cfg.State.Records()
	return slices.ContainsFunc(records.Members, func(m Member) bool { return m.DataCentre == dataCentre })
}

// groups returns the groups whose primary is in the data centre.
func (m *MaintenanceMonitor) groups(dataCentre string) []string {
	servers, _ := m.cfg.State.Servers()
	index, _ := m.cfg.State.CurrentDocument()
	var names []string
	for _, g := range index.Document().Groups {
		l, listed := servers[m.cfg.Views.View(g.Name).Record.Primary]
		if listed && l.DataCentre == dataCentre {
			names = append(names, g.Name)
		}
	}
	slices.Sort(names)
	return names
}

// running returns the number of connections of this instance that are in use at servers in the data centre.
func (m *MaintenanceMonitor) running(dataCentre string) int {
	servers, _ := m.cfg.State.Servers()
	n := 0
	for name, l := range servers {
		if l.DataCentre == dataCentre {
			n += m.cfg.Dispatcher.Outstanding(name)
		}
	}
	return n
}
