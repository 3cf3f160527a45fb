package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rhubarbwick/rhubarbwick/proxy"
)

// maintenanceMetrics counts what happens because of data centres in maintenance.
type maintenanceMetrics struct {
	changes  *prometheus.CounterVec
	refusals *prometheus.CounterVec
}

func newMaintenanceMetrics() maintenanceMetrics {
	return maintenanceMetrics{
		changes: newCounterVec("gateway_maintenance_changes_total",
			"Changes of the maintenance of a data centre: begun, ended, cleared when it is no longer used, overdue when it still is after the bound.", "change"),
		refusals: newCounterVec("gateway_maintenance_refusals_total",
			"Statements that were not sent because their server is in maintenance, by whether they were part of a transaction.", "in"),
	}
}

func (m maintenanceMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.changes, m.refusals}
}

// record counts an event. It reports whether the event is only counted: the answer to a refused statement is recorded
// by its own event.
func (m maintenanceMetrics) record(e proxy.Event) (isOnlyCounted bool) {
	switch e := e.(type) {
	case proxy.MaintenanceUpdated:
		if e.Begun {
			m.changes.WithLabelValues("begun").Inc()
		} else {
			m.changes.WithLabelValues("ended").Inc()
		}
	case proxy.MaintenanceProgress:
		if e.Cleared {
			m.changes.WithLabelValues("cleared").Inc()
		} else {
			m.changes.WithLabelValues("overdue").Inc()
		}
	case proxy.MaintenanceRefusal:
		if e.InTransaction {
			m.refusals.WithLabelValues("transaction").Inc()
		} else {
			m.refusals.WithLabelValues("statement").Inc()
		}
		return true
	}
	return false
}

// RegisterMaintenance adds gauges of the progress. status must be safe for concurrent use.
func (g *Gateway) RegisterMaintenance(status func() []proxy.MaintenanceStatus) {
	sum := func(value func(proxy.MaintenanceStatus) int) func() float64 {
		return func() float64 {
			n := 0
			for _, s := range status() {
				n += value(s)
			}
			return float64(n)
		}
	}
	g.registry.MustRegister(
		newGaugeFunc("gateway_maintenance_data_centres", "Data centres in maintenance.", sum(func(proxy.MaintenanceStatus) int { return 1 })),
		newGaugeFunc("gateway_maintenance_primaries", "Groups whose primary is in a data centre in maintenance.",
			sum(func(s proxy.MaintenanceStatus) int { return len(s.Groups) })),
		newGaugeFunc("gateway_maintenance_running", "Statements and open transactions of this instance at servers in maintenance.",
			sum(func(s proxy.MaintenanceStatus) int { return s.Running })),
	)
}
