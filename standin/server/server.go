// Package server is a small stand-in of a database server for tests. Its core (log, promises, replication, tables)
// works in-process; listeners wrap it for PostgreSQL protocol 3, for replicas and for commanded faults.
package server

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	// HeartbeatPeriod is how long a primary keeps a replica waiting that has every entry.
	HeartbeatPeriod = 100 * time.Millisecond
	// MaxBatch is the number of entries in one answer to a replica.
	MaxBatch = 1000
	// MaxDelayed is the number of answers that a replica holds back because of its lag.
	MaxDelayed = 1 << 16
	// commandCapacity bounds what waits for the core; callers block while it is full.
	commandCapacity = 1024
)

// Dial returns the source of entries at an address.
type Dial func(ctx context.Context, address string) (Source, error)

// Server is the core of a stand-in. One duty owns its state and takes commands from one ring. Use New, then Run.
type Server struct {
	name     string
	timer    port.Timer
	dial     Dial
	commands *ring.Ring[call]
	thaws    *ring.Ring[struct{}]
	frozen   atomic.Bool
	duties   sync.WaitGroup

	// The fields below are owned by the core's duty.
	standing   Standing
	log        Log
	tables     tables
	heard      time.Duration
	asOf       time.Duration
	ageKnown   bool
	lag        time.Duration
	cut        bool
	target     target
	received   group.History
	delayed    []delivery
	waiters    []statusWaiter
	pullers    []puller
	open       map[*Connection]struct{}
	background context.Context
}

var _ port.Server = (*Server)(nil)

// target is the primary that the server was told to follow.
type target struct {
	term       group.Term
	address    string
	generation uint64
	stop       context.CancelFunc
}

// statusWaiter is a status that is answered when the log contains a position.
type statusWaiter struct {
	call  call
	await group.Position
	until time.Duration
}

// New returns a server with an empty log. dial reaches the other servers of its group.
func New(name string, timer port.Timer, dial Dial) *Server {
	return &Server{
		name:     name,
		timer:    timer,
		dial:     dial,
		commands: ring.New[call](commandCapacity),
		thaws:    ring.New[struct{}](1),
		tables:   make(tables),
		heard:    timer.Now(),
		open:     make(map[*Connection]struct{}),
	}
}

// Name returns the server's name in its group.
func (s *Server) Name() string { return s.name }

// Run carries out commands until ctx ends.
func (s *Server) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	stop := s.timer.Every(HeartbeatPeriod, s.wake)
	s.background = ctx
	s.loop(ctx)
	stop()
	cancel()
	s.duties.Wait()
}

// Status returns the server's status, or waits for a position first.
func (s *Server) Status(ctx context.Context, await group.Position, maxWait time.Duration) (group.Status, error) {
	return s.order(ctx, statusCommand{await: await, deadline: s.timer.Now() + maxWait})
}

// Fence makes the server promise term to candidate.
func (s *Server) Fence(ctx context.Context, term group.Term, candidate string) (group.Status, error) {
	return s.order(ctx, fenceCommand{term: term, candidate: candidate})
}

// Promote makes the server primary of term.
func (s *Server) Promote(ctx context.Context, term group.Term, candidate string) (group.Status, error) {
	return s.order(ctx, promoteCommand{term: term, candidate: candidate})
}

// Follow makes the server replicate from the primary of term at an address that its Dial knows.
func (s *Server) Follow(ctx context.Context, term group.Term, primary string) (group.Status, error) {
	return s.order(ctx, followCommand{term: term, address: primary})
}

// SetLag makes the server hold back what it receives from a primary.
func (s *Server) SetLag(ctx context.Context, lag time.Duration) error {
	_, err := s.do(ctx, lagCommand{lag: lag})
	return err
}

// SetCut cuts the server from its peers in both directions, or ends the cut.
func (s *Server) SetCut(ctx context.Context, cut bool) error {
	_, err := s.do(ctx, cutCommand{cut: cut})
	return err
}

// Freeze stops the server as if its process was paused: nothing is answered or replicated until Thaw.
func (s *Server) Freeze(ctx context.Context) error {
	if s.frozen.Swap(true) {
		return nil
	}
	_, err := s.do(ctx, freezeCommand{})
	return err
}

// Thaw lets a frozen server go on. It answers what came in the meantime.
func (s *Server) Thaw() {
	if s.frozen.Swap(false) {
		s.thaws.TryPut(struct{}{})
	}
}

func (s *Server) order(ctx context.Context, c command) (group.Status, error) {
	a, err := s.do(ctx, c)
	return a.status, err
}

// do carries out a command in the core's duty. When ctx ends first the command may still be carried out.
func (s *Server) do(ctx context.Context, c command) (answer, error) {
	pending := newCall(c)
	if err := s.commands.Put(ctx, pending); err != nil {
		return answer{}, port.Wrapf(err, port.Unavailable, "server %s did not take the command", s.name)
	}
	a, err := pending.answers.Take(ctx)
	if err != nil {
		return answer{}, port.Wrapf(err, port.Unavailable, "server %s did not answer", s.name)
	}
	return a, a.err
}

