package spec

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
)

// suspicions lets a promoter believe that the primary is lost, whether or not it is, and wait until it acts.
func (s failoverState) suspicions() []Step {
	var steps []Step
	for i, p := range s.promoters {
		if s.attempts[i] >= s.bounds.Attempts {
			continue
		}
		// The promoters differ in name only, so it is enough that they start in order.
		if i > 0 && s.attempts[i] == 0 && s.attempts[i-1] == 0 {
			break
		}
		n := s.clone()
		n.attempts[i]++
		var orders []group.Action
		for look := 1; look <= looks && len(orders) == 0; look++ {
			now := s.instant(i) + time.Duration(look)*afterDelays
			p, orders = p.WithEvent(group.Observed{}, s.lostView(now), now)
		}
		n.promoters[i] = p
		n.send(i, orders)
		steps = append(steps, Step{fmt.Sprintf("p%d suspects the primary and is %s", i, p.Phase()), n})
	}
	return steps
}

// looks is how often a promoter looks at most before it acts: an attempt under way ends, the primary is suspected, and
// the delay has passed.
const looks = 3

// instant is the promoter's time after its attempts so far. It follows from their number, so that states do not differ
// by time alone.
func (s failoverState) instant(promoter int) time.Duration {
	return time.Duration(s.attempts[promoter]*looks) * afterDelays
}

// lostView is a view in which every server misses its primary at the instant.
func (s failoverState) lostView(now time.Duration) group.View {
	v := group.NewView(members()...)
	for i := range s.servers {
		status := s.status(i)
		status.Role = group.Replica
		status.PrimarySilence = group.PrimaryFailureTimeout
		v = v.WithObservation(group.Observation{Status: status, RequestedAt: now, ReceivedAt: now})
	}
	return v
}

func (s *failoverState) send(promoter int, orders []group.Action) {
	for _, order := range orders {
		switch o := order.(type) {
		case group.SendFence:
			for i := range s.servers {
				s.messages = append(s.messages, modelMessage{promoter: promoter, server: i, order: o})
			}
		case group.SendPromote:
			if s.faults.PromoteNearest {
				o.Server = s.nearest(o.Term)
			}
			s.messages = append(s.messages, modelMessage{promoter: promoter, server: serverIndex(o.Server), order: o})
		case group.SendFollow:
			s.messages = append(s.messages, modelMessage{promoter: promoter, server: serverIndex(o.Server), order: o})
		case group.Announce:
		}
	}
}

// nearest returns the server with the shortest log among those that promised the term.
func (s *failoverState) nearest(term group.Term) string {
	best := -1
	for i, server := range s.servers {
		if server.promised == term && (best < 0 || len(server.log) < len(s.servers[best].log)) {
			best = i
		}
	}
	return serverName(max(best, 0))
}

func serverIndex(name string) int { return int(name[len(name)-1] - '0') }

// deliveries lets one message arrive, with its reply heard or lost. The reply is heard in the same step: until the
// promoter's own next order arrives, what the reply says of the server can change only through a later promise, which
// refuses that order.
func (s failoverState) deliveries() []Step {
	var steps []Step
	for i, m := range s.messages {
		n := s.clone()
		n.messages = slices.Delete(n.messages, i, i+1)
		event, reply := n.deliver(m)
		if reply == nil {
			steps = append(steps, Step{event, n})
			continue
		}
		steps = append(steps, Step{event + ", its reply is lost", n})
		heard := n.clone()
		heard.hear(m.promoter, reply)
		steps = append(steps, Step{event + ", " + eventName(reply), heard})
	}
	return steps
}

func (s *failoverState) hear(promoter int, reply group.Event) {
	now := s.instant(promoter)
	p, orders := s.promoters[promoter].WithEvent(reply, s.lostView(now), now)
	s.promoters[promoter] = p
	s.send(promoter, orders)
}

func (s *failoverState) deliver(m modelMessage) (string, group.Event) {
	switch o := m.order.(type) {
	case group.SendFence:
		event := fmt.Sprintf("s%d is asked to promise term %d to %s", m.server, o.Term, o.Candidate)
		return event, s.fence(m.server, o)
	case group.SendPromote:
		event := fmt.Sprintf("s%d is asked to lead term %d for %s", m.server, o.Term, o.Candidate)
		return event, s.promote(m.server, o)
	case group.SendFollow:
		s.follow(m.server, o)
		return fmt.Sprintf("s%d is asked to follow %s in term %d", m.server, o.Primary, o.Term), nil
	}
	return "nothing arrives", nil
}

func eventName(e group.Event) string {
	return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", e), "group."))
}
