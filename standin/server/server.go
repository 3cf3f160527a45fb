// Package server is a small stand-in for a database server, for tests. Server implements the log, terms, replication
// and tables in-process. Listener serves it over PostgreSQL protocol 3 to clients and replicas; Admin is an HTTP API
// for fault injection.
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
	// HeartbeatPeriod is how long a primary delays its response to a replica that has all entries.
	HeartbeatPeriod = 100 * time.Millisecond
	// MaxBatch is the maximum number of entries in one response to a replica.
	MaxBatch = 1000
	// MaxDelayed is the maximum number of responses that a replica delays because of its injected lag.
	MaxDelayed = 1 << 16
	// commandCapacity is the capacity of the command ring; callers block while it is full.
	commandCapacity = 1024
)

// Dial connects to the source of entries at an address.
type Dial func(ctx context.Context, address string) (Source, error)

// Server is an in-memory database server. One goroutine owns its state and processes commands from one ring. Use New,
// then Run.
type Server struct {
	name     string
	timer    port.Timer
	dial     Dial
	commands *ring.Ring[call]
	resumed  *ring.Ring[struct{}]
	paused   atomic.Bool
	running  sync.WaitGroup

	// The fields below are accessed only by loop.
	termState    TermState
	log          Log
	tables       tables
	lastContact  time.Duration
	asOf         time.Duration
	ageKnown     bool
	lag          time.Duration
	partitioned  bool
	upstream     upstream
	received     group.History
	delayed      []delayedBatch
	waiters      []statusWaiter
	pendingPulls []pendingPull
	connections  map[*Connection]struct{}
	background   context.Context
}

var _ port.Server = (*Server)(nil)

// upstream is the primary from which the server replicates.
type upstream struct {
	term       group.Term
	address    string
	generation uint64
	stop       context.CancelFunc
}

// statusWaiter is a status request that waits until the log contains a position.
type statusWaiter struct {
	call     call
	position group.Position
	until    time.Duration
}

// New returns a Server with an empty log. dial connects to the other servers of its group.
func New(name string, timer port.Timer, dial Dial) *Server {
	return &Server{
		name:        name,
		timer:       timer,
		dial:        dial,
		commands:    ring.New[call](commandCapacity),
		resumed:     ring.New[struct{}](1),
		tables:      make(tables),
		lastContact: timer.Now(),
		connections: make(map[*Connection]struct{}),
	}
}

// Name returns the name of the server in its group.
func (s *Server) Name() string { return s.name }

// Run processes commands until ctx is done.
func (s *Server) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	stop := s.timer.Every(HeartbeatPeriod, s.wake)
	s.background = ctx
	s.loop(ctx)
	stop()
	cancel()
	s.running.Wait()
}

// Status returns the status of the server. Before that, it waits at most maxWait until the log contains position.
func (s *Server) Status(ctx context.Context, position group.Position, maxWait time.Duration) (group.Status, error) {
	return s.doStatus(ctx, statusCommand{position: position, deadline: s.timer.Now() + maxWait})
}

// Fence makes the server promise term to candidate.
func (s *Server) Fence(ctx context.Context, term group.Term, candidate string) (group.Status, error) {
	return s.doStatus(ctx, fenceCommand{term: term, candidate: candidate})
}

// Promote makes the server the primary of term.
func (s *Server) Promote(ctx context.Context, term group.Term, candidate string) (group.Status, error) {
	return s.doStatus(ctx, promoteCommand{term: term, candidate: candidate})
}

// Follow makes the server replicate from the primary of term. The argument primary is an address for the server's Dial.
func (s *Server) Follow(ctx context.Context, term group.Term, primary string) (group.Status, error) {
	return s.doStatus(ctx, followCommand{term: term, address: primary})
}

// SetLag sets the delay after which the server applies entries that it receives from a primary.
func (s *Server) SetLag(ctx context.Context, lag time.Duration) error {
	_, err := s.do(ctx, lagCommand{lag: lag})
	return err
}

// SetPartitioned starts or ends a network partition in both directions between the server and its peers.
func (s *Server) SetPartitioned(ctx context.Context, partitioned bool) error {
	_, err := s.do(ctx, partitionCommand{partitioned: partitioned})
	return err
}

// Pause suspends the server like a stopped process (SIGSTOP): it neither responds nor replicates until Resume.
func (s *Server) Pause(ctx context.Context) error {
	if s.paused.Swap(true) {
		return nil
	}
	_, err := s.do(ctx, pauseCommand{})
	return err
}

// Resume resumes a paused server. It then responds to the requests that it received in the meantime.
func (s *Server) Resume() {
	if s.paused.Swap(false) {
		s.resumed.TryPut(struct{}{})
	}
}

func (s *Server) doStatus(ctx context.Context, c command) (group.Status, error) {
	r, err := s.do(ctx, c)
	return r.status, err
}

