package untrusted

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/operator"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/standin/platform"
	"github.com/rhubarbwick/rhubarbwick/standin/server"
)

const (
	operatorPassword = "operators-password-of-the-test"
	serverPassword   = "server-password-of-the-test"
)

// serveFixture is a process of the serve command with stand-ins for its store and its database servers.
type serveFixture struct {
	*process
	clients, admin string
}

func startServe(t *testing.T) *serveFixture {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	store, err := platform.Open(ctx, platform.Config{Listen: "127.0.0.1:0"}, timer)
	require.NoError(t, err)
	running.Go(func() { _ = store.Run(ctx) })
	var servers []document.Server
	for _, name := range []string{"a", "b", "c"} {
		s, err := server.Open(ctx, server.Config{
			Name: name, Listen: "127.0.0.1:0", Admin: "127.0.0.1:0",
			Login: server.Login{User: "system", Password: serverPassword}, MaxConnections: 2 * connectionLimit,
		}, timer)
		require.NoError(t, err)
		running.Go(func() { _ = s.Run(ctx) })
		servers = append(servers, document.Server{Name: name, Address: s.Address(), DataCentre: "kigali-1", Connections: connectionLimit})
	}
	addresses := freeAddresses(t, 3)
	f := &serveFixture{clients: addresses[0], admin: addresses[2]}
	path := filepath.Join(t.TempDir(), "settings.ini")
	require.NoError(t, os.WriteFile(path, []byte(serveSettings(store.Address(), addresses)), 0o600))
	f.process = startProcess(t, "serve", "--settings", path, "--incarnation", "instance-under-test")
	require.NoError(t, store.Store.SetInstances(t.Context(), []instance.Instance{{
		Incarnation: "instance-under-test", Address: addresses[1], DataCentre: "kigali-1", State: instance.Live,
	}}))
	eventually(t, startTimeout, "the process serves operators", func() bool { return statusCode("http://"+f.admin+"/live") == http.StatusOK })
	f.apply(t, servers)
	eventually(t, startTimeout, "the process is ready", func() bool { return statusCode("http://"+f.admin+"/ready") == http.StatusOK })
	return f
}

func serveSettings(store string, addresses []string) string {
	return strings.Join([]string{
		"[instance]", "data_centre = kigali-1", "caller_listen = " + addresses[0], "peer_listen = " + addresses[1],
		"admin_listen = " + addresses[2],
		"[platform]", "store_url = http://" + store,
		"[servers]", "user = system", "password = " + serverPassword,
		"[callers]", fmt.Sprintf("max_connections = %d", placeLimit), "start_up_ms = 2000",
		fmt.Sprintf("memory_mb = %d", memoryMB), "message_ms = 2000", "write_ms = 2000", "idle_transaction_ms = 2000",
		"[session]", "token_secret = token-secret-of-the-test-with-32-bytes",
		"[limits]", "policy = static", "holders = 1",
		"[console]", "password_sha256 = " + hashOf(operatorPassword), "",
	}, "\n")
}

func hashOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

func (f *serveFixture) apply(t *testing.T, servers []document.Server) {
	t.Helper()
	organisation := func(name, key string) document.Organisation {
		return document.Organisation{Name: name, Rate: 1e6, Burst: 1e6, Keys: []document.Key{{ID: "first", SHA256: hashOf(key)}}}
	}
	organisations := []document.Organisation{organisation("clinic", crowdKey), organisation("pharmacy", ordinaryKey)}
	for i := range otherKeys {
		organisations = append(organisations, organisation(fmt.Sprintf("ward-%d", i), otherKey(i)))
	}
	data, err := json.Marshal(document.Document{
		MaxFallbackHolders: 8, Organisations: organisations,
		Groups: []document.Group{{Name: "core", Slots: []string{"orders"}, Servers: servers}},
		Routes: []document.Route{
			{Name: "orders", Group: "core", Slot: "orders", Kind: document.Write},
			{Name: "stock", Group: "core", Slot: "orders", Kind: document.Read, AcceptedAgeMS: 5000, Idempotent: true},
		},
	})
	require.NoError(t, err)
	_, err = operator.NewClient("http://"+f.admin, operatorPassword).Apply(t.Context(), data, 0, "test", "first document")
	require.NoError(t, err)
}

// requireService requires that an ordinary client with a key and an address of its own gets an answer.
func (f *serveFixture) requireService(t *testing.T) {
	t.Helper()
	eventually(t, serviceTimeout, "an ordinary client is served", func() bool {
		c, err := dialPostgres(f.clients, ordinaryAddress, "orders", "pharmacy", ordinaryKey)
		if err != nil {
			return false
		}
		defer c.close()
		return c.exec(putSQL("tin", "7")) == nil && c.exec("select value from kv where key = 'tin'") == nil
	})
}

func putSQL(key, value string) string {
	return "insert into kv (key, value) values ('" + key + "', '" + value + "')"
}
