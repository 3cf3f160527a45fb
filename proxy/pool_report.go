package proxy

import "time"

// poolReportInterval is the least time between two reports of one server's pool. It bounds the log to a line in ten
// seconds for each server, while the counters still cover every decision.
const poolReportInterval = 10 * time.Second

// PoolReport counts the decisions about the connections to one server since the last report.
type PoolReport struct {
	Server string
	// Total is the number of connections now, and Limit how many the instance may hold.
	Total, Limit int
	// Opened counts the connections opened for a waiting statement, of which Replaced closed an idle connection of
	// another organisation. Prewarmed counts those opened in advance, and Awaited the statements that waited for a
	// connection in use instead of opening another one.
	Opened, Replaced, Prewarmed, Awaited int
}

func (PoolReport) event() {}

// hasDecisions reports whether anything was decided since the last report.
func (r PoolReport) hasDecisions() bool { return r.Opened+r.Replaced+r.Prewarmed+r.Awaited > 0 }

// reportPools records the decisions about connections.
func (d *Dispatcher) reportPools(now time.Duration) {
	for name, s := range d.servers {
		r := s.use.report
		if !r.hasDecisions() || now-s.use.reportedAt < poolReportInterval {
			continue
		}
		r.Server, r.Total, r.Limit = name, s.total, d.connectionShare(s, now)
		s.use.report, s.use.reportedAt = PoolReport{}, now
		d.cfg.Recorder.Record(r)
	}
}
