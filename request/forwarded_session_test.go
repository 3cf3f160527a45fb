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
	s := request.NewForwardedSession("first")
	require.True(t, s.IsIdle())
	require.False(t, s.WithEvent(request.Received{}).IsIdle())
	require.False(t, s.WithEvent(request.Answered{InTransaction: true}).IsIdle())
	require.Equal(t, "second", s.WithEvent(request.TokenRenewed{Token: "second"}).Token())
	require.Equal(t, "first", s.Token())
}

func requireAfterLoss[T request.Recovery](t *testing.T, name string, events ...request.SessionEvent) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		var session request.ForwardedSession
		for _, event := range events {
			session = session.WithEvent(event)
		}
		var want T
		require.IsType(t, want, session.AfterLoss())
	})
}
