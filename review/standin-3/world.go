package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

const readyTimeout = 20 * time.Second

// world is a small deployment: the platform, one service of three servers, and gateways.
type world struct {
	record   *record
	temp     string
	program  string
	store    *store
	group    *group
	gateways []*gateway
	// onStart is called after each start of a gateway's process. It may be nil.
	onStart func(g *gateway)

	mu   sync.Mutex
	runs []run
}

// tenant is a tenant of the desired state.
type tenant struct {
	Name    string   `json:"name"`
	Keys    []string `json:"api_keys"`
	Rate    float64  `json:"rate_per_s"`
	Burst   float64  `json:"burst"`
	Urgency int      `json:"priority"`
}

// newWorld starts the platform and three servers, the primary first, in the zones.
func newWorld(rec *record, program string, zones ...string) (*world, error) {
	temp, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	w := &world{record: rec, temp: temp, program: program}
	w.group = &group{
		name: "formula-core", record: rec, work: 4 * time.Millisecond, maxConn: 49, term: 1, servers: map[string]*dbServer{},
		onRun: w.noteRun, onChange: w.list,
	}
	w.store, err = newStore(rec, func(service, id string) int {
		if service != w.group.name {
			return http.StatusConflict
		}
		return w.group.promote(id)
	})
	if err != nil {
		return nil, err
	}
	for i, zone := range zones {
		s, err := w.group.start(fmt.Sprintf("i-%d", i+1), zone, i == 0)
		if err != nil {
			return nil, err
		}
		w.list(s)
	}
	return w, nil
}

// list writes the entry of a server.
func (w *world) list(s *dbServer) { w.listAs(s, "ready") }

// listAs writes the entry of a server with the state.
func (w *world) listAs(s *dbServer, state string) {
	role := "replica"
	w.group.mu.Lock()
	if s.isPrimary {
		role = "primary"
	}
	w.group.mu.Unlock()
	w.store.set("servers", s.id, map[string]any{
		"service": s.group.name, "address": s.address, "zone": s.zone, "version": "v1", "slots": serverSlots, "state": state,
		"cold_remaining_ms": 0, "database_role": role, "sequence": 1, "born": 1765000000000,
	})
}

// configure writes a desired state with the three usual routes.
func (w *world) configure(version int, tenants ...tenant) {
	route := func(host, kind string, timeout, target, priority, staleness int) map[string]any {
		return map[string]any{
			"name": "r-" + host, "host": host, "path_prefix": "/", "kind": kind, "timeout_ms": timeout, "target_latency_ms": target,
			"priority": priority, "service": w.group.name, "max_attempts": 2, "max_staleness_ms": staleness, "public": false,
		}
	}
	w.store.set("config", "main", map[string]any{
		"version": version,
		"routes": []any{
			route("orders", "primary", 800, 150, 1, 0), route("schedules", "bounded_staleness", 2000, 500, 2, 1500),
			route("stock", "read_your_writes", 800, 250, 2, 2500),
		},
		"services": []any{map[string]any{"name": w.group.name, "connection_limit": w.group.maxConn, "sync_replicas": 0}},
		"limits":   map[string]any{"transaction_idle_ms": 3000},
		"tenants":  tenants,
	})
}

// startGateways starts a gateway in each of the zones, which may be named more than once, and waits until all are ready.
func (w *world) startGateways(zones ...string) error {
	inZone := map[string]int{}
	for n, zone := range zones {
		inZone[zone]++
		g, err := newGateway(w, n+1, inZone[zone], zone)
		if err != nil {
			return err
		}
		g.onStart = w.onStart
		w.gateways = append(w.gateways, g)
		go g.run()
	}
	until := time.Now().Add(readyTimeout)
	for _, g := range w.gateways {
		for !g.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// gateway returns the gateway with the name.
func (w *world) gateway(name string) *gateway {
	for _, g := range w.gateways {
		if g.name == name {
			return g
		}
	}
	return nil
}

func (w *world) noteRun(r run) {
	w.record.printf("server %s runs %s for %s: %s", r.server, r.id, r.tenant, r.text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, r)
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, g := range w.gateways {
		g.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.temp)
	}
}
