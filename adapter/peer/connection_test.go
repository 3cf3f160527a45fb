package peer_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/peer"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Guards against calls that wait on a dead connection. All calls to an instance share one connection, so without pings
// they would all fail until the operating system gives it up.
func TestDeadConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := &pipeListener{accepted: make(chan net.Conn)}
		server, err := peer.NewServer(&fakeRelay{response: entry.FollowResponse{Revision: 3}}, fakeLimits{}, secret)
		require.NoError(t, err)
		httpServer := server.HTTPServer()
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			_ = httpServer.Serve(listener)
		}()
		client, err := peer.NewClient(secret)
		require.NoError(t, err)
		client.SetDial(listener.dial)
		requireFollows(t, client)
		listener.last.blackholed.Store(true)
		began := time.Now()
		_, err = client.Follow(t.Context(), "10.0.0.1:1", entry.FollowRequest{})
		requireKind(t, port.Unavailable, err)
		require.LessOrEqual(t, time.Since(began), 2*time.Second)
		requireFollows(t, client)
		require.Equal(t, 2, listener.dials, "calls share one connection until it is dead")
		client.Close()
		require.NoError(t, httpServer.Close())
		<-stopped
	})
}

// Guards against a server that rejects HTTP/1.1, which instances of an earlier version and forwarding connections use.
func TestHTTP1(t *testing.T) {
	s := connect(t, &fakeRelay{response: entry.FollowResponse{Revision: 3}})
	url := "http://" + s.address + "/rhubarbwick.peer.v1.RelayService/Follow"
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader("{}"))
	require.NoError(t, err)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", peer.Credential(secret))
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	res, err := transport.RoundTrip(req)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	require.Equal(t, http.StatusOK, res.StatusCode)
	require.Equal(t, 1, res.ProtoMajor)
}

func requireFollows(t *testing.T, client *peer.Client) {
	t.Helper()
	response, err := client.Follow(t.Context(), "10.0.0.1:1", entry.FollowRequest{KnownRevision: 3})
	require.NoError(t, err)
	require.EqualValues(t, 3, response.Revision)
}

// pipeListener is an in-memory network with one address, for which it is the listener.
type pipeListener struct {
	accepted chan net.Conn
	closed   atomic.Bool
	last     *blackholeConn
	dials    int
}

func (p *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	p.last = &blackholeConn{Conn: near}
	p.dials++
	p.accepted <- far
	return p.last, nil
}

func (p *pipeListener) Accept() (net.Conn, error) {
	conn, open := <-p.accepted
	if !open {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (p *pipeListener) Close() error {
	if !p.closed.Swap(true) {
		close(p.accepted)
	}
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// blackholeConn is a connection that silently drops written bytes while blackholed is set.
type blackholeConn struct {
	net.Conn
	blackholed atomic.Bool
}

func (c *blackholeConn) Write(b []byte) (int, error) {
	if c.blackholed.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
