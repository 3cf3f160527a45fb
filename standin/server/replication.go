package server

import (
	"context"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Source provides the entries of a primary's log to a replica.
type Source interface {
	// Pull returns the entries that follow the replica's log. If there are none, it waits for at most HeartbeatPeriod.
	Pull(ctx context.Context, p Pull) (Batch, error)
	// Close releases the source.
	Close()
}

// Pull is a replica's request for entries.
type Pull struct {
	// Term is the term of the primary that the replica follows.
	Term group.Term
	// History is the history of the log that the replica has received.
	History group.History
}

// Batch is a primary's response to a Pull.
type Batch struct {
	// Base is the offset of the last entry that both logs contain. The replica discards all entries after it.
	Base    uint64
	Entries []Entry
	// Complete is true if the primary has no further entries.
	Complete bool
	// Wait is how long the request waited at the primary.
	Wait time.Duration
}

// pendingPull is a Pull that waits for an entry.
type pendingPull struct {
	call  call
	base  uint64
	term  group.Term
	since time.Duration
}

// delayedBatch is a batch that is applied after the injected lag.
type delayedBatch struct {
	received time.Duration
	term     group.Term
	batch    Batch
	asOf     time.Duration
}

// nextPull tells the replication goroutine how to continue.
type nextPull struct {
	pull Pull
	// pause is true if the server could not accept the batch.
	pause bool
	// stop is true if the server no longer follows this primary.
	stop bool
}

// Pull returns the entries that follow a replica's log.
func (s *Server) Pull(ctx context.Context, p Pull) (Batch, error) {
	r, err := s.do(ctx, pullCommand{pull: p})
	return r.batch, err
}

// Close implements Source. It does nothing, because a server in the same process needs no connection.
func (s *Server) Close() {}

func (s *Server) addPull(c call, p Pull) {
	if s.partitioned {
		c.respond(response{err: port.Errorf(port.Unavailable, "server %s is partitioned from its peers", s.name)})
		return
	}
	base := CommonLastOffset(p.History, s.log.History())
	s.pendingPulls = append(s.pendingPulls, pendingPull{call: c, base: base, term: p.Term, since: s.timer.Now()})
	s.wakeAt(s.timer.Now() + HeartbeatPeriod)
}

// respondToPulls responds to every pull for which there are entries, and to every pull that has waited for
// HeartbeatPeriod.
func (s *Server) respondToPulls(now time.Duration) {
	waiting := s.pendingPulls[:0]
	for _, p := range s.pendingPulls {
		if !s.termState.IsPrimary() || p.term != s.termState.followed || s.partitioned {
			p.call.respond(response{err: port.Errorf(port.Unavailable, "server %s is not primary of term %d", s.name, p.term)})
			continue
		}
		entries := s.log.EntriesAfter(p.base, MaxBatch)
		if len(entries) == 0 && now-p.since < HeartbeatPeriod {
			waiting = append(waiting, p)
			continue
		}
		complete := p.base+uint64(len(entries)) == s.log.History().Last().Offset
		batch := Batch{Base: p.base, Entries: entries, Complete: complete, Wait: now - p.since}
		p.call.respond(response{batch: batch})
	}
	clear(s.pendingPulls[len(waiting):])
	s.pendingPulls = waiting
}

func (s *Server) startReplication(term group.Term, address string) {
	ctx, stop := context.WithCancel(s.background)
	s.upstream = upstream{term: term, address: address, generation: s.upstream.generation, stop: stop}
	r := &replication{server: s, upstream: s.upstream, pull: Pull{Term: term, History: s.received}}
	s.running.Go(func() { r.run(ctx) })
}

// receiveBatch adds a primary's response to the delayed batches. It is applied after the injected lag.
func (s *Server) receiveBatch(c batchCommand) response {
	if c.generation != s.upstream.generation || !s.termState.AcceptsEntries(s.upstream.term) {
		return response{next: nextPull{stop: true}}
	}
	pull := Pull{Term: s.upstream.term, History: s.received}
	if s.partitioned || len(s.delayed) >= MaxDelayed {
		return response{next: nextPull{pull: pull, pause: true}}
	}
	now := s.timer.Now()
	s.lastContact = now
	s.received = historyAfter(s.received, c.batch)
	s.delayed = append(s.delayed, delayedBatch{received: now, term: s.upstream.term, batch: c.batch, asOf: c.asOf})
	s.wakeAt(now + s.lag)
	pull.History = s.received
	return response{next: nextPull{pull: pull}}
}

// historyAfter returns the history of a log after applying a batch.
func historyAfter(h group.History, b Batch) group.History {
	h = h.WithLast(b.Base)
	for _, e := range b.Entries {
		if e.Position.Term != h.Last().Term {
			h = h.WithTerm(e.Position.Term)
		}
		h = h.WithLast(e.Position.Offset)
	}
	return h
}

// applyDelayed applies the batches whose lag has passed.
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

func (s *Server) applyBatch(d delayedBatch) {
	if d.batch.Base < s.log.History().Last().Offset {
		s.log = s.log.WithLast(d.batch.Base)
		s.tables = newTables(s.log)
		s.abortTransactions(errorf(codeSerializationFailure, "transaction was aborted because the log was truncated to that of a new primary"))
	}
	s.termState = s.termState.WithSynced(d.term)
	for _, e := range d.batch.Entries {
		s.log = s.log.WithEntry(e)
		s.tables.apply(e.Changes)
	}
	if d.batch.Complete {
		s.asOf = d.asOf
		s.ageKnown = true
	}
}

// replication pulls entries from one primary in its own goroutine until it is stopped.
type replication struct {
	server   *Server
	upstream upstream
	pull     Pull
}

func (r *replication) run(ctx context.Context) {
	for ctx.Err() == nil {
		source, err := r.server.dial(ctx, r.upstream.address)
		if err == nil {
			r.loop(ctx, source)
			source.Close()
		}
		_ = port.Sleep(ctx, r.server.timer, HeartbeatPeriod)
	}
}

// loop pulls from a source until it fails.
func (r *replication) loop(ctx context.Context, source Source) {
	for {
		requestedAt := r.server.timer.Now()
		batch, err := source.Pull(ctx, r.pull)
		if err != nil {
			return
		}
		// The batch reflects the primary's log when it responded, which was at least Wait after the request was sent.
		c := batchCommand{generation: r.upstream.generation, batch: batch, asOf: requestedAt + batch.Wait}
		resp, err := r.server.do(ctx, c)
		if err != nil || resp.next.stop {
			return
		}
		r.pull = resp.next.pull
		if resp.next.pause && port.Sleep(ctx, r.server.timer, HeartbeatPeriod) != nil {
			return
		}
	}
}
