package spec

import (
	"fmt"
	"slices"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/session"
)

// RoamingBounds limits the exploration of the roaming model.
type RoamingBounds struct {
	// Writes is the number of writes of the session.
	Writes int
	// Promotions is the number of times that the primary is replaced, without its knowledge.
	Promotions int
	// Reads is the number of reads that begin.
	Reads int
	// Token is true when the session carries its token to the instance at which it reads.
	Token bool
	// AcceptedAge makes the route of the reads accept old data.
	AcceptedAge bool
}

// RoamingFaults takes guards out of the sessions and of the acknowledgment, to show that the invariant needs them.
type RoamingFaults struct {
	// NoFloor leaves acknowledged writes out of the token.
	NoFloor bool
	// ZeroFloor takes a session without a token for one that has written nothing.
	ZeroFloor bool
	// NewestFromBefore takes the newest position from answers to questions that were asked before the read began.
	NewestFromBefore bool
	// AcknowledgeAlone confirms a write that only its primary holds.
	AcknowledgeAlone bool
}

const roamingGroup = "g"

// roamingState is a group of three servers, the instance that acknowledges the session's writes, and the one at which
// the session reads.
type roamingState struct {
	bounds  RoamingBounds
	faults  RoamingFaults
	servers [serverCount]modelServer
	written map[group.Term][]logEntry
	// asked counts the observations; it is the clock of the model. A second lasts long enough for no answer to get
	// too old.
	asked      int
	writerView group.View
	readerView group.View
	writer     session.Session
	acked      map[int]group.Position
	promotions int
	reads      int
	// reading is true from the beginning of a read until it is served; mustSee is the number of writes acknowledged
	// before, and began the instant.
	reading bool
	mustSee []group.Position
	began   int
	floor   session.Session
	broken  string
}

// NewRoaming returns the initial state of the roaming model: server 0 is primary of term 1 and nothing is written.
func NewRoaming(bounds RoamingBounds, faults RoamingFaults) State {
	first := []logEntry{{term: 1}}
	s := roamingState{bounds: bounds, faults: faults, written: map[group.Term][]logEntry{1: first}}
	for i := range s.servers {
		s.servers[i] = modelServer{promised: 1, followed: 1, role: group.Replica, log: first}
	}
	s.servers[0].role = group.Primary
	s.writerView, s.readerView = group.NewView(members()...), group.NewView(members()...)
	s.writer = session.Fresh("o")
	return s
}

