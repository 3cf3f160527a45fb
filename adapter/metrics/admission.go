package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rhubarbwick/rhubarbwick/proxy"
)

// admissionMetrics contains the metrics of the decisions about waiting statements and connections.
type admissionMetrics struct {
	connections *prometheus.CounterVec
}

func newAdmissionMetrics() admissionMetrics {
	return admissionMetrics{
		connections: newCounterVec("gateway_connection_choices_total",
			"Decisions about connections to servers: opened for a statement, replaced, opened in advance, awaited.", "choice"),
	}
}

func (m admissionMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.connections}
}

func (m admissionMetrics) recordPool(r proxy.PoolReport) {
	for choice, n := range map[string]int{"opened": r.Opened, "replaced": r.Replaced, "prewarmed": r.Prewarmed, "awaited": r.Awaited} {
		m.connections.WithLabelValues(choice).Add(float64(n))
	}
}
