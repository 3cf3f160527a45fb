package postgres_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/adapter/postgres"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/session"
)

// fakeGate admits any organisation whose key is "key-<organisation>" on the routes that it knows.
type fakeGate struct {
	mu     sync.Mutex
	routes map[string]document.Route
	seen   []entry.Credentials
	refuse error
	// resumed are the openings of forwarded callers.
	resumed []entry.ForwardRequest
}

func (g *fakeGate) Authorize(_ context.Context, c entry.Credentials) (entry.Client, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seen = append(g.seen, c)
	route, ok := g.routes[c.Route]
	if !ok {
		return entry.Client{}, port.Errorf(port.UnknownRoute, "route %q does not exist", c.Route)
	}
	if c.Key != "key-"+c.Organisation {
		return entry.Client{}, port.Errorf(port.KeyRefused, "key refused")
	}
	return entry.Client{
		Organisation: c.Organisation, Route: route, Read: c.ReadOnly || route.Kind == document.Read,
		Session: session.Fresh(c.Organisation),
	}, nil
}

func (g *fakeGate) AuthorizeStatement(_ context.Context, c entry.Client) (entry.Client, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return c, g.refuse
}

func (g *fakeGate) Token(s session.Session) string {
	return fmt.Sprintf("%s@%v", s.Organisation(), s.Floors())
}

func (g *fakeGate) refuseWith(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refuse = err
}

// fakeDirector places transactions on its servers in turn, and acknowledges as its function says.
type fakeDirector struct {
	mu          sync.Mutex
	targets     []entry.Target
	placed      int
	acknowledge func(ctx context.Context, p group.Position) error
}

func (d *fakeDirector) SelectServer(context.Context, entry.Client) (entry.Target, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	target := d.targets[d.placed%len(d.targets)]
	d.placed++
	return target, nil
}

func (d *fakeDirector) AwaitDurable(ctx context.Context, _ string, p group.Position) error {
	d.mu.Lock()
	f := d.acknowledge
	d.mu.Unlock()
	if f == nil {
		return nil
	}
	return f(ctx, p)
}

// fixture is a listener with a pool in front of fake servers, on a fake clock.
type fixture struct {
	t        *testing.T
	clock    *clock.Fake
	gate     *fakeGate
	director *fakeDirector
	servers  []*fakeServer
	limit    *fakeLimit
	pool     *postgres.Pool
	listener *postgres.Listener
	address  string
}

func start(t *testing.T, cfg postgres.ListenerConfig, servers ...*fakeServer) *fixture {
	t.Helper()
	f := &fixture{
		t: t, servers: servers, clock: &clock.Fake{}, director: &fakeDirector{}, limit: &fakeLimit{allowed: 4, wanted: make(chan int, 1000), held: make(chan int, 1000)},
		gate: &fakeGate{routes: map[string]document.Route{
			"orders": {Name: "orders", Group: "core", Slot: "one", Kind: document.Write},
			"stock":  {Name: "stock", Group: "core", Slot: "one", Kind: document.Read},
			"menus":  {Name: "menus", Group: "core", Slot: "two", Kind: document.Read},
		}},
	}
	for i, s := range servers {
		f.director.targets = append(f.director.targets, entry.Target{
			Group: "core", Server: fmt.Sprintf("db%d", i+1), Address: s.address(),
		})
	}
	f.pool = postgres.NewPool(postgres.PoolConfig{User: "system", Password: "own"}, f.limit, f.clock, nil)
	if cfg.Forward != nil {
		cfg.Forward.Authorizer = f.gate
	}
	f.listener = postgres.NewListener(cfg, f.gate, f.director, f.pool, f.clock, nil)
	socket, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.address = socket.Addr().String()
	f.serve(socket)
	return f
}

func startOne(t *testing.T) (*fixture, *fakeServer) {
	t.Helper()
	server := startFake(t)
	return start(t, postgres.ListenerConfig{}, server), server
}

func (f *fixture) serve(socket net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	var duties sync.WaitGroup
	duties.Go(func() { f.pool.Run(ctx) })
	duties.Go(func() { _ = f.listener.Serve(ctx, socket) })
	f.t.Cleanup(func() {
		cancel()
		_ = f.listener.Stop(ctx)
		duties.Wait()
	})
}

func (f *fixture) url(organisation, route, options string) string {
	return fmt.Sprintf("postgres://%s:key-%s@%s/%s?sslmode=disable%s", organisation, organisation, f.address, route, options)
}

// connect returns a caller in the driver's default mode.
func (f *fixture) connect(organisation, route string) *pgx.Conn {
	f.t.Helper()
	conn, err := pgx.Connect(f.t.Context(), f.url(organisation, route, ""))
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func (s *fakeServer) countBind() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.binds++
	s.changed.Broadcast()
}

// waitBinds waits until the server has bound connections n times.
func (s *fakeServer) waitBinds(n int) { s.waitFor(func() bool { return s.binds >= n }) }

// forget empties the list of statements.
func (s *fakeServer) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = nil
}

func begin(t *testing.T, conn *pgx.Conn) pgx.Tx {
	t.Helper()
	tx, err := conn.Begin(t.Context())
	require.NoError(t, err)
	return tx
}

// execute runs a simple query and delivers its error.
func execute(conn *pgx.Conn, sql string) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), sql, pgx.QueryExecModeSimpleProtocol)
		done <- err
	}()
	return done
}

func requireRow(t *testing.T, conn *pgx.Conn, sql string, mode ...any) {
	t.Helper()
	var got string
	require.NoError(t, conn.QueryRow(t.Context(), sql, mode...).Scan(&got))
	require.Equal(t, sql, got)
}

// requireState checks the error's SQLSTATE and that its message says "not run" exactly when its kind says so.
func requireState(t *testing.T, kind port.Kind, err error) {
	t.Helper()
	var told *pgconn.PgError
	require.ErrorAs(t, err, &told)
	require.Equal(t, kind.Codes().SQLState, told.Code, told.Message)
	if kind.Codes().Outcome == port.NotRun {
		require.Contains(t, told.Message, "not run")
	} else {
		require.NotContains(t, told.Message, "not run")
	}
}
