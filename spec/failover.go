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
	// Attempts is how often each promoter may start to fence.
	Attempts int
	// Writes is the number of writes that callers send.
	Writes int
}

// FailoverFaults takes guards out of the servers and of the acknowledgment, to show that the invariants need them.
type FailoverFaults struct {
	// AppendAfterFence lets a fenced server take entries of an earlier term.
	AppendAfterFence bool
	// PromoteAnyPromise lets a server become primary after it has promised a later term.
	PromoteAnyPromise bool
	// PromiseTwice lets a server promise one term to two candidates.
	PromiseTwice bool
	// AcknowledgeAlone confirms a write that only its primary holds, as a lease would.
	AcknowledgeAlone bool
	// PromoteNearest promotes the fenced server with the shortest log.
	PromoteNearest bool
}

const (
	serverCount = 3
	// afterDelays lies beyond every delay of a promoter, so that the model need not count time.
	afterDelays = time.Hour
)

// modelMessage is on its way. A message may be late for ever, which is how losses are modelled.
type modelMessage struct {
	promoter int
	server   int
	order    group.Action
}

// failoverState is a group of three servers, its promoters and one instance that acknowledges writes.
type failoverState struct {
	bounds    FailoverBounds
	faults    FailoverFaults
	servers   [serverCount]modelServer
	promoters []group.Promotion
	attempts  []int
	messages  []modelMessage
	// written holds, for each term, everything that its primary has ever written: entries of it may arrive late.
	written map[group.Term][]logEntry
	leaders map[group.Term]int
	view    group.View
	acked   map[int]group.Position
	broken  string
}

// NewFailover returns the initial state of the failover model: server 0 is primary of term 1 and nothing is written.
func NewFailover(bounds FailoverBounds, faults FailoverFaults) State {
	s := failoverState{bounds: bounds, faults: faults, attempts: make([]int, bounds.Promoters)}
	first := []logEntry{{term: 1}}
	s.written = map[group.Term][]logEntry{1: first}
	s.leaders = map[group.Term]int{1: 0}
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

// Key identifies the state.
func (s failoverState) Key() string {
	b := make([]byte, 0, 512)
	for _, server := range s.servers {
		b = appendServer(b, server)
	}
	b = fmt.Append(b, s.promoters, s.attempts)
	b = s.appendMessages(b)
	for term := group.Term(1); int(term) <= len(s.written)+len(s.messages)+1; term++ {
		if log, ok := s.written[term]; ok {
			b = append(b, 'w', byte(term), byte(s.leaders[term]))
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
		p := s.acked[write]
		b = append(b, byte(p.Term), byte(p.Offset))
	}
	return string(append(b, s.broken...))
}

// appendMessages writes the messages in an order that does not depend on when they were sent.
func (s failoverState) appendMessages(b []byte) []byte {
	messages := make([]string, len(s.messages))
	for i, m := range s.messages {
		messages[i] = fmt.Sprintf("%d%d%T%v", m.promoter, m.server, m.order, m.order)
	}
	slices.Sort(messages)
	return append(b, strings.Join(messages, "|")...)
}

// Violation describes the broken invariant.
func (s failoverState) Violation() string {
	if s.broken != "" {
		return s.broken
	}
	for term, leader := range s.leaders {
		log := s.written[term]
		for write, p := range s.acked {
			if p.Term < term && !historyOf(log).Contains(p) {
				return fmt.Sprintf("write %d was acknowledged at %s and is not in the log of s%d, primary of term %d",
					write, p, leader, term)
			}
		}
	}
	return ""
}

// Next returns the states after one event.
func (s failoverState) Next() []Step {
	var steps []Step
	steps = append(steps, s.writes()...)
	steps = append(steps, s.appends()...)
	steps = append(steps, s.observations()...)
	steps = append(steps, s.suspicions()...)
	steps = append(steps, s.deliveries()...)
	return steps
}

func (s failoverState) clone() failoverState {
	s.promoters = slices.Clone(s.promoters)
	s.attempts = slices.Clone(s.attempts)
	s.messages = slices.Clone(s.messages)
	s.written = maps.Clone(s.written)
	s.leaders = maps.Clone(s.leaders)
	s.acked = maps.Clone(s.acked)
	if s.acked == nil {
		s.acked = map[int]group.Position{}
	}
	return s
}

// writes lets a primary take the next write, also one that has been replaced and does not know it.
func (s failoverState) writes() []Step {
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
		steps = append(steps, Step{fmt.Sprintf("s%d writes %d in term %d", i, next, server.followed), n})
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

// appends lets a replica take the next entry that the primary of its term has ever sent.
func (s failoverState) appends() []Step {
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

// observations lets the acknowledging instance hear from one server. It acknowledges at once what its view allows. An
// answer that shows no new write is left out: the view only loses holders by it, and so does not acknowledge more.
func (s failoverState) observations() []Step {
	var steps []Step
	for i := range s.servers {
		status := s.status(i)
		if !s.showsWrite(status) {
			continue
		}
		n := s.clone()
		n.view = s.view.WithObservation(group.Observation{Status: status})
		steps = append(steps, Step{fmt.Sprintf("instance hears from s%d%s", i, n.acknowledge()), n})
	}
	return steps
}

// showsWrite reports whether the status holds a write that is not acknowledged, in the term of the write, and the
// instance did not know that the server holds it.
func (s failoverState) showsWrite(status group.Status) bool {
	known, _ := s.view.Observation(status.Server)
	for _, write := range s.pending() {
		holds := status.Followed == write.at.Term && status.History.Contains(write.at)
		knew := known.Status.Followed == write.at.Term && known.Status.History.Contains(write.at)
		if holds && !knew {
			return true
		}
	}
	return false
}

// pendingWrite is a write that is not acknowledged, and its position in the log of the primary that took it.
type pendingWrite struct {
	number int
	at     group.Position
}

func (s failoverState) pending() []pendingWrite {
	var writes []pendingWrite
	for term, log := range s.written {
		for offset, entry := range log {
			if _, done := s.acked[entry.write]; done || entry.write == 0 || entry.term != term {
				continue
			}
			writes = append(writes, pendingWrite{entry.write, group.Position{Term: term, Offset: uint64(offset) + 1}})
		}
	}
	return writes
}

// acknowledge confirms the pending writes that the view allows and names them.
func (s *failoverState) acknowledge() string {
	event := ""
	for _, write := range s.pending() {
		if s.view.Acknowledged(write.at) || s.faults.AcknowledgeAlone {
			s.acked[write.number] = write.at
			event += fmt.Sprintf(", write %d is acknowledged at %s", write.number, write.at)
		}
	}
	return event
}
