package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/rhubarbwick/rhubarbwick/adapter/postgres"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// forwards counts the callers that other instances serve for this one, and the reverse.
type forwards struct {
	out, in prometheus.Gauge
	moves   prometheus.Counter
	lost    *prometheus.CounterVec
}

var _ postgres.ForwardObserver = (*Metrics)(nil)

func newForwards() forwards {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	}
	f := forwards{
		out: gauge("forwarded_callers", "Callers of this instance that another instance serves."),
		in:  gauge("received_callers", "Callers of other instances that this one serves."),
		moves: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "forward_moves_total",
			Help: "Sessions that went on elsewhere after their serving instance was lost or stopped.",
		}),
		lost: counter("forward_lost_total", "Sessions that ended with their serving instance, by what is known of the outcome.",
			"outcome"),
	}
	for _, outcome := range []port.Outcome{port.NotRun, port.Unknown} {
		f.lost.WithLabelValues(string(outcome))
	}
	return f
}

func (f forwards) collectors() []prometheus.Collector {
	return []prometheus.Collector{f.out, f.in, f.moves, f.lost}
}

// AddForwardedClients counts callers of this instance that another one serves.
func (m *Metrics) AddForwardedClients(change int) { m.forwards.out.Add(float64(change)) }

// AddReceivedClients counts callers of other instances that this one serves.
func (m *Metrics) AddReceivedClients(change int) { m.forwards.in.Add(float64(change)) }

// SessionMoved counts a session that went on elsewhere.
func (m *Metrics) SessionMoved() { m.forwards.moves.Inc() }

// SessionLost counts a session that ended with its serving instance.
func (m *Metrics) SessionLost(outcome port.Outcome) {
	m.forwards.lost.WithLabelValues(string(outcome)).Inc()
}
