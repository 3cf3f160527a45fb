package metrics

import (
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/group"
)

// State is what the metrics read when they are asked for.
type State struct {
	// Document returns the document in force.
	Document func() document.Document
	// DocumentAge returns how long ago the document was known to be the newest.
	DocumentAge func() (time.Duration, bool)
	// Groups returns what is known of the groups of a document.
	Groups func(document.Document) []entry.GroupOverview
}

// RegisterState adds the metrics of the state. It is called once, before Handler serves.
func (m *Metrics) RegisterState(s State) {
	m.state = s
	m.registry.MustRegister(&stateCollector{metrics: m, state: s})
}

// stateCollector reads the state at each request for metrics. Its labels come from the document in force.
type stateCollector struct {
	metrics *Metrics
	state   State
}

var (
	revisionDesc    = describe("document_revision", "The revision of the document in force.")
	documentAgeDesc = describe("document_age_seconds", "How long ago the document was known to be the newest.")
	termDesc        = describe("group_term", "The highest term seen in a group that this instance uses.", "group")
	primarySeenDesc = describe("group_primary_age_seconds", "How long ago the group's primary was last asked and answered.", "group")
	primaryDesc     = describe("group_has_primary", "1 when this instance sees a primary of the group.", "group")
	serverAgeDesc   = describe("server_data_age_seconds", "The proven age of a server's data.", "group", "server")
	heldDesc        = describe("server_connections", "Connections held to a server, the opening and closing ones included.", "group", "server")
	waitingDesc     = describe("connection_waiters", "Callers that wait for a connection to a server.", "group", "server")
)

func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
}

// Describe sends the descriptions.
func (c *stateCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		revisionDesc, documentAgeDesc, termDesc, primarySeenDesc, primaryDesc, serverAgeDesc, heldDesc, waitingDesc,
	} {
		out <- d
	}
}

// Collect sends the values of the moment.
func (c *stateCollector) Collect(out chan<- prometheus.Metric) {
	d := c.state.Document()
	out <- gauge(revisionDesc, float64(d.Revision))
	if age, known := c.state.DocumentAge(); known {
		out <- gauge(documentAgeDesc, age.Seconds())
	}
	for _, o := range c.state.Groups(d) {
		if o.Monitored {
			collectGroup(out, o)
		}
	}
	for name, p := range c.metrics.prune(d) {
		groupName, server, _ := strings.Cut(name, "/")
		out <- gauge(heldDesc, float64(p.held), groupName, server)
		out <- gauge(waitingDesc, float64(p.waiting), groupName, server)
	}
}

func collectGroup(out chan<- prometheus.Metric, o entry.GroupOverview) {
	out <- gauge(termDesc, float64(o.Term), o.Group)
	hasPrimary := 0.0
	if o.Primary != "" {
		hasPrimary = 1
	}
	out <- gauge(primaryDesc, hasPrimary, o.Group)
	for _, s := range o.Servers {
		if s.AgeKnown && s.Role != group.Primary {
			out <- gauge(serverAgeDesc, s.Age.Seconds(), o.Group, s.Server.Name)
		}
		if s.Answered && s.Server.Name == o.Primary {
			out <- gauge(primarySeenDesc, s.TimeSinceAnswer.Seconds(), o.Group)
		}
	}
}

func gauge(d *prometheus.Desc, value float64, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
}
