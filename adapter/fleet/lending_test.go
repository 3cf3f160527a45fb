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

// patience is how long a call over loopback may take on a busy machine.
const patience = 20 * time.Second

// scriptedOwner answers the requests of loans by a script, and keeps what it was asked.
type scriptedOwner struct {
	results  []proxy.LoanResult
	requests chan proxy.LoanRequest
	ended    chan struct{}
}

// Lend answers with the next results, and waits for the borrower once there is none.
func (o *scriptedOwner) Lend(ctx context.Context, stream proxy.LoanStream) error {
	defer close(o.ended)
	for _, r := range o.results {
		req, err := stream.Receive()
		if err != nil {
			return err
		}
		o.requests <- req
		if r == nil {
			// The answer never comes.
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

// runner serves the owner's socket.
type runner struct{ server *fleet.Server }

func (r *runner) run() { r.server.Run() }

// newOwner serves an owner that answers with the results, and returns a loan from it.
func newOwner(t *testing.T, results ...proxy.LoanResult) (*scriptedOwner, *fleet.LendingClient, proxy.RemoteLoan) {
	t.Helper()
	o := &scriptedOwner{results: results, requests: make(chan proxy.LoanRequest, len(results)+1), ended: make(chan struct{})}
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &runner{server: fleet.NewServer(nil, o, nil, socket)}
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

// requireEnded fails when the owner's side of the loan goes on.
func requireEnded(t *testing.T, o *scriptedOwner) {
	t.Helper()
	select {
	case <-o.ended:
	case <-time.After(patience):
		require.Fail(t, "the owner was not told that the loan ended")
	}
}

// Guards against steps and answers that change on their way to the owner of a pool and back.
func TestLoanCarriesSteps(t *testing.T) {
	shape := statement.Shape{Writes: true, Text: "q\x002"}
	after := group.Position{Term: 3, Offset: 7}
	want := []statement.Result{
		{State: statement.InTransaction},
		{Rows: []string{"a b", "\xfe"}, Proof: "p", State: statement.InTransaction, Position: group.Position{Term: 3, Offset: 9}},
	}
	refused := []statement.Result{{Failure: statement.Failure{Kind: port.Lagging, Text: "i-1"}, State: statement.Idle}}
	o, _, loan := newOwner(t, proxy.LoanAnswers{Answers: want}, proxy.LoanAnswers{Answers: refused})
	values := statement.SessionState{}.WithValue("z", "1\xff")
	first := []statement.Step{
		{Command: statement.OpenTransaction{ReadOnly: true, After: after}},
		{
			Command: statement.Forward{
				Request: statement.Request{ID: "2", Statement: statement.Execute{Name: "left out", Arguments: "1a4 x"}}, After: after,
			},
			Shape: &shape,
		},
	}
	t.Run("a transaction is opened", func(t *testing.T) {
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
	t.Run("a failure is told", func(t *testing.T) {
		answers, err := loan.Run(t.Context(), values, []statement.Step{forward(statement.Commit{})})
		require.NoError(t, err)
		require.Equal(t, refused, answers)
		require.Equal(t, forward(statement.Commit{}), (<-o.requests).Steps[0])
	})
	requireEnded(t, o)
}

// Guards against an owner that keeps the transaction of a borrower that has left, and against a borrower that cannot stop:
// the transport does not notice a cancelled context while a request is open (seen in scale-1 of Umubyeyi).
func TestLoanEnds(t *testing.T) {
	open := []statement.Step{{Command: statement.OpenTransaction{}}}
	answer := proxy.LoanAnswers{Answers: []statement.Result{{State: statement.InTransaction}}}
	t.Run("when it is closed", func(t *testing.T) {
		o, _, loan := newOwner(t, answer, answer)
		_, err := loan.Run(t.Context(), statement.SessionState{}, open)
		require.NoError(t, err)
		loan.Close()
		requireEnded(t, o)
	})
	t.Run("when a later statement is given up", func(t *testing.T) {
		o, _, loan := newOwner(t, answer, nil)
		_, err := loan.Run(t.Context(), statement.SessionState{}, open)
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err = loan.Run(ctx, statement.SessionState{}, []statement.Step{forward(statement.Commit{})})
		requireMayHaveRun(t, err)
		requireEnded(t, o)
	})
}

// Guards against outcomes that promise too much, or that hide that nothing ran.
func TestLoanOutcomes(t *testing.T) {
	write := []statement.Step{forward(statement.Write{Text: "WRITE a 1"})}
	t.Run("a refusal says that nothing was sent", func(t *testing.T) {
		_, _, loan := newOwner(t, proxy.LoanRefusal{Kind: port.Stopping, Text: "the instance stops", OwnerUnavailable: true})
		_, err := loan.Run(t.Context(), statement.SessionState{}, write)
		unsent := requireUnsent(t, err)
		require.True(t, unsent.OwnerUnavailable)
		require.Equal(t, port.Stopping, port.KindOf(err))
	})
	t.Run("a lost connection does not", func(t *testing.T) {
		_, _, loan := newOwner(t, proxy.LoanConnectionLost{})
		_, err := loan.Run(t.Context(), statement.SessionState{}, write)
		requireMayHaveRun(t, err)
	})
	t.Run("an owner to which nothing connects has nothing", func(t *testing.T) {
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		address := socket.Addr().String()
		require.NoError(t, socket.Close())
		l := fleet.NewLendingClient(&net.Dialer{})
		t.Cleanup(l.Close)
		_, err = l.Borrow(proxy.Member{Address: address}, proxy.LoanTerms{}).Run(t.Context(), statement.SessionState{}, write)
		require.True(t, requireUnsent(t, err).OwnerUnavailable)
	})
	t.Run("an owner that is silent is given up in time, and told", func(t *testing.T) {
		o, _, loan := newOwner(t)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := loan.Run(ctx, statement.SessionState{}, write)
		requireMayHaveRun(t, err)
		requireEnded(t, o)
	})
}

func requireUnsent(t *testing.T, err error) *proxy.NotSentError {
	t.Helper()
	var unsent *proxy.NotSentError
	require.ErrorAs(t, err, &unsent)
	return unsent
}

func requireMayHaveRun(t *testing.T, err error) {
	t.Helper()
	var unsent *proxy.NotSentError
	require.Error(t, err)
	require.NotErrorAs(t, err, &unsent)
}
