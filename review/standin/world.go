package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{f: f, start: time.Now()}, err
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// route is a route of the desired state.
type route struct {
	host, kind  string
	timeoutMS   int
	targetMS    int
	stalenessMS int
}

// world holds the stand-ins and the processes of one case.
type world struct {
	rec    *recorder
	store  *store
	group  *group
	root   string
	dir    string
	base   string
	routes []route
	keys   map[string][]string
	// limited holds the keys of tenants with a low rate.
	limited map[string]string
	// log receives the output of the next gateway; nil means a file.
	log      *os.File
	version  int
	gateways []*gateway
}

const serviceName = "orders-db"

// newWorld creates the stand-ins with one group of three servers: i-a, the primary, i-b and i-c.
func newWorld(rec *recorder, root string, sync int) (*world, error) {
	dir, err := os.MkdirTemp("", "rhubarbwick-review-")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	w := &world{
		rec: rec, store: s, root: root, dir: dir, group: newGroup(serviceName, sync, s, rec), version: 4,
		base: fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(256)),
		keys: map[string][]string{"clinic": {"u6wsjnbanfqasnmgkcuy", "j8pjbvk9m68k7b2ex5wa"}},
		routes: []route{
			{"renewal", "primary", 800, 150, 0},
			{"lookup", "bounded_staleness", 2000, 500, 1500},
			{"stock", "read_your_writes", 800, 250, 2500},
		},
	}
	for _, id := range []string{"a", "b", "c"} {
		if _, err := w.group.addServer("i-"+id, "kig-"+id); err != nil {
			return nil, err
		}
	}
	w.writeConfig()
	return w, nil
}

// writeConfig writes the next version of the desired state. The store's answer is the acknowledgement.
func (w *world) writeConfig() {
	w.version += 3
	routes, tenants := []map[string]any{}, []map[string]any{}
	for _, r := range w.routes {
		routes = append(routes, map[string]any{
			"name": "r-" + r.host, "host": r.host, "path_prefix": "/", "kind": r.kind, "timeout_ms": r.timeoutMS,
			"target_latency_ms": r.targetMS, "priority": 1, "service": serviceName, "max_attempts": 2,
			"max_staleness_ms": r.stalenessMS, "public": false,
		})
	}
	for name, keys := range w.keys {
		tenants = append(tenants, map[string]any{"name": name, "api_keys": keys, "priority": 1, "rate_per_s": 500, "burst": 500})
	}
	for name, key := range w.limited {
		tenants = append(tenants, map[string]any{"name": name, "api_keys": []string{key}, "priority": 1, "rate_per_s": 2, "burst": 2})
	}
	w.store.set("config", "main", map[string]any{
		"version": w.version, "routes": routes, "tenants": tenants,
		"services": []map[string]any{{
			"name": serviceName, "health_path": "/health", "connection_limit": 49, "protocol": "h1", "tls": false,
			"sync_replicas": w.group.sync,
		}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
			"transaction_idle_ms": 3000,
		},
	})
	w.rec.add("operator: version %d is acknowledged", w.version)
}

