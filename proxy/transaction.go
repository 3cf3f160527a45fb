package proxy

import (
	"context"
	"errors"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// failStatement refuses a statement. An open transaction fails.
func (s *Session) failStatement(f statement.Failure) statement.Result {
	if s.tx == nil {
		return statement.Result{Failure: f}
	}
	s.failTransaction()
	return statement.Result{Failure: f, State: statement.Failed}
}

// queryInTransaction runs a statement of a transaction.
func (s *Session) queryInTransaction(ctx context.Context, w *pendingStatement) statement.Result {
	ctx, cancel := s.withTimeout(ctx, w, s.tx.route)
	defer cancel()
	if s.tx.acquired == nil {
		return s.runFirstStatement(ctx, w)
	}
	w.mayMove = false
	result, out := s.forward(ctx, s.tx.acquired, w)
	return s.finishStatement(w, result, out)
}

// runFirstStatement starts the transaction at a server and runs its first statement there. If the server refuses
// either, another one is tried.
func (s *Session) runFirstStatement(ctx context.Context, w *pendingStatement) statement.Result {
	need := s.need(s.tx.route, w.writes, !s.tx.readOnly)
	_, w.mayMove = need.(dispatch.NeedReader)
	var lastResult statement.Result
	for attempt := 0; attempt < maxAttempts; attempt++ {
		conn, err := s.acquire(ctx, w, need)
		if err != nil {
			if lastResult.Failure.IsZero() {
				lastResult.Failure = failureOf(err)
			}
			break
		}
		result, out := s.openAndForward(ctx, conn, w)
		if out == outcomeFinal || (out == outcomeUnknown && w.writes) {
			s.tx.acquired = conn
			return s.finishStatement(w, result, out)
		}
		s.tx.acquired = nil
		s.manager.releaseAfter(conn, out)
		lastResult = result
		if ctx.Err() != nil || out == outcomeDenied {
			break
		}
	}
	return s.failStatement(lastResult.Failure)
}

// openAndForward starts the transaction on the acquired connection and runs its first statement.
func (s *Session) openAndForward(ctx context.Context, conn *acquiredConnection, w *pendingStatement) (statement.Result, outcome) {
	s.tx.acquired = conn
	results, err := s.manager.run(ctx, conn, s.sessionState, s.openStep(conn), s.step(conn, w))
	switch {
	case err != nil:
		w.excludeInMaintenance(err, conn)
		return connectionErrorResult(ctx, err)
	case len(results) == 1:
		return s.evaluateOpen(ctx, conn, w, results[0])
	default:
		return s.evaluate(ctx, conn, w, results[1])
	}
}

func (s *Session) openStep(conn *acquiredConnection) statement.Step {
	return statement.Step{Command: statement.OpenTransaction{ReadOnly: s.tx.readOnly, After: conn.choice.MinPosition}}
}

// evaluateOpen determines the outcome of a server's refusal to start the transaction.
func (s *Session) evaluateOpen(ctx context.Context, conn *acquiredConnection, w *pendingStatement, a statement.Result) (statement.Result, outcome) {
	_, out := s.evaluate(ctx, conn, w, a)
	if out == outcomeFinal {
		out = outcomeNotRun
	}
	return a, out
}

// finishStatement keeps or fails the transaction, depending on the outcome of a statement.
func (s *Session) finishStatement(w *pendingStatement, result statement.Result, out outcome) statement.Result {
	if out == outcomeFinal && result.Failure.IsZero() {
		s.tx.wrote = s.tx.wrote || w.writes
		return result.WithState(statement.InTransaction)
	}
	s.manager.releaseAfter(s.tx.acquired, out)
	s.tx.acquired = nil
	s.failTransaction()
	if result.Failure.Kind == port.UnknownOutcome || result.Failure.Kind == port.Lagging || out == outcomeUnknown {
		// Without a commit nothing is kept, whatever the outcome of the statement.
		result.Failure.Kind = port.NotKept
	}
	return result.WithState(statement.Failed)
}

// commit ends the transaction at its server.
func (s *Session) commit(ctx context.Context, req statement.Request) statement.Result {
	if s.tx == nil {
		return statement.FailureResult(port.Protocol, "no transaction is open", statement.Idle)
	}
	w := &pendingStatement{req: req}
	ctx, cancel := s.withTimeout(ctx, w, s.tx.route)
	defer cancel()
	defer func() { s.tx = nil }()
	if s.tx.acquired == nil {
		return s.commitWithoutStatements(ctx, w)
	}
	return s.commitOn(ctx, s.tx.acquired, w)
}

// commitWithoutStatements runs an empty transaction, because a commit succeeds only with a server's proof.
func (s *Session) commitWithoutStatements(ctx context.Context, w *pendingStatement) statement.Result {
	conn, err := s.acquire(ctx, w, s.need(s.tx.route, false, !s.tx.readOnly))
	if err != nil {
		return statement.Result{Failure: failureOf(err)}
	}
	results, err := s.manager.run(ctx, conn, s.sessionState, s.openStep(conn))
	if err != nil {
		result, out := connectionErrorResult(ctx, err)
		s.manager.releaseAfter(conn, out)
		return result.WithState(statement.Idle)
	}
	if !results[0].Failure.IsZero() {
		result, out := s.evaluateOpen(ctx, conn, w, results[0])
		s.manager.releaseAfter(conn, out)
		return result.WithState(statement.Idle)
	}
	return s.commitOn(ctx, conn, w)
}

// commitOn sends the commit. A busy server has not run it, so it is sent again on the same connection.
func (s *Session) commitOn(ctx context.Context, conn *acquiredConnection, w *pendingStatement) statement.Result {
	for {
		results, err := s.manager.run(ctx, conn, s.sessionState, statement.Step{Command: statement.Forward{Request: w.req}})
		if failure, isDenied := denialOf(err); isDenied {
			s.manager.releaseAfter(conn, outcomeDenied)
			return statement.Result{Failure: failure}
		}
		if err != nil {
			s.manager.release(conn, false)
			var notSent *NotSentError
			if errors.As(err, &notSent) {
				return statement.FailureResult(port.NotKept, "the commit was not sent to the server", statement.Idle)
			}
			if !s.tx.wrote {
				return statement.FailureResult(port.NotKept, "the server did not answer the commit; the transaction wrote nothing", statement.Idle)
			}
			return statement.FailureResult(port.UnknownOutcome, "the server's answer to the commit was lost", statement.Idle)
		}
		result := results[0]
		switch {
		case result.Failure.IsZero():
			return s.confirmCommit(ctx, conn, result)
		case result.Failure.Kind != port.Busy:
			s.manager.releaseAfter(conn, outcomeNotRun)
			return result.WithState(statement.Idle)
		}
		s.manager.cfg.Dispatcher.ReportBusy(conn.connection.Endpoint.Server)
		if err := port.Sleep(ctx, s.manager.cfg.Timer, commitRetryDelay); err != nil {
			s.manager.releaseAfter(conn, outcomeNotRun)
			return statement.FailureResult(port.NotKept, "the server was too busy to commit", statement.Idle)
		}
	}
}

// confirmCommit confirms a commit. A write is confirmed only if the server was still the primary when the answer
// arrived.
func (s *Session) confirmCommit(ctx context.Context, conn *acquiredConnection, result statement.Result) statement.Result {
	s.manager.release(conn, true)
	if conn.asPrimary && !s.manager.isStillPrimary(ctx, conn) {
		if s.tx.wrote {
			return statement.FailureResult(port.UnknownOutcome, "the primary was replaced while it ran the commit", statement.Idle)
		}
		return statement.FailureResult(port.NotKept, "the primary was replaced; the transaction wrote nothing", statement.Idle)
	}
	if s.tx.wrote {
		s.observePosition(result.Position)
	}
	return result.WithState(statement.Idle)
}
