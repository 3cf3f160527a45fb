package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rhubarbwick/rhubarbwick/adapter/postgres"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// forwardMetrics counts the clients that other instances serve for this one, and the reverse.
type forwardMetrics struct {
	forwarded, received prometheus.Gauge
	moved               prometheus.Counter
	lost                *prometheus.CounterVec
}

var _ postgres.ForwardObserver = (*Metrics)(nil)

func newForwardMetrics() forwardMetrics {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	}
	f := forwardMetrics{
		forwarded: gauge("forwarded_callers", "Callers of this instance that another instance serves."),
		received:  gauge("received_callers", "Callers of other instances that this one serves."),
		moved: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "forward_moves_total",
			Help: "Sessions that went on elsewhere after their serving instance was lost or stopped.",
		}),
		lost: newCounterVec("forward_lost_total", "Sessions that ended with their serving instance, by what is known of the outcome.",
			"outcome"),
	}
	for _, outcome := range []port.Outcome{port.NotRun, port.Unknown} {
		f.lost.WithLabelValues(string(outcome))
	}
	return f
}

func (f forwardMetrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{f.forwarded, f.received, f.moved, f.lost}
}

// AddForwardedClients changes the number of this instance's clients that another instance serves.
func (m *Metrics) AddForwardedClients(change int) { m.forwards.forwarded.Add(float64(change)) }

// AddReceivedClients changes the number of other instances' clients that this one serves.
func (m *Metrics) AddReceivedClients(change int) { m.forwards.received.Add(float64(change)) }

// SessionMoved counts a session that continued on another instance.
func (m *Metrics) SessionMoved() { m.forwards.moved.Inc() }

// SessionLost counts a session that ended because its serving instance was lost.
func (m *Metrics) SessionLost(outcome port.Outcome) {
	m.forwards.lost.WithLabelValues(string(outcome)).Inc()
}
