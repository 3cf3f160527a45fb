package spec

import (
	"fmt"
	"slices"

	"github.com/rhubarbwick/rhubarbwick/group"
)

// logEntry is an entry of a log. The first entry of a term has no write, and its write number is zero.
type logEntry struct {
	term  group.Term
	write int
}

type modelServer struct {
	promised  group.Term
	candidate string
	followed  group.Term
	role      group.Role
	log       []logEntry
}

func appendServer(b []byte, server modelServer) []byte {
	b = append(b, byte(server.promised), byte(server.followed), server.role[0])
	b = append(b, server.candidate...)
	return appendLog(b, server.log)
}

func appendLog(b []byte, log []logEntry) []byte {
	b = append(b, byte(len(log)))
	for _, entry := range log {
		b = append(b, byte(entry.term), byte(entry.write))
	}
	return b
}

func (s *failoverState) fence(i int, o group.SendFence) group.Event {
	server := &s.servers[i]
	same := o.Term == server.promised && (o.Candidate == server.candidate || s.faults.PromiseTwice)
	if o.Term < server.promised || o.Term == server.promised && !same {
		return group.Refused{Term: o.Term, Promised: server.promised}
	}
	server.promised = o.Term
	server.candidate = o.Candidate
	server.role = group.Replica
	return group.Fenced{Term: o.Term, Status: s.status(i)}
}

func (s *failoverState) promote(i int, o group.SendPromote) group.Event {
	server := &s.servers[i]
	if (server.promised != o.Term || server.candidate != o.Candidate) && !s.faults.PromoteIgnoringPromise {
		return group.Refused{Term: o.Term, Promised: server.promised}
	}
	if primary, exists := s.primaries[o.Term]; exists && primary != i {
		s.violation = fmt.Sprintf("s%d and s%d are both primary of term %d", primary, i, o.Term)
	}
	if server.followed != o.Term {
		server.log = append(slices.Clone(server.log), logEntry{term: o.Term})
		s.written[o.Term] = server.log
	}
	server.promised, server.followed, server.role = o.Term, o.Term, group.Primary
	s.primaries[o.Term] = i
	return group.Promoted{Term: o.Term, Server: serverName(i)}
}

func (s *failoverState) follow(i int, o group.SendFollow) {
	server := &s.servers[i]
	if o.Term < server.promised || o.Term <= server.followed {
		return
	}
	sent := s.written[o.Term]
	common := 0
	for common < len(sent) && common < len(server.log) && sent[common] == server.log[common] {
		common++
	}
	server.log = slices.Clone(server.log[:common])
	server.promised, server.followed, server.role = o.Term, o.Term, group.Replica
	server.candidate = ""
}

func (s failoverState) status(i int) group.Status {
	server := s.servers[i]
	return group.Status{
		Server:    serverName(i),
		Role:      server.role,
		Promised:  server.promised,
		Candidate: server.candidate,
		Followed:  server.followed,
		History:   historyOf(server.log),
	}
}

func historyOf(log []logEntry) group.History {
	var h group.History
	for i, entry := range log {
		if i == 0 || log[i-1].term != entry.term {
			h = h.WithTerm(entry.term)
		}
		h = group.NewHistory(uint64(i)+1, h.TermStarts()...)
	}
	return h
}
