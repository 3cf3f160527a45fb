package fleet_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/fleet"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/proxy"
)

// panicRecorder keeps the recorded panics.
type panicRecorder struct{ panics chan proxy.PeerPanicked }

// Record implements proxy.Recorder.
func (r panicRecorder) Record(e proxy.Event) {
	if p, ok := e.(proxy.PeerPanicked); ok {
		r.panics <- p
	}
}

// panickingReserve panics on every call, as code does that meets a message it does not expect.
type panickingReserve struct{}

// Take panics.
func (panickingReserve) Take(string) bool { panic("unexpected message") }

// Guards against a call of another instance that ends the process, or that fails without a trace.
func TestServerRecordsPanics(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	recorder := panicRecorder{panics: make(chan proxy.PeerPanicked, 2)}
	s := &serverRun{server: fleet.NewServer(nil, nil, panickingReserve{}, socket, recorder)}
	go s.run()
	t.Cleanup(s.server.Close)
	l := fleet.NewLendingClient(&net.Dialer{})
	t.Cleanup(l.Close)
	for range 2 {
		granted, err := l.TakeRate(t.Context(), proxy.Member{Address: socket.Addr().String()}, "clinic")
		require.False(t, granted)
		require.Equal(t, port.Unavailable, port.KindOf(err))
		p := <-recorder.panics
		require.Equal(t, "instance", p.Peer)
		require.Equal(t, "unexpected message", p.Reason)
		require.Contains(t, p.Stack, "panickingReserve")
	}
}
