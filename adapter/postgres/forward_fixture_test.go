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

func (g *fakeAuthorizer) ForwardRequest(c entry.Client) entry.ForwardRequest {
	return entry.ForwardRequest{Organisation: c.Organisation, Route: c.Route.Name, Token: "first"}
}

func (g *fakeAuthorizer) AuthorizeForwarded(_ context.Context, o entry.ForwardRequest) (entry.Client, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forwardRequests = append(g.forwardRequests, o)
	route := g.routes[o.Route]
	return entry.Client{
		Organisation: o.Organisation, Route: route, Read: route.Kind == document.Read, Session: session.Fresh(o.Organisation),
	}, g.err
}

// lastToken returns the token of the last forwarded client.
func (g *fakeAuthorizer) lastToken() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.forwardRequests[len(g.forwardRequests)-1].Token
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

func (n *fakeConnector) Connect(ctx context.Context, _ string, o entry.ForwardRequest) (entry.ForwardConn, error) {
	n.mu.Lock()
	receivers := n.instances
	n.mu.Unlock()
	for _, r := range receivers {
		admitted, err := r.listener.AdmitForwarded(ctx, o)
		switch port.KindOf(err) {
		case port.KeyRefused, port.UnknownRoute, port.BadToken:
			return nil, err
		default:
		}
		if err != nil {
			continue
		}
		near, far := n.connPair()
		number, secret, err := admitted.Enter(far)
		if err != nil {
			continue
		}
		admitted.Serve()
		return &fakeForwardConn{Conn: near, number: n.opened(), onCancel: func() { r.listener.CancelForwarded(number, secret) }}, nil
	}
	return nil, port.Errorf(port.Unavailable, "no instance answers")
}

func (n *fakeConnector) ReportLost(entry.ForwardConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reportedLost++
}

// IsInstanceLost closes the connections once a client waits for that.
func (n *fakeConnector) IsInstanceLost(conn entry.ForwardConn) bool {
	fake, ok := conn.(*fakeForwardConn)
	n.mu.Lock()
	defer n.mu.Unlock()
	given := ok && fake.number <= n.lostCount
	if given {
		go n.closeConns()
	}
	return given
}

// markLost makes the open connections count as lost. They remain open until a client waits for their end.
func (f *forwardFixture) markLost(r *fixture) {
	f.connector.mu.Lock()
	defer f.connector.mu.Unlock()
	f.connector.lostCount = len(f.connector.conns)
	f.connector.remove(r)
}

// remove removes a serving instance. The caller must hold mu.
func (n *fakeConnector) remove(r *fixture) {
	n.instances = slices.DeleteFunc(slices.Clone(n.instances), func(other *fixture) bool { return other == r })
}

// opened returns how many connections have been opened so far.
func (n *fakeConnector) opened() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

// connPair returns both ends of a TCP connection.
func (n *fakeConnector) connPair() (near, far net.Conn) {
	socket, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(n.t, err)
	defer func() { _ = socket.Close() }()
	near, err = (&net.Dialer{}).DialContext(context.Background(), "tcp", socket.Addr().String())
	require.NoError(n.t, err)
	far, err = socket.Accept()
	require.NoError(n.t, err)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, far)
	return near, far
}

// closeConns ends all connections without a message, as if the serving instances had crashed.
func (n *fakeConnector) closeConns() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.conns {
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

func (o *forwardRecorder) record(change func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change()
	select {
	case o.changed <- struct{}{}:
	default:
	}
}

func (o *forwardRecorder) CallersForwarded(change int) { o.record(func() { o.forwarded += change }) }
func (o *forwardRecorder) CallersReceived(change int)  { o.record(func() { o.received += change }) }
func (o *forwardRecorder) SessionMoved()               { o.record(func() { o.moved++ }) }
func (o *forwardRecorder) SessionLost(outcome port.Outcome) {
	o.record(func() { o.lostOutcomes = append(o.lostOutcomes, outcome) })
}

// await waits until the condition holds.
func (o *forwardRecorder) await(holds func() bool) {
	for {
		o.mu.Lock()
		reached := holds()
		o.mu.Unlock()
		if reached {
			return
		}
		<-o.changed
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
func (f *forwardFixture) killInstance(r *fixture) {
	f.connector.mu.Lock()
	f.connector.remove(r)
	f.connector.mu.Unlock()
	f.connector.closeConns()
}

// statements returns the statements that clients ran on the instance's server.
func (f *fixture) statements() []string { return f.servers[0].statements() }
