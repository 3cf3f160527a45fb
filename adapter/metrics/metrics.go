// Package metrics counts what an instance does and serves it on /metrics.
package metrics

import (
	"maps"
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/rhubarbwick/rhubarbwick/adapter/postgres"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const namespace = "rhubarbwick"

// Metrics holds the counters of one instance. Use New.
type Metrics struct {
	registry      *prometheus.Registry
	reads         *prometheus.CounterVec
	requests      *prometheus.CounterVec
	refusals      *prometheus.CounterVec
	organisations *prometheus.CounterVec
	storeCalls    *prometheus.CounterVec
	placing       prometheus.Gauge
	forwards      forwards
	state         State

	mu    sync.Mutex
	pools map[string]pool
	named map[string]bool
}

// pool is what is known of the connections to one server.
type pool struct{ held, waiting int }

var _ postgres.Observer = (*Metrics)(nil)

// New returns metrics that count from zero.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		reads: counter("reads_total", "Read transactions that were placed on a server, by the role of the server.",
			"served_by"),
		requests: counter("requests_total", "Callers' requests that ended, by what is known of their outcome.", "outcome"),
		refusals: counter("refusals_total", "Requests and start-ups that were refused, by error kind.", "stage", "kind"),
		organisations: counter("organisation_requests_total",
			"Requests of an organisation of the document that passed its key and rate, or the error kind that stopped them.",
			"organisation", "result"),
		storeCalls: counter("store_calls_total", "Calls to the platform's store, by call and by result.", "call", "result"),
		placing: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "placing_callers", Help: "Callers that wait for a server that may take their request.",
		}),
		forwards: newForwards(),
		pools:    make(map[string]pool),
		named:    make(map[string]bool),
	}
	m.registry.MustRegister(m.forwards.collectors()...)
	m.registry.MustRegister(m.reads, m.requests, m.refusals, m.organisations, m.storeCalls, m.placing,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.start()
	return m
}

// start gives every series of a closed list its zero, so that a rate can be computed from the first event on.
func (m *Metrics) start() {
	for _, role := range []string{servedByReplica, servedByPrimary} {
		m.reads.WithLabelValues(role)
	}
	for _, outcome := range []port.Outcome{port.Done, port.NotRun, port.Discarded, port.Unknown} {
		m.requests.WithLabelValues(string(outcome))
	}
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	shown := promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 4})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The collectors run at the same time, so what has to go is removed before them.
		if m.state.Document != nil {
			m.prune(m.state.Document())
		}
		shown.ServeHTTP(w, r)
	})
}

// RequestEnded counts a request by its outcome.
func (m *Metrics) RequestEnded(outcome port.Outcome) {
	m.requests.WithLabelValues(string(outcome)).Inc()
}

// RequestRefused counts a request that was refused.
func (m *Metrics) RequestRefused(kind port.Kind) {
	m.refusals.WithLabelValues("request", string(kind)).Inc()
}

// PoolChanged keeps the numbers of a server's connections and of the callers that wait for one.
func (m *Metrics) PoolChanged(server string, held, waiting int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pools[server] = pool{held: held, waiting: waiting}
}

// countOrganisation counts a request of an organisation that was admitted, so that it was in a document.
func (m *Metrics) countOrganisation(name, result string) {
	m.mu.Lock()
	m.named[name] = true
	m.mu.Unlock()
	m.organisations.WithLabelValues(name, result).Inc()
}

// prune removes the series of organisations and servers that the document no longer has, and returns the pools left.
func (m *Metrics) prune(d document.Document) map[string]pool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.named {
		if _, found := d.FindOrganisation(name); !found && name != document.OpenOrganisation {
			m.organisations.DeletePartialMatch(prometheus.Labels{"organisation": name})
			delete(m.named, name)
		}
	}
	left := make(map[string]pool)
	for _, g := range d.Groups {
		for _, s := range g.Servers {
			if p, found := m.pools[g.Name+"/"+s.Name]; found {
				left[g.Name+"/"+s.Name] = p
			}
		}
	}
	m.pools = left
	return maps.Clone(left)
}
