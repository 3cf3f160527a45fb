package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/organisation"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

const (
	// defaultTimeout limits a statement on a route that states no time limit.
	defaultTimeout = 5 * time.Second
	// defaultTransactionIdle limits an idle transaction where the document states no limit.
	defaultTransactionIdle = 3 * time.Second
	// confirmWait is how long an answer of a primary waits until the instance knows again that the server leads.
	confirmWait = 400 * time.Millisecond
	// sendAwayAfter is how long a session of an isolated instance has to be idle before it is ended. A caller that repeats
	// a refused request at once must not lose it.
	sendAwayAfter = 100 * time.Millisecond
)

// Session is the duty that serves one caller. Its fields belong to run.
type Session struct {
	manager  *SessionManager
	caller   ClientConn
	admitted organisation.Allowed

	// stay ends when the session is to end.
	stay context.Context

	context  statement.SessionState
	newest   group.Position
	affinity uint64
	// server ran the latest request last, through a connection of the owner's pool, and tries counts the servers to which it was
	// offered.
	server string
	owner  string
	tries  int
	tx     *transaction
}

// transaction is an open transaction of a caller.
type transaction struct {
	readOnly bool
	route    document.Route
	// loan is nil until the first statement.
	loan *loan
	// wrote is true once a write was sent.
	wrote  bool
	failed bool
}

// loan is a connection that the session has, and the primary's term if the server was chosen as primary.
type loan struct {
	connection *Connection
	choice     dispatch.ToServer
	asPrimary  bool
	term       group.Term
	// state is the transaction state that the server reported last.
	state statement.TransactionState
	// used is true once steps were run.
	used bool
	// overdueAfter is when an answer of the server counts as lost; zero for the connections of other pools.
	overdueAfter time.Duration
}

// slowAfter returns when an answer is late enough to look for the cause.
func (l *loan) slowAfter() time.Duration {
	if _, isBorrowed := l.connection.owner(); isBorrowed {
		return slowOwner
	}
	return slowAnswer
}

// NewSession returns the session of an admitted caller.
func NewSession(m *SessionManager, c ClientConn, a organisation.Allowed) *Session {
	return &Session{manager: m, caller: c, admitted: a, stay: m.stay()}
}

// Run serves the caller until it leaves or the instance stops.
func (s *Session) Run(ctx context.Context) { s.run(ctx) }

func (s *Session) run(ctx context.Context) {
	defer s.caller.Close()
	defer s.dropTransaction()
	for {
		req, err := s.receive(ctx)
		var bad *BadRequestError
		switch {
		case errors.As(err, &bad):
			err = s.caller.Reply(statement.FailureResult(bad.Kind, bad.Text, s.state()))
		case err != nil:
			return
		default:
			err = s.caller.Reply(s.answer(ctx, req))
		}
		if err != nil {
			return
		}
	}
}

// receive waits for the next request. It ends a transaction that is idle for too long, and the session when the instance
// stops and no transaction is open.
func (s *Session) receive(ctx context.Context) (statement.Request, error) {
	if s.caller.HasBufferedRequest() {
		return s.caller.Receive(ctx)
	}
	waiting, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if s.tx != nil && s.tx.loan != nil {
		stop := s.manager.cfg.Timer.After(s.manager.transactionIdle(), func(time.Duration) { cancel(errIdle) })
		defer stop()
	}
	if s.tx == nil && s.manager.cfg.IsIsolated() {
		// Callers of an isolated instance are better served where they connect next.
		stop := s.manager.cfg.Timer.After(sendAwayAfter, func(time.Duration) { cancel(errStopping) })
		defer stop()
	}
	if s.tx == nil {
		stopped := context.AfterFunc(s.stay, func() { cancel(errStopping) })
		defer stopped()
	}
	req, err := s.caller.Receive(waiting)
	if err != nil && errors.Is(context.Cause(waiting), errIdle) && ctx.Err() == nil {
		s.fail()
		return s.caller.Receive(ctx)
	}
	return req, err
}

