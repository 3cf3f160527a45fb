package serve

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/adapter/operator"
	"github.com/rhubarbwick/rhubarbwick/adapter/settings"
	"github.com/rhubarbwick/rhubarbwick/cmd/startup"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/standin/platform"
	"github.com/rhubarbwick/rhubarbwick/standin/server"
)

// Secrets of the fixture.
const (
	clientKey        = "caller-key-of-the-clinic"
	unknownKey       = "key-that-nobody-was-granted"
	operatorPassword = "operators-password-of-the-test"
	serverPassword   = "server-password-of-the-test"
	tokenSecret      = "token-secret-of-the-test-with-32-bytes"
)

// fixture is one instance with a stand-in store and three stand-in servers in the same process.
type fixture struct {
	process  *process
	operator *operator.Client
	logs     *syncBuffer
}

// syncBuffer is a buffer for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func startFixture(t *testing.T) *fixture {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	timer := clock.NewService()
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	running.Go(func() { timer.Run(ctx) })
	store, err := platform.Open(ctx, platform.Config{Listen: "127.0.0.1:0"}, timer)
	require.NoError(t, err)
	running.Go(func() { assert.NoError(t, store.Run(ctx)) })
	var servers []document.Server
	for _, name := range []string{"a", "b", "c"} {
		s, err := server.Open(ctx, server.Config{
			Name: name, Listen: "127.0.0.1:0", Admin: "127.0.0.1:0",
			Login: server.Login{User: "system", Password: serverPassword}, MaxConnections: 50,
		}, timer)
		require.NoError(t, err)
		running.Go(func() { _ = s.Run(ctx) })
		servers = append(servers, document.Server{Name: name, Address: s.Address(), DataCentre: "kigali-1", Connections: 50})
	}
	f := startInstance(ctx, t, &running, store)
	require.NoError(t, store.Store.SetInstances(t.Context(), []instance.Instance{f.process.self}))
	f.apply(t, servers)
	return f
}

func startInstance(ctx context.Context, t *testing.T, running *sync.WaitGroup, store *platform.Process) *fixture {
	t.Helper()
	cfg := settings.Default()
	cfg.Instance = settings.Instance{
		DataCentre: "kigali-1", ClientListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", AdminListen: "127.0.0.1:0",
	}
	cfg.Platform.StoreURL = "http://" + store.Address()
	cfg.Servers.User, cfg.Servers.Password = "system", serverPassword
	cfg.Session.TokenSecret = tokenSecret
	cfg.Limits = settings.Limits{Policy: "static", InstanceCount: 1}
	cfg.Console.PasswordSHA256 = hashOf(operatorPassword)
	cfg.Log.Level = "debug"
	logs := &syncBuffer{}
	log, err := startup.NewLog(cfg.Log, logs)
	require.NoError(t, err)
	t.Cleanup(log.Close)
	p, err := newProcess(ctx, cfg, "instance-under-test", log)
	require.NoError(t, err)
	running.Go(func() { assert.NoError(t, p.run(ctx, io.Discard)) })
	return &fixture{process: p, logs: logs, operator: operator.NewClient("http://"+p.adminSocket.Addr().String(), operatorPassword)}
}

func (f *fixture) apply(t *testing.T, servers []document.Server) {
	t.Helper()
	data, err := json.Marshal(document.Document{
		MaxFallbackHolders: 8,
		Organisations: []document.Organisation{{
			Name: "clinic", Rate: 200, Burst: 400, Keys: []document.Key{{ID: "first", SHA256: hashOf(clientKey)}},
		}},
		Groups: []document.Group{{Name: "core", Slots: []string{"orders"}, Servers: servers}},
		Routes: []document.Route{
			{Name: "orders", Group: "core", Slot: "orders", Kind: document.Write},
			{Name: "stock", Group: "core", Slot: "orders", Kind: document.Read, AcceptedAgeMS: 5000, Idempotent: true},
		},
	})
	require.NoError(t, err)
	_, err = f.operator.Apply(t.Context(), data, 0, "test", "first document")
	require.NoError(t, err)
}

func (f *fixture) document() document.Document { return f.process.follower.Document() }

// connect opens a client connection. The session value "new" declares a session without earlier writes.
func (f *fixture) connect(t *testing.T, route, key string) (*pgx.Conn, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	connURL := url.URL{
		Scheme: "postgres", User: url.UserPassword("clinic", key), Host: f.process.clientSocket.Addr().String(), Path: "/" + route,
	}
	cfg, err := pgx.ParseConfig(connURL.String())
	require.NoError(t, err)
	cfg.RuntimeParams["rhubarbwick.session"] = "new"
	conn, err := pgx.ConnectConfig(ctx, cfg)
	if err == nil {
		t.Cleanup(func() { _ = conn.Close(context.Background()) })
	}
	return conn, err
}

// run runs one statement on a new connection.
func (f *fixture) run(t *testing.T, route, key, statement string) error {
	t.Helper()
	conn, err := f.connect(t, route, key)
	if err != nil {
		return err
	}
	_, err = conn.PgConn().Exec(t.Context(), statement).ReadAll()
	return err
}

func hashOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}
