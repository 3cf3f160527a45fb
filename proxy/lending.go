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
	Values statement.SessionState
	Steps  []statement.Step
}

// LoanResult is what came of a request. It is one of LoanAnswers, LoanRefusal and LoanLost.
type LoanResult interface{ loanResult() }

// LoanAnswers holds the answers to the steps up to the first failure.
type LoanAnswers struct{ Answers []statement.Result }

// LoanRefusal says that no server has any of the steps. Closed is true when the instance lends nothing at present.
type LoanRefusal struct {
	Kind             port.Kind
	Text             string
	OwnerUnavailable bool
}

// LoanConnectionLost holds the answers to the steps before the connection was lost. The next step may have run.
type LoanConnectionLost struct{ Answers []statement.Result }

func (LoanAnswers) loanResult()        {}
func (LoanRefusal) loanResult()        {}
func (LoanConnectionLost) loanResult() {}

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
		return stream.Send(LoanRefusal{Kind: port.Stopping, Text: "the instance stops", OwnerUnavailable: true})
	}
	l, err := m.lend(ctx, req.Terms)
	if err != nil {
		return stream.Send(LoanRefusal{Kind: port.KindOf(err), Text: err.Error()})
	}
	v := &lentConnection{manager: m, loan: l, stream: stream}
	return v.serve(ctx, req)
}

// lend gets a connection to the server of the terms.
func (m *SessionManager) lend(ctx context.Context, t LoanTerms) (*loan, error) {
	grant, err := m.cfg.Dispatcher.Acquire(ctx, Want{
		Organisation: t.Organisation, Need: dispatch.NeedServer{Name: t.Server}, Priority: t.Priority, ConnectionWait: t.Wait,
	})
	if err != nil {
		return nil, err
	}
	return &loan{connection: grant.Connection, choice: grant.Choice, overdueAfter: grant.OverdueAfter}, nil
}

// lentConnection is a connection that another instance uses.
type lentConnection struct {
	manager *SessionManager
	loan    *loan
	stream  LoanStream
}

// serve runs the borrower's requests until the loan ends.
func (v *lentConnection) serve(ctx context.Context, req LoanRequest) error {
	for {
		answers, err := v.manager.run(ctx, v.loan, req.Values, req.Steps...)
		if err != nil {
			v.manager.cfg.Dispatcher.Return(v.loan.connection, false)
			return v.stream.Send(lostResult(answers, err))
		}
		isOver := v.loan.state == statement.Idle
		if isOver {
			v.manager.cfg.Dispatcher.Return(v.loan.connection, true)
		}
		if err := v.stream.Send(LoanAnswers{Answers: answers}); err != nil || isOver {
			if !isOver {
				v.manager.abandon(v.loan)
			}
			return err
		}
		if req, err = v.stream.Receive(); err != nil {
			v.manager.abandon(v.loan)
			return nil //nolint:nilerr // A borrower may end its loan at any time.
		}
	}
}

func lostResult(answers []statement.Result, err error) LoanResult {
	var unsent *NotSentError
	if len(answers) == 0 && errors.As(err, &unsent) {
		return LoanRefusal{Kind: port.KindOf(err), Text: err.Error()}
	}
	return LoanConnectionLost{Answers: answers}
}
