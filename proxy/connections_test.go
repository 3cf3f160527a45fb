package proxy_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/proxy"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// dialLog is a dialer that records for whom connections were opened.
type dialLog struct {
	mu     sync.Mutex
	opened []string
	lost   chan struct{}
}

// Dial opens a connection.
func (l *dialLog) Dial(_ context.Context, e proxy.Endpoint) (proxy.ServerConn, statement.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opened = append(l.opened, e.Organisation)
	return loggedConn{l.lost}, statement.Result{}, nil
}

func (l *dialLog) names() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.opened)
}

// loseAll closes all connections.
func (l *dialLog) loseAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.lost)
	l.lost, l.opened = make(chan struct{}), nil
}

type loggedConn struct{ lost chan struct{} }

// Do is not used.
func (loggedConn) Do(context.Context, ...statement.Command) ([]statement.Result, error) {
	return nil, nil
}

// Lost returns a channel that is closed when the connection is lost.
func (c loggedConn) Lost() <-chan struct{} { return c.lost }

// Close does nothing.
func (loggedConn) Close() {}

// withPool runs a test with the owner of the pool of server "s", which accepts limit connections.
func withPool(t *testing.T, limit int, names []string, test func(t *testing.T, d *proxy.Dispatcher, l *dialLog)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		self := proxy.Member{Name: "one", Incarnation: "one@1", DataCentre: "a"}
		data, err := json.Marshal(self)
		require.NoError(t, err)
		records := proxy.NewSnapshot([]port.Object{{Name: "instance/one", Version: 1, Data: data}}, 0)
		timer, l := clock.NewService(), &dialLog{lost: make(chan struct{})}
		d := proxy.NewDispatcher(proxy.DispatcherConfig{
			DataCentre: "a", Timer: timer, Views: proxy.NewPrimaryViews(timer, nil), Dialer: l, ConnectionLimit: func(string) int { return limit }, Self: self,
			Members:           func() (proxy.Snapshot, bool) { return records, true },
			OrganisationNames: func() []string { return names },
		})
		ctx, stop := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { timer.Run(ctx) })
		running.Go(func() { d.Run(ctx) })
		defer running.Wait()
		defer stop()
		d.SetListings(map[string]dispatch.Listing{"s": {Name: "s", Group: testGroup, Address: "s", DataCentre: "a", Slots: 4, Incarnation: 1}})
		test(t, d, l)
	})
}

// use runs n statements of an organisation one after the other.
func use(t *testing.T, d *proxy.Dispatcher, name string, n int) {
	t.Helper()
	for range n {
		g, err := d.Acquire(t.Context(), proxy.AcquireRequest{Organisation: name, Need: dispatch.NeedServer{Name: "s"}, ConnectionWait: time.Second})
		require.NoError(t, err)
		sleep(8 * time.Millisecond)
		d.Return(g.Connection, true)
	}
}

// Guards against closing the connection of an organisation that sends many statements because another one was used more
// recently.
func TestLeastNeededConnectionIsClosed(t *testing.T) {
	withPool(t, 4, nil, func(t *testing.T, d *proxy.Dispatcher, l *dialLog) {
		use(t, d, "a", 20)
		use(t, d, "b", 20)
		use(t, d, "rare", 1)
		use(t, d, "new", 1)
		use(t, d, "a", 1)
		use(t, d, "b", 1)
		require.Equal(t, []string{"a", "b", "rare", "new"}, l.names())
	})
}

// Guards against a burst of one organisation that opens a connection for each of its statements.
func TestStatementAwaitsConnectionInUse(t *testing.T) {
	withPool(t, 40, nil, func(t *testing.T, d *proxy.Dispatcher, l *dialLog) {
		use(t, d, "a", 20)
		var running sync.WaitGroup
		for range 2 {
			running.Go(func() { use(t, d, "a", 1) })
		}
		running.Wait()
		require.Equal(t, []string{"a"}, l.names())
	})
}

// Guards against prewarming in the order of names, which leaves those that come without a connection.
func TestPrewarmingFollowsDemand(t *testing.T) {
	var names []string
	for i := range 50 {
		names = append(names, fmt.Sprintf("org-%02d", i))
	}
	withPool(t, 12, names, func(t *testing.T, d *proxy.Dispatcher, l *dialLog) {
		use(t, d, "org-47", 10)
		use(t, d, "org-49", 20)
		l.loseAll()
		sleep(3 * time.Second)
		require.Equal(t, []string{"org-49", "org-47", "org-00"}, l.names()[:3])
	})
}
