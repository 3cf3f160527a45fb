package proxy

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/organisation"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

const (
	// maxAttempts limits how many times one statement is sent to a server.
	maxAttempts = 6
	// serverWaitDivisor and connectionWaitDivisor determine how long a statement waits while no server is suitable and
	// while no connection is free: the target latency divided by them. A client that is refused early can still retry
	// in time.
	serverWaitDivisor     = 4
	connectionWaitDivisor = 2
	// commitRetryDelay is the delay before a commit refused by a busy server is sent again on the same connection.
	commitRetryDelay = 15 * time.Millisecond
)

// pendingStatement is a client's statement that has to be run on a server.
type pendingStatement struct {
	req      statement.Request
	route    document.Route
	shape    *statement.Shape
	writes   bool
	excluded []string
	// mayMove is true while another server may run the statement after one that failed to.
	mayMove bool
	// placementDeadline is when the statement is refused if it has not been sent to a server; zero until the first
	// attempt.
	placementDeadline time.Duration
	// noServerWait is true if the statement is refused at once when no server is suitable.
	noServerWait bool
	// spill is the route of the next attempt between data centres.
	spill SpillRoute
}

// query answers a read, a write or an execution of a prepared statement.
func (s *Session) query(ctx context.Context, req statement.Request) statement.Result {
	w := &pendingStatement{req: req}
	switch stmt := req.Statement.(type) {
	case statement.Write:
		w.writes = true
	case statement.Execute:
		shape, found := s.sessionState.Shape(stmt.Name)
		if !found {
			return s.failStatement(statement.Failure{Kind: port.UnknownStatement, Text: "no prepared statement has this name"})
		}
		w.shape, w.writes = &shape, shape.Writes
	}
	if s.tx != nil {
		return s.queryInTransaction(ctx, w)
	}
	route, failure := s.authorize(ctx, w.writes, false)
	if !failure.IsZero() {
		return statement.Result{Failure: failure}
	}
	ctx, cancel := s.withTimeout(ctx, w, route)
	defer cancel()
	return s.runSingle(ctx, w)
}

// withTimeout returns a context that ends at the route's time limit for the statement.
func (s *Session) withTimeout(ctx context.Context, w *pendingStatement, route document.Route) (context.Context, context.CancelFunc) {
	timeout := route.Timeout()
	if timeout == 0 {
		timeout = defaultTimeout
	}
	w.route = route
	return port.WithTimeout(ctx, s.manager.cfg.Timer, timeout)
}

// runSingle runs a statement outside a transaction. If a server refuses it, another one is tried.
func (s *Session) runSingle(ctx context.Context, w *pendingStatement) statement.Result {
	need := s.need(w.route, w.writes, false)
	_, w.mayMove = need.(dispatch.NeedReader)
	var lastResult statement.Result
	s.offerSpillOver(w)
	for attempt := 0; attempt < maxAttempts; attempt++ {
		conn, err := s.acquire(ctx, w, need)
		if err != nil {
			if lastResult.Failure.IsZero() || port.KindOf(err) == port.Stopping {
				return statement.Result{Failure: failureOf(err)}
			}
			return lastResult
		}
		result, out := s.forward(ctx, conn, w)
		s.manager.release(conn, out.keepsConnection())
		switch out {
		case outcomeFinal, outcomeDenied:
			return result.WithState(statement.Idle)
		case outcomeUnknown:
			if w.writes {
				return statement.FailureResult(port.UnknownOutcome, "the server's answer to the write was lost", statement.Idle)
			}
			w.placementDeadline = 0
		case outcomeNotSent:
			if result.Failure.Kind == port.Busy && !w.isAdvised() {
				w.excluded = append(w.excluded, conn.connection.Endpoint.Server)
			}
		}
		lastResult = result.WithState(statement.Idle)
		if ctx.Err() != nil {
			break
		}
	}
	return lastResult
}

// outcome is what is known about a statement after it was sent to a server.
type outcome int

