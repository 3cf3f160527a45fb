package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/standin/database"
	"github.com/rhubarbwick/rhubarbwick/standin/objects"
)

const (
	groupName = "orders-db"
	// staleness is max_staleness_ms of the routes that accept stale data.
	staleness = 500 * time.Millisecond
	// The rate of the organisation "hot", and the platform's window and tolerance.
	hotRate     = 20
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20
)

// world is the stand-in platform, one group of servers, and what they have seen.
type world struct {
	t        *testing.T
	platform *objects.Server
	store    string
	group    *database.Group
	history  *history

	mu      sync.Mutex
	links   map[string]*link
	version int
	// keys holds the key of each organisation in the document.
	keys map[string]string
	next int
}

func newWorld(t *testing.T, h *history) *world {
	t.Helper()
	w := &world{
		t: t, platform: objects.NewServer(), group: database.NewGroup(groupName), history: h, links: make(map[string]*link),
		keys: map[string]string{"clinic": "key-clinic", "shop": "key-shop", "hot": "key-hot", "leaver": "key-leaver"},
	}
	w.group.Lag = 30 * time.Millisecond
	w.group.OnRoleChange = w.list
	w.group.OnQuery, w.group.OnConnect = h.observeQuery, h.observeConnect
	w.platform.Promote = func(p objects.Promotion) int {
		h.observePromotion(p.ID, p.Epoch)
		if w.group.Promote(p.ID) {
			return http.StatusOK
		}
		return http.StatusConflict
	}
	web := httptest.NewServer(w.platform.Handler())
	t.Cleanup(web.Close)
	w.store = strings.TrimPrefix(web.URL, "http://")
	for range 3 {
		w.addServer()
	}
	w.changeDocument(func(map[string]string) {})
	return w
}

// addServer starts a server, the first one as primary.
func (w *world) addServer() {
	w.mu.Lock()
	w.next++
	id := fmt.Sprintf("i-%d", w.next)
	w.mu.Unlock()
	s, err := w.group.StartServer(id)
	require.NoError(w.t, err)
	w.t.Cleanup(s.Stop)
	l := newLink(w.t, s.Address())
	w.mu.Lock()
	w.links[id] = l
	w.mu.Unlock()
	w.list(s)
}

// list writes the platform's entry of a server, unless that is leaving or has left.
func (w *world) list(s *database.Server) {
	if !w.history.isRemoved(s.ID) {
		w.listAs(s, "ready")
	}
}

func (w *world) listAs(s *database.Server, state string) {
	w.mu.Lock()
	l := w.links[s.ID]
	w.mu.Unlock()
	if l == nil {
		return
	}
	role := "replica"
	if s.IsPrimary() {
		role = "primary"
	}
	zone := "kig-a"
	if strings.HasSuffix(s.ID, "2") {
		zone = "kig-b"
	}
	w.platform.Store.Set("servers", s.ID, map[string]any{ //nolint:gocritic // The platform defines the format of the entry.
		"service": groupName, "address": l.address(), "zone": zone, "slots": 3, "state": state, "database_role": role, "born": 1,
	})
}

// changeDocument writes the next version of the document after changing the keys.
func (w *world) changeDocument(change func(keys map[string]string)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(w.keys)
	w.version++
	var tenants []map[string]any
	for _, name := range []string{"clinic", "shop", "hot", "leaver"} {
		rate := 1000.0
		if name == "hot" {
			rate = hotRate
		}
		keys := []string{}
		if key, found := w.keys[name]; found {
			keys = append(keys, key)
		}
		tenants = append(tenants, map[string]any{"name": name, "api_keys": keys, "rate_per_s": rate, "burst": rate})
	}
	route := func(host, kind string) map[string]any {
		return map[string]any{
			"name": "r-" + host, "host": host, "kind": kind, "timeout_ms": 2000, "target_latency_ms": 500, "service": groupName,
			"max_staleness_ms": staleness.Milliseconds(),
		}
	}
	w.platform.Store.Set("config", "main", map[string]any{
		"version": w.version, "tenants": tenants, "limits": map[string]any{"transaction_idle_ms": 3000},
		"services": []map[string]any{{"name": groupName, "connection_limit": 40}},
		"routes":   []map[string]any{route("orders", "primary"), route("stock", "read_your_writes")},
	})
}

// primary returns the running primary, or nil.
func (w *world) primary() *database.Server {
	for _, s := range w.group.Servers() {
		if s.IsPrimary() {
			return s
		}
	}
	return nil
}

// crashPrimary stops the primary for good and starts a replica in its place.
func (w *world) crashPrimary() {
	s := w.primary()
	if s == nil {
		return
	}
	s.Stop()
	w.platform.Store.Delete("servers", s.ID, 0)
	w.history.observeRemoval(s.ID)
	w.addServer()
}

// drainServer announces that a replica leaves, and removes its entry after a while, although its process keeps running.
func (w *world) drainServer() {
	for _, s := range w.group.Servers() {
		if s.IsPrimary() || w.history.isRemoved(s.ID) {
			continue
		}
		w.addServer()
		w.listAs(s, "draining")
		w.history.observeRemoval(s.ID)
		time.Sleep(2 * time.Second)
		w.platform.Store.Delete("servers", s.ID, 0)
		return
	}
}

// link returns the link of a random server.
func (w *world) anyLink(n int) *link {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.links[fmt.Sprintf("i-%d", 1+n%w.next)]
}

func (w *world) allLinks() []*link {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []*link
	for _, l := range w.links {
		all = append(all, l)
	}
	return all
}
