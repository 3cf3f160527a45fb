package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/rhubarbwick/rhubarbwick/clientlimit"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/organisation"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

const (
	// defaultTimeout limits a statement if its route states no timeout.
	defaultTimeout = 5 * time.Second
	// defaultTransactionIdle limits how long a transaction may be idle if the document states no limit.
	defaultTransactionIdle = 3 * time.Second
	// leaseRenewalWait is how long a primary's answer is held back until the instance's lease on the primary is
	// renewed.
	leaseRenewalWait = 400 * time.Millisecond
	// isolatedIdleTimeout is how long a session of an isolated instance must be idle before it is closed. A client that
	// immediately repeats a refused request must not lose its session.
	isolatedIdleTimeout = 100 * time.Millisecond
)

// Session serves one client. Its fields are owned by run.
type Session struct {
	manager    *SessionManager
	client     ClientConn
	authorized organisation.Allowed
	// place limits what the session holds. It may be nil.
	place *clientlimit.Place

	// closing ends when the session must close.
	closing context.Context

	sessionState   statement.SessionState
	newestPosition group.Position
	affinity       uint64
	// server is the last server that ran the current request, and owner the owner of the connection's pool. attempts
	// counts the servers that were tried.
	server   string
	owner    string
	attempts int
	// spilled says what spill-over did with the current request.
	spilled SpillRecord
	tx      *transaction
	// lastAcquired is the connection that was acquired last.
	lastAcquired *acquiredConnection
}

// transaction is a client's open transaction.
type transaction struct {
	readOnly bool
	route    document.Route
	// acquired is nil until the first statement.
	acquired *acquiredConnection
	// wrote is true once a write has been sent.
	wrote  bool
	failed bool
	// unreported is why the transaction was ended between two statements; zero once the client was told.
	unreported statement.Failure
}

// NewSession returns the session of an authorized client.
func NewSession(m *SessionManager, c ClientConn, a organisation.Allowed, place *clientlimit.Place) *Session {
	return &Session{manager: m, client: c, authorized: a, place: place, closing: m.closingContext()}
}

// Run serves the client until it disconnects or the instance stops.
func (s *Session) Run(ctx context.Context) { s.run(ctx) }

func (s *Session) run(ctx context.Context) {
	defer s.client.Close()
	defer s.releaseLast()
	defer s.abortTransaction()
	for {
		req, err := s.receive(ctx)
		var bad *BadRequestError
		switch {
		case errors.As(err, &bad):
			err = s.client.Reply(statement.FailureResult(bad.Kind, bad.Text, s.state()))
		case err != nil:
			return
		case s.tx == nil && s.manager.refusesRequests():
			err = s.client.Reply(statement.FailureResult(port.Stopping, "the instance is stopping", statement.Idle))
			if !s.client.HasBufferedRequest() {
				return
			}
		default:
			err = s.answer(ctx, req)
		}
		if err != nil {
			return
		}
	}
}

// receive waits for the next request. It fails a transaction that is idle for too long, and ends the session if the
// instance stops while no transaction is open.
func (s *Session) receive(ctx context.Context) (statement.Request, error) {
	// A client that has sent the beginning of a request must complete it within the limit for idle transactions, too.
	isPartial := s.client.HasBufferedRequest()
	if isPartial && (s.tx == nil || s.tx.acquired == nil) {
		return s.client.Receive(ctx)
	}
	waitCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if s.tx != nil && s.tx.acquired != nil {
		stop := s.manager.cfg.Timer.After(s.manager.transactionIdle(), func(time.Duration) { cancel(errIdle) })
		defer stop()
		remove := s.manager.maintenance.add(s.tx.acquired.connection.Endpoint, cancel)
		defer remove()
	}
	if s.tx != nil && !s.tx.failed {
		remove := s.manager.keys.add(s.authorized, cancel)
		defer remove()
	}
	if s.tx == nil && s.manager.cfg.IsIsolated() {
		// A client of an isolated instance is served better by the instance that it connects to next.
		stop := s.manager.cfg.Timer.After(isolatedIdleTimeout, func(time.Duration) { cancel(errStopping) })
		defer stop()
	}
	closing := s.manager.ending
	if s.tx == nil {
		closing = s.closing
	}
	if !isPartial {
		stop := context.AfterFunc(closing, func() { cancel(errStopping) })
		defer stop()
	}
	req, err := s.client.Receive(waitCtx)
	if err == nil || ctx.Err() != nil {
		return req, err
	}
	switch cause := context.Cause(waitCtx); {
	case errors.Is(cause, errIdle):
		s.place.Report(clientlimit.IdleTransaction)
		s.failTransaction()
		return s.client.Receive(ctx)
	case errors.Is(cause, errWithdrawn), errors.Is(cause, errMaintenance):
		s.failTransaction()
		s.tx.unreported = failureOf(cause)
		return s.client.Receive(ctx)
	default:
		return req, err
	}
}

