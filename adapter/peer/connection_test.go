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

// Guards against an instance that waits on a dead connection: the polls that share it would all be lost for as long as
// the system takes to give it up.
func TestDeadConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &pipes{accepted: make(chan net.Conn)}
		server, err := peer.NewServer(&fakeRelay{report: entry.FollowResponse{Revision: 3}}, limitStub{}, secret)
		require.NoError(t, err)
		serving := server.HTTPServer()
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			_ = serving.Serve(network)
		}()
		client, err := peer.NewClient(secret)
		require.NoError(t, err)
		client.SetDial(network.dial)
		requireFollows(t, client)
		network.last.cut.Store(true)
		began := time.Now()
		_, err = client.Follow(t.Context(), "10.0.0.1:1", entry.FollowRequest{})
		requireKind(t, port.Unavailable, err)
		require.LessOrEqual(t, time.Since(began), 2*time.Second)
		requireFollows(t, client)
		require.Equal(t, 2, network.dialled, "a poll does not use the connection of the one before")
		client.Close()
		require.NoError(t, serving.Close())
		<-stopped
	})
}

// Guards against an instance of an earlier version, or a connection that is to be upgraded, that is not answered.
func TestHTTP1(t *testing.T) {
	l := connect(t, &fakeRelay{report: entry.FollowResponse{Revision: 3}})
	url := "http://" + l.address + "/rhubarbwick.peer.v1.RelayService/Follow"
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
	report, err := client.Follow(t.Context(), "10.0.0.1:1", entry.FollowRequest{KnownRevision: 3})
	require.NoError(t, err)
	require.EqualValues(t, 3, report.Revision)
}

// pipes is a network in memory. It is the listener of its only address.
type pipes struct {
	accepted chan net.Conn
	closed   atomic.Bool
	last     *cutConn
	dialled  int
}

func (p *pipes) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	p.last = &cutConn{Conn: near}
	p.dialled++
	p.accepted <- far
	return p.last, nil
}

func (p *pipes) Accept() (net.Conn, error) {
	conn, open := <-p.accepted
	if !open {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (p *pipes) Close() error {
	if !p.closed.Swap(true) {
		close(p.accepted)
	}
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// cutConn is a connection whose bytes vanish once it is cut.
type cutConn struct {
	net.Conn
	cut atomic.Bool
}

func (c *cutConn) Write(b []byte) (int, error) {
	if c.cut.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
