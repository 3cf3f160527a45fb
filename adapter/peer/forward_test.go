package peer_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/peer"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/port"
)

var opening = entry.ForwardRequest{
	Organisation: "clinic", KeyID: "first", KeyHash: strings.Repeat("0", 64), Route: "orders", ReadOnly: true,
	Token: "1.token", HasKnownWrites: true, Revision: 7,
}

// Guards against a forwarding connection that loses something of its opening or of its messages, and against one of a
// process that is no instance.
func TestForward(t *testing.T) {
	t.Run("opening, messages and cancel", func(t *testing.T) {
		r := newEcho()
		client, address := connectReceiver(t, r)
		conn, err := client.Forward(t.Context(), address, opening)
		require.NoError(t, err)
		require.Equal(t, opening, r.opening)
		_, err = conn.Write([]byte("statement"))
		require.NoError(t, err)
		answer := make([]byte, len("statement"))
		_, err = io.ReadFull(conn, answer)
		require.NoError(t, err)
		require.Equal(t, "statement", string(answer))
		require.NoError(t, conn.Cancel(t.Context()))
		require.Equal(t, echoNumber, r.cancelled)
		require.NoError(t, conn.Close())
		<-r.done
	})
	t.Run("refusals keep their kind", func(t *testing.T) {
		for _, kind := range []port.Kind{port.KeyRefused, port.NotFresh, port.Stopping} {
			r := newEcho()
			r.refusal = port.Errorf(kind, "refused\nin two lines")
			client, address := connectReceiver(t, r)
			_, err := client.Forward(t.Context(), address, opening)
			requireKind(t, kind, err)
			r.entering, r.refusal = r.refusal, nil
			_, err = client.Forward(t.Context(), address, opening)
			requireKind(t, kind, err)
		}
	})
	t.Run("another secret", func(t *testing.T) {
		r := newEcho()
		_, address := connectReceiver(t, r)
		stranger, err := peer.NewClient([]byte(strings.Repeat("x", peer.MinSecretSize)))
		require.NoError(t, err)
		t.Cleanup(stranger.Close)
		_, err = stranger.Forward(t.Context(), address, opening)
		requireKind(t, port.Unavailable, err)
		requireKind(t, port.Unavailable, stranger.Ping(t.Context(), address))
		require.Empty(t, r.opening)
	})
	t.Run("alive", func(t *testing.T) {
		client, address := connectReceiver(t, newEcho())
		require.NoError(t, client.Ping(t.Context(), address))
		requireKind(t, port.Unavailable, client.Ping(t.Context(), "127.0.0.1:1"))
		plain := connect(t, &fakeRelay{})
		_, err := plain.client.Forward(t.Context(), plain.address, opening)
		requireKind(t, port.Unavailable, err)
	})
	t.Run("zero client", func(t *testing.T) {
		var c peer.Client
		_, err := c.Forward(t.Context(), "127.0.0.1:1", opening)
		requireKind(t, port.Unavailable, err)
	})
}

const echoNumber = uint32(77)

// echo is a receiver that sends back what it gets.
type echo struct {
	opening           entry.ForwardRequest
	refusal, entering error
	cancelled         uint32
	conn              net.Conn
	done              chan struct{}
}

func newEcho() *echo { return &echo{done: make(chan struct{})} }

func (e *echo) Admit(_ context.Context, o entry.ForwardRequest) (peer.Admitted, error) {
	e.opening = o
	return e, e.refusal
}

func (e *echo) Cancel(number uint32, secret []byte) {
	if string(secret) == "secret" {
		e.cancelled = number
	}
}

func (e *echo) Register(conn net.Conn) (uint32, []byte, error) {
	e.conn = conn
	return echoNumber, []byte("secret"), e.entering
}

func (e *echo) Close() {}

func (e *echo) Start() { go e.run() }

func (e *echo) run() {
	defer close(e.done)
	_, _ = io.Copy(e.conn, e.conn)
	_ = e.conn.Close()
}

func connectReceiver(t *testing.T, r peer.Receiver) (*peer.Client, string) {
	t.Helper()
	server, err := peer.NewServer(&fakeRelay{}, limitStub{}, secret)
	require.NoError(t, err)
	l := serve(t, server.WithReceiver(r))
	return l.client, l.address
}
