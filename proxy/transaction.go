package proxy

import (
	"context"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// refuseInside refuses a statement. In a transaction, the transaction has failed.
func (s *Session) refuseInside(f statement.Failure) statement.Result {
	if s.tx == nil {
		return statement.Result{Failure: f}
	}
	s.fail()
	return statement.Result{Failure: f, State: statement.Failed}
}

// queryInside runs a statement of a transaction.
func (s *Session) queryInside(ctx context.Context, w *work) statement.Result {
	ctx, cancel := s.limit(ctx, w, s.tx.route)
	defer cancel()
	if s.tx.loan == nil {
		return s.runFirst(ctx, w)
	}
	answer, result := s.forward(ctx, s.tx.loan, w)
	return s.conclude(w, answer, result)
}

// runFirst opens the transaction at a server and runs its first statement there. A server that refuses either is
// replaced by another one.
func (s *Session) runFirst(ctx context.Context, w *work) statement.Result {
	need := s.need(s.tx.route, w.writes, !s.tx.readOnly)
	var last statement.Result
	for try := 0; try < maxTries; try++ {
		l, err := s.acquire(ctx, w, need)
		if err != nil {
			if last.Failure.IsZero() {
				last.Failure = failureOf(err)
			}
			break
		}
		answer, result := s.openAndForward(ctx, l, w)
		if result == ran || (result == lost && w.writes) {
			s.tx.loan = l
			return s.conclude(w, answer, result)
		}
		s.tx.loan = nil
		s.manager.abandonAfter(l, result)
		last = answer
		if ctx.Err() != nil {
			break
		}
	}
	return s.refuseInside(last.Failure)
}

// openAndForward starts the transaction on the loan's connection and runs its first statement.
func (s *Session) openAndForward(ctx context.Context, l *loan, w *work) (statement.Result, outcome) {
	s.tx.loan = l
	answers, err := s.manager.run(ctx, l, s.context, s.openStep(l), s.step(l, w))
	switch {
	case err != nil:
		return lostAnswer(ctx, err)
	case len(answers) == 1:
		return s.judgeOpen(ctx, l, w, answers[0])
	default:
		return s.judge(ctx, l, w, answers[1])
	}
}

func (s *Session) openStep(l *loan) statement.Step {
	return statement.Step{Command: statement.OpenTransaction{ReadOnly: s.tx.readOnly, After: l.choice.MinPosition}}
}

// judgeOpen decides what a server's refusal to start the transaction means.
func (s *Session) judgeOpen(ctx context.Context, l *loan, w *work, a statement.Result) (statement.Result, outcome) {
	_, result := s.judge(ctx, l, w, a)
	if result == ran {
		result = notRun
	}
	return a, result
}

// conclude keeps or fails the transaction by what came of a statement.
func (s *Session) conclude(w *work, answer statement.Result, result outcome) statement.Result {
	if result == ran && answer.Failure.IsZero() {
		s.tx.wrote = s.tx.wrote || w.writes
		return answer.WithState(statement.InTransaction)
	}
	s.manager.abandonAfter(s.tx.loan, result)
	s.tx.loan = nil
	s.fail()
	if answer.Failure.Kind == port.UnknownOutcome || answer.Failure.Kind == port.Lagging || result == lost {
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
	w := &work{req: req}
	ctx, cancel := s.limit(ctx, w, s.tx.route)
	defer cancel()
	defer func() { s.tx = nil }()
	if s.tx.loan == nil {
		return s.commitEmpty(ctx, w)
	}
	return s.commitAt(ctx, s.tx.loan, w)
}

// commitEmpty runs a transaction without a statement, because a commit succeeds only with a server's proof.
func (s *Session) commitEmpty(ctx context.Context, w *work) statement.Result {
	l, err := s.acquire(ctx, w, s.need(s.tx.route, false, !s.tx.readOnly))
	if err != nil {
		return statement.Result{Failure: failureOf(err)}
	}
	answers, err := s.manager.run(ctx, l, s.context, s.openStep(l))
	if err != nil {
		answer, result := lostAnswer(ctx, err)
		s.manager.abandonAfter(l, result)
		return answer.WithState(statement.Idle)
	}
	if !answers[0].Failure.IsZero() {
		answer, result := s.judgeOpen(ctx, l, w, answers[0])
		s.manager.abandonAfter(l, result)
		return answer.WithState(statement.Idle)
	}
	return s.commitAt(ctx, l, w)
}

// commitAt sends the commit. A busy server has not run it, so it is sent again on the same connection.
func (s *Session) commitAt(ctx context.Context, l *loan, w *work) statement.Result {
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
			return s.committed(ctx, l, answer)
		case answer.Failure.Kind != port.Busy:
			s.manager.abandonAfter(l, notRun)
			return answer.WithState(statement.Idle)
		}
		s.manager.cfg.Dispatcher.Refused(l.connection.Endpoint.Server)
		if err := port.Sleep(ctx, s.manager.cfg.Timer, commitRetry); err != nil {
			s.manager.abandonAfter(l, notRun)
			return statement.FailureResult(port.NotKept, "the server was too busy to commit", statement.Idle)
		}
	}
}

// committed confirms a commit. A write is confirmed only if the server still led when the answer came.
func (s *Session) committed(ctx context.Context, l *loan, answer statement.Result) statement.Result {
	s.manager.cfg.Dispatcher.Return(l.connection, true)
	if l.asPrimary && !s.manager.stillLeads(ctx, l) {
		if s.tx.wrote {
			return statement.FailureResult(port.UnknownOutcome, "the primary was replaced while it ran the commit", statement.Idle)
		}
		return statement.FailureResult(port.NotKept, "the primary was replaced; nothing was written", statement.Idle)
	}
	if s.tx.wrote {
		s.see(answer.Position)
	}
	return answer.WithState(statement.Idle)
}