// do sends a command to loop and waits for the response. If ctx is done first, the command may still be executed.
func (s *Server) do(ctx context.Context, c command) (response, error) {
	pending := newCall(c)
	if err := s.commands.Put(ctx, pending); err != nil {
		return response{}, port.Wrapf(err, port.Unavailable, "server %s did not take the command", s.name)
	}
	r, err := pending.responses.Take(ctx)
	if err != nil {
		return response{}, port.Wrapf(err, port.Unavailable, "server %s did not answer", s.name)
	}
	return r, r.err
}

// wake makes loop check its deadlines. If the ring is full, the tick is dropped, because Run sends ticks periodically.
func (s *Server) wake(time.Duration) { s.commands.TryPut(newCall(tick{})) }

func (s *Server) loop(ctx context.Context) {
	for {
		c, err := s.commands.Take(ctx)
		if err != nil {
			return
		}
		s.handle(ctx, c)
		s.handleDue()
	}
}

func (s *Server) handle(ctx context.Context, c call) {
	switch command := c.command.(type) {
	case tick:
	case statusCommand:
		s.waiters = append(s.waiters, statusWaiter{call: c, position: command.position, until: command.deadline})
		s.wakeAt(command.deadline)
	case fenceCommand:
		c.respond(s.fence(command))
	case promoteCommand:
		c.respond(s.promote(command))
	case followCommand:
		c.respond(s.follow(command))
	case pullCommand:
		s.addPull(c, command.pull)
	case batchCommand:
		c.respond(s.receiveBatch(command))
	case runCommand:
		c.respond(s.runStatement(command.connection, command.statement))
	case syncCommand:
		c.respond(s.sync(command.connection, command.failed))
	case closeCommand:
		command.connection.state = connectionState{}
		delete(s.connections, command.connection)
		c.respond(response{})
	case lagCommand:
		s.lag = command.lag
		c.respond(response{})
	case partitionCommand:
		s.partitioned = command.partitioned
		c.respond(response{})
	case pauseCommand:
		c.respond(response{})
		_, _ = s.resumed.Take(ctx)
	}
}

// handleDue performs everything that has become due through a command or the passage of time.
func (s *Server) handleDue() {
	now := s.timer.Now()
	s.applyDelayed(now)
	s.respondToPulls(now)
	s.respondToWaiters(now)
}

func (s *Server) respondToWaiters(now time.Duration) {
	waiting := s.waiters[:0]
	for _, w := range s.waiters {
		if now < w.until && !s.log.History().Contains(w.position) && s.termState.followed <= w.position.Term {
			waiting = append(waiting, w)
			continue
		}
		w.call.respond(s.currentStatus())
	}
	clear(s.waiters[len(waiting):])
	s.waiters = waiting
}

// wakeAt calls wake at the given time.
func (s *Server) wakeAt(at time.Duration) {
	if wait := at - s.timer.Now(); wait > 0 {
		s.timer.After(wait, s.wake)
	}
}

func (s *Server) fence(c fenceCommand) response {
	next, err := s.termState.WithFence(c.term, c.candidate)
	if err != nil {
		return response{err: err}
	}
	if next != s.termState {
		s.endTerm()
		s.termState = next
	}
	return s.currentStatus()
}

func (s *Server) promote(c promoteCommand) response {
	next, err := s.termState.WithPromotion(c.term, c.candidate)
	if err != nil {
		return response{err: err}
	}
	if next != s.termState {
		s.endTerm()
		s.termState = next
		s.log = s.log.WithTerm(c.term)
	}
	return s.currentStatus()
}

func (s *Server) follow(c followCommand) response {
	next, err := s.termState.WithFollow(c.term)
	if err != nil {
		return response{err: err}
	}
	if s.upstream.stop != nil && s.upstream.term == c.term && s.upstream.address == c.address {
		return s.currentStatus()
	}
	s.endTerm()
	s.termState = next
	s.startReplication(c.term, c.address)
	return s.currentStatus()
}

// endTerm ends replication from the previous primary, or the server's own term as primary.
func (s *Server) endTerm() {
	if s.upstream.stop != nil {
		s.upstream.stop()
		s.upstream.stop = nil
	}
	s.upstream.generation++
	s.delayed = nil
	s.received = s.log.History()
	if s.termState.IsPrimary() {
		s.lastContact = s.timer.Now()
		s.ageKnown = false
		s.abortTransactions(errorf(codeReadOnly, "transaction was aborted because the server is no longer primary"))
	}
}

// abortTransactions marks every open transaction as failed.
func (s *Server) abortTransactions(reason *StatementError) {
	for c := range s.connections {
		if c.state.transaction != nil {
			c.state.transaction.failed = reason
		}
	}
}

func (s *Server) currentStatus() response {
	now := s.timer.Now()
	status := group.Status{
		Server:    s.name,
		Role:      s.termState.Role(),
		Promised:  s.termState.promised,
		Candidate: s.termState.candidate,
		Followed:  s.termState.followed,
		History:   s.log.History(),
	}
	if s.termState.IsPrimary() {
		status.AgeKnown = true
		return response{status: status}
	}
	status.PrimarySilence = now - s.lastContact
	status.AgeKnown = s.ageKnown
	if s.ageKnown {
		status.Age = now - s.asOf
	}
	return response{status: status}
}
