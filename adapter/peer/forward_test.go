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

var forwardRequest = entry.ForwardRequest{
	Organisation: "clinic", KeyID: "first", KeyHash: strings.Repeat("0", 64), Route: "orders", ReadOnly: true,
	Token: "1.token", HasKnownWrites: true, Revision: 7,
}

// Guards against a forwarding connection that loses a part of the forward request or of the messages, against errors
// that lose their kind, and against connections without the shared secret.
func TestForward(t *testing.T) {
	t.Run("request, messages and cancel", func(t *testing.T) {
		r := newEchoHandler()
		client, address := connectForwardHandler(t, r)
		conn, err := client.Forward(t.Context(), address, forwardRequest)
		require.NoError(t, err)
		require.Equal(t, forwardRequest, r.request)
		_, err = conn.Write([]byte("statement"))
		require.NoError(t, err)
		echoed := make([]byte, len("statement"))
		_, err = io.ReadFull(conn, echoed)
		require.NoError(t, err)
		require.Equal(t, "statement", string(echoed))
		require.NoError(t, conn.Cancel(t.Context()))
		require.Equal(t, echoClientNumber, r.cancelled)
		require.NoError(t, conn.Close())
		<-r.done
	})
	t.Run("errors keep their kind", func(t *testing.T) {
		for _, kind := range []port.Kind{port.KeyRefused, port.NotFresh, port.Stopping} {
			r := newEchoHandler()
			r.authorizeErr = port.Errorf(kind, "refused\nin two lines")
			client, address := connectForwardHandler(t, r)
			_, err := client.Forward(t.Context(), address, forwardRequest)
			requireKind(t, kind, err)
			r.registerErr, r.authorizeErr = r.authorizeErr, nil
			_, err = client.Forward(t.Context(), address, forwardRequest)
			requireKind(t, kind, err)
		}
	})
	t.Run("wrong secret", func(t *testing.T) {
		r := newEchoHandler()
		_, address := connectForwardHandler(t, r)
		other, err := peer.NewClient([]byte(strings.Repeat("x", peer.MinSecretSize)))
		require.NoError(t, err)
		t.Cleanup(other.Close)
		_, err = other.Forward(t.Context(), address, forwardRequest)
		requireKind(t, port.Unavailable, err)
		requireKind(t, port.Unavailable, other.Ping(t.Context(), address))
		require.Empty(t, r.request)
	})
	t.Run("ping", func(t *testing.T) {
		client, address := connectForwardHandler(t, newEchoHandler())
		require.NoError(t, client.Ping(t.Context(), address))
		requireKind(t, port.Unavailable, client.Ping(t.Context(), "127.0.0.1:1"))
		plain := connect(t, &fakeRelay{})
		_, err := plain.client.Forward(t.Context(), plain.address, forwardRequest)
		requireKind(t, port.Unavailable, err)
	})
	t.Run("zero client", func(t *testing.T) {
		var c peer.Client
		_, err := c.Forward(t.Context(), "127.0.0.1:1", forwardRequest)
		requireKind(t, port.Unavailable, err)
	})
}

const echoClientNumber = uint32(77)

// echoHandler is a forward handler that returns the bytes that it receives.
type echoHandler struct {
	request                   entry.ForwardRequest
	authorizeErr, registerErr error
	cancelled                 uint32
	conn                      net.Conn
	done                      chan struct{}
}

func newEchoHandler() *echoHandler { return &echoHandler{done: make(chan struct{})} }

func (e *echoHandler) Authorize(_ context.Context, r entry.ForwardRequest) (peer.ForwardedClient, error) {
	e.request = r
	return e, e.authorizeErr
}

func (e *echoHandler) Cancel(number uint32, secret []byte) {
	if string(secret) == "secret" {
		e.cancelled = number
	}
}

func (e *echoHandler) Register(conn net.Conn) (uint32, []byte, error) {
	e.conn = conn
	return echoClientNumber, []byte("secret"), e.registerErr
}

func (e *echoHandler) Close() {}

func (e *echoHandler) Start() { go e.run() }

func (e *echoHandler) run() {
	defer close(e.done)
	_, _ = io.Copy(e.conn, e.conn)
	_ = e.conn.Close()
}

func connectForwardHandler(t *testing.T, r peer.ForwardHandler) (*peer.Client, string) {
	t.Helper()
	server, err := peer.NewServer(&fakeRelay{}, fakeLimits{}, secret)
	require.NoError(t, err)
	s := serve(t, server.WithForwardHandler(r))
	return s.client, s.address
}
