package proxy

import (
	"context"
	"errors"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// LoanStream carries one loan of a connection to another instance.
type LoanStream interface {
	// Receive returns the next request, or an error when the borrower ended the loan.
	Receive() (LoanRequest, error)
	Send(r LoanResult) error
}

// LoanRequest asks for steps. Terms are set in the first request of a loan.
type LoanRequest struct {
	Terms  LoanTerms
	Values statement.Context
	Steps  []statement.Step
}

// LoanResult is what came of a request. It is one of LoanAnswers, LoanRefusal and LoanLost.
type LoanResult interface{ loanResult() }

// LoanAnswers holds the answers to the steps up to the first failure.
type LoanAnswers struct{ Answers []statement.Answer }

// LoanRefusal says that no server has any of the steps. Closed is true when the instance lends nothing at present.
type LoanRefusal struct {
	Kind   port.Kind
	Text   string
	Closed bool
}

// LoanLost holds the answers to the steps before the connection was lost. The next step may have run.
type LoanLost struct{ Answers []statement.Answer }

func (LoanAnswers) loanResult() {}
func (LoanRefusal) loanResult() {}
func (LoanLost) loanResult()    {}

// Lend lends a connection of this instance's pool. The loan lasts until a run leaves no transaction open or the borrower
// ends it; what is open then is rolled back. The error is that of the stream.
func (m *SessionManager) Lend(ctx context.Context, stream LoanStream) error {
	m.sessions.Add(1)
	defer m.sessions.Done()
	req, err := stream.Receive()
	if err != nil {
		return err
	}
	if m.draining.Err() != nil {
		return stream.Send(LoanRefusal{Kind: port.Stopping, Text: "the instance stops", Closed: true})
	}
	l, err := m.acquireLent(ctx, req.Terms)
	if err != nil {
		return stream.Send(LoanRefusal{Kind: port.KindOf(err), Text: err.Error()})
	}
	v := &lentConnection{manager: m, acquired: l, stream: stream}
	return v.serve(ctx, req)
}

// acquireLent gets a connection to the server of the terms.
func (m *SessionManager) acquireLent(ctx context.Context, t LoanTerms) (*acquiredConnection, error) {
	grant, err := m.cfg.Dispatcher.Acquire(ctx, AcquireRequest{
		Organisation: t.Organisation, Need: dispatch.NeedServer{Name: t.Server}, Priority: t.Priority, ConnectionWait: t.Wait,
	})
	if err != nil {
		return nil, err
	}
	return &acquiredConnection{connection: grant.Connection, choice: grant.Choice, overdueAfter: grant.OverdueAfter}, nil
}

// lentConnection is a connection that another instance uses.
type lentConnection struct {
	manager  *SessionManager
	acquired *acquiredConnection
	stream   LoanStream
}

// serve runs the borrower's requests until the loan ends.
func (v *lentConnection) serve(ctx context.Context, req LoanRequest) error {
	for {
		answers, err := v.manager.run(ctx, v.acquired, req.Values, req.Steps...)
		if err != nil {
			v.manager.cfg.Dispatcher.Return(v.acquired.connection, false)
			return v.stream.Send(failureResult(answers, err))
		}
		isOver := v.acquired.state == statement.Idle
		if isOver {
			v.manager.cfg.Dispatcher.Return(v.acquired.connection, true)
		}
		if err := v.stream.Send(LoanAnswers{Answers: answers}); err != nil || isOver {
			if !isOver {
				v.manager.rollback(v.acquired)
			}
			return err
		}
		if req, err = v.stream.Receive(); err != nil {
			v.manager.rollback(v.acquired)
			return nil //nolint:nilerr // A borrower may end its loan at any time.
		}
	}
}

func failureResult(answers []statement.Answer, err error) LoanResult {
	var unsent *Unsent
	if len(answers) == 0 && errors.As(err, &unsent) {
		return LoanRefusal{Kind: port.KindOf(err), Text: err.Error()}
	}
	return LoanLost{Answers: answers}
}
