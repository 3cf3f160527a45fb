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

func (g *fakeGate) ForwardRequest(c entry.Client) entry.ForwardRequest {
	return entry.ForwardRequest{Organisation: c.Organisation, Route: c.Route.Name, Token: "first"}
}

func (g *fakeGate) AuthorizeForwarded(_ context.Context, o entry.ForwardRequest) (entry.Client, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resumed = append(g.resumed, o)
	route := g.routes[o.Route]
	return entry.Client{
		Organisation: o.Organisation, Route: route, Read: route.Kind == document.Read, Session: session.Fresh(o.Organisation),
	}, g.refuse
}

// lastToken returns the token of the session that was resumed last.
func (g *fakeGate) lastToken() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumed[len(g.resumed)-1].Token
}

// fakeConnector connects callers to the first of its receivers that takes them.
type fakeConnector struct {
	t         *testing.T
	receivers []*fixture

	mu sync.Mutex
	// conns are the receivers' ends of the connections.
	conns []net.Conn
	lost  int
	// given is the number of connections that are given up, the earliest ones.
	given int
}

// servesAll takes the place of a connector at an instance that serves all groups.
type servesAll struct{ fakeConnector }

func (*servesAll) ServesLocally(string) bool { return true }

func (*fakeConnector) ServesLocally(string) bool { return false }

func (n *fakeConnector) Connect(ctx context.Context, _ string, o entry.ForwardRequest) (entry.ForwardConn, error) {
	n.mu.Lock()
	receivers := n.receivers
	n.mu.Unlock()
	for _, r := range receivers {
		admitted, err := r.listener.AuthorizeForwarded(ctx, o)
		switch port.KindOf(err) {
		case port.KeyRefused, port.UnknownRoute, port.BadToken:
			return nil, err
		default:
		}
		if err != nil {
			continue
		}
		near, far := n.pair()
		number, secret, err := admitted.Register(far)
		if err != nil {
			continue
		}
		admitted.Start()
		return &fakeForwardConn{Conn: near, number: n.opened(), cancel: func() { r.listener.CancelForwarded(number, secret) }}, nil
	}
	return nil, port.Errorf(port.Unavailable, "no instance answers")
}

func (n *fakeConnector) ReportLost(entry.ForwardConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost++
}

// IsInstanceLost closes the connections once a caller has waited for that.
func (n *fakeConnector) IsInstanceLost(conn entry.ForwardConn) bool {
	fake, ok := conn.(*fakeForwardConn)
	n.mu.Lock()
	defer n.mu.Unlock()
	given := ok && fake.number <= n.given
	if given {
		go n.cut()
	}
	return given
}

// giveUp gives up the connections that are open, and leaves them open until a caller waits for their end.
func (f *forwarding) giveUp(r *fixture) {
	f.connector.mu.Lock()
	defer f.connector.mu.Unlock()
	f.connector.given = len(f.connector.conns)
	f.connector.remove(r)
}

// remove takes a receiver away. The caller holds mu.
func (n *fakeConnector) remove(r *fixture) {
	n.receivers = slices.DeleteFunc(slices.Clone(n.receivers), func(other *fixture) bool { return other == r })
}

// opened returns how many connections were opened so far.
func (n *fakeConnector) opened() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

// pair returns both ends of a TCP connection.
func (n *fakeConnector) pair() (near, far net.Conn) {
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

// cut ends all connections without a message, as when the receivers die.
func (n *fakeConnector) cut() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.conns {
		_ = conn.Close()
	}
}

type fakeForwardConn struct {
	net.Conn
	number int
	cancel func()
}

func (c *fakeForwardConn) Cancel(context.Context) error {
	c.cancel()
	return nil
}

// forwardCounts keeps what an observer is told. changed is offered an item at each change.
type forwardCounts struct {
	mu      sync.Mutex
	moved   int
	lost    []port.Outcome
	out, in int
	changed chan struct{}
}

func (o *forwardCounts) note(change func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change()
	select {
	case o.changed <- struct{}{}:
	default:
	}
}

func (o *forwardCounts) AddForwardedClients(change int) { o.note(func() { o.out += change }) }
func (o *forwardCounts) AddReceivedClients(change int)  { o.note(func() { o.in += change }) }
func (o *forwardCounts) SessionMoved()                  { o.note(func() { o.moved++ }) }
func (o *forwardCounts) SessionLost(outcome port.Outcome) {
	o.note(func() { o.lost = append(o.lost, outcome) })
}

// await waits until the condition holds.
func (o *forwardCounts) await(holds func() bool) {
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

func newForwardCounts() *forwardCounts { return &forwardCounts{changed: make(chan struct{}, 1)} }

// forwarding is an instance that forwards its callers to one of two others. Each has a server of its own.
type forwarding struct {
	*fixture
	counts    *forwardCounts
	connector *fakeConnector
	near, far *fixture
}

func startForwarding(t *testing.T) *forwarding {
	t.Helper()
	f := &forwarding{counts: newForwardCounts(), connector: &fakeConnector{t: t}}
	f.near, f.far = startReceiver(t), startReceiver(t)
	f.connector.receivers = []*fixture{f.near, f.far}
	f.fixture = start(t, postgres.ListenerConfig{
		Forward: &postgres.ForwardConfig{Connector: f.connector, Observer: f.counts},
	}, startFake(t))
	return f
}

// startReceiver starts an instance that serves all groups and has had a caller, so that it is known to serve.
func startReceiver(t *testing.T) *fixture {
	t.Helper()
	f := start(t, postgres.ListenerConfig{
		Forward: &postgres.ForwardConfig{Connector: &servesAll{}, Observer: newForwardCounts()},
	}, startFake(t))
	require.NoError(t, f.connect("acme", "stock").Close(t.Context()))
	return f
}

// kill ends an instance without a message to its forwarded callers.
func (f *forwarding) kill(r *fixture) {
	f.connector.mu.Lock()
	f.connector.remove(r)
	f.connector.mu.Unlock()
	f.connector.cut()
}

// ran returns the statements that callers ran at the instance's server.
func (f *fixture) ran() []string { return f.servers[0].statements() }
