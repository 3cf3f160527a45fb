package spec

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
)

// suspicionSteps lets a promoter suspect the primary, whether or not it has failed, and wait until the promoter acts.
func (s failoverState) suspicionSteps() []Step {
	var steps []Step
	for i, p := range s.promoters {
		if s.attempts[i] >= s.bounds.Attempts {
			continue
		}
		// The promoters differ in name only, so the model starts them in order.
		if i > 0 && s.attempts[i] == 0 && s.attempts[i-1] == 0 {
			break
		}
		n := s.clone()
		n.attempts[i]++
		var actions []group.Action
		for observation := 1; observation <= maxObservations && len(actions) == 0; observation++ {
			now := s.promoterTime(i) + time.Duration(observation)*longDelay
			p, actions = p.WithEvent(group.Observed{}, s.primaryLostView(now), now)
		}
		n.promoters[i] = p
		n.send(i, actions)
		steps = append(steps, Step{fmt.Sprintf("p%d suspects the primary and is %s", i, p.Phase()), n})
	}
	return steps
}

// maxObservations is the number of observations after which a promoter acts at the latest: its current attempt ends, it
// suspects the primary, and its delay has passed.
const maxObservations = 3

// promoterTime is the time of a promoter. It depends only on the number of its attempts, so that no states differ by
// time alone.
func (s failoverState) promoterTime(promoter int) time.Duration {
	return time.Duration(s.attempts[promoter]*maxObservations) * longDelay
}

// primaryLostView returns a view in which no server has heard from its primary for the failure time-out.
func (s failoverState) primaryLostView(now time.Duration) group.View {
	v := group.NewView(members()...)
	for i := range s.servers {
		status := s.status(i)
		status.Role = group.Replica
		status.PrimarySilence = group.PrimaryFailureTimeout
		v = v.WithObservation(group.Observation{Status: status, RequestedAt: now, ReceivedAt: now})
	}
	return v
}

func (s *failoverState) send(promoter int, actions []group.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case group.SendFence:
			for i := range s.servers {
				s.messages = append(s.messages, modelMessage{promoter: promoter, server: i, action: a})
			}
		case group.SendPromote:
			if s.faults.PromoteShortestLog {
				a.Server = s.shortestLog(a.Term)
			}
			s.messages = append(s.messages, modelMessage{promoter: promoter, server: serverIndex(a.Server), action: a})
		case group.SendFollow:
			s.messages = append(s.messages, modelMessage{promoter: promoter, server: serverIndex(a.Server), action: a})
		case group.Announce:
		}
	}
}

// shortestLog returns the server with the shortest log of those that promised the term.
func (s *failoverState) shortestLog(term group.Term) string {
	best := -1
	for i, server := range s.servers {
		if server.promised == term && (best < 0 || len(server.log) < len(s.servers[best].log)) {
			best = i
		}
	}
	return serverName(max(best, 0))
}

func serverIndex(name string) int { return int(name[len(name)-1] - '0') }

// deliverySteps lets one message arrive, with its reply received or lost. The reply is received in the same step: until
// the promoter's next message arrives, only a later promise can make the reply outdated, and then the server refuses
// that message.
func (s failoverState) deliverySteps() []Step {
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
		received := n.clone()
		received.receive(m.promoter, reply)
		steps = append(steps, Step{event + ", " + eventName(reply), received})
	}
	return steps
}

func (s *failoverState) receive(promoter int, reply group.Event) {
	now := s.promoterTime(promoter)
	p, actions := s.promoters[promoter].WithEvent(reply, s.primaryLostView(now), now)
	s.promoters[promoter] = p
	s.send(promoter, actions)
}

func (s *failoverState) deliver(m modelMessage) (string, group.Event) {
	switch a := m.action.(type) {
	case group.SendFence:
		event := fmt.Sprintf("s%d is asked to promise term %d to %s", m.server, a.Term, a.Candidate)
		return event, s.fence(m.server, a)
	case group.SendPromote:
		event := fmt.Sprintf("s%d is asked to become primary of term %d for %s", m.server, a.Term, a.Candidate)
		return event, s.promote(m.server, a)
	case group.SendFollow:
		s.follow(m.server, a)
		return fmt.Sprintf("s%d is asked to follow %s in term %d", m.server, a.Primary, a.Term), nil
	}
	return "no message arrives", nil
}

func eventName(e group.Event) string {
	return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", e), "group."))
}
