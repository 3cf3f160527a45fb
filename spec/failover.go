package spec

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
)

// FailoverBounds limits the exploration of the failover model.
type FailoverBounds struct {
	// Promoters is the number of instances that may replace the primary.
	Promoters int
	// Attempts is how often each promoter may start a promotion.
	Attempts int
	// Writes is the number of writes that clients send.
	Writes int
}

// FailoverFaults disables guards of the servers and of acknowledgment, to show that the invariants depend on them.
type FailoverFaults struct {
	// AppendAfterFence lets a fenced server append entries of an earlier term.
	AppendAfterFence bool
	// PromoteIgnoringPromise lets a server become primary after it has promised a later term.
	PromoteIgnoringPromise bool
	// PromiseTwice lets a server promise one term to two candidates.
	PromiseTwice bool
	// AcknowledgeWithoutReplicas acknowledges a write that only its primary has, as with a primary lease.
	AcknowledgeWithoutReplicas bool
	// PromoteShortestLog promotes the fenced server with the shortest log.
	PromoteShortestLog bool
}

const (
	serverCount = 3
	// longDelay is longer than every delay of a promoter, so that the model has no clock.
	longDelay = time.Hour
)

// modelMessage is a message in flight. A lost message is modelled as one that never arrives.
type modelMessage struct {
	promoter int
	server   int
	action   group.Action
}

// failoverState is a group of three servers, its promoters and one instance that acknowledges writes.
type failoverState struct {
	bounds    FailoverBounds
	faults    FailoverFaults
	servers   [serverCount]modelServer
	promoters []group.Promotion
	attempts  []int
	messages  []modelMessage
	// written is, for each term, the whole log of its primary, because entries may arrive late.
	written      map[group.Term][]logEntry
	primaries    map[group.Term]int
	view         group.View
	acknowledged map[int]group.Position
	violation    string
}

// NewFailover returns the initial state of the failover model: server 0 is the primary of term 1, without any writes.
func NewFailover(bounds FailoverBounds, faults FailoverFaults) State {
	s := failoverState{bounds: bounds, faults: faults, attempts: make([]int, bounds.Promoters)}
	first := []logEntry{{term: 1}}
	s.written = map[group.Term][]logEntry{1: first}
	s.primaries = map[group.Term]int{1: 0}
	for i := range s.servers {
		s.servers[i] = modelServer{promised: 1, followed: 1, role: group.Replica, log: first}
	}
	s.servers[0].role = group.Primary
	s.view = group.NewView(members()...)
	for i := range bounds.Promoters {
		s.promoters = append(s.promoters, group.NewPromotion(fmt.Sprintf("p%d", i), 0))
	}
	return s
}

func members() []group.Member {
	list := make([]group.Member, serverCount)
	for i := range list {
		list[i] = group.Member{Name: serverName(i)}
	}
	return list
}

func serverName(i int) string { return fmt.Sprintf("s%d", i) }

func (s failoverState) Key() string {
	b := make([]byte, 0, 512)
	for _, server := range s.servers {
		b = appendServer(b, server)
	}
	b = fmt.Append(b, s.promoters, s.attempts)
	b = s.appendMessages(b)
	for term := group.Term(1); int(term) <= len(s.written)+len(s.messages)+1; term++ {
		if log, ok := s.written[term]; ok {
			b = append(b, 'w', byte(term), byte(s.primaries[term]))
			b = appendLog(b, log)
		}
	}
	for i := range s.servers {
		if o, ok := s.view.Observation(serverName(i)); ok {
			b = append(b, 'o', byte(i), byte(o.Status.Promised), byte(o.Status.Followed), o.Status.Role[0])
			b = append(b, o.Status.Candidate...)
			b = append(b, o.Status.History.String()...)
		}
	}
	for write := 1; write <= s.bounds.Writes; write++ {
		p := s.acknowledged[write]
		b = append(b, byte(p.Term), byte(p.Offset))
	}
	return string(append(b, s.violation...))
}

// appendMessages appends the messages in an order that does not depend on when they were sent.
func (s failoverState) appendMessages(b []byte) []byte {
	messages := make([]string, len(s.messages))
	for i, m := range s.messages {
		messages[i] = fmt.Sprintf("%d%d%T%v", m.promoter, m.server, m.action, m.action)
	}
	slices.Sort(messages)
	return append(b, strings.Join(messages, "|")...)
}

