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

// The secrets of the fleet under test.
const (
	callerKey      = "caller-key-of-the-clinic"
	otherKey       = "key-that-nobody-was-granted"
	operatorSecret = "operators-password-of-the-test"
	serverSecret   = "server-password-of-the-test"
	tokenSecret    = "token-secret-of-the-test-with-32-bytes"
)

// fleet is one instance with a stand-in store and three stand-in servers, all in this process.
type fleet struct {
	process  *process
	operator *operator.Client
	logs     *output
}

// output collects what several duties write.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

func startFleet(t *testing.T) *fleet {
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
			Login: server.Login{User: "system", Password: serverSecret}, MaxConnections: 50,
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

func startInstance(ctx context.Context, t *testing.T, running *sync.WaitGroup, store *platform.Process) *fleet {
	t.Helper()
	cfg := settings.Default()
	cfg.Instance = settings.Instance{
		DataCentre: "kigali-1", ClientListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", AdminListen: "127.0.0.1:0",
	}
	cfg.Platform.StoreURL = "http://" + store.Address()
	cfg.Servers.User, cfg.Servers.Password = "system", serverSecret
	cfg.Session.TokenSecret = tokenSecret
	cfg.Limits = settings.Limits{Policy: "static", InstanceCount: 1}
	cfg.Console.PasswordSHA256 = hashOf(operatorSecret)
	cfg.Log.Level = "debug"
	logs := &output{}
	log, err := startup.NewLogger(cfg.Log, logs)
	require.NoError(t, err)
	p, err := newProcess(ctx, cfg, "instance-under-test", log)
	require.NoError(t, err)
	running.Go(func() { assert.NoError(t, p.run(ctx, io.Discard)) })
	return &fleet{process: p, logs: logs, operator: operator.NewClient("http://"+p.operator.Addr().String(), operatorSecret)}
}

func (f *fleet) apply(t *testing.T, servers []document.Server) {
	t.Helper()
	data, err := json.Marshal(document.Document{
		MaxFallbackHolders: 8,
		Organisations: []document.Organisation{{
			Name: "clinic", Rate: 200, Burst: 400, Keys: []document.Key{{ID: "first", SHA256: hashOf(callerKey)}},
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

func (f *fleet) document() document.Document { return f.process.follower.Document() }

// connect opens a caller's connection. "new" declares a session without earlier writes.
func (f *fleet) connect(t *testing.T, route, key string) (*pgx.Conn, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	target := url.URL{
		Scheme: "postgres", User: url.UserPassword("clinic", key), Host: f.process.caller.Addr().String(), Path: "/" + route,
	}
	cfg, err := pgx.ParseConfig(target.String())
	require.NoError(t, err)
	cfg.RuntimeParams["rhubarbwick.session"] = "new"
	conn, err := pgx.ConnectConfig(ctx, cfg)
	if err == nil {
		t.Cleanup(func() { _ = conn.Close(context.Background()) })
	}
	return conn, err
}

// run runs one statement over a new connection.
func (f *fleet) run(t *testing.T, route, key, statement string) error {
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
