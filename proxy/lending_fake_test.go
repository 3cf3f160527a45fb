package proxy_test

import (
	"context"
	"errors"
	"sync"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/proxy"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

var _ proxy.RemotePools = (*clusterClient)(nil)

var errLoanEnded = errors.New("the borrower ended the loan")

// Borrow returns a loan from an instance of the cluster.
func (r *clusterClient) Borrow(owner proxy.Member, terms proxy.LoanTerms) proxy.RemoteLoan {
	r.cluster.loans.Add(1)
	r.cluster.mu.Lock()
	r.cluster.loansVia[owner.DataCentre]++
	r.cluster.mu.Unlock()
	return &fakeLoan{client: r, owner: owner, terms: terms}
}

// Abort does nothing: a fake loan ends with its run.
func (r *clusterClient) Abort(proxy.Member) {}

// fakeLoan is the borrower's end of a loan.
type fakeLoan struct {
	client *clusterClient
	owner  proxy.Member
	terms  proxy.LoanTerms
	stream *fakeLoanStream
}

type fakeLoanStream struct {
	requests chan proxy.LoanRequest
	results  chan proxy.LoanResult
	ended    chan struct{}
	once     sync.Once
	// ctx ends with the loan.
	ctx    context.Context
	cancel context.CancelFunc
}

// Run runs the steps at the owner.
func (l *fakeLoan) Run(ctx context.Context, values statement.SessionState, steps []statement.Step) ([]statement.Result, error) {
	owner, err := l.client.peer(ctx, l.owner.Address)
	if err != nil || owner.self.Incarnation != l.owner.Incarnation {
		return nil, &proxy.NotSentError{Err: port.Errorf(port.Unavailable, "the owner cannot be reached"), OwnerUnavailable: true}
	}
	if l.stream == nil {
		l.stream = &fakeLoanStream{
			requests: make(chan proxy.LoanRequest, 1), results: make(chan proxy.LoanResult, 1), ended: make(chan struct{}),
		}
		l.stream.ctx, l.stream.cancel = context.WithCancel(context.Background())
		go l.stream.run(owner)
	}
	l.stream.requests <- proxy.LoanRequest{Terms: l.terms, State: values, Steps: steps}
	select {
	case result := <-l.stream.results:
		if _, err := l.client.peer(ctx, l.owner.Address); err != nil {
			return nil, port.Errorf(port.Unavailable, "the owner's answer was lost")
		}
		return runResult(result)
	case <-ctx.Done():
		return nil, port.Errorf(port.Unavailable, "the owner did not answer")
	}
}

func runResult(r proxy.LoanResult) ([]statement.Result, error) {
	switch r := r.(type) {
	case proxy.LoanAnswers:
		return r.Answers, nil
	case proxy.LoanRefusal:
		return nil, r.NotSent()
	case proxy.LoanConnectionLost:
		return r.Answers, port.Errorf(port.Unavailable, "the connection was lost")
	default:
		return nil, port.Errorf(port.Internal, "unknown loan result")
	}
}

// Close ends the loan.
func (l *fakeLoan) Close() {
	if l.stream != nil {
		l.stream.once.Do(func() {
			close(l.stream.ended)
			l.stream.cancel()
		})
	}
}

// run handles the loan at the owner.
func (s *fakeLoanStream) run(owner *testInstance) { _ = owner.manager.Lend(s.ctx, s) }

// Receive returns the borrower's next request.
func (s *fakeLoanStream) Receive() (proxy.LoanRequest, error) {
	select {
	case req := <-s.requests:
		return req, nil
	case <-s.ended:
		return proxy.LoanRequest{}, errLoanEnded
	}
}

// Send sends a result.
func (s *fakeLoanStream) Send(r proxy.LoanResult) error {
	s.results <- r
	return nil
}