func (s failoverState) Violation() string {
	if s.violation != "" {
		return s.violation
	}
	for term, primary := range s.primaries {
		log := s.written[term]
		for write, p := range s.acknowledged {
			if p.Term < term && !historyOf(log).Contains(p) {
				return fmt.Sprintf("write %d was acknowledged at %s and is not in the log of s%d, primary of term %d",
					write, p, primary, term)
			}
		}
	}
	return ""
}

func (s failoverState) Next() []Step {
	var steps []Step
	steps = append(steps, s.writeSteps()...)
	steps = append(steps, s.appendSteps()...)
	steps = append(steps, s.observationSteps()...)
	steps = append(steps, s.suspicionSteps()...)
	steps = append(steps, s.deliverySteps()...)
	return steps
}

func (s failoverState) clone() failoverState {
	s.promoters = slices.Clone(s.promoters)
	s.attempts = slices.Clone(s.attempts)
	s.messages = slices.Clone(s.messages)
	s.written = maps.Clone(s.written)
	s.primaries = maps.Clone(s.primaries)
	s.acknowledged = maps.Clone(s.acknowledged)
	if s.acknowledged == nil {
		s.acknowledged = map[int]group.Position{}
	}
	return s
}

// writeSteps lets a primary execute the next write, also one that was replaced and does not know it.
func (s failoverState) writeSteps() []Step {
	next := s.writeCount() + 1
	if next > s.bounds.Writes {
		return nil
	}
	var steps []Step
	for i, server := range s.servers {
		if server.role != group.Primary {
			continue
		}
		n := s.clone()
		n.servers[i].log = append(slices.Clone(server.log), logEntry{term: server.followed, write: next})
		n.written[server.followed] = n.servers[i].log
		steps = append(steps, Step{fmt.Sprintf("s%d executes write %d in term %d", i, next, server.followed), n})
	}
	return steps
}

func (s failoverState) writeCount() int {
	n := 0
	for _, log := range s.written {
		for _, entry := range log {
			n = max(n, entry.write)
		}
	}
	return n
}

// appendSteps lets a replica append the next entry of the primary of its term.
func (s failoverState) appendSteps() []Step {
	var steps []Step
	for i, server := range s.servers {
		sent := s.written[server.followed]
		if server.role != group.Replica || len(server.log) >= len(sent) {
			continue
		}
		if server.promised > server.followed && !s.faults.AppendAfterFence {
			continue
		}
		n := s.clone()
		n.servers[i].log = slices.Clone(sent[:len(server.log)+1])
		steps = append(steps, Step{fmt.Sprintf("s%d appends an entry of term %d", i, server.followed), n})
	}
	return steps
}

// observationSteps lets the instance observe the status of one server and acknowledge at once the writes that its view
// allows. A status without a new write is left out: with it the view can't show a write on more servers, so it allows
// no further acknowledgment.
func (s failoverState) observationSteps() []Step {
	var steps []Step
	for i := range s.servers {
		status := s.status(i)
		if !s.showsWrite(status) {
			continue
		}
		n := s.clone()
		n.view = s.view.WithObservation(group.Observation{Status: status})
		steps = append(steps, Step{fmt.Sprintf("instance observes s%d%s", i, n.acknowledge()), n})
	}
	return steps
}

// showsWrite reports whether the status contains an unacknowledged write, in the term of the write, that the instance
// has not yet seen on the server.
func (s failoverState) showsWrite(status group.Status) bool {
	known, _ := s.view.Observation(status.Server)
	for _, write := range s.pendingWrites() {
		contains := status.Followed == write.position.Term && status.History.Contains(write.position)
		contained := known.Status.Followed == write.position.Term && known.Status.History.Contains(write.position)
		if contains && !contained {
			return true
		}
	}
	return false
}

// pendingWrite is an unacknowledged write with its position in the log of the primary that executed it.
type pendingWrite struct {
	number   int
	position group.Position
}

func (s failoverState) pendingWrites() []pendingWrite {
	var writes []pendingWrite
	for term, log := range s.written {
		for offset, entry := range log {
			if _, done := s.acknowledged[entry.write]; done || entry.write == 0 || entry.term != term {
				continue
			}
			writes = append(writes, pendingWrite{entry.write, group.Position{Term: term, Offset: uint64(offset) + 1}})
		}
	}
	return writes
}

// acknowledge acknowledges the pending writes that the view allows, and returns the text for the event.
func (s *failoverState) acknowledge() string {
	event := ""
	for _, write := range s.pendingWrites() {
		if s.view.Acknowledged(write.position) || s.faults.AcknowledgeWithoutReplicas {
			s.acknowledged[write.number] = write.position
			event += fmt.Sprintf(", write %d is acknowledged at %s", write.number, write.position)
		}
	}
	return event
}
