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

// fakeAuthorizer authorizes any organisation with the key "key-<organisation>" for the known routes.
type fakeAuthorizer struct {
	mu          sync.Mutex
	routes      map[string]document.Route
	credentials []entry.Credentials
	err         error
	// panicFor is the organisation whose statements cause a panic.
	panicFor string
	// forwardRequests contains the requests of forwarded clients.
	forwardRequests []entry.ForwardRequest
}

func (a *fakeAuthorizer) Authorize(_ context.Context, c entry.Credentials) (entry.Client, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.credentials = append(a.credentials, c)
	route, ok := a.routes[c.Route]
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

func (a *fakeAuthorizer) AuthorizeStatement(_ context.Context, c entry.Client) (entry.Client, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.panicFor != "" && c.Organisation == a.panicFor {
		panic("unexpected statement")
	}
	return c, a.err
}

func (a *fakeAuthorizer) Token(s session.Session) string {
	return fmt.Sprintf("%s@%v", s.Organisation(), s.Floors())
}

func (a *fakeAuthorizer) setPanicFor(organisation string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.panicFor = organisation
}

func (a *fakeAuthorizer) setError(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.err = err
}

// fakeSelector selects its servers in turn. awaitDurable replaces the wait for a majority.
type fakeSelector struct {
	mu           sync.Mutex
	targets      []entry.Target
	selected     int
	awaitDurable func(ctx context.Context, p group.Position) error
}

func (s *fakeSelector) SelectServer(context.Context, entry.Client) (entry.Target, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	target := s.targets[s.selected%len(s.targets)]
	s.selected++
	return target, nil
}

func (s *fakeSelector) AwaitDurable(ctx context.Context, _ string, p group.Position) error {
	s.mu.Lock()
	f := s.awaitDurable
	s.mu.Unlock()
	if f == nil {
		return nil
	}
	return f(ctx, p)
}

// fixture is a listener with a pool in front of fake servers, on a fake clock.
type fixture struct {
	t          *testing.T
	clock      *clock.Fake
	authorizer *fakeAuthorizer
	selector   *fakeSelector
	servers    []*fakeServer
	limit      *fakeLimit
	pool       *postgres.Pool
	listener   *postgres.Listener
	address    string
}

func startFixture(t *testing.T, cfg postgres.ListenerConfig, servers ...*fakeServer) *fixture {
	t.Helper()
	f := &fixture{
		t: t, servers: servers, clock: &clock.Fake{}, selector: &fakeSelector{}, limit: &fakeLimit{allowed: 4, demands: make(chan int, 1000), openCounts: make(chan int, 1000)},
		authorizer: &fakeAuthorizer{routes: map[string]document.Route{
			"orders": {Name: "orders", Group: "core", Slot: "one", Kind: document.Write},
			"stock":  {Name: "stock", Group: "core", Slot: "one", Kind: document.Read},
			"menus":  {Name: "menus", Group: "core", Slot: "two", Kind: document.Read},
		}},
	}
	for i, s := range servers {
		f.selector.targets = append(f.selector.targets, entry.Target{
			Group: "core", Server: fmt.Sprintf("db%d", i+1), Address: s.address(),
		})
	}
	f.pool = postgres.NewPool(postgres.PoolConfig{User: "system", Password: "own"}, f.limit, f.clock, nil)
	if cfg.Forward != nil {
		cfg.Forward.Authorizer = f.authorizer
	}
	f.listener = postgres.NewListener(cfg, f.authorizer, f.selector, f.pool, f.clock, nil)
	socket, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.address = socket.Addr().String()
	f.run(socket)
	return f
}

func startOneServer(t *testing.T) (*fixture, *fakeServer) {
	t.Helper()
	server := startFakeServer(t)
	return startFixture(t, postgres.ListenerConfig{}, server), server
}

func (f *fixture) run(socket net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { f.pool.Run(ctx) })
	running.Go(func() { _ = f.listener.Serve(ctx, socket) })
	f.t.Cleanup(func() {
		cancel()
		_ = f.listener.Stop(ctx)
		running.Wait()
	})
}

func (f *fixture) url(organisation, route, options string) string {
	return fmt.Sprintf("postgres://%s:key-%s@%s/%s?sslmode=disable%s", organisation, organisation, f.address, route, options)
}

// connect returns a client in the driver's default mode.
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

// awaitBinds waits until the server has processed n binds.
func (s *fakeServer) awaitBinds(n int) { s.await(func() bool { return s.binds >= n }) }

// clearStatements clears the list of statements.
func (s *fakeServer) clearStatements() {
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

// execute runs a simple query and returns a channel that receives its error.
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

// requireKind checks the error's SQLSTATE, and that its message contains "not run" exactly if its kind means that.
func requireKind(t *testing.T, kind port.Kind, err error) {
	t.Helper()
	var pgErr *pgconn.PgError
	require.ErrorAs(t, err, &pgErr)
	require.Equal(t, kind.Codes().SQLState, pgErr.Code, pgErr.Message)
	if kind.Codes().Outcome == port.NotRun {
		require.Contains(t, pgErr.Message, "not run")
	} else {
		require.NotContains(t, pgErr.Message, "not run")
	}
}
