package entry_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Guards against a forwarded client that is authorized with a withdrawn key, for another organisation, or with an older
// document than the one with which it was first authorized.
func TestAuthorizeForwarded(t *testing.T) {
	testDocumentFixture(t, "authorized, reauthorized and with a withdrawn key", 1, 2, func(t *testing.T, f *documentFixture) {
		authorizer, client := f.authorize("1a")
		other := f.instances["1b"].authorizer(&recordingLimit{})
		resumed, err := other.AuthorizeForwarded(t.Context(), authorizer.ForwardRequest(client))
		require.NoError(t, err)
		require.Equal(t, authorizer.Token(client.Session), authorizer.Token(resumed.Session))
		require.Equal(t, client, resumed.WithSession(client.Session))
		_, err = f.apply("1a", withdrawKey)
		require.NoError(t, err)
		f.run(time.Second)
		_, err = other.AuthorizeStatement(t.Context(), resumed)
		requireErrorKind(t, port.KeyRefused, err)
		_, err = other.AuthorizeForwarded(t.Context(), authorizer.ForwardRequest(client))
		requireErrorKind(t, port.KeyRefused, err)
	})
	testDocumentFixture(t, "forward requests that no instance sends", 1, 1, func(t *testing.T, f *documentFixture) {
		authorizer, client := f.authorize("1a")
		req := authorizer.ForwardRequest(client)
		for _, change := range []func(*entry.ForwardRequest){
			func(req *entry.ForwardRequest) { req.KeyHash = "00" },
			func(req *entry.ForwardRequest) { req.KeyID = "" },
			func(req *entry.ForwardRequest) { req.KeyID, req.Route = "", "menu" },
		} {
			changed := req
			change(&changed)
			_, err := authorizer.AuthorizeForwarded(t.Context(), changed)
			requireErrorKind(t, port.KeyRefused, err)
		}
		_, err := authorizer.AuthorizeForwarded(t.Context(), req.WithToken("1.x.y"))
		requireErrorKind(t, port.BadToken, err)
	})
	testDocumentFixture(t, "a revision that arrives in time and one that does not", 1, 1, func(t *testing.T, f *documentFixture) {
		authorizer, client := f.authorize("1a")
		req := authorizer.ForwardRequest(client)
		req.Revision++
		resume := func() <-chan error {
			done := make(chan error, 1)
			go func() { _, err := authorizer.AuthorizeForwarded(f.ctx, req); done <- err }()
			return done
		}
		waiting := resume()
		f.run(entry.RevisionWait / 2)
		require.Empty(t, waiting)
		f.run(entry.RevisionWait)
		requireErrorKind(t, port.NotFresh, <-waiting)
		waiting = resume()
		_, err := f.apply("1a", setMaxFallbackHolders(9))
		require.NoError(t, err)
		require.NoError(t, <-waiting)
	})
	testDocumentFixture(t, "a session without a token keeps its unknown writes", 1, 1, func(t *testing.T, f *documentFixture) {
		authorizer := f.instances["1a"].authorizer(&recordingLimit{})
		without := keyedCredentials
		without.Token = ""
		client, err := authorizer.Authorize(t.Context(), without)
		require.NoError(t, err)
		req := authorizer.ForwardRequest(client)
		wrote := client.Session.WithFloor("g", group.Position{Term: 1, Offset: 5})
		resumed, err := authorizer.AuthorizeForwarded(t.Context(), req.WithToken(authorizer.Token(wrote)))
		require.NoError(t, err)
		_, known := resumed.Session.Floor("g")
		require.False(t, known)
		require.Equal(t, authorizer.Token(wrote), authorizer.Token(resumed.Session))
	})
}

// forwardNetwork is a fake ForwardClient. Requests to an instance that has an error in errs fail with it.
type forwardNetwork struct {
	mu     sync.Mutex
	errs   map[string]error
	opened []string
	closed int
	// onClose is called when a connection is closed, unless it is nil.
	onClose func()
}

type networkConn struct {
	io.ReadWriteCloser
	network *forwardNetwork
}