const (
	// outcomeFinal means that the server's answer is final.
	outcomeFinal outcome = iota
	// outcomeNotRun means that the server refused the statement and another one may run it.
	outcomeNotRun
	// outcomeUnknown means that the connection is unusable and the statement may have run.
	outcomeUnknown
	// outcomeNotSent means that the connection is unusable and no server ran the statement.
	outcomeNotSent
	// outcomeDenied means that the client may no longer run the statement. Nothing was sent.
	outcomeDenied
)

// keepsConnection reports whether the connection can be used again.
func (o outcome) keepsConnection() bool { return o != outcomeUnknown && o != outcomeNotSent }

// forward runs a statement on the acquired connection.
func (s *Session) forward(ctx context.Context, conn *acquiredConnection, w *pendingStatement) (statement.Result, outcome) {
	results, err := s.runWithSpillOver(ctx, conn, w)
	if err != nil {
		w.excludeInMaintenance(err, conn)
		return connectionErrorResult(ctx, err)
	}
	return s.evaluate(ctx, conn, w, results[0])
}

// step returns the step that runs the statement.
func (s *Session) step(conn *acquiredConnection, w *pendingStatement) statement.Step {
	command := statement.Forward{Request: w.req}
	if s.tx == nil && !w.writes {
		command.After = conn.choice.MinPosition
	}
	return statement.Step{Command: command, Shape: w.shape}
}

// connectionErrorResult returns the answer to a statement whose connection failed.
func connectionErrorResult(ctx context.Context, err error) (statement.Result, outcome) {
	if failure, isDenied := denialOf(err); isDenied {
		return statement.Result{Failure: failure, State: statement.Failed}, outcomeDenied
	}
	var notSent *NotSentError
	if errors.As(err, &notSent) {
		kind := port.KindOf(err)
		if kind != port.Busy && kind != port.NoPrimary {
			kind = port.NotKept
		}
		return statement.FailureResult(kind, err.Error(), statement.Failed), outcomeNotSent
	}
	return statement.FailureResult(connectionErrorKind(ctx), "the server did not answer", statement.Failed), outcomeUnknown
}

// denialOf returns the failure of a statement that the client may no longer run, according to this instance or to the
// owner of the pool.
func denialOf(err error) (statement.Failure, bool) {
	var denied *DeniedError
	if errors.As(err, &denied) {
		return denied.Failure, true
	}
	var notSent *NotSentError
	if errors.As(err, &notSent) && port.KindOf(err) == port.KeyRefused {
		return failureOf(notSent.Err), true
	}
	return statement.Failure{}, false
}

// connectionErrorKind distinguishes a statement that timed out from one whose connection was lost.
func connectionErrorKind(ctx context.Context) port.Kind {
	if ctx.Err() != nil {
		return port.Timeout
	}
	return port.NotKept
}

// evaluate determines the outcome from the server's answer.
func (s *Session) evaluate(ctx context.Context, conn *acquiredConnection, w *pendingStatement, a statement.Result) (statement.Result, outcome) {
	server := conn.connection.Endpoint.Server
	switch a.Failure.Kind {
	case "":
		return s.confirmPrimary(ctx, conn, w, a)
	case port.Busy:
		s.manager.cfg.Dispatcher.ReportBusy(server)
		w.excluded = append(w.excluded, server)
		return a, outcomeNotRun
	case port.Lagging:
		s.manager.cfg.Dispatcher.ReportLagging(server, conn.choice)
		w.excluded = append(w.excluded, server)
		return a, outcomeNotRun
	case port.ReadOnly:
		if conn.asPrimary {
			s.manager.cfg.Dispatcher.Suspect(server)
		}
		w.excluded = append(w.excluded, server)
		return a, outcomeNotRun
	case port.StatementFailed:
		if w.mayMove {
			// Some servers fail a part of their statements while they report that they are healthy. Nothing depends on a read
			// that failed, so another server runs it once.
			w.mayMove, w.excluded = false, append(w.excluded, server)
			return a, outcomeNotRun
		}
		return a, outcomeFinal
	case port.UnknownStatement:
		return a, outcomeNotSent
	default:
		return a, outcomeFinal
	}
}

