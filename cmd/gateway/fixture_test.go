package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/cmd/startup"
	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/platform"
	"github.com/rhubarbwick/rhubarbwick/proxy"
	"github.com/rhubarbwick/rhubarbwick/standin/database"
	"github.com/rhubarbwick/rhubarbwick/standin/objects"
)

const (
	groupName   = "formula-core-a"
	testKey     = "key-of-clinic"
	waitTimeout = 20 * time.Second
)

// fixture is a stand-in for the platform, with one group of servers and the gateways under test.
type fixture struct {
	t        *testing.T
	platform *objects.Server
	address  string
	group    *database.Group
	gateways map[string]*gatewayInstance
	// spillOver is a setting of gateways that start.
	spillOver dispatch.SpillValues
	// zones holds the zones of servers outside kig-a.
	zones map[string]string
	// maintenanceBound is in the settings of gateways that are started.
	maintenanceBound time.Duration
}

// gatewayInstance is one running entry instance.
type gatewayInstance struct {
	clientAddress    string
	readinessAddress string
	metricsAddress   string
	stop             context.CancelFunc
	done             chan error
	log              *syncBuffer
	process          *process
}

// syncBuffer is a buffer for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String implements fmt.Stringer.
func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, platform: objects.NewServer(), group: database.NewGroup(groupName), gateways: make(map[string]*gatewayInstance)}
	f.group.Lag = 10 * time.Millisecond
	f.group.OnRoleChange = f.setListing
	f.platform.Promote = func(p objects.Promotion) int {
		if f.group.Promote(p.ID) {
			return http.StatusOK
		}
		return http.StatusConflict
	}
	web := httptest.NewServer(f.platform.Handler())
	t.Cleanup(web.Close)
	f.address = strings.TrimPrefix(web.URL, "http://")
	for _, id := range []string{"i-a", "i-b", "i-c"} {
		s, err := f.group.StartServer(id)
		require.NoError(t, err)
		t.Cleanup(s.Stop)
		f.setListing(s)
	}
	f.setDocument(1, testKey)
	return f
}

// setListing stores the platform's entry of a server.
func (f *fixture) setListing(s *database.Server) {
	role, zone := "replica", "kig-a"
	if other, found := f.zones[s.ID]; found {
		zone = other
	}
	if s.IsPrimary() {
		role = "primary"
	}
	f.platform.Store.Set("servers", s.ID, map[string]any{ //nolint:gocritic // The platform defines the format of the entry.
		"service": groupName, "address": s.Address(), "zone": zone, "slots": 3, "state": "ready", "database_role": role, "born": 1,
	})
}

func (f *fixture) setDocument(version int, key string) {
	f.platform.Store.Set("config", "main", map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "r1", "host": "orders", "kind": "primary", "timeout_ms": 2000, "target_latency_ms": 500, "service": groupName},
			{
				"name": "r2", "host": "stock", "kind": "read_your_writes", "timeout_ms": 2000, "target_latency_ms": 500,
				"service": groupName, "max_staleness_ms": 500,
			},
		},
		"services": []map[string]any{{"name": groupName, "connection_limit": 20}},
		"limits":   map[string]any{"transaction_idle_ms": 3000},
		"tenants":  []map[string]any{{"name": "clinic", "api_keys": []string{key}, "rate_per_s": 1e6, "burst": 1e6}},
	})
}

// start starts a gateway and waits until it is ready.
func (f *fixture) start(name string) *gatewayInstance {
	f.t.Helper()
	log := &syncBuffer{}
	return f.startWithLog(name, log, log)
}

