package proxy

import (
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
)

// queueScope is the part of the queue that a command may have changed something for. It is one of noGroup, oneGroup and
// allGroups.
//
// At an instance that owns the pools of several servers under overload, hundreds of statements wait. If every command made
// all of them be placed again, the instance would spend its processor time on the queue and not on statements, and the
// longer the queue became, the fewer statements it would run.
type queueScope interface{ queueScope() }

// noGroup is the scope of a command that frees nothing.
type noGroup struct{}

// oneGroup is the scope of a command that concerns the servers of one group.
type oneGroup struct{ name string }

// allGroups is the scope of a command that may concern every group, or of a periodic check.
type allGroups struct{}

func (noGroup) queueScope()   {}
func (oneGroup) queueScope()  {}
func (allGroups) queueScope() {}

// scopeOf returns for which waiting statements the command may have changed something. Deadlines are checked by
// waiterTick.
func (d *Dispatcher) scopeOf(c dispatcherCommand) queueScope {
	switch c := c.(type) {
	case acquireCommand:
		return oneGroup{d.groupOf(c.waiter)}
	case cancelCommand:
		return oneGroup{d.groupOf(c.waiter)}
	case returnCommand:
		return d.groupOfServer(c.connection.Endpoint.Server)
	case answerReceived:
		return d.groupOfServer(c.connection.Endpoint.Server)
	case statementRefused:
		return d.groupOfServer(c.server)
	case connectionOpened:
		return d.groupOfServer(c.connection.Endpoint.Server)
	case openFailed:
		return d.groupOfServer(c.endpoint.Server)
	case statementStarted, ownerSuspected, outstandingQuery:
		return noGroup{}
	default:
		return allGroups{}
	}
}

// groupOf returns the group of the servers that the waiter may use.
func (d *Dispatcher) groupOf(w *waiter) string {
	if need, isLent := w.request.Need.(dispatch.NeedServer); isLent {
		if s := d.server(need.Name); s != nil {
			return s.server.Listing.Group
		}
		return ""
	}
	return w.request.Group
}

func (d *Dispatcher) groupOfServer(name string) queueScope {
	if s := d.server(name); s != nil {
		return oneGroup{s.server.Listing.Group}
	}
	return allGroups{}
}

// scopedWaiters returns the waiting statements in the scope by group, in order of arrival.
func (d *Dispatcher) scopedWaiters(scope queueScope) map[string][]*waiter {
	waiters := make(map[string][]*waiter)
	only, isOne := scope.(oneGroup)
	for _, w := range d.waiters {
		if name := d.groupOf(w); !isOne || name == only.name {
			waiters[name] = append(waiters[name], w)
		}
	}
	return waiters
}

// mustWait reports whether a statement that another instance sent here for a server has to wait because the server has as
// much work as it can run. It then need not be placed.
func (d *Dispatcher) mustWait(w *waiter, now time.Duration) (string, bool) {
	need, isLent := w.request.Need.(dispatch.NeedServer)
	if !isLent || d.cfg.SpillOver.IsEnabled() {
		return "", false
	}
	s := d.server(need.Name)
	isUsable := s != nil && d.isAvailable(s, now) && !d.isUnreachable(w, s, now)
	return need.Name, isUsable && !s.warmUp.isLimited && s.isFull(now)
}
