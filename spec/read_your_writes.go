package spec

import (
	"fmt"
	"slices"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/session"
)

// ReadYourWritesBounds limits the exploration of the read-your-writes model.
type ReadYourWritesBounds struct {
	// Writes is the number of writes of the session.
	Writes int
	// Promotions is the number of times that the primary is replaced without knowing it.
	Promotions int
	Reads      int
	// Token is true if the session presents its token to the instance on which it reads.
	Token bool
	// AcceptedAge lets the route of the reads accept stale data.
	AcceptedAge bool
}

// ReadYourWritesFaults disables guards of sessions and of acknowledgment, to show that the invariant depends on them.
type ReadYourWritesFaults struct {
	// NoFloor omits acknowledged writes from the token.
	NoFloor bool
	// AssumeNoWrites treats a session without a token as one without writes.
	AssumeNoWrites bool
	// StaleReadPosition takes the read position from observations that were requested before the read began.
	StaleReadPosition bool
	// AcknowledgeWithoutReplicas acknowledges a write that only its primary has.
	AcknowledgeWithoutReplicas bool
}

const groupName = "g"

// readYourWritesState is a group of three servers, the instance that acknowledges the session's writes, and the instance
// on which the session reads.
type readYourWritesState struct {
	bounds  ReadYourWritesBounds
	faults  ReadYourWritesFaults
	servers [serverCount]modelServer
	written map[group.Term][]logEntry
	// clock is the number of observations, which the model uses as its time in milliseconds. An exploration has too few
	// for an observation to become too old.
	clock        int
	writerView   group.View
	readerView   group.View
	writer       session.Session
	acknowledged map[int]group.Position
	promotions   int
	reads        int
	// isReading is true from the beginning of a read until it is served. acknowledgedBefore are the positions of the
	// writes that were acknowledged before it began, readStart is when it began, and reader is the session of the read.
	isReading          bool
	acknowledgedBefore []group.Position
	readStart          int
	reader             session.Session
	violation          string
}

// NewReadYourWrites returns the initial state of the read-your-writes model: server 0 is the primary of term 1, without
// any writes.
func NewReadYourWrites(bounds ReadYourWritesBounds, faults ReadYourWritesFaults) State {
	first := []logEntry{{term: 1}}
	s := readYourWritesState{bounds: bounds, faults: faults, written: map[group.Term][]logEntry{1: first}}
	for i := range s.servers {
		s.servers[i] = modelServer{promised: 1, followed: 1, role: group.Replica, log: first}
	}
	s.servers[0].role = group.Primary
	s.writerView, s.readerView = group.NewView(members()...), group.NewView(members()...)
	s.writer = session.Fresh("o")
	return s
}

// observationTime returns the time of the model after n observations.
func observationTime(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Key contains of an observation's time only whether it is before or after the beginning of the read.
func (s readYourWritesState) Key() string {
	b := make([]byte, 0, 256)
	for _, server := range s.servers {
		b = appendServer(b, server)
	}
	b = fmt.Append(b, s.written, s.acknowledged, s.promotions, s.reads, s.isReading, s.acknowledgedBefore, s.reader, s.writer, s.violation)
	for i := range s.servers {
		for _, v := range []group.View{s.writerView, s.readerView} {
			o, ok := v.Observation(serverName(i))
			b = fmt.Append(b, ok, o.Status, o.RequestedAt >= observationTime(s.readStart))
		}
	}
	return string(b)
}

func (s readYourWritesState) Violation() string { return s.violation }

func (s readYourWritesState) Next() []Step {
	steps := s.writeSteps()
	steps = append(steps, s.appendSteps()...)
	steps = append(steps, s.promotionSteps()...)
	steps = append(steps, s.observationSteps()...)
	return append(steps, s.readSteps()...)
}

func (s readYourWritesState) clone() readYourWritesState {
	written, acked := s.written, s.acknowledged
	s.written, s.acknowledged = make(map[group.Term][]logEntry, len(written)), make(map[int]group.Position, len(acked))
	for term, log := range written {
		s.written[term] = log
	}
	for write, p := range acked {
		s.acknowledged[write] = p
	}
	return s
}

// writeSteps lets a primary execute the session's next write, also one that was replaced and does not know it.
func (s readYourWritesState) writeSteps() []Step {
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
		steps = append(steps, Step{fmt.Sprintf("s%d executes write %d in term %d", i, next, server.followed), n})
	}
	return steps
}

