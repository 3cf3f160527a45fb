package fleet_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/fleet"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/proxy"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// callTimeout is how long a call over loopback may take. It is long because the machine may be busy.
const callTimeout = 20 * time.Second

// fakeOwner answers loan requests with predefined results and records the requests.
type fakeOwner struct {
	results  []proxy.LoanResult
	requests chan proxy.LoanRequest
	ended    chan struct{}
}

// Lend answers each request with the next result; a nil result is never sent. With no results at all, it waits until the
// borrower ends the loan.
func (o *fakeOwner) Lend(ctx context.Context, stream proxy.LoanStream) error {
	defer close(o.ended)
	for _, r := range o.results {
		req, err := stream.Receive()
		if err != nil {
			return err
		}
		o.requests <- req
		if r == nil {
			// The response is never sent.
			<-ctx.Done()
			return ctx.Err()
		}
		if err := stream.Send(r); err != nil {
			return err
		}
	}
	if len(o.results) > 0 {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// serverRun runs the owner's server in a goroutine.
type serverRun struct{ server *fleet.Server }

func (r *serverRun) run() { r.server.Run() }

// newFakeOwner starts an owner that answers with the results, and returns a loan from it.
func newFakeOwner(t *testing.T, results ...proxy.LoanResult) (*fakeOwner, *fleet.LendingClient, proxy.RemoteLoan) {
	t.Helper()
	o := &fakeOwner{results: results, requests: make(chan proxy.LoanRequest, len(results)+1), ended: make(chan struct{})}
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &serverRun{server: fleet.NewServer(nil, o, nil, socket, nil)}
	go s.run()
	t.Cleanup(s.server.Close)
	l := fleet.NewLendingClient(&net.Dialer{})
	t.Cleanup(l.Close)
	terms := proxy.LoanTerms{Server: "i-1", Organisation: "clinic", Priority: 2, Wait: 75 * time.Millisecond}
	return o, l, l.Borrow(proxy.Member{Address: socket.Addr().String()}, terms)
}

func forward(st statement.Statement) statement.Step {
	return statement.Step{Command: statement.Forward{Request: statement.Request{ID: "\xff1", Statement: st}}}
}

// requireLoanEnded fails if the owner's side of the loan does not end.
func requireLoanEnded(t *testing.T, o *fakeOwner) {
	t.Helper()
	select {
	case <-o.ended:
	case <-time.After(callTimeout):
		require.Fail(t, "the loan did not end at the owner")
	}
}

// Guards against steps and results that are modified between the borrower and the owner of a pool.
func TestLoanTransfersSteps(t *testing.T) {
	shape := statement.Shape{Writes: true, Text: "q\x002"}
	after := group.Position{Term: 3, Offset: 7}
	want := []statement.Result{
		{State: statement.InTransaction},
		{Rows: []string{"a b", "\xfe"}, Proof: "p", State: statement.InTransaction, Position: group.Position{Term: 3, Offset: 9}},
	}
	refused := []statement.Result{{Failure: statement.Failure{Kind: port.Lagging, Text: "i-1"}, State: statement.Idle}}
	o, _, loan := newFakeOwner(t, proxy.LoanAnswers{Answers: want}, proxy.LoanAnswers{Answers: refused})
	values := statement.SessionState{}.WithValue("z", "1\xff")
	first := []statement.Step{
		{Command: statement.OpenTransaction{ReadOnly: true, After: after}},
		{
			Command: statement.Forward{
				Request: statement.Request{ID: "2", Statement: statement.Execute{Name: "not sent", Arguments: "1a4 x"}}, After: after,
			},
			Shape: &shape,
		},
	}
	t.Run("opens a transaction", func(t *testing.T) {
		answers, err := loan.Run(t.Context(), values, first)
		require.NoError(t, err)
		require.Equal(t, want, answers)
		req := <-o.requests
		require.Equal(t, proxy.LoanTerms{Server: "i-1", Organisation: "clinic", Priority: 2, Wait: 75 * time.Millisecond}, req.Terms)
		require.Equal(t, values.Values(), req.State.Values())
		require.Equal(t, first[0], req.Steps[0])
		got := req.Steps[1].Command.(statement.Forward)
		require.Equal(t, statement.Execute{Arguments: "1a4 x"}, got.Request.Statement)
		require.Equal(t, shape, *req.Steps[1].Shape)
		require.Equal(t, after, got.After)
	})
	t.Run("returns a failure", func(t *testing.T) {
		answers, err := loan.Run(t.Context(), values, []statement.Step{forward(statement.Commit{})})
		require.NoError(t, err)
		require.Equal(t, refused, answers)
		require.Equal(t, forward(statement.Commit{}), (<-o.requests).Steps[0])
	})
	requireLoanEnded(t, o)
}

// Guards against an owner that keeps the transaction of a borrower that has ended its loan, and against a borrower that
// blocks: the transport does not notice a cancelled context while a request is open.
func TestLoanEnds(t *testing.T) {
	open := []statement.Step{{Command: statement.OpenTransaction{}}}
	answer := proxy.LoanAnswers{Answers: []statement.Result{{State: statement.InTransaction}}}
	t.Run("when it is closed", func(t *testing.T) {
		o, _, loan := newFakeOwner(t, answer, answer)
		_, err := loan.Run(t.Context(), statement.SessionState{}, open)
		require.NoError(t, err)
		loan.Close()
		requireLoanEnded(t, o)
	})
	t.Run("when a later statement is cancelled", func(t *testing.T) {
		o, _, loan := newFakeOwner(t, answer, nil)
		_, err := loan.Run(t.Context(), statement.SessionState{}, open)
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err = loan.Run(ctx, statement.SessionState{}, []statement.Step{forward(statement.Commit{})})
		requireMayHaveRun(t, err)
		requireLoanEnded(t, o)
	})
}

// Guards against an error that claims that nothing was sent when steps may have run, and the reverse.
func TestLoanOutcomes(t *testing.T) {
	write := []statement.Step{forward(statement.Write{Text: "WRITE a 1"})}
	t.Run("refusal means that nothing was sent", func(t *testing.T) {
		_, _, loan := newFakeOwner(t, proxy.LoanRefusal{Kind: port.Stopping, Text: "the instance stops", OwnerUnavailable: true})
		_, err := loan.Run(t.Context(), statement.SessionState{}, write)
		notSent := requireNotSent(t, err)
		require.True(t, notSent.OwnerUnavailable)
		require.Equal(t, port.Stopping, port.KindOf(err))
	})
	t.Run("lost connection means that steps may have run", func(t *testing.T) {
		_, _, loan := newFakeOwner(t, proxy.LoanConnectionLost{})
		_, err := loan.Run(t.Context(), statement.SessionState{}, write)
		requireMayHaveRun(t, err)
	})
	t.Run("failed dial means that nothing was sent", func(t *testing.T) {
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		address := socket.Addr().String()
		require.NoError(t, socket.Close())
		l := fleet.NewLendingClient(&net.Dialer{})
		t.Cleanup(l.Close)
		_, err = l.Borrow(proxy.Member{Address: address}, proxy.LoanTerms{}).Run(t.Context(), statement.SessionState{}, write)
		require.True(t, requireNotSent(t, err).OwnerUnavailable)
	})
	t.Run("unresponsive owner: the run times out and the loan ends", func(t *testing.T) {
		o, _, loan := newFakeOwner(t)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := loan.Run(ctx, statement.SessionState{}, write)
		requireMayHaveRun(t, err)
		requireLoanEnded(t, o)
	})
}

func requireNotSent(t *testing.T, err error) *proxy.NotSentError {
	t.Helper()
	var notSent *proxy.NotSentError
	require.ErrorAs(t, err, &notSent)
	return notSent
}

func requireMayHaveRun(t *testing.T, err error) {
	t.Helper()
	var notSent *proxy.NotSentError
	require.Error(t, err)
	require.NotErrorAs(t, err, &notSent)
}
