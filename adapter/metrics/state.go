package metrics

import (
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/group"
)

// State provides the values that are read when the metrics are collected.
type State struct {
	// Document returns the current document.
	Document func() document.Document
	// DocumentAge returns the time since the document was known to be the newest. It reports false if this is unknown.
	DocumentAge func() (time.Duration, bool)
	// Groups returns the state of the groups of a document.
	Groups func(document.Document) []entry.GroupOverview
}

// RegisterState registers the metrics of the state. It must be called at most once, before Handler serves requests.
func (m *Metrics) RegisterState(s State) {
	m.state = s
	m.registry.MustRegister(&stateCollector{metrics: m, state: s})
}

// stateCollector reads the state each time the metrics are collected. The values of its labels come from the current
// document, so clients cannot add series.
type stateCollector struct {
	metrics *Metrics
	state   State
}

var (
	revisionDesc    = newDesc("document_revision", "The revision of the document in force.")
	documentAgeDesc = newDesc("document_age_seconds", "How long ago the document was known to be the newest.")
	termDesc        = newDesc("group_term", "The highest term seen in a group that this instance uses.", "group")
	primaryAgeDesc  = newDesc("group_primary_age_seconds", "How long ago the group's primary was last asked and answered.", "group")
	primaryDesc     = newDesc("group_has_primary", "1 when this instance sees a primary of the group.", "group")
	serverAgeDesc   = newDesc("server_data_age_seconds", "The proven age of a server's data.", "group", "server")
	connectionsDesc = newDesc("server_connections", "Connections held to a server, the opening and closing ones included.", "group", "server")
	waitersDesc     = newDesc("connection_waiters", "Callers that wait for a connection to a server.", "group", "server")
)

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
}

// Describe implements prometheus.Collector.
func (c *stateCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		revisionDesc, documentAgeDesc, termDesc, primaryAgeDesc, primaryDesc, serverAgeDesc, connectionsDesc, waitersDesc,
	} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *stateCollector) Collect(out chan<- prometheus.Metric) {
	d := c.state.Document()
	out <- newGaugeMetric(revisionDesc, float64(d.Revision))
	if age, known := c.state.DocumentAge(); known {
		out <- newGaugeMetric(documentAgeDesc, age.Seconds())
	}
	for _, o := range c.state.Groups(d) {
		if o.Monitored {
			collectGroup(out, o)
		}
	}
	for name, p := range c.metrics.pruneSeries(d) {
		groupName, server, _ := strings.Cut(name, "/")
		out <- newGaugeMetric(connectionsDesc, float64(p.connections), groupName, server)
		out <- newGaugeMetric(waitersDesc, float64(p.waiting), groupName, server)
	}
}

func collectGroup(out chan<- prometheus.Metric, o entry.GroupOverview) {
	out <- newGaugeMetric(termDesc, float64(o.Term), o.Group)
	hasPrimary := 0.0
	if o.Primary != "" {
		hasPrimary = 1
	}
	out <- newGaugeMetric(primaryDesc, hasPrimary, o.Group)
	for _, s := range o.Servers {
		if s.AgeKnown && s.Role != group.Primary {
			out <- newGaugeMetric(serverAgeDesc, s.Age.Seconds(), o.Group, s.Server.Name)
		}
		if s.Answered && s.Server.Name == o.Primary {
			out <- newGaugeMetric(primaryAgeDesc, s.TimeSinceAnswer.Seconds(), o.Group)
		}
	}
}

func newGaugeMetric(d *prometheus.Desc, value float64, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
}
