package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/organisation"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

const (
	// rollbackLimit is how long a rollback may take before the connection is closed instead.
	rollbackLimit = time.Second
	// leadCheck is how often an instance whose view has lapsed looks whether it was renewed.
	leadCheck = 20 * time.Millisecond
	// slowAnswer is how long an answer may take before the server is doubted. It is above what statements take that wait
	// in a server's full queue.
	slowAnswer = 350 * time.Millisecond
	// slowOwner is how long an answer through the owner of a pool may take before it is asked whether it lives. A question
	// is cheap, and each statement that waits for an owner that is gone is lost.
	slowOwner = 120 * time.Millisecond
)

// RateLimiter limits the operations of organisations over the whole fleet.
type RateLimiter interface {
	// Take takes one operation. It fails with kind OverRate.
	Take(ctx context.Context, organisation string) error
}

// DocumentSource gives the document in force.
type DocumentSource interface {
	// CurrentDocument returns the document in force and whether it may still be relied on.
	CurrentDocument() (document.Index, bool)
}

// SessionManagerConfig is what a SessionManager needs.
type SessionManagerConfig struct {
	Timer       port.Timer
	Dispatcher  *Dispatcher
	Views       *PrimaryViews
	Documents   DocumentSource
	RateLimiter RateLimiter
	// IsIsolated reports whether the instance is cut off. It may be nil.
	IsIsolated func() bool
	// Recorder may be nil.
	Recorder Recorder
	// DocumentAge returns how long ago the document was known to be the newest. It may be nil.
	DocumentAge func() time.Duration
}

// SessionManager is what all sessions of an instance share.
type SessionManager struct {
	cfg      SessionManagerConfig
	draining context.Context
	drain    context.CancelFunc

	mu sync.Mutex
	// staying ends when the sessions that have no transaction are to end.
	staying  context.Context
	dismiss  context.CancelFunc
	sessions sync.WaitGroup
	closers  sync.WaitGroup
}

// NewSessionManager returns a manager without sessions.
func NewSessionManager(cfg SessionManagerConfig) *SessionManager {
	cfg.Recorder = orDiscard(cfg.Recorder)
	if cfg.IsIsolated == nil {
		cfg.IsIsolated = func() bool { return false }
	}
	if cfg.DocumentAge == nil {
		cfg.DocumentAge = func() time.Duration { return 0 }
	}
	draining, drain := context.WithCancel(context.Background())
	staying, dismiss := context.WithCancel(draining)
	return &SessionManager{cfg: cfg, draining: draining, drain: drain, staying: staying, dismiss: dismiss}
}

// Admit decides about a caller that names a route and presents a key.
func (m *SessionManager) Admit(route, key string) (organisation.Allowed, error) {
	rules, fresh := m.cfg.Documents.CurrentDocument()
	switch a := organisation.AuthorizeKey(rules, route, key, fresh).(type) {
	case organisation.Allowed:
		return a, nil
	case organisation.Denied:
		return organisation.Allowed{}, a.Err()
	default:
		return organisation.Allowed{}, port.Errorf(port.Internal, "admission has an unknown outcome %T", a)
	}
}

// Serve serves an admitted caller until it leaves or the instance has stopped.
func (m *SessionManager) Serve(ctx context.Context, c ClientConn, a organisation.Allowed) {
	m.sessions.Add(1)
	defer m.sessions.Done()
	NewSession(m, c, a).Run(ctx)
}

// CloseIdleSessions ends the present sessions as soon as they have no transaction, so that their callers connect elsewhere.
func (m *SessionManager) CloseIdleSessions() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dismiss()
	m.staying, m.dismiss = context.WithCancel(m.draining)
}

// stay returns a context that ends when the session is to end.
func (m *SessionManager) stay() context.Context {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.staying
}

