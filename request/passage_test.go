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
	asked, written := request.Asked{}, request.Written{Synchronised: true}
	done, begun := request.Answered{}, request.Answered{InTransaction: true}
	part := request.Written{}
	requireAfterLoss[request.Move](t, "nothing asked")
	requireAfterLoss[request.Resend](t, "asked", asked)
	requireAfterLoss[request.EndUnknown](t, "written", asked, written)
	requireAfterLoss[request.Move](t, "answered", asked, written, done)
	requireAfterLoss[request.EndUnknown](t, "first of two answered", asked, written, asked, written, done)
	requireAfterLoss[request.EndUnknown](t, "part of a batch", asked, part)
	requireAfterLoss[request.EndUnknown](t, "part of a batch after an answer", asked, written, asked, part, done)
	requireAfterLoss[request.RefuseNotRun](t, "transaction", asked, written, begun)
	requireAfterLoss[request.RefuseNotRun](t, "asked in a transaction", asked, written, begun, asked)
	requireAfterLoss[request.EndUnknown](t, "written in a transaction", asked, written, begun, asked, written)
	prepared := []request.Step{request.Prepared{Name: "s"}, asked, written, done}
	requireAfterLoss[request.RefuseNotRun](t, "named statement", prepared...)
	requireAfterLoss[request.Move](t, "unnamed statement", request.Prepared{}, asked, written, done)
	closed := slices.Concat(prepared, []request.Step{asked, request.Closed{Name: "s"}, written})
	requireAfterLoss[request.Move](t, "closed statement", append(closed, done)...)
	requireAfterLoss[request.RefuseNotRun](t, "failed close", append(closed, request.Failed{}, done)...)
}

// Guards against a planned stop that cuts a request, and a session that moves with an old token.
func TestPassageState(t *testing.T) {
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
