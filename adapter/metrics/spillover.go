package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rhubarbwick/rhubarbwick/proxy"
)

// spillMetrics count the reads that were sent to other data centres. The share is labelled with the server whose pool it
// belongs to: an instance owns few pools.
type spillMetrics struct {
	statements, bytes *prometheus.CounterVec
	changes           *prometheus.CounterVec
	share             *prometheus.GaugeVec
}

func newSpillMetrics() spillMetrics {
	return spillMetrics{
		statements: newCounterVec("gateway_spilled_statements_total", "Reads that were sent to another data centre, by group and by whether they came back.",
			"group", "result"),
		bytes: newCounterVec("gateway_spilled_bytes_total", "Bytes of these reads and their answers.", "group"),
		changes: newCounterVec("gateway_spill_share_changes_total", "Reported changes of the share of reads that leaves, by reason.",
			"group", "reason"),
		share: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "gateway_spill_share", Help: "Share of the reads at a server's pool that leaves the data centre.",
		}, []string{"group", "server"}),
	}
}

func (m spillMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.statements, m.bytes, m.changes, m.share}
}

func (m spillMetrics) countRequest(e proxy.RequestCompleted) {
	if e.Spill.Server == "" {
		return
	}
	result := "served"
	if e.Spill.Returned {
		result = "returned"
	}
	m.statements.WithLabelValues(e.Group, result).Inc()
	m.bytes.WithLabelValues(e.Group).Add(float64(e.Spill.Bytes))
}

func (m spillMetrics) recordShare(e proxy.SpillShareChanged) {
	m.share.WithLabelValues(e.Group, e.Server).Set(e.Share)
	m.changes.WithLabelValues(e.Group, string(e.Reason)).Inc()
}
