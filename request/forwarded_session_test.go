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
	received, written := request.Asked{}, request.Written{Synchronised: true}
	done, begun := request.Answered{}, request.Answered{InTransaction: true}
	part := request.Written{}
	requireAfterLoss[request.Move](t, "no request")
	requireAfterLoss[request.Resend](t, "request received", received)
	requireAfterLoss[request.EndUnknown](t, "request written", received, written)
	requireAfterLoss[request.Move](t, "request completed", received, written, done)
	requireAfterLoss[request.EndUnknown](t, "first of two requests completed", received, written, received, written, done)
	requireAfterLoss[request.EndUnknown](t, "part of a batch", received, part)
	requireAfterLoss[request.EndUnknown](t, "part of a batch after a completed request", received, written, received, part, done)
	requireAfterLoss[request.RefuseNotRun](t, "open transaction", received, written, begun)
	requireAfterLoss[request.RefuseNotRun](t, "request received in a transaction", received, written, begun, received)
	requireAfterLoss[request.EndUnknown](t, "request written in a transaction", received, written, begun, received, written)
	prepared := []request.Step{request.Prepared{Name: "s"}, received, written, done}
	requireAfterLoss[request.RefuseNotRun](t, "named statement", prepared...)
	requireAfterLoss[request.Move](t, "unnamed statement", request.Prepared{}, received, written, done)
	closed := slices.Concat(prepared, []request.Step{received, request.Closed{Name: "s"}, written})
	requireAfterLoss[request.Move](t, "closed statement", append(closed, done)...)
	requireAfterLoss[request.RefuseNotRun](t, "failed close", append(closed, request.Failed{}, done)...)
}

// Guards against a planned shutdown that interrupts a request, and against a session that continues at another instance
// with an outdated token.
func TestForwardedSessionState(t *testing.T) {
	p := request.NewPassage("first")
	require.True(t, p.IsIdle())
	require.False(t, p.WithStep(request.Asked{}).IsIdle())
	require.False(t, p.WithStep(request.Answered{InTransaction: true}).IsIdle())
	require.Equal(t, "second", p.WithStep(request.Renewed{Token: "second"}).Token())
	require.Equal(t, "first", p.Token())
}

func requireAfterLoss[T request.Consequence](t *testing.T, name string, steps ...request.Step) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		var p request.Passage
		for _, s := range steps {
			p = p.WithStep(s)
		}
		var want T
		require.IsType(t, want, p.AfterLoss())
	})
}
