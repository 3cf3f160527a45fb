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

// Guards against a forwarded client that runs with a withdrawn key, for another organisation, or by an older document
// than the one by which it was admitted.
func TestResume(t *testing.T) {
	testDocumentFixture(t, "admitted, recheck and read-only", 1, 2, func(t *testing.T, f *documentFixture) {
		authorizer, client := f.authorize("1a")
		other := f.instances["1b"].authorizer(&recordingLimit{})
		resumed, err := other.AuthorizeForwarded(t.Context(), authorizer.ForwardRequest(client))
		require.NoError(t, err)
		require.Equal(t, authorizer.Token(client.Session), authorizer.Token(resumed.Session))
		require.Equal(t, client, resumed.WithSession(client.Session))
		_, err = f.apply("1a", withdraw)
		require.NoError(t, err)
		f.run(time.Second)
		_, err = other.AuthorizeStatement(t.Context(), resumed)
		requireErrorKind(t, port.KeyRefused, err)
		_, err = other.AuthorizeForwarded(t.Context(), authorizer.ForwardRequest(client))
		requireErrorKind(t, port.KeyRefused, err)
	})
	testDocumentFixture(t, "openings that no instance sends", 1, 1, func(t *testing.T, f *documentFixture) {
		authorizer, client := f.authorize("1a")
		o := authorizer.ForwardRequest(client)
		for _, change := range []func(*entry.ForwardRequest){
			func(o *entry.ForwardRequest) { o.KeyHash = "00" },
			func(o *entry.ForwardRequest) { o.KeyID = "" },
			func(o *entry.ForwardRequest) { o.KeyID, o.Route = "", "menu" },
		} {
			changed := o
			change(&changed)
			_, err := authorizer.AuthorizeForwarded(t.Context(), changed)
			requireErrorKind(t, port.KeyRefused, err)
		}
		_, err := authorizer.AuthorizeForwarded(t.Context(), o.WithToken("1.x.y"))
		requireErrorKind(t, port.BadToken, err)
	})
	testDocumentFixture(t, "a revision that is awaited and one that does not come", 1, 1, func(t *testing.T, f *documentFixture) {
		authorizer, client := f.authorize("1a")
		o := authorizer.ForwardRequest(client)
		o.Revision++
		resume := func() <-chan error {
			done := make(chan error, 1)
			go func() { _, err := authorizer.AuthorizeForwarded(f.ctx, o); done <- err }()
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
	testDocumentFixture(t, "a session without a token keeps an unknown floor", 1, 1, func(t *testing.T, f *documentFixture) {
		authorizer := f.instances["1a"].authorizer(&recordingLimit{})
		without := keyed
		without.Token = ""
		client, err := authorizer.Authorize(t.Context(), without)
		require.NoError(t, err)
		o := authorizer.ForwardRequest(client)
		wrote := client.Session.WithFloor("g", group.Position{Term: 1, Offset: 5})
		resumed, err := authorizer.AuthorizeForwarded(t.Context(), o.WithToken(authorizer.Token(wrote)))
		require.NoError(t, err)
		_, known := resumed.Session.Floor("g")
		require.False(t, known)
		require.Equal(t, authorizer.Token(wrote), authorizer.Token(resumed.Session))
	})
}

// forwardNetwork is a ForwardClient. Instances that are silent do not answer.
type forwardNetwork struct {
	mu     sync.Mutex
	errs   map[string]error
	opened []string
	closed int
	// onClose is called at each close of a connection, when it is set.
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

func (n *forwardNetwork) take() (opened []string, closed int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	opened, closed = n.opened, n.closed
	n.opened, n.closed = nil, 0
	return opened, closed
}

// testRouter runs a router of an instance that serves group "b" but not group "a".
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

// Guards against callers that stay with an instance that no longer answers, or that are sent to it again at once.
func TestRouter(t *testing.T) {
	dead := port.Errorf(port.Unavailable, "does not answer")
	testRouter(t, "the next one after a failure", func(t *testing.T, r *entry.Router, n *forwardNetwork, c *clock.Fake) {
		_, err := r.Connect(t.Context(), "a", entry.ForwardRequest{})
		require.NoError(t, err)
		opened, _ := n.take()
		n.setError(opened[0], dead)
		for range 2 {
			_, err = r.Connect(t.Context(), "a", entry.ForwardRequest{})
			require.NoError(t, err)
		}
		again, _ := n.take()
		require.Len(t, again, 3, "the one that failed is tried once")
		c.Advance(instance.ServingRetry)
		_, err = r.Connect(t.Context(), "a", entry.ForwardRequest{})
		require.NoError(t, err)
		again, _ = n.take()
		require.Equal(t, opened[0], again[0])
	})
	testRouter(t, "a refusal of the client is not tried elsewhere", func(t *testing.T, r *entry.Router, n *forwardNetwork, _ *clock.Fake) {
		_, err := r.Connect(t.Context(), "a", entry.ForwardRequest{})
		require.NoError(t, err)
		opened, _ := n.take()
		n.setError(opened[0], port.Errorf(port.KeyRefused, "withdrawn"))
		_, err = r.Connect(t.Context(), "a", entry.ForwardRequest{})
		requireErrorKind(t, port.KeyRefused, err)
		opened, _ = n.take()
		require.Len(t, opened, 1)
	})
	testRouter(t, "a paused instance loses its callers", func(t *testing.T, r *entry.Router, n *forwardNetwork, c *clock.Fake) {
		conn, err := r.Connect(t.Context(), "a", entry.ForwardRequest{})
		require.NoError(t, err)
		opened, _ := n.take()
		beat := func(times int) {
			for range times {
				c.Advance(time.Second)
				synctest.Wait()
			}
		}
		n.setError(opened[0], dead)
		beat(2)
		n.setError("", nil)
		beat(1)
		n.setError(opened[0], dead)
		beat(2)
		_, closed := n.take()
		require.Zero(t, closed, "one answer in between counts")
		beat(1)
		_, closed = n.take()
		require.Equal(t, 1, closed)
		require.NoError(t, conn.Close())
		beat(2)
		_, err = r.Connect(t.Context(), "a", entry.ForwardRequest{})
		require.NoError(t, err)
		again, _ := n.take()
		require.NotEqual(t, opened, again)
	})
}

// Guards against callers that still send to an instance of which another client was told already that it is lost.
func TestRouterGivesUpTogether(t *testing.T) {
	testRouter(t, "all connections to a paused instance", func(t *testing.T, r *entry.Router, n *forwardNetwork, c *clock.Fake) {
		var conns []entry.ForwardConn
		for range 3 {
			conn, err := r.Connect(t.Context(), "a", entry.ForwardRequest{})
			require.NoError(t, err)
			require.False(t, r.IsInstanceLost(conn))
			conns = append(conns, conn)
		}
		given := 0
		n.onClose = func() {
			for _, conn := range conns {
				if r.IsInstanceLost(conn) {
					given++
				}
			}
		}
		opened, _ := n.take()
		n.setError(opened[0], port.Errorf(port.Unavailable, "does not answer"))
		for range 3 {
			c.Advance(time.Second)
			synctest.Wait()
		}
		require.Equal(t, 9, given, "each is given up before the first is closed")
	})
}

// Guards against connections that an instance keeps to servers of groups that it does not serve, and against an entry
// that is given back while connections are open.
func TestKeeperServed(t *testing.T) {
	const ledger = "connections/" + server
	testConnectionPools(t, "served by the others", 3, func(t *testing.T, p *connectionPools) {
		p.demand = []int{2, 2, 2}
		p.advance(t, 5*time.Second, 50)
		p.cluster.members[0].SetServedGroups(nil)
		p.advance(t, 5*time.Second, 50)
		requireHolds(t, p, ledger, 0, true)
		p.demand[0] = 0
		p.advance(t, 30*time.Second, 50)
		requireHolds(t, p, ledger, 0, true)
		require.Positive(t, p.cluster.members[0].MaxConnections(server))
		p.advance(t, 40*time.Second, 50)
		requireHolds(t, p, ledger, 0, false)
		require.Zero(t, p.cluster.members[0].MaxConnections(server))
		p.demand[0] = 1
		p.advance(t, 5*time.Second, 50)
		require.Equal(t, 1, p.open[0], "a client that is served all the same gets a connection")
		p.demand[0] = 0
		p.advance(t, 70*time.Second, 50)
		p.cluster.members[0].SetServedGroups([]string{"formula-core"})
		p.advance(t, 5*time.Second, 50)
		requireHolds(t, p, ledger, 0, true)
	})
	testConnectionPools(t, "lease numbers go on", 2, func(t *testing.T, p *connectionPools) {
		p.advance(t, 25*time.Second, 50)
		before, _ := p.cluster.ledger(t, ledger).Find("instance-00")
		p.cluster.members[0].SetServedGroups(nil)
		p.advance(t, time.Second, 50)
		requireHolds(t, p, ledger, 0, false)
		p.cluster.members[0].SetServedGroups([]string{"formula-core"})
		p.advance(t, time.Second, 50)
		after, _ := p.cluster.ledger(t, ledger).Find("instance-00")
		require.Greater(t, after.Lease, before.Lease)
	})
}

func requireHolds(t *testing.T, p *connectionPools, ledger string, holder int, want bool) {
	t.Helper()
	name := []string{"instance-00", "instance-01", "instance-02"}[holder]
	e, found := p.cluster.ledger(t, ledger).Find(name)
	require.Equal(t, want, found && e.Share != allotment.Amount{}, "entry of %s: %v", name, e)
}
