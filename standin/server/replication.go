package server

import (
	"context"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Source is where a replica gets its entries.
type Source interface {
	// Pull returns the entries that follow the replica's log. It waits up to HeartbeatPeriod for one.
	Pull(ctx context.Context, p Pull) (Batch, error)
	// Close gives the source back.
	Close()
}

// Pull is a replica's question for entries.
type Pull struct {
	// Term is the term of the primary that the replica follows.
	Term group.Term
	// History describes what the replica has received.
	History group.History
}

// Batch is a primary's answer.
type Batch struct {
	// Base is the offset of the last entry that both logs hold. The replica drops what follows it.
	Base    uint64
	Entries []Entry
	// Complete is true when the primary had no more entries.
	Complete bool
	// Held is how long the primary kept the question.
	Held time.Duration
}

// puller is a pull that waits for an entry.
type puller struct {
	call  call
	base  uint64
	term  group.Term
	since time.Duration
}

// delivery is a batch that is held back for the lag.
type delivery struct {
	received time.Duration
	term     group.Term
	batch    Batch
	asOf     time.Duration
}

// next tells the replication duty how to go on.
type next struct {
	pull Pull
	// pause is true when the server could not take the batch.
	pause bool
	// stop is true when the server no longer follows this primary.
	stop bool
}

// Pull returns the entries that follow a replica's log.
func (s *Server) Pull(ctx context.Context, p Pull) (Batch, error) {
	a, err := s.do(ctx, pullCommand{pull: p})
	return a.batch, err
}

// Close does nothing: a server in the same process needs no connection.
func (s *Server) Close() {}

func (s *Server) takePull(c call, p Pull) {
	if s.cut {
		c.answer(answer{err: port.Errorf(port.Unavailable, "server %s is cut from its peers", s.name)})
		return
	}
	base := CommonLast(p.History, s.log.History())
	s.pullers = append(s.pullers, puller{call: c, base: base, term: p.Term, since: s.timer.Now()})
	s.wakeAt(s.timer.Now() + HeartbeatPeriod)
}

// answerPullers answers each pull for which there is an entry, and each that has waited for HeartbeatPeriod.
func (s *Server) answerPullers(now time.Duration) {
	waiting := s.pullers[:0]
	for _, p := range s.pullers {
		if !s.standing.IsPrimary() || p.term != s.standing.followed || s.cut {
			p.call.answer(answer{err: port.Errorf(port.Unavailable, "server %s is not primary of term %d", s.name, p.term)})
			continue
		}
		entries := s.log.After(p.base, MaxBatch)
		if len(entries) == 0 && now-p.since < HeartbeatPeriod {
			waiting = append(waiting, p)
			continue
		}
		complete := p.base+uint64(len(entries)) == s.log.History().Last().Offset
		batch := Batch{Base: p.base, Entries: entries, Complete: complete, Held: now - p.since}
		p.call.answer(answer{batch: batch})
	}
	clear(s.pullers[len(waiting):])
	s.pullers = waiting
}

func (s *Server) startReplication(term group.Term, address string) {
	ctx, stop := context.WithCancel(s.background)
	s.target = target{term: term, address: address, generation: s.target.generation, stop: stop}
	r := &replication{server: s, target: s.target, pull: Pull{Term: term, History: s.received}}
	s.duties.Go(func() { r.run(ctx) })
}

// deliver takes a primary's answer into the log, or holds it back for the lag.
func (s *Server) deliver(c deliverCommand) answer {
	if c.generation != s.target.generation || !s.standing.Takes(s.target.term) {
		return answer{next: next{stop: true}}
	}
	pull := Pull{Term: s.target.term, History: s.received}
	if s.cut || len(s.delayed) >= MaxDelayed {
		return answer{next: next{pull: pull, pause: true}}
	}
	now := s.timer.Now()
	s.heard = now
	s.received = extended(s.received, c.batch)
	s.delayed = append(s.delayed, delivery{received: now, term: s.target.term, batch: c.batch, asOf: c.asOf})
	s.wakeAt(now + s.lag)
	pull.History = s.received
	return answer{next: next{pull: pull}}
}

// extended returns the history of a log after a batch.
func extended(h group.History, b Batch) group.History {
	h = h.WithLast(b.Base)
	for _, e := range b.Entries {
		if e.Position.Term != h.Last().Term {
			h = h.WithTerm(e.Position.Term)
		}
		h = h.WithLast(e.Position.Offset)
	}
	return h
}

// applyDelayed takes the answers into the log whose lag has passed.
func (s *Server) applyDelayed(now time.Duration) {
	done := 0
	for _, d := range s.delayed {
		if d.received+s.lag > now {
			break
		}
		s.applyBatch(d)
		done++
	}
	s.delayed = s.delayed[done:]
}

func (s *Server) applyBatch(d delivery) {
	if d.batch.Base < s.log.History().Last().Offset {
		s.log = s.log.WithLast(d.batch.Base)
		s.tables = newTables(s.log)
		s.abort(failf(codeRolledBack, "transaction was aborted because the log was cut to that of a new primary"))
	}
	s.standing = s.standing.WithSynced(d.term)
	for _, e := range d.batch.Entries {
		s.log = s.log.WithEntry(e)
		s.tables.apply(e.Changes)
	}
	if d.batch.Complete {
		s.asOf = d.asOf
		s.ageKnown = true
	}
}

// replication is the duty that asks one primary for entries until it is stopped.
type replication struct {
	server *Server
	target target
	pull   Pull
}

func (r *replication) run(ctx context.Context) {
	for ctx.Err() == nil {
		source, err := r.server.dial(ctx, r.target.address)
		if err == nil {
			r.loop(ctx, source)
			source.Close()
		}
		_ = port.Sleep(ctx, r.server.timer, HeartbeatPeriod)
	}
}

// loop asks a source until it fails.
func (r *replication) loop(ctx context.Context, source Source) {
	for {
		asked := r.server.timer.Now()
		batch, err := source.Pull(ctx, r.pull)
		if err != nil {
			return
		}
		// The primary knew everything up to its answer, which it gave Held after the question arrived.
		c := deliverCommand{generation: r.target.generation, batch: batch, asOf: asked + batch.Held}
		a, err := r.server.do(ctx, c)
		if err != nil || a.next.stop {
			return
		}
		r.pull = a.next.pull
		if a.next.pause && port.Sleep(ctx, r.server.timer, HeartbeatPeriod) != nil {
			return
		}
	}
}