func (c *networkConn) Cancel(context.Context) error { return nil }

func (c *networkConn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.closed++
	if c.network.onClose != nil {
		c.network.onClose()
	}
	return nil
}

func (n *forwardNetwork) Forward(_ context.Context, address string, _ entry.ForwardRequest) (entry.ForwardConn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.opened = append(n.opened, address)
	return &networkConn{network: n}, n.errs[address]
}

func (n *forwardNetwork) Ping(_ context.Context, address string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.errs[address]
}

func (n *forwardNetwork) setError(address string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.errs = map[string]error{address: err}
}

func (n *forwardNetwork) takeCounts() (opened []string, closed int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	opened, closed = n.opened, n.closed
	n.opened, n.closed = nil, 0
	return opened, closed
}

// testRouter runs a subtest with the router of an instance that serves group "b" but not group "a".
func testRouter(t *testing.T, name string, body func(t *testing.T, r *entry.Router, n *forwardNetwork, c *clock.Fake)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			var all []instance.Instance
			for _, name := range []string{"1", "2", "3"} {
				all = append(all, instance.Instance{Incarnation: name, Address: name, DataCentre: "dc" + name, State: instance.Live})
			}
			n, c := &forwardNetwork{}, &clock.Fake{}
			var served []string
			r := entry.NewRouter(entry.RouterConfig{
				Self: all[2], Timer: c, Client: n, OnServedGroups: func(groups []string) { served = groups },
			})
			r.SetList(instance.NewList(all...))
			r.SetDocument(document.Document{Groups: []document.Group{
				{Name: "a", ServingInstances: 2, Servers: []document.Server{{DataCentre: "dc1"}, {DataCentre: "dc2"}}},
				{Name: "b"},
			}})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { defer close(done); r.Run(ctx) }()
			synctest.Wait()
			require.Equal(t, []string{"b"}, served)
			require.True(t, r.ServesLocally("b"))
			body(t, r, n, c)
			cancel()
			<-done
		})
	})
}

// Guards against clients that stay connected to an instance that no longer answers, or that are forwarded to it again before
// the retry delay has passed.
func TestRouter(t *testing.T) {
	dead := port.Errorf(port.Unavailable, "does not answer")
	testRouter(t, "the next instance after a failure", func(t *testing.T, r *entry.Router, n *forwardNetwork, c *clock.Fake) {
		_, err := r.Connect(t.Context(), "a", entry.ForwardRequest{})
		require.NoError(t, err)
		opened, _ := n.takeCounts()
		n.setError(opened[0], dead)
		for range 2 {
			_, err = r.Connect(t.Context(), "a", entry.ForwardRequest{})
			require.NoError(t, err)
		}
		again, _ := n.takeCounts()
		require.Len(t, again, 3, "the failed instance is tried once")
		c.Advance(instance.ServingRetry)
		_, err = r.Connect(t.Context(), "a", entry.ForwardRequest{})
		require.NoError(t, err)
		again, _ = n.takeCounts()
		require.Equal(t, opened[0], again[0])
	})
	testRouter(t, "a final refusal is not retried at another instance", func(t *testing.T, r *entry.Router, n *forwardNetwork, _ *clock.Fake) {
		_, err := r.Connect(t.Context(), "a", entry.ForwardRequest{})
		require.NoError(t, err)
		opened, _ := n.takeCounts()
		n.setError(opened[0], port.Errorf(port.KeyRefused, "key is withdrawn"))
		_, err = r.Connect(t.Context(), "a", entry.ForwardRequest{})
		requireErrorKind(t, port.KeyRefused, err)
		opened, _ = n.takeCounts()
		require.Len(t, opened, 1)
	})
	testRouter(t, "connections to a paused instance are closed", func(t *testing.T, r *entry.Router, n *forwardNetwork, c *clock.Fake) {
		conn, err := r.Connect(t.Context(), "a", entry.ForwardRequest{})
		require.NoError(t, err)
		opened, _ := n.takeCounts()
		advance := func(times int) {
			for range times {
				c.Advance(time.Second)
				synctest.Wait()
			}
		}
		n.setError(opened[0], dead)
		advance(2)
		n.setError("", nil)
		advance(1)
		n.setError(opened[0], dead)
		advance(2)
		_, closed := n.takeCounts()
		require.Zero(t, closed, "an answer resets the count of missed pings")
		advance(1)
		_, closed = n.takeCounts()
		require.Equal(t, 1, closed)
		require.NoError(t, conn.Close())
		advance(2)
		_, err = r.Connect(t.Context(), "a", entry.ForwardRequest{})
		require.NoError(t, err)
		again, _ := n.takeCounts()
		require.NotEqual(t, opened, again)
	})
}

