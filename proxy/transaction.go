package proxy

import (
	"context"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// failStatement refuses a statement. In a transaction, the transaction has failed.
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
	answer, result := s.forward(ctx, s.tx.acquired, w)
	return s.finishStatement(w, answer, result)
}

// runFirstStatement opens the transaction at a server and runs its first statement there. A server that refuses either is
// replaced by another one.
func (s *Session) runFirstStatement(ctx context.Context, w *pendingStatement) statement.Result {
	need := s.need(s.tx.route, w.writes, !s.tx.readOnly)
	var last statement.Result
	for try := 0; try < maxAttempts; try++ {
		l, err := s.acquire(ctx, w, need)
		if err != nil {
			if last.Failure.IsZero() {
				last.Failure = failureOf(err)
			}
			break
		}
		answer, result := s.openAndForward(ctx, l, w)
		if result == outcomeFinal || (result == outcomeUnknown && w.writes) {
			s.tx.acquired = l
			return s.finishStatement(w, answer, result)
		}
		s.tx.acquired = nil
		s.manager.releaseAfter(l, result)
		last = answer
		if ctx.Err() != nil {
			break
		}
	}
	return s.failStatement(last.Failure)
}

// openAndForward starts the transaction on the loan's connection and runs its first statement.
func (s *Session) openAndForward(ctx context.Context, l *acquiredConnection, w *pendingStatement) (statement.Result, outcome) {
	s.tx.acquired = l
	answers, err := s.manager.run(ctx, l, s.context, s.openStep(l), s.step(l, w))
	switch {
	case err != nil:
		return connectionErrorAnswer(ctx, err)
	case len(answers) == 1:
		return s.evaluateOpen(ctx, l, w, answers[0])
	default:
		return s.evaluate(ctx, l, w, answers[1])
	}
}

func (s *Session) openStep(l *acquiredConnection) statement.Step {
	return statement.Step{Command: statement.OpenTransaction{ReadOnly: s.tx.readOnly, After: l.choice.MinPosition}}
}

// evaluateOpen decides what a server's refusal to start the transaction means.
func (s *Session) evaluateOpen(ctx context.Context, l *acquiredConnection, w *pendingStatement, a statement.Result) (statement.Result, outcome) {
	_, result := s.evaluate(ctx, l, w, a)
	if result == outcomeFinal {
		result = outcomeNotRun
	}
	return a, result
}

// finishStatement keeps or fails the transaction by what came of a statement.
func (s *Session) finishStatement(w *pendingStatement, answer statement.Result, result outcome) statement.Result {
	if result == outcomeFinal && answer.Failure.IsZero() {
		s.tx.wrote = s.tx.wrote || w.writes
		return answer.WithState(statement.InTransaction)
	}
	s.manager.releaseAfter(s.tx.acquired, result)
	s.tx.acquired = nil
	s.failTransaction()
	if answer.Failure.Kind == port.UnknownOutcome || answer.Failure.Kind == port.Lagging || result == outcomeUnknown {
		// Without a commit nothing is kept, whatever became of the statement.
		answer.Failure.Kind = port.NotKept
	}
	return answer.WithState(statement.Failed)
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

// commitWithoutStatements runs a transaction without a statement, because a commit succeeds only with a server's proof.
func (s *Session) commitWithoutStatements(ctx context.Context, w *pendingStatement) statement.Result {
	l, err := s.acquire(ctx, w, s.need(s.tx.route, false, !s.tx.readOnly))
	if err != nil {
		return statement.Result{Failure: failureOf(err)}
	}
	answers, err := s.manager.run(ctx, l, s.context, s.openStep(l))
	if err != nil {
		answer, result := connectionErrorAnswer(ctx, err)
		s.manager.releaseAfter(l, result)
		return answer.WithState(statement.Idle)
	}
	if !answers[0].Failure.IsZero() {
		answer, result := s.evaluateOpen(ctx, l, w, answers[0])
		s.manager.releaseAfter(l, result)
		return answer.WithState(statement.Idle)
	}
	return s.commitOn(ctx, l, w)
}

// commitOn sends the commit. A busy server has not run it, so it is sent again on the same connection.
func (s *Session) commitOn(ctx context.Context, l *acquiredConnection, w *pendingStatement) statement.Result {
	for {
		answers, err := s.manager.run(ctx, l, s.context, statement.Step{Command: statement.Forward{Request: w.req}})
		if err != nil {
			s.manager.cfg.Dispatcher.Return(l.connection, false)
			if !s.tx.wrote {
				return statement.FailureResult(port.NotKept, "the server did not answer the commit; nothing was written", statement.Idle)
			}
			return statement.FailureResult(port.UnknownOutcome, "the server's answer to the commit was lost", statement.Idle)
		}
		answer := answers[0]
		switch {
		case answer.Failure.IsZero():
			return s.confirmCommit(ctx, l, answer)
		case answer.Failure.Kind != port.Busy:
			s.manager.releaseAfter(l, outcomeNotRun)
			return answer.WithState(statement.Idle)
		}
		s.manager.cfg.Dispatcher.ReportBusy(l.connection.Endpoint.Server)
		if err := port.Sleep(ctx, s.manager.cfg.Timer, commitRetryDelay); err != nil {
			s.manager.releaseAfter(l, outcomeNotRun)
			return statement.FailureResult(port.NotKept, "the server was too busy to commit", statement.Idle)
		}
	}
}

// confirmCommit confirms a commit. A write is confirmed only if the server still led when the answer came.
func (s *Session) confirmCommit(ctx context.Context, l *acquiredConnection, answer statement.Result) statement.Result {
	s.manager.cfg.Dispatcher.Return(l.connection, true)
	if l.asPrimary && !s.manager.isStillPrimary(ctx, l) {
		if s.tx.wrote {
			return statement.FailureResult(port.UnknownOutcome, "the primary was replaced while it ran the commit", statement.Idle)
		}
		return statement.FailureResult(port.NotKept, "the primary was replaced; nothing was written", statement.Idle)
	}
	if s.tx.wrote {
		s.observePosition(answer.Position)
	}
	return answer.WithState(statement.Idle)
}