// appendSteps lets a replica append the next entry of the primary that it follows.
func (s readYourWritesState) appendSteps() []Step {
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

// promotionSteps replaces the primary of the highest term with the one of the other two servers that has the longer log;
// the third server follows it. The messages of a promotion are explored by the failover model. The replaced primary
// does not know of the promotion and continues.
func (s readYourWritesState) promotionSteps() []Step {
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

func (s readYourWritesState) status(i int) group.Status {
	status := failoverState{servers: s.servers}.status(i)
	status.AgeKnown = true
	return status
}

// observationSteps lets one of the instances observe a server. The writing instance acknowledges at once the writes that
// its view allows. As in the failover model, it leaves out a status without a new write.
func (s readYourWritesState) observationSteps() []Step {
	var steps []Step
	for i := range s.servers {
		at := observationTime(s.clock + 1)
		o := group.Observation{Status: s.status(i), RequestedAt: at, ReceivedAt: at}
		if (failoverState{written: s.written, acknowledged: s.acknowledged, view: s.writerView}).showsWrite(o.Status) {
			n := s.clone()
			n.clock++
			n.writerView = s.writerView.WithObservation(o)
			event := n.acknowledge()
			steps = append(steps, Step{fmt.Sprintf("writing instance observes s%d%s", i, event), n})
		}
		if s.isReading {
			n := s.clone()
			n.clock++
			n.readerView = s.readerView.WithObservation(o)
			steps = append(steps, Step{fmt.Sprintf("reading instance observes s%d", i), n})
		}
	}
	return steps
}

// acknowledge acknowledges the writes that the view allows and raises the session's floor.
func (s *readYourWritesState) acknowledge() string {
	event := ""
	for _, w := range (failoverState{written: s.written, acknowledged: s.acknowledged}).pendingWrites() {
		if !s.writerView.Acknowledged(w.position) && !s.faults.AcknowledgeWithoutReplicas {
			continue
		}
		s.acknowledged[w.number] = w.position
		if !s.faults.NoFloor {
			s.writer = s.writer.WithFloor(groupName, w.position)
		}
		event += fmt.Sprintf(", write %d is acknowledged at %s", w.number, w.position)
	}
	return event
}

// readSteps lets the session begin a read on the other instance, or lets that instance serve it.
func (s readYourWritesState) readSteps() []Step {
	if !s.isReading {
		return s.beginSteps()
	}
	r := session.Request{Group: groupName, Read: true}
	if s.bounds.AcceptedAge {
		r.AcceptedAge = time.Minute
	}
	since := observationTime(s.readStart)
	if s.faults.StaleReadPosition {
		since = 0
	}
	if position, ok := s.readerView.ReadPosition(since); ok {
		r = r.WithReadPosition(position)
	}
	var steps []Step
	served := make(map[string]bool)
	for r.TieBreaker = range uint64(serverCount) {
		to, ok := session.SelectServer(r, s.reader, s.readerView, observationTime(s.clock)).(session.ToServer)
		if !ok || served[to.Server] {
			continue
		}
		served[to.Server] = true
		n := s.clone()
		n.serveRead(serverIndex(to.Server))
		steps = append(steps, Step{"the read is served by " + to.Server, n})
	}
	return steps
}

func (s readYourWritesState) beginSteps() []Step {
	if s.reads >= s.bounds.Reads {
		return nil
	}
	n := s.clone()
	n.reads++
	n.isReading, n.readStart, n.acknowledgedBefore = true, s.clock+1, nil
	for write := 1; write <= s.bounds.Writes; write++ {
		if p, ok := s.acknowledged[write]; ok {
			n.acknowledgedBefore = append(n.acknowledgedBefore, p)
		}
	}
	switch {
	case s.bounds.Token:
		n.reader = s.writer
	case s.faults.AssumeNoWrites:
		n.reader = session.Fresh("o")
	default:
		n.reader = session.New("o")
	}
	return []Step{{"the session begins a read on the other instance", n}}
}

// serveRead reads the current log of a server and checks that it contains the writes acknowledged before.
func (s *readYourWritesState) serveRead(i int) {
	s.isReading = false
	for _, p := range s.acknowledgedBefore {
		if !s.status(i).History.Contains(p) {
			s.violation = fmt.Sprintf("read from s%d does not contain the write that was acknowledged at %s", i, p)
		}
	}
}
