package proxy

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// ServerEjected reports that this instance avoids a server for reads, because it is an outlier of its group.
type ServerEjected struct {
	Group  string
	Server string
	Reason dispatch.OutlierReason
	For    time.Duration
}

func (ServerEjected) event() {}

// isRead reports whether the last of the steps, whose answer is judged, is a read.
func isRead(steps []statement.Step) bool { return steps[len(steps)-1].IsRead() }

// isServerFailure reports whether the failure may be the server's fault. The refusals of a healthy server are not.
func isServerFailure(f statement.Failure) bool {
	switch f.Kind {
	case port.StatementFailed, port.Internal, port.Unavailable, port.Timeout:
		return true
	default:
		return false
	}
}

// lostReadTime returns how long the answer to a read was awaited; zero if the steps are no read.
func lostReadTime(steps []statement.Step, awaited time.Duration) time.Duration {
	if !isRead(steps) {
		return 0
	}
	return max(awaited, 1)
}

// recordLostRead records a read whose answer was lost after the given time, if that is above zero.
func (d *Dispatcher) recordLostRead(s *serverState, readTime, now time.Duration) {
	if readTime > 0 {
		d.recordRead(s, readTime, true, now)
	}
}

// recordRead records the answer to a read, and ejects the server that is an outlier of the group. Nothing is recorded for
// a cold server, which is slow for a known reason.
func (d *Dispatcher) recordRead(s *serverState, took time.Duration, isFailed bool, now time.Duration) {
	if s.server.Listing.Cold || s.warmUp.isLimited {
		return
	}
	s.answers = s.answers.WithAnswer(took, isFailed, now)
	if isFailed || took >= dispatch.MinSlowdown {
		d.ejectOutlier(s.server.Listing.Group, now)
	}
}

// ejectOutlier ejects the outlier of a group, if there is one. A server that is down or draining counts as missing, so
// that none of the two others is ejected.
func (d *Dispatcher) ejectOutlier(groupName string, now time.Duration) {
	members := make(map[string]dispatch.Answers)
	for name, s := range d.servers {
		if s.server.Listing.Group == groupName && !s.delisted && !s.server.Listing.Draining && s.server.IsUp(now) {
			members[name] = s.answers
		}
	}
	if name, found := dispatch.FindDoubtful(members, now); found {
		d.servers[name].answers = d.servers[name].answers.WithComparison(now)
	}
	name, reason, found := dispatch.FindOutlier(members, now)
	if !found {
		return
	}
	s := d.servers[name]
	s.answers = s.answers.WithEjection(now)
	d.cfg.Recorder.Record(ServerEjected{Group: groupName, Server: name, Reason: reason, For: s.answers.EjectedUntil() - now})
}

// avoids reports whether the waiter avoids the server because it is ejected. Only reads that another server may run do
// so; a primary is never ejected for other statements.
func (w *waiter) avoids(s *serverState, now time.Duration) bool {
	_, isReader := w.request.Need.(dispatch.NeedReader)
	return isReader && s.answers.IsEjected(w.random, now)
}

// newRandom returns a waiter's random number, which stays the same while it waits.
func newRandom() uint64 { return rand.Uint64() }
