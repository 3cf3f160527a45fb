package proxy

import (
	"context"
	"errors"
	"sync"

	"github.com/rhubarbwick/rhubarbwick/clientlimit"
	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/organisation"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// LoanStream is the owner's end of a loan of a connection to another instance.
type LoanStream interface {
	// Receive returns the next request, or an error if the borrower ended the loan.
	Receive() (LoanRequest, error)
	Send(r LoanResult) error
}

// LoanRequest contains steps to run. Terms are set only in the first request of a loan.
type LoanRequest struct {
	Terms LoanTerms
	State statement.SessionState
	Steps []statement.Step
}

// bytes returns the memory of the request beyond what is not counted.
func (r LoanRequest) bytes() int64 {
	n := r.State.Bytes()
	for _, s := range r.Steps {
		n += s.Bytes()
	}
	return int64(max(n-clientlimit.UncountedMessage, 0))
}

// LoanResult is the result of a request: LoanAnswers, LoanRefusal or LoanConnectionLost.
type LoanResult interface{ loanResult() }

// LoanAnswers holds the answers to the steps, up to the first failure.
type LoanAnswers struct{ Answers []statement.Result }

// LoanRefusal reports that no server received any of the steps. OwnerUnavailable is true if the instance currently
// lends no connections.
type LoanRefusal struct {
	Kind             port.Kind
	Text             string
	OwnerUnavailable bool
	// Spill is set if the read was refused because of the server's load.
	Spill *SpillRefusal
}

// LoanConnectionLost holds the answers received before the connection was lost. The step after them may have run.
type LoanConnectionLost struct{ Answers []statement.Result }

func (LoanAnswers) loanResult()        {}
func (LoanRefusal) loanResult()        {}
func (LoanConnectionLost) loanResult() {}

// Lend lends a connection from this instance's pool. The loan lasts until a run leaves no transaction open or the
// borrower ends it; an open transaction is then rolled back. The returned error is the stream's.
func (m *SessionManager) Lend(ctx context.Context, stream LoanStream) error {
	m.sessions.Add(1)
	defer m.sessions.Done()
	defer m.Recover("instance")
	req, err := stream.Receive()
	if err != nil {
		return err
	}
	if m.draining.Err() != nil {
		return stream.Send(LoanRefusal{Kind: port.Stopping, Text: "the instance is stopping", OwnerUnavailable: true})
	}
	place := m.cfg.Guard.OpenLoan(req.Terms.Organisation)
	defer place.Close()
	if n := req.bytes(); n > 0 && !place.TakeMessage(n, false) {
		return stream.Send(LoanRefusal{Kind: port.Busy, Text: "too many large messages are being handled; try again"})
	}
	// The first request counts as active from here on, also while it waits for a connection.
	m.activeRequests.Add(1)
	endFirst := sync.OnceFunc(func() { m.activeRequests.Add(-1) })
	defer endFirst()
	conn, err := m.acquireLent(ctx, req.Terms, len(req.Steps))
	if err != nil {
		return stream.Send(LoanRefusal{Kind: port.KindOf(err), Text: err.Error(), Spill: spillRefusalOf(err)})
	}
	c := &lentConnection{manager: m, acquired: conn, stream: stream, endFirst: endFirst, place: place}
	return c.serve(ctx, req)
}

// acquireLent acquires a connection to the server in the terms, for a number of statements.
func (m *SessionManager) acquireLent(ctx context.Context, t LoanTerms, statements int) (*acquiredConnection, error) {
	grant, err := m.cfg.Dispatcher.Acquire(ctx, AcquireRequest{
		Organisation: t.Organisation, Need: dispatch.NeedServer{Name: t.Server}, Priority: t.Priority, ConnectionWait: t.Wait, Spill: t.Spill, Statements: statements,
	})
	if err != nil {
		return nil, err
	}
	return &acquiredConnection{
		connection: grant.Connection, choice: grant.Choice, overdueAfter: grant.OverdueAfter, granted: statements,
		clearance: organisation.LoanClearance{Organisation: t.Organisation, KeyID: t.KeyID, Revision: t.Revision},
	}, nil
}

// lentConnection is a connection that is lent to another instance.
type lentConnection struct {
	manager  *SessionManager
	acquired *acquiredConnection
	stream   LoanStream
	// endFirst is called when the first request was answered.
	endFirst func()
	// place limits the memory of the borrower's requests. It may be nil.
	place *clientlimit.Place
}

// serve runs the borrower's requests until the loan ends. Once transactions must end, it refuses further requests.
func (c *lentConnection) serve(ctx context.Context, req LoanRequest) error {
	// The connection is still acquired here only after a panic.
	defer c.manager.release(c.acquired, false)
	for {
		isOver, err := c.answer(ctx, req)
		c.place.GiveMessage(req.bytes())
		c.endFirst()
		if isOver || err != nil {
			return err
		}
		if req, err = c.stream.Receive(); err != nil {
			c.manager.rollback(c.acquired)
			return nil //nolint:nilerr // The borrower may end its loan at any time.
		}
		// A request of an open transaction is running work. There are no more of them than connections.
		c.place.HoldMessage(req.bytes())
		if c.manager.ending.Err() != nil {
			c.manager.rollback(c.acquired)
			return c.stream.Send(LoanRefusal{Kind: port.Stopping, Text: "the instance is stopping", OwnerUnavailable: true})
		}
	}
}

// answer runs one request and sends its result. It reports whether the loan is over.
func (c *lentConnection) answer(ctx context.Context, req LoanRequest) (isOver bool, err error) {
	c.manager.activeRequests.Add(1)
	defer c.manager.activeRequests.Add(-1)
	results, err := c.manager.run(ctx, c.acquired, req.State, req.Steps...)
	if failure, isDenied := denialOf(err); isDenied {
		c.manager.releaseAfter(c.acquired, outcomeDenied)
		return true, c.stream.Send(LoanRefusal{Kind: failure.Kind, Text: failure.Text})
	}
	if err != nil {
		c.manager.release(c.acquired, false)
		return true, c.stream.Send(failureResult(results, err))
	}
	isOver = c.acquired.state == statement.Idle
	if isOver {
		c.manager.release(c.acquired, true)
	}
	err = c.stream.Send(LoanAnswers{Answers: results})
	if err != nil && !isOver {
		c.manager.rollback(c.acquired)
	}
	return isOver, err
}

func failureResult(results []statement.Result, err error) LoanResult {
	var notSent *NotSentError
	if len(results) == 0 && errors.As(err, &notSent) {
		return LoanRefusal{Kind: port.KindOf(err), Text: err.Error()}
	}
	return LoanConnectionLost{Answers: results}
}