// confirmPrimary forwards a success only if the server that ran the statement as primary was still the primary when the
// answer arrived.
func (s *Session) confirmPrimary(ctx context.Context, conn *acquiredConnection, w *pendingStatement, a statement.Result) (statement.Result, outcome) {
	if conn.asPrimary && !s.manager.isStillPrimary(ctx, conn) {
		if !w.writes {
			return statement.FailureResult(port.NotKept, "the primary was replaced while it ran the read", statement.Failed), outcomeNotRun
		}
		return statement.FailureResult(port.UnknownOutcome, "the primary was replaced while it ran the write", statement.Failed), outcomeFinal
	}
	if w.writes && s.tx == nil {
		s.observePosition(a.Position)
	}
	return a, outcomeFinal
}

// observePosition records the position that the session must read from now on.
func (s *Session) observePosition(p group.Position) {
	if p.Compare(s.newestPosition) > 0 {
		s.newestPosition = p
	}
}

// need returns what a statement or transaction on the route requires of a server.
func (s *Session) need(route document.Route, writes, plainTransaction bool) dispatch.Need {
	if writes || plainTransaction || route.Freshness == document.EveryWrite {
		return dispatch.NeedPrimary{}
	}
	need := dispatch.NeedReader{AcceptedAge: route.AcceptedAge()}
	if route.Freshness == document.OwnWrites {
		need.Own = s.newestPosition
	}
	return need
}

// acquireRequest returns the request for a connection for the first attempt of a statement on the route.
func (s *Session) acquireRequest(route document.Route, need dispatch.Need) AcquireRequest {
	target := route.TargetLatency()
	if target == 0 {
		target = defaultTimeout
	}
	req := AcquireRequest{
		Group: route.Group, Organisation: s.authorized.Organisation, KeyID: s.authorized.KeyID, Need: need, Priority: route.Priority,
		ConnectionWait: target / connectionWaitDivisor, ServerWait: target / serverWaitDivisor, Affinity: s.affinity,
		Homes: s.homes(route),
	}
	if s.manager.cfg.IsIsolated() {
		// No new primary can become known until the isolation ends.
		req.ServerWait = 0
	}
	return req
}

// acquire acquires a suitable connection for the statement.
func (s *Session) acquire(ctx context.Context, w *pendingStatement, need dispatch.Need) (*acquiredConnection, error) {
	now := s.manager.cfg.Timer.Now()
	req := s.acquireRequest(w.route, need)
	if w.placementDeadline == 0 {
		w.placementDeadline = now + req.ConnectionWait
	}
	req.ConnectionWait, req.Excluded = w.placementDeadline-now, slices.Clone(w.excluded)
	if w.noServerWait {
		req.ServerWait = 0
	}
	index, _ := s.manager.cfg.Documents.CurrentDocument()
	req.Revision, req.Spill = index.Document().Revision, w.spill
	req.Statements = 1
	if s.tx != nil {
		// The transaction is opened together with its first statement.
		req.Statements = 2
	}
	grant, err := s.manager.cfg.Dispatcher.Acquire(ctx, req)
	if err != nil {
		return nil, err
	}
	s.affinity = grant.Connection.ID
	owner, _ := grant.Connection.owner()
	s.server, s.owner, s.attempts = grant.Connection.Endpoint.Server, owner.Name, s.attempts+1
	conn := &acquiredConnection{
		connection: grant.Connection, choice: grant.Choice, overdueAfter: grant.OverdueAfter, granted: req.Statements,
		clearance: organisation.ClientClearance{Allowed: s.authorized}, spill: grant.Spill,
	}
	s.lastAcquired = conn
	if primary, term, ok := s.manager.cfg.Views.Primary(w.route.Group); ok && primary == grant.Connection.Endpoint.Server {
		conn.asPrimary, conn.term = true, term
	}
	if grant.Choice.MinPosition.IsZero() && !conn.asPrimary {
		s.manager.release(conn, true)
		return nil, port.Errorf(port.NoPrimary, "the primary of group %s was replaced", w.route.Group)
	}
	return conn, nil
}
