package request_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/request"
)

// Guards against a request that is sent twice, against "not run" for a request that may have run, and against a closed
// connection of a session that could continue at another instance.
func TestAfterLoss(t *testing.T) {
	received, written := request.Received{}, request.Written{Synchronised: true}
	done, begun := request.Answered{}, request.Answered{InTransaction: true}
	part := request.Written{}
	requireAfterLoss[request.Reconnect](t, "no request")
	requireAfterLoss[request.Resend](t, "request received", received)
	requireAfterLoss[request.CloseUnknown](t, "request written", received, written)
	requireAfterLoss[request.Reconnect](t, "request completed", received, written, done)
	requireAfterLoss[request.CloseUnknown](t, "first of two requests completed", received, written, received, written, done)
	requireAfterLoss[request.CloseUnknown](t, "part of a batch", received, part)
	requireAfterLoss[request.CloseUnknown](t, "part of a batch after a completed request", received, written, received, part, done)
	requireAfterLoss[request.CloseNotRun](t, "open transaction", received, written, begun)
	requireAfterLoss[request.CloseNotRun](t, "request received in a transaction", received, written, begun, received)
	requireAfterLoss[request.CloseUnknown](t, "request written in a transaction", received, written, begun, received, written)
	prepared := []request.SessionEvent{request.StatementPrepared{Name: "s"}, received, written, done}
	requireAfterLoss[request.CloseNotRun](t, "named statement", prepared...)
	requireAfterLoss[request.Reconnect](t, "unnamed statement", request.StatementPrepared{}, received, written, done)
	closed := slices.Concat(prepared, []request.SessionEvent{received, request.StatementClosed{Name: "s"}, written})
	requireAfterLoss[request.Reconnect](t, "closed statement", append(closed, done)...)
	requireAfterLoss[request.CloseNotRun](t, "failed close", append(closed, request.ErrorReported{}, done)...)
}

// Guards against a planned shutdown that interrupts a request, and against a session that continues at another instance
// with an outdated token.
func TestForwardedSessionState(t *testing.T) {
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
