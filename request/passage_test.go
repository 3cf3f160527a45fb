package request_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/request"
)

// Guards against a request that is sent twice, a refusal that is not true, and a session that is cut although it could
// go on.
func TestPassageAfterLoss(t *testing.T) {
	asked, written := request.Received{}, request.Written{Synchronised: true}
	done, begun := request.Answered{}, request.Answered{InTransaction: true}
	part := request.Written{}
	requireAfterLoss[request.Reconnect](t, "nothing asked")
	requireAfterLoss[request.Resend](t, "asked", asked)
	requireAfterLoss[request.CloseUnknown](t, "written", asked, written)
	requireAfterLoss[request.Reconnect](t, "answered", asked, written, done)
	requireAfterLoss[request.CloseUnknown](t, "first of two answered", asked, written, asked, written, done)
	requireAfterLoss[request.CloseUnknown](t, "part of a batch", asked, part)
	requireAfterLoss[request.CloseUnknown](t, "part of a batch after an answer", asked, written, asked, part, done)
	requireAfterLoss[request.CloseNotRun](t, "transaction", asked, written, begun)
	requireAfterLoss[request.CloseNotRun](t, "asked in a transaction", asked, written, begun, asked)
	requireAfterLoss[request.CloseUnknown](t, "written in a transaction", asked, written, begun, asked, written)
	prepared := []request.SessionEvent{request.StatementPrepared{Name: "s"}, asked, written, done}
	requireAfterLoss[request.CloseNotRun](t, "named statement", prepared...)
	requireAfterLoss[request.Reconnect](t, "unnamed statement", request.StatementPrepared{}, asked, written, done)
	closed := slices.Concat(prepared, []request.SessionEvent{asked, request.StatementClosed{Name: "s"}, written})
	requireAfterLoss[request.Reconnect](t, "closed statement", append(closed, done)...)
	requireAfterLoss[request.CloseNotRun](t, "failed close", append(closed, request.ErrorReported{}, done)...)
}

// Guards against a planned stop that cuts a request, and a session that moves with an old token.
func TestPassageState(t *testing.T) {
	p := request.NewForwardedSession("first")
	require.True(t, p.IsIdle())
	require.False(t, p.WithEvent(request.Received{}).IsIdle())
	require.False(t, p.WithEvent(request.Answered{InTransaction: true}).IsIdle())
	require.Equal(t, "second", p.WithEvent(request.TokenRenewed{Token: "second"}).Token())
	require.Equal(t, "first", p.Token())
}

func requireAfterLoss[T request.Recovery](t *testing.T, name string, steps ...request.SessionEvent) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		var p request.ForwardedSession
		for _, s := range steps {
			p = p.WithEvent(s)
		}
		var want T
		require.IsType(t, want, p.AfterLoss())
	})
}
