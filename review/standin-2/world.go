package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is a small deployment: the platform, services with three servers each, and the machines of the system.
type world struct {
	record   *record
	dir      string
	store    *store
	address  string
	groups   []*group
	gateways []*gateway
	tenants  []map[string]any
	trouble  bool
	public   map[string]bool // the hosts of public routes

	mu       sync.Mutex
	sequence int
}

var zones = []string{"kig-a", "kig-b", "kig-c", "kig-d"}

// newWorld starts the platform and the servers.
func newWorld(folder string, services int) *world {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		panic(err)
	}
	w := &world{
		record: newRecord(filepath.Join(folder, "record.txt")), dir: dir, store: newStore(), public: make(map[string]bool), trouble: os.Getenv("TROUBLE") != "0",
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	w.address = l.Addr().String()
	go func() { _ = http.Serve(l, w.store.handler()) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		w.conclude(2, "interrupted")
	}()
	w.store.promote = func(service, id, holder, epoch string) int {
		w.record.add("promote  %s %s by %s with %s", service, id, holder, epoch)
		for _, g := range w.groups {
			if g.name == service {
				return g.promote(id)
			}
		}
		return http.StatusConflict
	}
	for i := range services {
		g := &group{
			name: fmt.Sprintf("formula-core-%c", 'a'+i), work: 6 * time.Millisecond, lag: 60 * time.Millisecond, promoteIn: 600 * time.Millisecond,
			slots: 3, connLimit: 49, record: w.record, tables: make(map[string]func() []string),
		}
		g.onChange = func(s *server) { w.list(s, "ready") }
		w.groups = append(w.groups, g)
		for j := range 3 {
			w.list(g.start(fmt.Sprintf("i-%c%d", 'a'+i, j+1), zones[j]), "ready")
		}
	}
	return w
}

// list writes the entry of a server.
func (w *world) list(s *server, state string) {
	role := "replica"
	s.group.mu.Lock()
	if s.primary {
		role = "primary"
	}
	s.group.mu.Unlock()
	w.mu.Lock()
	w.sequence++
	n := w.sequence
	w.mu.Unlock()
	w.store.set("servers", s.id, map[string]any{
		"service": s.group.name, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "slots": s.group.slots, "state": state,
		"cold_remaining_ms": 0, "database_role": role, "sequence": n, "born": w.record.start.UnixMilli(),
	})
}

func (w *world) tenant(name, key string, rate, burst float64) {
	w.tenants = append(w.tenants, map[string]any{"name": name, "api_keys": []string{key}, "rate_per_s": rate, "burst": burst})
}

// configure writes the desired state.
func (w *world) configure(version int) {
	var routes, services []map[string]any
	for i, g := range w.groups {
		route := func(host, kind string, priority int, timeout, target, staleness float64) map[string]any {
			r := map[string]any{
				"name": "r-" + host + fmt.Sprint(i), "host": host + fmt.Sprint(i), "path_prefix": "/", "kind": kind, "timeout_ms": timeout, "target_latency_ms": target,
				"priority": priority, "service": g.name, "max_attempts": 2, "public": false,
			}
			if staleness > 0 {
				r["max_staleness_ms"] = staleness
			}
			return r
		}
		routes = append(routes, route("order", "primary", 1, 800, 150, 0), route("schedule", "bounded_staleness", 2, 2000, 500, 1500),
			route("stock", "read_your_writes", 2, 800, 250, 2500))
		services = append(services, map[string]any{"name": g.name, "health_path": "/health", "connection_limit": g.connLimit, "protocol": "h1", "tls": false, "sync_replicas": 0})
	}
	for _, r := range routes {
		if w.public[r["host"].(string)] {
			r["public"] = true
		}
	}
	w.store.set("config", "main", map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": w.tenants, "limits": map[string]any{"transaction_idle_ms": 3000},
	})
}

// startGateways starts n machines and waits until they are ready.
func (w *world) startGateways(n, zoneCount, memoryMB int, more string) error {
	for i := range n {
		w.gateways = append(w.gateways, newGateway(w.record, w.dir, i, zones[i%zoneCount], w.address, memoryMB, more))
	}
	for _, g := range w.gateways {
		g.start()
	}
	return w.awaitReady(20 * time.Second)
}

func (w *world) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, g := range w.gateways {
		for !g.ready() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes. The logs of the machines are kept if KEEP is set.
func (w *world) close() {
	for _, g := range w.gateways {
		g.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

// conclude prints and records the result and ends the program.
func (w *world) conclude(code int, format string, args ...any) {
	text := strings.TrimSpace(fmt.Sprintf(format, args...))
	w.record.add("result   %s", text)
	fmt.Println(text)
	w.close()
	os.Exit(code)
}