var (
	errIdle     = errors.New("the transaction was idle for too long")
	errStopping = errors.New("the instance is stopping")
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

// answer answers a request and records the result. It fails if the client cannot be reached.
func (s *Session) answer(ctx context.Context, req statement.Request) error {
	s.manager.activeRequests.Add(1)
	defer s.manager.activeRequests.Add(-1)
	start := s.manager.cfg.Timer.Now()
	s.server, s.owner, s.attempts, s.spilled = "", "", 0, SpillRecord{}
	a := s.handle(ctx, req)
	s.manager.record(s, req, a, start)
	return s.client.Reply(a)
}

// handle answers a request.
func (s *Session) handle(ctx context.Context, req statement.Request) statement.Result {
	if s.tx != nil && s.tx.failed {
		return s.handleFailed(req)
	}
	if s.tx != nil {
		if failure := s.manager.reauthorizeKey(s.authorized); !failure.IsZero() {
			return s.refuseInTransaction(req, failure)
		}
	}
	switch stmt := req.Statement.(type) {
	case statement.SetValue:
		return s.setState(s.sessionState.WithValue(stmt.Name, stmt.Value))
	case statement.Prepare:
		return s.setState(s.sessionState.WithShape(stmt.Name, stmt.Shape))
	case statement.Deallocate:
		return s.deallocate(stmt)
	case statement.Begin:
		return s.begin(ctx, stmt)
	case statement.Rollback:
		return s.rollback()
	case statement.Commit:
		return s.commit(ctx, req)
	default:
		return s.query(ctx, req)
	}
}

// handleFailed answers a request in a failed transaction, which can only be ended.
func (s *Session) handleFailed(req statement.Request) statement.Result {
	if failure := s.tx.unreported; !failure.IsZero() {
		s.tx.unreported = statement.Failure{}
		return s.refuseInTransaction(req, failure)
	}
	switch req.Statement.(type) {
	case statement.Rollback:
		return s.rollback()
	case statement.Commit:
		s.tx = nil
		return statement.FailureResult(port.NotKept, "the transaction had failed and was rolled back", statement.Idle)
	default:
		return statement.FailureResult(port.Protocol, "the transaction has failed; end it before running other statements", statement.Failed)
	}
}

// refuseInTransaction refuses a statement of a transaction and rolls the transaction back.
func (s *Session) refuseInTransaction(req statement.Request, f statement.Failure) statement.Result {
	switch req.Statement.(type) {
	case statement.Rollback:
		return s.rollback()
	case statement.Commit:
		s.abortTransaction()
		return statement.Result{Failure: f}
	default:
		return s.failStatement(f)
	}
}

func (s *Session) success() statement.Result { return statement.Result{State: s.state()} }

func (s *Session) deallocate(stmt statement.Deallocate) statement.Result {
	if _, found := s.sessionState.Shape(stmt.Name); !found {
		return statement.FailureResult(port.UnknownStatement, "no prepared statement has this name", s.state())
	}
	return s.setState(s.sessionState.WithoutShape(stmt.Name))
}

// setState replaces the state of the session, unless that exceeds a limit.
func (s *Session) setState(next statement.SessionState) statement.Result {
	err := s.manager.cfg.SessionLimits.Check(next)
	if err != nil {
		s.place.Report(clientlimit.SessionState)
	} else {
		err = s.place.SetState(next.Bytes())
	}
	if err != nil {
		return statement.Result{Failure: failureOf(err), State: s.state()}
	}
	s.sessionState = next
	return s.success()
}

func (s *Session) begin(ctx context.Context, stmt statement.Begin) statement.Result {
	if s.tx != nil {
		return statement.FailureResult(port.Protocol, "a transaction is already open", s.state())
	}
	route, refusal := s.authorize(ctx, false, !stmt.ReadOnly)
	if !refusal.IsZero() {
		return statement.Result{Failure: refusal}
	}
	s.tx = &transaction{readOnly: stmt.ReadOnly, route: route}
	return s.success()
}

// rollback ends the transaction. It does not wait for the server, because nothing of the transaction is kept either
// way.
func (s *Session) rollback() statement.Result {
	if s.tx == nil {
		return statement.FailureResult(port.Protocol, "no transaction is open", statement.Idle)
	}
	s.abortTransaction()
	return s.success()
}

// abortTransaction rolls back and releases the connection.
func (s *Session) abortTransaction() {
	if s.tx != nil && s.tx.acquired != nil {
		s.manager.rollback(s.tx.acquired)
	}
	s.tx = nil
}

// releaseLast releases the connection that a panic left acquired.
func (s *Session) releaseLast() {
	if s.lastAcquired != nil {
		s.manager.release(s.lastAcquired, false)
	}
}

// failTransaction puts the transaction into the failed state and releases its connection.
func (s *Session) failTransaction() {
	s.abortTransaction()
	s.tx = &transaction{failed: true}
}

// authorize authorizes the client again by the document in force and takes one operation from the organisation's rate. An
// operation that no server could run is refused before that: during an outage, repeated attempts would otherwise use up
// the rate of operations that can run.
func (s *Session) authorize(ctx context.Context, writes, plainTransaction bool) (document.Route, statement.Failure) {
	allowed, failure := s.manager.reauthorize(s.authorized)
	if !failure.IsZero() {
		return document.Route{}, failure
	}
	s.authorized = allowed
	if _, _, known := s.manager.cfg.Views.Primary(allowed.Route.Group); !known || !s.manager.maintenance.current().IsEmpty() {
		req := s.acquireRequest(allowed.Route, s.need(allowed.Route, writes, plainTransaction))
		if err := s.manager.cfg.Dispatcher.AwaitServer(ctx, req); err != nil {
			return document.Route{}, failureOf(err)
		}
	}
	if err := s.manager.cfg.RateLimiter.Take(ctx, allowed.Organisation); err != nil {
		return document.Route{}, failureOf(err)
	}
	return allowed.Route, statement.Failure{}
}

// failureOf converts an error to the failure reported to the client.
func failureOf(err error) statement.Failure {
	return statement.Failure{Kind: port.KindOf(err), Text: err.Error()}
}
