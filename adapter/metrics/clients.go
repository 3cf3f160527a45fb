package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rhubarbwick/rhubarbwick/clientlimit"
)

// registerClientLimits registers the counters of limits that clients reached, and what they hold. The labels are the names
// of the limits, so that clients cannot add series.
func registerClientLimits(r *prometheus.Registry, guard *clientlimit.Guard) {
	for _, limit := range clientlimit.All() {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "client_limits_reached_total", Help: "Times that a client reached a limit.",
			ConstLabels: prometheus.Labels{"limit": string(limit)},
		}, func() float64 { return float64(guard.Total(limit)) }))
	}
	r.MustRegister(
		newGaugeFunc("client_places", "Clients that have presented a key.", func() float64 { return float64(guard.Clients()) }),
		newGaugeFunc("client_message_bytes", "Memory of clients' messages and answers.",
			func() float64 { return float64(guard.MessageBytes()) }),
		newGaugeFunc("client_state_bytes", "Memory of session values and prepared statements.",
			func() float64 { return float64(guard.StateBytes()) }))
}

// RegisterClients registers the counters of limits that clients reached.
func (m *Metrics) RegisterClients(guard *clientlimit.Guard) { registerClientLimits(m.registry, guard) }