var (
	errIdle     = errors.New("the transaction was idle for too long")
	errStopping = errors.New("the instance stops")
)

func (s *Session) state() statement.TransactionState {
	switch {
	case s.tx == nil:
		return statement.Idle
	case s.tx.failed:
		return statement.Failed
	default:
		return statement.InTransaction
	}
}

// answer returns the answer to a request and records the decision.
func (s *Session) answer(ctx context.Context, req statement.Request) statement.Result {
	began := s.manager.cfg.Timer.Now()
	s.server, s.owner, s.tries = "", "", 0
	a := s.handle(ctx, req)
	s.manager.record(s, req, a, began)
	return a
}

// handle returns the answer to a request.
func (s *Session) handle(ctx context.Context, req statement.Request) statement.Result {
	if s.tx != nil && s.tx.failed {
		return s.handleFailed(req)
	}
	switch st := req.Statement.(type) {
	case statement.SetValue:
		s.context = s.context.WithValue(st.Name, st.Value)
		return s.done()
	case statement.Prepare:
		s.context = s.context.WithShape(st.Name, st.Shape)
		return s.done()
	case statement.Deallocate:
		return s.deallocate(st)
	case statement.Begin:
		return s.begin(ctx, st)
	case statement.Rollback:
		return s.rollback()
	case statement.Commit:
		return s.commit(ctx, req)
	default:
		return s.query(ctx, req)
	}
}

// handleFailed answers a request in a failed transaction, in which only its end is allowed.
func (s *Session) handleFailed(req statement.Request) statement.Result {
	switch req.Statement.(type) {
	case statement.Rollback:
		return s.rollback()
	case statement.Commit:
		s.tx = nil
		return statement.FailureResult(port.NotKept, "the transaction had failed and was rolled back", statement.Idle)
	default:
		return statement.FailureResult(port.Protocol, "the transaction has failed; end it first", statement.Failed)
	}
}

func (s *Session) done() statement.Result { return statement.Result{State: s.state()} }

func (s *Session) deallocate(st statement.Deallocate) statement.Result {
	if _, found := s.context.Shape(st.Name); !found {
		return statement.FailureResult(port.UnknownStatement, "no statement is prepared under this name", s.state())
	}
	s.context = s.context.WithoutShape(st.Name)
	return s.done()
}

func (s *Session) begin(ctx context.Context, st statement.Begin) statement.Result {
	if s.tx != nil {
		return statement.FailureResult(port.Protocol, "a transaction is open already", s.state())
	}
	route, refusal := s.enter(ctx)
	if !refusal.IsZero() {
		return statement.Result{Failure: refusal}
	}
	s.tx = &transaction{readOnly: st.ReadOnly, route: route}
	return s.done()
}

// rollback ends the transaction. The answer does not wait for the server: nothing of the transaction is kept.
func (s *Session) rollback() statement.Result {
	if s.tx == nil {
		return statement.FailureResult(port.Protocol, "no transaction is open", statement.Idle)
	}
	s.dropTransaction()
	return s.done()
}

// dropTransaction rolls back and gives the connection back.
func (s *Session) dropTransaction() {
	if s.tx != nil && s.tx.loan != nil {
		s.manager.abandon(s.tx.loan)
	}
	s.tx = nil
}

// fail leaves the transaction in the failed state, without its connection.
func (s *Session) fail() {
	s.dropTransaction()
	s.tx = &transaction{failed: true}
}

// enter checks the caller again by the document in force and takes one operation from the organisation's rate.
func (s *Session) enter(ctx context.Context) (document.Route, statement.Failure) {
	admitted, failure := s.manager.recheck(s.admitted)
	if !failure.IsZero() {
		return document.Route{}, failure
	}
	s.admitted = admitted
	if err := s.manager.cfg.RateLimiter.Take(ctx, admitted.Organisation); err != nil {
		return document.Route{}, failureOf(err)
	}
	return admitted.Route, statement.Failure{}
}

// failureOf tells an error to a caller.
func failureOf(err error) statement.Failure {
	return statement.Failure{Kind: port.KindOf(err), Text: err.Error()}
}