// Drain ends sessions as soon as they have no transaction, and waits until all have ended or ctx ends.
func (m *SessionManager) Drain(ctx context.Context) {
	m.drain()
	ended := make(chan struct{})
	go m.runDrain(ended)
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

func (m *SessionManager) runDrain(ended chan<- struct{}) {
	m.sessions.Wait()
	m.closers.Wait()
	close(ended)
}

// record notes what a request came to. Requests that the proxy answers by itself are left out unless they fail.
func (m *SessionManager) record(s *Session, req statement.Request, a statement.Result, began time.Duration) {
	if a.Failure.IsZero() && a.Proof == "" {
		return
	}
	now := m.cfg.Timer.Now()
	rules, _ := m.cfg.Documents.CurrentDocument()
	m.cfg.Recorder.Record(RequestCompleted{
		ID: req.ID, Organisation: s.admitted.Organisation, Route: s.admitted.Route.Name,
		Group: s.admitted.Route.Group, Freshness: s.admitted.Route.Freshness, Kind: a.Failure.Kind,
		Reason: a.Failure.Text, Server: s.server, PoolOwner: s.owner, Attempts: s.tries, Duration: now - began,
		Revision: uint64(rules.Document().Revision), DocumentAge: m.cfg.DocumentAge(),
		PrimaryAge: now - m.cfg.Views.View(s.admitted.Route.Group).RequestedAt,
	})
}

// recheck decides whether an admitted caller may run another operation.
func (m *SessionManager) recheck(a organisation.Allowed) (organisation.Allowed, statement.Failure) {
	rules, fresh := m.cfg.Documents.CurrentDocument()
	switch a := organisation.Reauthorize(rules, a, fresh).(type) {
	case organisation.Allowed:
		return a, statement.Failure{}
	case organisation.Denied:
		return organisation.Allowed{}, statement.Failure{Kind: a.Kind, Text: a.Reason}
	default:
		return organisation.Allowed{}, statement.Failure{Kind: port.Internal, Text: "admission has an unknown outcome"}
	}
}

func (m *SessionManager) transactionIdle() time.Duration {
	rules, _ := m.cfg.Documents.CurrentDocument()
	if ms := rules.Document().TransactionIdleMS; ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultTransactionIdle
}

// run has the loan's server run the steps, as Connection.run does, and tells the dispatcher what came of it.
func (m *SessionManager) run(
	ctx context.Context, l *loan, values statement.SessionState, steps ...statement.Step,
) ([]statement.Result, error) {
	d, c := m.cfg.Dispatcher, l.connection
	if l.used {
		d.Started(c)
	}
	sent := m.cfg.Timer.Now()
	l.used = true
	stop := m.cfg.Timer.After(l.slowAfter(), func(time.Duration) { m.doubt(c) })
	limited, cancel := m.limitOverdue(ctx, l, steps)
	answers, err := c.run(limited, values, steps...)
	cancel()
	stop()
	if len(answers) > 0 {
		last := answers[len(answers)-1]
		l.state = last.State
		d.Heard(c, Answered{Server: c.Endpoint.Server, Position: last.Position, SentAt: sent, At: m.cfg.Timer.Now()})
	}
	var unsent *NotSentError
	switch _, isBorrowed := c.owner(); {
	case err == nil:
	case isBorrowed && errors.As(err, &unsent):
		d.NotLent(c, unsent)
	case ctx.Err() == nil || !isBorrowed:
		d.Unreached(c)
	}
	return answers, err
}

// limitOverdue gives steps up once their answer is overdue, if nothing of them is kept then: a read can run elsewhere in
// time, and a caller can repeat its transaction.
func (m *SessionManager) limitOverdue(ctx context.Context, l *loan, steps []statement.Step) (context.Context, context.CancelFunc) {
	if l.overdueAfter == 0 || !statement.RollsBackOnClose(l.state, steps) {
		return ctx, func() {}
	}
	return port.WithTimeout(ctx, m.cfg.Timer, l.overdueAfter)
}

// doubt has it found out why a connection does not answer.
func (m *SessionManager) doubt(c *Connection) {
	if _, isBorrowed := c.owner(); isBorrowed {
		m.cfg.Dispatcher.DoubtOwner(c)
		return
	}
	m.cfg.Dispatcher.Doubt(c.Endpoint.Server)
}

// abandon rolls a loan's transaction back and returns its connection, without letting the caller wait.
func (m *SessionManager) abandon(l *loan) {
	if l.state == statement.Idle {
		m.cfg.Dispatcher.Return(l.connection, true)
		return
	}
	c := &closer{manager: m, loan: l}
	m.closers.Add(1)
	go c.run()
}

// abandonAfter returns the connection of a loan whose last statement had the outcome.
func (m *SessionManager) abandonAfter(l *loan, result outcome) {
	if !result.leavesConnection() {
		m.cfg.Dispatcher.Return(l.connection, false)
		return
	}
	m.abandon(l)
}

// closer is the duty that rolls one transaction back.
type closer struct {
	manager *SessionManager
	loan    *loan
}

func (c *closer) run() {
	defer c.manager.closers.Done()
	ctx, cancel := port.WithTimeout(context.Background(), c.manager.cfg.Timer, rollbackLimit)
	defer cancel()
	_, err := c.manager.run(ctx, c.loan, statement.SessionState{}, statement.Step{Command: statement.RollbackTransaction{}})
	c.manager.cfg.Dispatcher.Return(c.loan.connection, err == nil && c.loan.state == statement.Idle)
}

// stillLeads reports whether the loan's server is still the primary of the term under which the loan was made. A view
// that has lapsed may be renewed within confirmWait.
func (m *SessionManager) stillLeads(ctx context.Context, l *loan) bool {
	e := l.connection.Endpoint
	until := m.cfg.Timer.Now() + confirmWait
	for {
		view, now := m.cfg.Views.View(e.Group), m.cfg.Timer.Now()
		switch {
		case view.Leads(e.Server, l.term, now):
			return true
		case view.Record.Term != l.term || view.Record.Replacement != nil || now >= until:
			return false
		}
		if port.Sleep(ctx, m.cfg.Timer, leadCheck) != nil {
			return false
		}
	}
}
