package postgres_test

import (
	"context"
	"net"
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/postgres"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/session"
)

func (a *fakeAuthorizer) ForwardRequest(c entry.Client) entry.ForwardRequest {
	return entry.ForwardRequest{Organisation: c.Organisation, Route: c.Route.Name, Token: "first"}
}

func (a *fakeAuthorizer) AuthorizeForwarded(_ context.Context, req entry.ForwardRequest) (entry.Client, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forwardRequests = append(a.forwardRequests, req)
	route := a.routes[req.Route]
	return entry.Client{
		Organisation: req.Organisation, Route: route, Read: route.Kind == document.Read, Session: session.Fresh(req.Organisation),
	}, a.err
}

// lastToken returns the token of the last forwarded client.
func (a *fakeAuthorizer) lastToken() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.forwardRequests[len(a.forwardRequests)-1].Token
}

// fakeConnector connects clients to the first of its instances that accepts them.
type fakeConnector struct {
	t         *testing.T
	instances []*fixture

	mu sync.Mutex
	// conns contains the serving instances' ends of the connections.
	conns        []net.Conn
	reportedLost int
	// lostCount is the number of connections, starting with the oldest, whose instance counts as lost.
	lostCount int
}

// localConnector is the connector of an instance that serves all groups.
type localConnector struct{ fakeConnector }

func (*localConnector) ServesLocally(string) bool { return true }

func (*fakeConnector) ServesLocally(string) bool { return false }

func (c *fakeConnector) Connect(ctx context.Context, _ string, req entry.ForwardRequest) (entry.ForwardConn, error) {
	c.mu.Lock()
	instances := c.instances
	c.mu.Unlock()
	for _, instance := range instances {
		client, err := instance.listener.AuthorizeForwarded(ctx, req)
		switch port.KindOf(err) {
		case port.KeyRefused, port.UnknownRoute, port.BadToken:
			return nil, err
		default:
		}
		if err != nil {
			continue
		}
		near, far := c.connPair()
		pid, cancelKey, err := client.Register(far)
		if err != nil {
			continue
		}
		client.Start()
		return &fakeForwardConn{Conn: near, number: c.opened(), onCancel: func() { instance.listener.CancelForwarded(pid, cancelKey) }}, nil
	}
	return nil, port.Errorf(port.Unavailable, "no instance answers")
}

func (c *fakeConnector) ReportLost(entry.ForwardConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportedLost++
}

// IsInstanceLost reports whether the connection counts as lost. If so, it also closes the connections, because a client
// then waits for their end.
func (c *fakeConnector) IsInstanceLost(conn entry.ForwardConn) bool {
	fake, ok := conn.(*fakeForwardConn)
	c.mu.Lock()
	defer c.mu.Unlock()
	lost := ok && fake.number <= c.lostCount
	if lost {
		go c.closeConns()
	}
	return lost
}

// markLost makes the open connections count as lost. They remain open until a client waits for their end.
func (f *forwardFixture) markLost(instance *fixture) {
	f.connector.mu.Lock()
	defer f.connector.mu.Unlock()
	f.connector.lostCount = len(f.connector.conns)
	f.connector.remove(instance)
}

// remove removes a serving instance. The caller must hold mu.
func (c *fakeConnector) remove(instance *fixture) {
	c.instances = slices.DeleteFunc(slices.Clone(c.instances), func(other *fixture) bool { return other == instance })
}

// opened returns how many connections have been opened so far.
func (c *fakeConnector) opened() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// connPair returns both ends of a TCP connection.
func (c *fakeConnector) connPair() (near, far net.Conn) {
	socket, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	defer func() { _ = socket.Close() }()
	near, err = (&net.Dialer{}).DialContext(context.Background(), "tcp", socket.Addr().String())
	require.NoError(c.t, err)
	far, err = socket.Accept()
	require.NoError(c.t, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, far)
	return near, far
}

// closeConns ends all connections without a message, as if the serving instances had crashed.
func (c *fakeConnector) closeConns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

type fakeForwardConn struct {
	net.Conn
	number   int
	onCancel func()
}

func (c *fakeForwardConn) Cancel(context.Context) error {
	c.onCancel()
	return nil
}

// forwardRecorder records the calls of an observer. changed receives a token after each call.
type forwardRecorder struct {
	mu                  sync.Mutex
	moved               int
	lostOutcomes        []port.Outcome
	forwarded, received int
	changed             chan struct{}
}

func (r *forwardRecorder) record(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

func (r *forwardRecorder) AddForwardedClients(delta int) { r.record(func() { r.forwarded += delta }) }

func (r *forwardRecorder) AddReceivedClients(delta int) { r.record(func() { r.received += delta }) }
func (r *forwardRecorder) SessionMoved()                { r.record(func() { r.moved++ }) }
func (r *forwardRecorder) SessionLost(outcome port.Outcome) {
	r.record(func() { r.lostOutcomes = append(r.lostOutcomes, outcome) })
}

// await waits until the condition holds.
func (r *forwardRecorder) await(holds func() bool) {
	for {
		r.mu.Lock()
		reached := holds()
		r.mu.Unlock()
		if reached {
			return
		}
		<-r.changed
	}
}

func newForwardRecorder() *forwardRecorder { return &forwardRecorder{changed: make(chan struct{}, 1)} }

// forwardFixture is an instance that forwards its clients to one of two others. Each instance has its own server.
type forwardFixture struct {
	*fixture
	recorder      *forwardRecorder
	connector     *fakeConnector
	first, second *fixture
}

func startForwardFixture(t *testing.T) *forwardFixture {
	t.Helper()
	f := &forwardFixture{recorder: newForwardRecorder(), connector: &fakeConnector{t: t}}
	f.first, f.second = startServingInstance(t), startServingInstance(t)
	f.connector.instances = []*fixture{f.first, f.second}
	f.fixture = startFixture(t, postgres.ListenerConfig{
		Forward: &postgres.ForwardConfig{Connector: f.connector, Observer: f.recorder},
	}, startFakeServer(t))
	return f
}

// startServingInstance starts an instance that serves all groups. It connects a client once, to make sure that the
// instance serves clients.
func startServingInstance(t *testing.T) *fixture {
	t.Helper()
	f := startFixture(t, postgres.ListenerConfig{
		Forward: &postgres.ForwardConfig{Connector: &localConnector{}, Observer: newForwardRecorder()},
	}, startFakeServer(t))
	require.NoError(t, f.connect("acme", "stock").Close(t.Context()))
	return f
}

// killInstance ends an instance without a message to its forwarded clients.
func (f *forwardFixture) killInstance(instance *fixture) {
	f.connector.mu.Lock()
	f.connector.remove(instance)
	f.connector.mu.Unlock()
	f.connector.closeConns()
}

// statements returns the statements that clients ran on the instance's server.
func (f *fixture) statements() []string { return f.servers[0].statements() }
