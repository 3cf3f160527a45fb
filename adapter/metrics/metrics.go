// Package metrics implements the Prometheus metrics of an instance.
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

// Metrics contains the metrics of an entry instance. Use New.
type Metrics struct {
	registry      *prometheus.Registry
	reads         *prometheus.CounterVec
	requests      *prometheus.CounterVec
	refusals      *prometheus.CounterVec
	organisations *prometheus.CounterVec
	storeCalls    *prometheus.CounterVec
	selecting     prometheus.Gauge
	forwards      forwardMetrics
	state         State

	mu                sync.Mutex
	pools             map[string]pool
	seenOrganisations map[string]bool
}

// pool contains the number of connections to one server and of the clients that wait for one.
type pool struct{ connections, waiting int }

var _ postgres.Observer = (*Metrics)(nil)

// New returns metrics with all counters at zero. droppedLogLines returns the number of log lines that were dropped.
func New(droppedLogLines func() uint64) *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		reads: newCounterVec("reads_total", "Read transactions that were placed on a server, by the role of the server.",
			"served_by"),
		requests: newCounterVec("requests_total", "Callers' requests that ended, by what is known of their outcome.", "outcome"),
		refusals: newCounterVec("refusals_total", "Requests and start-ups that were refused, by error kind.", "stage", "kind"),
		organisations: newCounterVec("organisation_requests_total",
			"Requests of an organisation of the document that passed its key and rate, or the error kind that stopped them.",
			"organisation", "result"),
		storeCalls: newCounterVec("store_calls_total", "Calls to the platform's store, by call and by result.", "call", "result"),
		selecting: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "placing_callers", Help: "Callers that wait for a server that may take their request.",
		}),
		forwards:          newForwardMetrics(),
		pools:             make(map[string]pool),
		seenOrganisations: make(map[string]bool),
	}
	m.registry.MustRegister(m.forwards.collectors()...)
	m.registry.MustRegister(m.reads, m.requests, m.refusals, m.organisations, m.storeCalls, m.selecting,
		newGaugeFunc("log_lines_left_out", "Log lines that were not written.", func() float64 { return float64(droppedLogLines()) }),
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.initializeSeries()
	return m
}

// initializeSeries creates the series whose labels are known in advance, so that a rate includes their first event.
func (m *Metrics) initializeSeries() {
	for _, role := range []string{servedByReplica, servedByPrimary} {
		m.reads.WithLabelValues(role)
	}
	for _, outcome := range []port.Outcome{port.Done, port.NotRun, port.Discarded, port.Unknown} {
		m.requests.WithLabelValues(string(outcome))
	}
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// Handler returns the handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	handler := promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 4})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The collectors run concurrently, so outdated series must be removed before they start.
		if m.state.Document != nil {
			m.pruneSeries(m.state.Document())
		}
		handler.ServeHTTP(w, r)
	})
}

// RequestEnded counts a request by its outcome.
func (m *Metrics) RequestEnded(outcome port.Outcome) {
	m.requests.WithLabelValues(string(outcome)).Inc()
}

// RequestRefused counts a rejected request by the kind of its error.
func (m *Metrics) RequestRefused(kind port.Kind) {
	m.refusals.WithLabelValues("request", string(kind)).Inc()
}

// PoolChanged sets the number of a server's connections and of the clients that wait for one.
func (m *Metrics) PoolChanged(server string, connections, waiting int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pools[server] = pool{connections: connections, waiting: waiting}
}

// countOrganisation counts a request of an organisation. The name must come from a document, so that clients cannot add
// series.
func (m *Metrics) countOrganisation(name, result string) {
	m.mu.Lock()
	m.seenOrganisations[name] = true
	m.mu.Unlock()
	m.organisations.WithLabelValues(name, result).Inc()
}

// pruneSeries removes the series of organisations and servers that are no longer in the document. It returns the
// remaining pools.
func (m *Metrics) pruneSeries(d document.Document) map[string]pool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.seenOrganisations {
		if _, found := d.FindOrganisation(name); !found && name != document.OpenOrganisation {
			m.organisations.DeletePartialMatch(prometheus.Labels{"organisation": name})
			delete(m.seenOrganisations, name)
		}
	}
	remaining := make(map[string]pool)
	for _, g := range d.Groups {
		for _, s := range g.Servers {
			if p, found := m.pools[g.Name+"/"+s.Name]; found {
				remaining[g.Name+"/"+s.Name] = p
			}
		}
	}
	m.pools = remaining
	return maps.Clone(remaining)
}