func (w *world) server(id string) *server {
	w.group.mu.Lock()
	defer w.group.mu.Unlock()
	for _, s := range w.group.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// gateway is a process of the system.
type gateway struct {
	name, ip string
	w        *world
	settings string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// addGateway starts a gateway in a zone.
func (w *world) addGateway(zone string) (*gateway, error) {
	n := len(w.gateways) + 1
	g := &gateway{name: fmt.Sprintf("frontend-%s-%d", zone, n), ip: fmt.Sprintf("%s%d", w.base, n), w: w}
	g.settings = filepath.Join(w.dir, g.name+".conf")
	text := fmt.Sprintf(`node_name=%[1]s
role=gateway
machine_class=frontend
serves=frontend
ip_address=%[2]s
zone=%[3]s
region=kigali
zones.kig-a=kigali
zones.kig-b=kigali
zones.kig-c=kigali
zones.kig-d=kigali
listen_addresses.frontend=%[2]s:8465
listen_addresses.ready=%[2]s:8460
internal_ports=7560,7575
bootstrap=true
in_tolerance=false
limits.cpu_share=0.272
limits.cores=1
limits.memory_mb=206
limits.file_descriptors=2940
limits.link_mbps=700.0
limits.disk_mb=0
discovery=platform
entry=virtual_ip
heartbeat_ms=1200
contracts=base,drain,config,cost,recover,sql,tenants,quota,platform
fault_tolerance.machines=2
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.address_reuse_s=2
bounds.stability_window_ms=4000
bounds.ack_timeout_ms=5000
bounds.catch_up_s=4
bounds.drain_ms=7000
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=3000
bounds.downgrade_slack_ms=250
bounds.outer_bound_ms=12000
bounds.strict_revocation=false
bounds.revoke_ms=5000
bounds.quota_window_s=5
bounds.quota_over=0.1
bounds.quota_slack=20
bounds.recover_s=12
bounds.fencing_required=false
bounds.thaw_slack_ms=300
platform.address=%[4]s
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
cloud.address=%[4]s
cloud.rate_per_s=50.0
cloud.duties=promotion
cloud.duty_per_s=50.0
`, g.name, g.ip, zone, w.store.address)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	w.gateways = append(w.gateways, g)
	return g, g.start()
}

func (g *gateway) start() error {
	log, err := os.OpenFile(filepath.Join(g.w.dir, g.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(g.w.root, "target", "rhubarbwick"), "gateway")
	cmd.Dir = g.w.root
	cmd.Env = append(os.Environ(), "RHUBARBWICK_SETTINGS="+g.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if g.w.log != nil {
		cmd.Stdout, cmd.Stderr = g.w.log, g.w.log
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	g.mu.Lock()
	g.cmd, g.done = cmd, make(chan struct{})
	done := g.done
	g.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd == nil {
		return
	}
	select {
	case <-g.done:
	default:
		_ = g.cmd.Process.Signal(s)
	}
}

func (g *gateway) isReady() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + g.ip + ":8460/api/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until all gateways are ready.
func (w *world) awaitReady() error {
	until := time.Now().Add(15 * time.Second)
	for _, g := range w.gateways {
		for !g.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.rec.add("%d gateways are ready", len(w.gateways))
	return nil
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, g := range w.gateways {
		g.signal(syscall.SIGKILL)
		<-g.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}

// holder returns the gateway whose process has the incarnation.
func (w *world) holder(incarnation string) *gateway {
	items, _ := w.store.all("rhubarbwick")
	for _, o := range items {
		var m struct{ Name, Incarnation string }
		if json.Unmarshal(o.Spec, &m) != nil || m.Incarnation != incarnation {
			continue
		}
		for _, g := range w.gateways {
			if g.name == m.Name {
				return g
			}
		}
	}
	return nil
}

// result is the answer to a client's request.
type result struct {
	rows  []string
	code  string
	proof string
	state string
}

// client is a client's session.
type client struct {
	c net.Conn
	r *bufio.Reader
}

func dial(address, database, key string) (*client, string, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, "", err
	}
	cl := &client{c: c, r: bufio.NewReader(c)}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(c, "START %s %s\r\n", database, key); err != nil {
		return nil, "", errors.Join(err, c.Close())
	}
	line, err := readMessage(cl.r)
	if err != nil {
		return nil, "", errors.Join(err, c.Close())
	}
	if word, rest, _ := strings.Cut(line, " "); word != "READY" {
		code, _, _ := strings.Cut(rest, " ")
		return nil, code, c.Close()
	}
	return cl, "", nil
}

// query sends a query and waits for the answer.
func (c *client) query(id, text string, limit time.Duration) (result, error) {
	_ = c.c.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(c.c, "QUERY %s %s\r\n", id, text); err != nil {
		return result{}, err
	}
	return c.receive()
}

func (c *client) receive() (result, error) {
	var res result
	for {
		line, err := readMessage(c.r)
		if err != nil {
			return res, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			res.rows = append(res.rows, rest)
		case "COMPLETE":
			res.proof = rest
		case "ERROR":
			res.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			res.state, _, _ = strings.Cut(rest, " ")
			return res, nil
		default:
			return res, fmt.Errorf("unexpected message %q", line)
		}
	}
}

func (c *client) close() { _ = c.c.Close() }

// newID returns the id of a request.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
