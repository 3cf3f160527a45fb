package proxy_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/clientlimit"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/proxy"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// recordingStream is a loan with one request.
type recordingStream struct {
	request proxy.LoanRequest
	results []proxy.LoanResult
}

func (s *recordingStream) Receive() (proxy.LoanRequest, error) { return s.request, nil }

func (s *recordingStream) Send(r proxy.LoanResult) error {
	s.results = append(s.results, r)
	return nil
}

// Guards against requests of other instances that wait for connections of this one and use up its memory.
func TestLoanMemoryIsLimited(t *testing.T) {
	guard := clientlimit.NewGuard(clientlimit.Plan{Places: 8, Messages: 64 << 10}, &clock.Fake{}, nil)
	manager := proxy.NewSessionManager(proxy.SessionManagerConfig{Timer: &clock.Fake{}, Guard: guard})
	large := strings.Repeat("x", 100<<10)
	requireRefused := func(name string, req proxy.LoanRequest) {
		t.Run(name, func(t *testing.T) {
			stream := &recordingStream{request: req}
			require.NoError(t, manager.Lend(t.Context(), stream))
			require.Len(t, stream.results, 1)
			refusal, isRefusal := stream.results[0].(proxy.LoanRefusal)
			require.True(t, isRefusal)
			require.Equal(t, port.Busy, refusal.Kind)
			require.Zero(t, guard.MessageBytes())
		})
	}
	requireRefused("a large statement", proxy.LoanRequest{Steps: []statement.Step{
		{Command: statement.Forward{Request: statement.Request{ID: "1", Statement: statement.Write{Text: large}}}},
	}})
	requireRefused("a large session state", proxy.LoanRequest{State: statement.SessionState{}.WithValue("a", large)})
}
