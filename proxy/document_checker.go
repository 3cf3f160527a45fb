package proxy

import (
	"context"

	"github.com/rhubarbwick/rhubarbwick/document"
)

// maxReportedFindings limits the findings that are reported for one document, so that a large document with one mistake in
// every entry does not fill the log.
const maxReportedFindings = 20

// DocumentFinding reports that a document in force contains something that is likely to be wrong. The document is used all
// the same.
type DocumentFinding struct {
	Revision document.Revision
	Finding  document.Finding
}

// DocumentChecked reports how many findings a document has that were not reported for the one before it.
type DocumentChecked struct {
	Revision document.Revision
	Errors   int
	Warnings int
}

func (DocumentFinding) event() {}
func (DocumentChecked) event() {}

// DocumentChecker checks each document that comes into force. It refuses none.
type DocumentChecker struct {
	State    *ClusterState
	Recorder Recorder
	// Describe returns a finding in the names of the operator's configuration. It may be nil.
	Describe func(document.Finding) document.Finding

	// The following fields are owned by loop.
	checked document.Revision
	// reported holds the findings of the last document.
	reported map[document.Finding]bool
}

// Run checks documents until ctx ends.
func (c *DocumentChecker) Run(ctx context.Context) { c.loop(ctx) }

func (c *DocumentChecker) loop(ctx context.Context) {
	for {
		changed := c.State.Changed()
		c.check()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// check checks the document in force, unless it was checked before or the servers are not known yet.
func (c *DocumentChecker) check() {
	index, _ := c.State.CurrentDocument()
	d := index.Document()
	servers, _ := c.State.Servers()
	if d.Revision == c.checked || servers == nil {
		return
	}
	c.checked = d.Revision
	findings := d.Check(document.Facts{Instances: c.State.InstanceCount(), Servers: serversByGroup(c.State)})
	summary := DocumentChecked{Revision: d.Revision}
	reported := make(map[document.Finding]bool, len(findings))
	for _, f := range findings {
		reported[f] = true
		if c.reported[f] {
			continue
		}
		if f.Severity == document.SeverityError {
			summary.Errors++
		} else {
			summary.Warnings++
		}
		if summary.Errors+summary.Warnings <= maxReportedFindings {
			c.Recorder.Record(DocumentFinding{Revision: d.Revision, Finding: c.describe(f)})
		}
	}
	c.reported = reported
	c.Recorder.Record(summary)
}

func (c *DocumentChecker) describe(f document.Finding) document.Finding {
	if c.Describe == nil {
		return f
	}
	return c.Describe(f)
}

// serversByGroup returns the listed servers of each group that are not draining.
func serversByGroup(s *ClusterState) map[string]document.GroupServers {
	listings, _ := s.Servers()
	groups := make(map[string]document.GroupServers)
	for _, l := range listings {
		if l.Draining {
			continue
		}
		g := groups[l.Group]
		groups[l.Group] = document.GroupServers{Count: g.Count + 1, Slots: g.Slots + l.Slots}
	}
	return groups
}