// instant is the time of an observation.
func instant(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Key identifies the state. Instants count only as far as they lie before or after the beginning of the read.
func (s roamingState) Key() string {
	b := make([]byte, 0, 256)
	for _, server := range s.servers {
		b = appendServer(b, server)
	}
	b = fmt.Append(b, s.written, s.acked, s.promotions, s.reads, s.reading, s.mustSee, s.floor, s.writer, s.broken)
	for i := range s.servers {
		for _, v := range []group.View{s.writerView, s.readerView} {
			o, ok := v.Observation(serverName(i))
			b = fmt.Append(b, ok, o.Status, o.RequestedAt >= instant(s.began))
		}
	}
	return string(b)
}

// Violation describes the broken invariant.
func (s roamingState) Violation() string { return s.broken }

// Next returns the states after one event.
func (s roamingState) Next() []Step {
	steps := s.writes()
	steps = append(steps, s.appends()...)
	steps = append(steps, s.promotes()...)
	steps = append(steps, s.observations()...)
	return append(steps, s.readSteps()...)
}

func (s roamingState) clone() roamingState {
	written, acked := s.written, s.acked
	s.written, s.acked = make(map[group.Term][]logEntry, len(written)), make(map[int]group.Position, len(acked))
	for term, log := range written {
		s.written[term] = log
	}
	for write, p := range acked {
		s.acked[write] = p
	}
	return s
}

// writes lets a primary take the session's next write, also one that was replaced and does not know it.
func (s roamingState) writes() []Step {
	next := 1
	for _, log := range s.written {
		for _, entry := range log {
			next = max(next, entry.write+1)
		}
	}
	var steps []Step
	for i, server := range s.servers {
		if next > s.bounds.Writes || server.role != group.Primary {
			continue
		}
		n := s.clone()
		n.servers[i].log = append(slices.Clone(server.log), logEntry{term: server.followed, write: next})
		n.written[server.followed] = n.servers[i].log
		steps = append(steps, Step{fmt.Sprintf("s%d takes write %d in term %d", i, next, server.followed), n})
	}
	return steps
}

// appends lets a replica take the next entry of the primary that it follows.
func (s roamingState) appends() []Step {
	var steps []Step
	for i, server := range s.servers {
		sent := s.written[server.followed]
		if server.role != group.Replica || len(server.log) >= len(sent) {
			continue
		}
		n := s.clone()
		n.servers[i].log = slices.Clone(sent[:len(server.log)+1])
		steps = append(steps, Step{fmt.Sprintf("s%d appends an entry of term %d", i, server.followed), n})
	}
	return steps
}

// promotes replaces the primary of the highest term by one of the two others, of which the one with the furthest log
// leads and the other one follows. The failover model explores the orders of messages that lead there. The replaced
// primary does not hear of it and goes on.
func (s roamingState) promotes() []Step {
	old := -1
	for i, server := range s.servers {
		if server.role == group.Primary && (old < 0 || server.followed > s.servers[old].followed) {
			old = i
		}
	}
	a, b := (old+1)%serverCount, (old+2)%serverCount
	if s.promotions >= s.bounds.Promotions {
		return nil
	}
	if s.status(b).Last().Compare(s.status(a).Last()) > 0 {
		a, b = b, a
	}
	n := s.clone()
	n.promotions++
	term := s.servers[old].followed + 1
	n.servers[a].log = append(slices.Clone(s.servers[a].log), logEntry{term: term})
	n.written[term] = n.servers[a].log
	common := 0
	for common < len(s.servers[b].log) && n.servers[a].log[common] == s.servers[b].log[common] {
		common++
	}
	n.servers[b].log = slices.Clone(s.servers[b].log[:common])
	for _, i := range []int{a, b} {
		n.servers[i].promised, n.servers[i].followed, n.servers[i].role = term, term, group.Replica
	}
	n.servers[a].role = group.Primary
	return []Step{{fmt.Sprintf("s%d becomes primary of term %d, s%d does not know", a, term, old), n}}
}

func (s roamingState) status(i int) group.Status {
	status := failoverState{servers: s.servers}.status(i)
	status.AgeKnown = true
	return status
}

// observations lets one of the instances hear from a server. The one that acknowledges does so at once, and an answer
// that shows it no new write is left out: its view only loses holders by it.
func (s roamingState) observations() []Step {
	var steps []Step
	for i := range s.servers {
		at := instant(s.asked + 1)
		o := group.Observation{Status: s.status(i), RequestedAt: at, ReceivedAt: at}
		if (failoverState{written: s.written, acked: s.acked, view: s.writerView}).showsWrite(o.Status) {
			n := s.clone()
			n.asked++
			n.writerView = s.writerView.WithObservation(o)
			event := n.acknowledge()
			steps = append(steps, Step{fmt.Sprintf("writing instance hears from s%d%s", i, event), n})
		}
		if s.reading {
			n := s.clone()
			n.asked++
			n.readerView = s.readerView.WithObservation(o)
			steps = append(steps, Step{fmt.Sprintf("reading instance hears from s%d", i), n})
		}
	}
	return steps
}

// acknowledge confirms the writes that the view allows, and raises the floor of the session.
func (s *roamingState) acknowledge() string {
	event := ""
	for _, w := range (failoverState{written: s.written, acked: s.acked}).pending() {
		if !s.writerView.Acknowledged(w.at) && !s.faults.AcknowledgeAlone {
			continue
		}
		s.acked[w.number] = w.at
		if !s.faults.NoFloor {
			s.writer = s.writer.WithFloor(roamingGroup, w.at)
		}
		event += fmt.Sprintf(", write %d is acknowledged at %s", w.number, w.at)
	}
	return event
}

// readSteps lets the session begin a read at the other instance, or lets that instance serve it.
func (s roamingState) readSteps() []Step {
	if !s.reading {
		return s.begins()
	}
	r := session.Request{Group: roamingGroup, Read: true}
	if s.bounds.AcceptedAge {
		r.AcceptedAge = time.Minute
	}
	since := instant(s.began)
	if s.faults.NewestFromBefore {
		since = 0
	}
	if newest, ok := s.readerView.ReadPosition(since); ok {
		r = r.WithReadPosition(newest)
	}
	var steps []Step
	served := make(map[string]bool)
	for r.TieBreaker = range uint64(serverCount) {
		to, ok := session.SelectServer(r, s.floor, s.readerView, instant(s.asked)).(session.ToServer)
		if !ok || served[to.Server] {
			continue
		}
		served[to.Server] = true
		n := s.clone()
		n.serve(serverIndex(to.Server))
		steps = append(steps, Step{"the read is served by " + to.Server, n})
	}
	return steps
}

func (s roamingState) begins() []Step {
	if s.reads >= s.bounds.Reads {
		return nil
	}
	n := s.clone()
	n.reads++
	n.reading, n.began, n.mustSee = true, s.asked+1, nil
	for write := 1; write <= s.bounds.Writes; write++ {
		if p, ok := s.acked[write]; ok {
			n.mustSee = append(n.mustSee, p)
		}
	}
	switch {
	case s.bounds.Token:
		n.floor = s.writer
	case s.faults.ZeroFloor:
		n.floor = session.Fresh("o")
	default:
		n.floor = session.New("o")
	}
	return []Step{{"the session begins a read at the other instance", n}}
}

// serve ends the read at a server, as its log is now.
func (s *roamingState) serve(i int) {
	s.reading = false
	for _, p := range s.mustSee {
		if !s.status(i).History.Contains(p) {
			s.broken = fmt.Sprintf("read at s%d does not contain the write that was acknowledged at %s", i, p)
		}
	}
}