// wake makes the core look at its deadlines. A tick that finds the ring full is dropped: the next one follows.
func (s *Server) wake(time.Duration) { s.commands.TryPut(newCall(tick{})) }

func (s *Server) loop(ctx context.Context) {
	for {
		c, err := s.commands.Take(ctx)
		if err != nil {
			return
		}
		s.handle(ctx, c)
		s.settle()
	}
}

func (s *Server) handle(ctx context.Context, c call) {
	switch command := c.command.(type) {
	case tick:
	case statusCommand:
		s.waiters = append(s.waiters, statusWaiter{call: c, await: command.await, until: command.deadline})
		s.wakeAt(command.deadline)
	case fenceCommand:
		c.answer(s.fence(command))
	case promoteCommand:
		c.answer(s.promote(command))
	case followCommand:
		c.answer(s.follow(command))
	case pullCommand:
		s.takePull(c, command.pull)
	case deliverCommand:
		c.answer(s.deliver(command))
	case runCommand:
		c.answer(s.run(command.connection, command.statement))
	case syncCommand:
		c.answer(s.sync(command.connection, command.failed))
	case closeCommand:
		command.connection.state = connectionState{}
		delete(s.open, command.connection)
		c.answer(answer{})
	case lagCommand:
		s.lag = command.lag
		c.answer(answer{})
	case cutCommand:
		s.cut = command.cut
		c.answer(answer{})
	case freezeCommand:
		c.answer(answer{})
		_, _ = s.thaws.Take(ctx)
	}
}

// settle carries out everything that a command or the passing of time made due.
func (s *Server) settle() {
	now := s.timer.Now()
	s.applyDelayed(now)
	s.answerPullers(now)
	s.answerWaiters(now)
}

func (s *Server) answerWaiters(now time.Duration) {
	waiting := s.waiters[:0]
	for _, w := range s.waiters {
		if now < w.until && !s.log.History().Contains(w.await) && s.standing.followed <= w.await.Term {
			waiting = append(waiting, w)
			continue
		}
		w.call.answer(s.current())
	}
	clear(s.waiters[len(waiting):])
	s.waiters = waiting
}

// wakeAt wakes the core at an instant.
func (s *Server) wakeAt(at time.Duration) {
	if wait := at - s.timer.Now(); wait > 0 {
		s.timer.After(wait, s.wake)
	}
}

func (s *Server) fence(c fenceCommand) answer {
	standing, err := s.standing.WithFence(c.term, c.candidate)
	if err != nil {
		return answer{err: err}
	}
	if standing != s.standing {
		s.leaveTerm()
		s.standing = standing
	}
	return s.current()
}

func (s *Server) promote(c promoteCommand) answer {
	standing, err := s.standing.WithPromotion(c.term, c.candidate)
	if err != nil {
		return answer{err: err}
	}
	if standing != s.standing {
		s.leaveTerm()
		s.standing = standing
		s.log = s.log.WithTerm(c.term)
	}
	return s.current()
}

func (s *Server) follow(c followCommand) answer {
	standing, err := s.standing.WithFollow(c.term)
	if err != nil {
		return answer{err: err}
	}
	if s.target.stop != nil && s.target.term == c.term && s.target.address == c.address {
		return s.current()
	}
	s.leaveTerm()
	s.standing = standing
	s.startReplication(c.term, c.address)
	return s.current()
}

// leaveTerm ends replication from the old primary, or the server's own time as primary.
func (s *Server) leaveTerm() {
	if s.target.stop != nil {
		s.target.stop()
		s.target.stop = nil
	}
	s.target.generation++
	s.delayed = nil
	s.received = s.log.History()
	if s.standing.IsPrimary() {
		s.heard = s.timer.Now()
		s.ageKnown = false
		s.abort(failf(codeReadOnly, "transaction was aborted because the server is no longer primary"))
	}
}

// abort makes every open transaction fail.
func (s *Server) abort(reason *Failure) {
	for c := range s.open {
		if c.state.transaction != nil {
			c.state.transaction.failed = reason
		}
	}
}

func (s *Server) current() answer {
	now := s.timer.Now()
	status := group.Status{
		Server:    s.name,
		Role:      s.standing.Role(),
		Promised:  s.standing.promised,
		Candidate: s.standing.candidate,
		Followed:  s.standing.followed,
		History:   s.log.History(),
	}
	if s.standing.IsPrimary() {
		status.AgeKnown = true
		return answer{status: status}
	}
	status.PrimarySilence = now - s.heard
	status.AgeKnown = s.ageKnown
	if s.ageKnown {
		status.Age = now - s.asOf
	}
	return answer{status: status}
}
