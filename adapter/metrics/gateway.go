package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/rhubarbwick/rhubarbwick/clientlimit"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/proxy"
)

// GatewayState provides the values of a gateway's gauges.
type GatewayState struct {
	// DocumentRevision is the revision of the current document, and DocumentAge the time since it was known to be the
	// newest.
	DocumentRevision func() uint64
	DocumentAge      func() time.Duration
	InstanceCount    func() int
	// DroppedLogLines is the number of events that the decision log has not written.
	DroppedLogLines func() uint64
	IsOpen          func() bool
	// Clients is the guard whose limits are shown; it may be nil.
	Clients *clientlimit.Guard
}

// Gateway contains the metrics of a gateway process. To limit the number of series, no label is a route or an
// organisation, and only the spill-over share of a pool is labelled with its server.
type Gateway struct {
	registry       *prometheus.Registry
	requests       *prometheus.CounterVec
	latency        *prometheus.HistogramVec
	promotionSteps *prometheus.CounterVec
	primaryChanges prometheus.Counter
	storeCalls     *prometheus.CounterVec
	statements     *prometheus.CounterVec
	ownersExcluded prometheus.Counter
	panics         *prometheus.CounterVec
	admission      admissionMetrics
	spill          spillMetrics
	maintenance    maintenanceMetrics
	findings       *prometheus.CounterVec
	coldChanges    *prometheus.CounterVec
	coldStatements *prometheus.CounterVec
	ejections      *prometheus.CounterVec
	next           proxy.Recorder
}

var _ proxy.Recorder = (*Gateway)(nil)

// NewGateway returns metrics with all counters at zero. Events are passed on to next.
func NewGateway(s GatewayState, next proxy.Recorder) *Gateway {
	g := &Gateway{
		registry: prometheus.NewRegistry(),
		requests: newCounterVec("gateway_requests_total", "Requests that were answered, by the route's freshness and the result.",
			"freshness", "result"),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "gateway_request_seconds", Help: "Time from a request to its answer, by freshness.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 12),
		}, []string{"freshness"}),
		promotionSteps: newCounterVec("gateway_promotion_steps_total", "Steps of replacements that this instance carried out.", "step"),
		primaryChanges: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_primary_changes_total", Help: "Changes of a group's record that were learnt.",
		}),
		storeCalls: newCounterVec("gateway_store_calls_total", "Calls to the platform's store, by kind of object and result.",
			"kind", "result"),
		statements: newCounterVec("gateway_statements_total", "Requests that reached a server, by the pool of their connection.", "pool"),
		ownersExcluded: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "gateway_owners_passed_over_total", Help: "Times that the owner of a pool was passed over.",
		}),
		panics:    newCounterVec("gateway_panics_total", "Panics while one peer was served, by kind of peer.", "peer"),
		admission: newAdmissionMetrics(), spill: newSpillMetrics(), maintenance: newMaintenanceMetrics(), next: next,
		findings: newCounterVec("gateway_document_findings_total", "New findings of the documents that came into force, by severity.",
			"severity"),
		coldChanges: newCounterVec("gateway_cold_servers_total", "Times that a server was limited because it is cold, or may have been restarted.",
			"reason"),
		coldStatements: newCounterVec("gateway_cold_statements_total", "Statements at limited servers that this instance granted or refused.", "result"),
		ejections:      newCounterVec("gateway_servers_ejected_total", "Times that a server was avoided for reads as an outlier of its group, by reason.", "reason"),
	}
	g.registry.MustRegister(g.admission.collectors()...)
	g.registry.MustRegister(append(g.spill.collectors(), g.findings, g.coldChanges, g.coldStatements, g.ejections)...)
	g.registry.MustRegister(g.maintenance.collectors()...)
	g.registry.MustRegister(g.requests, g.latency, g.promotionSteps, g.primaryChanges, g.storeCalls, g.statements, g.ownersExcluded, g.panics, collectors.NewGoCollector(),
		newGaugeFunc("gateway_document_revision", "The revision of the document in force.", func() float64 { return float64(s.DocumentRevision()) }),
		newGaugeFunc("gateway_document_age_seconds", "How long ago the document was known to be the newest.",
			func() float64 { return s.DocumentAge().Seconds() }),
		newGaugeFunc("gateway_instances", "Registered instances.", func() float64 { return float64(s.InstanceCount()) }),
		newGaugeFunc("gateway_log_lines_left_out", "Log lines that were not written.",
			func() float64 { return float64(s.DroppedLogLines()) }),
		newGaugeFunc("gateway_open", "1 while the instance takes callers.", func() float64 {
			if s.IsOpen() {
				return 1
			}
			return 0
		}))
	if s.Clients != nil {
		registerClientLimits(g.registry, s.Clients)
	}
	return g
}

func newGaugeFunc(name, help string, value func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value)
}

// Handler returns the handler that serves the metrics.
func (g *Gateway) Handler() http.Handler {
	return promhttp.HandlerFor(g.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 4})
}

// Record counts an event and passes it on.
func (g *Gateway) Record(e proxy.Event) {
	if g.maintenance.record(e) {
		return
	}
	switch e := e.(type) {
	case proxy.RequestCompleted:
		result := string(e.Kind)
		if result == "" {
			result = "success"
		}
		g.requests.WithLabelValues(string(e.Freshness), result).Inc()
		g.latency.WithLabelValues(string(e.Freshness)).Observe(e.Duration.Seconds())
		if e.Server != "" {
			pool := "own"
			if e.PoolOwner != "" {
				pool = "borrowed"
			}
			g.statements.WithLabelValues(pool).Inc()
		}
		g.spill.countRequest(e)
	case proxy.DocumentChecked:
		g.findings.WithLabelValues(string(document.SeverityError)).Add(float64(e.Errors))
		g.findings.WithLabelValues(string(document.SeverityWarning)).Add(float64(e.Warnings))
	case proxy.SpillShareChanged:
		g.spill.recordShare(e)
	case proxy.PoolOwnerExcluded:
		g.ownersExcluded.Inc()
	case proxy.PeerPanicked:
		g.panics.WithLabelValues(e.Peer).Inc()
	case proxy.WarmUpChanged:
		g.countWarmUp(e)
	case proxy.WarmUpProgress:
		g.coldStatements.WithLabelValues("granted").Add(float64(e.Granted))
		g.coldStatements.WithLabelValues("refused").Add(float64(e.Refused))
	case proxy.ServerEjected:
		g.ejections.WithLabelValues(string(e.Reason)).Inc()
	case proxy.PromotionStep:
		g.promotionSteps.WithLabelValues(e.Step).Inc()
	case proxy.PrimaryChanged:
		g.primaryChanges.Inc()
	case proxy.PoolReport:
		g.admission.recordPool(e)
	}
	g.next.Record(e)
}

// countWarmUp counts the start of a limit by its reason.
func (g *Gateway) countWarmUp(e proxy.WarmUpChanged) {
	switch {
	case !e.Limited:
	case e.Listed:
		g.coldChanges.WithLabelValues("listed").Inc()
	default:
		g.coldChanges.WithLabelValues("restart suspected").Inc()
	}
}

// RecordStoreCall counts a call to the store by its result.
func (g *Gateway) RecordStoreCall(kind string, err error) {
	result := "success"
	if err != nil {
		result = string(port.KindOf(err))
	}
	g.storeCalls.WithLabelValues(kind, result).Inc()
}