// startWithLog is start for a gateway whose log is written to w. log is shown if a test fails.
func (f *fixture) startWithLog(name string, w io.Writer, log *syncBuffer) *gatewayInstance {
	f.t.Helper()
	g := &gatewayInstance{log: log, done: make(chan error, 1)}
	ctx, stop := context.WithCancel(f.t.Context())
	const anyPort = "127.0.0.1:0"
	lines, err := startup.NewLog(logSettings, w)
	require.NoError(f.t, err)
	f.t.Cleanup(lines.Close)
	p, err := newProcess(ctx, platform.Settings{
		Name: name, DataCentre: "kig-a", ClientAddress: anyPort, ReadyAddress: anyPort, PeerAddress: anyPort,
		MetricsAddress: anyPort, StoreAddress: f.address, CloudAddress: f.address, MemoryMB: 200, FileDescriptors: 2000,
		DrainTimeout: 6 * time.Second, RateTolerance: proxy.RateTolerance{Window: 5 * time.Second},
		SpillOver:        f.spillOver,
		MaintenanceBound: f.maintenanceBound,
	}, startup.NewIncarnation(), lines)
	require.NoError(f.t, err)
	p.settingsPath = filepath.Join(f.t.TempDir(), "missing.conf")
	g.clientAddress, g.readinessAddress, g.metricsAddress = p.listener.Address(), p.readinessServer.Address(), p.metricsServer.Address()
	g.stop, g.process = stop, p
	running := &runner{process: p, done: g.done}
	go running.run(ctx)
	f.gateways[name] = g
	require.Eventually(f.t, func() bool { return isReady(g.readinessAddress) }, waitTimeout, 20*time.Millisecond, "gateway %s: %s", name, g.log)
	f.t.Cleanup(func() { f.stop(name) })
	return g
}

// runner runs a gateway in a goroutine.
type runner struct {
	process *process
	done    chan error
}

func (r *runner) run(ctx context.Context) { r.done <- r.process.run(ctx) }

func (f *fixture) stop(name string) {
	g := f.gateways[name]
	if g == nil {
		return
	}
	delete(f.gateways, name)
	g.stop()
	select {
	case err := <-g.done:
		require.NoError(f.t, err)
	case <-time.After(waitTimeout):
		require.Fail(f.t, "the gateway did not stop", "%s", g.log)
	}
}

func get(t *testing.T, url string) string {
	t.Helper()
	resp, err := http.Get(url)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(body)
}

func isReady(address string) bool {
	resp, err := http.Get("http://" + address + "/api/readiness")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// client is a client of the platform's line protocol.
type client struct {
	t     *testing.T
	conn  net.Conn
	lines *bufio.Reader
	ids   int
}

func dial(t *testing.T, address, database, key string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	c := &client{t: t, conn: conn, lines: bufio.NewReader(conn)}
	c.send("START " + database + " " + key)
	return c
}

func (c *client) send(line string) {
	c.t.Helper()
	_, err := c.conn.Write([]byte(line + "\r\n"))
	require.NoError(c.t, err)
}

func (c *client) line() string {
	c.t.Helper()
	require.NoError(c.t, c.conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	line := ""
	for !strings.HasSuffix(line, "\r\n") {
		part, err := c.lines.ReadString('\n')
		require.NoError(c.t, err)
		line += part
	}
	return strings.TrimSuffix(line, "\r\n")
}

// query sends a query and returns the lines of the response.
func (c *client) query(text string) []string {
	c.t.Helper()
	c.ids++
	c.send(fmt.Sprintf("QUERY %p-%d %s", c, c.ids, text))
	var lines []string
	for {
		line := c.line()
		lines = append(lines, line)
		if strings.HasPrefix(line, "READY ") {
			return lines
		}
	}
}

func requireSuccess(t *testing.T, lines []string) {
	t.Helper()
	require.True(t, strings.HasPrefix(lines[len(lines)-2], "COMPLETE "), "%v", lines)
}

func requireProof(t *testing.T, lines []string) {
	t.Helper()
	requireSuccess(t, lines)
	require.NotEqual(t, "COMPLETE -", lines[len(lines)-2])
}

func requireRow(t *testing.T, want string, lines []string) {
	t.Helper()
	requireProof(t, lines)
	require.Equal(t, "ROW "+want, lines[0])
}

func requireError(t *testing.T, code string, lines []string) {
	t.Helper()
	require.True(t, strings.HasPrefix(lines[0], "ERROR "+code+" "), "%v", lines)
}

// blockedWriter blocks its first write until the test ends, like a full pipe that nobody reads.
type blockedWriter struct {
	blocked  chan struct{}
	released chan struct{}
	once     sync.Once
}

func newBlockedWriter(t *testing.T) *blockedWriter {
	w := &blockedWriter{blocked: make(chan struct{}), released: make(chan struct{})}
	t.Cleanup(func() { close(w.released) })
	return w
}

// Write blocks until the test ends.
func (w *blockedWriter) Write(b []byte) (int, error) {
	w.once.Do(func() { close(w.blocked) })
	<-w.released
	return len(b), nil
}

func (w *blockedWriter) waitUntilBlocked() { <-w.blocked }