// Guards against a client that sends a request to a lost instance after another client was told that it is lost.
func TestRouterMarksConnectionsBeforeClosing(t *testing.T) {
	testRouter(t, "all connections to a paused instance", func(t *testing.T, r *entry.Router, n *forwardNetwork, c *clock.Fake) {
		var conns []entry.ForwardConn
		for range 3 {
			conn, err := r.Connect(t.Context(), "a", entry.ForwardRequest{})
			require.NoError(t, err)
			require.False(t, r.IsInstanceLost(conn))
			conns = append(conns, conn)
		}
		marked := 0
		n.onClose = func() {
			for _, conn := range conns {
				if r.IsInstanceLost(conn) {
					marked++
				}
			}
		}
		opened, _ := n.takeCounts()
		n.setError(opened[0], port.Errorf(port.Unavailable, "does not answer"))
		for range 3 {
			c.Advance(time.Second)
			synctest.Wait()
		}
		require.Equal(t, 9, marked, "all connections are marked before the first one is closed")
	})
}

// Guards against an instance that keeps its share of connections to the servers of groups that it does not serve, and
// against one that returns its share while connections are open.
func TestLimitManagerServedGroups(t *testing.T) {
	const ledger = "connections/" + server
	testConnectionPools(t, "served by the others", 3, func(t *testing.T, p *connectionPools) {
		p.demand = []int{2, 2, 2}
		p.advance(t, 5*time.Second, 50)
		p.cluster.members[0].SetServedGroups(nil)
		p.advance(t, 5*time.Second, 50)
		requireShare(t, p, ledger, 0, true)
		p.demand[0] = 0
		p.advance(t, 30*time.Second, 50)
		requireShare(t, p, ledger, 0, true)
		require.Positive(t, p.cluster.members[0].MaxConnections(server))
		p.advance(t, 40*time.Second, 50)
		requireShare(t, p, ledger, 0, false)
		require.Zero(t, p.cluster.members[0].MaxConnections(server))
		p.demand[0] = 1
		p.advance(t, 5*time.Second, 50)
		require.Equal(t, 1, p.open[0], "a client that is served here nevertheless gets a connection")
		p.demand[0] = 0
		p.advance(t, 70*time.Second, 50)
		p.cluster.members[0].SetServedGroups([]string{"formula-core"})
		p.advance(t, 5*time.Second, 50)
		requireShare(t, p, ledger, 0, true)
	})
	testConnectionPools(t, "lease numbers go on", 2, func(t *testing.T, p *connectionPools) {
		p.advance(t, 25*time.Second, 50)
		before, _ := p.cluster.ledger(t, ledger).Find("instance-00")
		p.cluster.members[0].SetServedGroups(nil)
		p.advance(t, time.Second, 50)
		requireShare(t, p, ledger, 0, false)
		p.cluster.members[0].SetServedGroups([]string{"formula-core"})
		p.advance(t, time.Second, 50)
		after, _ := p.cluster.ledger(t, ledger).Find("instance-00")
		require.Greater(t, after.Lease, before.Lease)
	})
}

func requireShare(t *testing.T, p *connectionPools, ledger string, holder int, want bool) {
	t.Helper()
	name := []string{"instance-00", "instance-01", "instance-02"}[holder]
	e, found := p.cluster.ledger(t, ledger).Find(name)
	require.Equal(t, want, found && e.Share != allotment.Amount{}, "entry of %s: %v", name, e)
}
