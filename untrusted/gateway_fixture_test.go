package untrusted

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/standin/database"
	"github.com/rhubarbwick/rhubarbwick/standin/objects"
)

const (
	groupName = "formula-core-a"
	// crowdKey is the key of the clients that misbehave, and ordinaryKey that of the others.
	crowdKey    = "key-of-clinic"
	ordinaryKey = "key-of-pharmacy"
	// otherKeys is the number of further organisations with one key each.
	otherKeys = 10
	// connectionLimit is the number of connections that a stand-in server accepts.
	connectionLimit = 20
)

// gatewayFixture is a gateway process with stand-ins for its platform and its database servers.
type gatewayFixture struct {
	*process
	clients, readiness string
}

func startGateway(t *testing.T) *gatewayFixture {
	t.Helper()
	platform := objects.NewServer()
	group := database.NewGroup(groupName)
	group.MaxConnections = connectionLimit
	group.Lag = time.Millisecond
	platform.Promote = func(p objects.Promotion) int {
		if group.Promote(p.ID) {
			return http.StatusOK
		}
		return http.StatusConflict
	}
	group.OnRoleChange = func(s *database.Server) { setListing(platform, s) }
	web := httptest.NewServer(platform.Handler())
	t.Cleanup(web.Close)
	for _, id := range []string{"i-a", "i-b", "i-c"} {
		s, err := group.StartServer(id)
		require.NoError(t, err)
		t.Cleanup(s.Stop)
		setListing(platform, s)
	}
	platform.Store.Set("config", "main", gatewayDocument())
	addresses := freeAddresses(t, 4)
	f := &gatewayFixture{clients: addresses[0], readiness: addresses[1]}
	path := filepath.Join(t.TempDir(), "settings.conf")
	text := gatewaySettings(strings.TrimPrefix(web.URL, "http://"), addresses)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	f.process = startProcess(t, "gateway", "--settings", path)
	eventually(t, startTimeout, "the gateway is ready", func() bool { return f.isReady() })
	return f
}

func setListing(platform *objects.Server, s *database.Server) {
	role := "replica"
	if s.IsPrimary() {
		role = "primary"
	}
	platform.Store.Set("servers", s.ID, map[string]any{ //nolint:gocritic // The platform defines the format of the entry.
		"service": groupName, "address": s.Address(), "zone": "kig-a", "slots": 3, "state": "ready", "database_role": role, "born": 1,
	})
}

func gatewayDocument() map[string]any {
	tenants := []map[string]any{
		{"name": "clinic", "api_keys": []string{crowdKey}, "rate_per_s": 1e6, "burst": 1e6},
		{"name": "pharmacy", "api_keys": []string{ordinaryKey}, "rate_per_s": 1e6, "burst": 1e6},
	}
	for i := range otherKeys {
		tenants = append(tenants, map[string]any{
			"name": fmt.Sprintf("ward-%d", i), "api_keys": []string{otherKey(i)}, "rate_per_s": 1e6, "burst": 1e6,
		})
	}
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{
			{"name": "r1", "host": "orders", "kind": "primary", "timeout_ms": 2000, "target_latency_ms": 500, "service": groupName},
		},
		"services": []map[string]any{{"name": groupName, "connection_limit": connectionLimit}},
		"limits":   map[string]any{"transaction_idle_ms": 3000},
		"tenants":  tenants,
	}
}

func otherKey(i int) string { return fmt.Sprintf("key-of-ward-%d", i%otherKeys) }

// gatewaySettings returns the settings file of the gateway. addresses are those for clients, readiness checks and the
// range of internal ports.
func gatewaySettings(platform string, addresses []string) string {
	port := func(address string) string { return address[strings.LastIndexByte(address, ':')+1:] }
	return strings.Join([]string{
		"node_name=one", "zone=kig-a", "ip_address=127.0.0.1",
		"listen_addresses.frontend=" + addresses[0], "listen_addresses.ready=" + addresses[1],
		"internal_ports=" + port(addresses[2]) + "," + port(addresses[3]),
		"platform.address=" + platform, "cloud.address=" + platform,
		fmt.Sprintf("limits.memory_mb=%d", memoryMB), fmt.Sprintf("limits.file_descriptors=%d", descriptorLimit),
		"bounds.grace_s=6", "bounds.quota_window_s=5", "",
	}, "\n")
}

func (f *gatewayFixture) isReady() bool {
	return statusCode("http://"+f.readiness+"/api/readiness") == http.StatusOK
}

// statusCode returns the status of a response, or zero if there is none.
func statusCode(url string) int {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// requireService requires that an ordinary client with a key and an address of its own gets an answer.
func (f *gatewayFixture) requireService(t *testing.T) {
	t.Helper()
	eventually(t, serviceTimeout, "an ordinary client is served", func() bool {
		c, err := dialLine(f.clients, ordinaryAddress, ordinaryKey)
		if err != nil {
			return false
		}
		defer c.close()
		written, err := c.query("WRITE tin 7")
		if err != nil || !written {
			return false
		}
		read, err := c.query("READ tin")
		return err == nil && read
	})
}
