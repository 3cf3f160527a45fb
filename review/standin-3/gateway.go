package main

import (
	"fmt"
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

// restartDelay is the short delay after which a process that ended is started again.
const restartDelay = 100 * time.Millisecond

// gateway is one machine with a gateway process, which is started again whenever it ends.
type gateway struct {
	name, zone, ip string
	front, ready   string
	settings       string
	program        string
	record         *record
	// store is the platform's store as this machine sees it.
	store *view

	// onStart is called after each start of the process. It may be nil.
	onStart func(g *gateway)

	mu      sync.Mutex
	process *os.Process
	stopped bool
	starts  int
	// ends is the number of times that the process has ended, except by the harness at the end.
	ends int
	done chan struct{}
}

// newGateway writes the settings file of a gateway. n is its number in the deployment, and inZone that in its zone.
func newGateway(w *world, n, inZone int, zone string) (*gateway, error) {
	store, err := w.store.newView()
	if err != nil {
		return nil, err
	}
	ip := fmt.Sprintf("127.0.%d.%d", 20+os.Getpid()%200, 10+n)
	ports, err := freePorts(ip, 3)
	if err != nil {
		return nil, err
	}
	first, err := freeRange(ip)
	if err != nil {
		return nil, err
	}
	g := &gateway{
		name: fmt.Sprintf("frontend-%s-%d", zone, inZone), zone: zone, store: store, ip: ip, record: w.record, program: w.program,
		front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]),
		settings: filepath.Join(w.temp, fmt.Sprintf("settings-%d.conf", n)), done: make(chan struct{}),
	}
	lines := []string{
		"node_name=" + g.name, "role=gateway", "machine_class=frontend", "serves=frontend", "ip_address=" + ip,
		"zone=" + zone, "region=kigali", "zones.kig-a=kigali", "zones.kig-b=kigali", "zones.kig-c=kigali", "zones.kig-d=kigali",
		"listen_addresses.frontend=" + g.front, "listen_addresses.ready=" + g.ready,
		fmt.Sprintf("listen_addresses.control=%s:%d", ip, ports[2]), fmt.Sprintf("internal_ports=%d,%d", first, first+15),
		"seeds=", "bootstrap=true", "in_tolerance=false", "limits.cpu_share=0.272", "limits.cores=1", "limits.memory_mb=206",
		"limits.file_descriptors=2940", "limits.link_mbps=700.0", "limits.disk_mb=0", "discovery=platform", "entry=virtual_ip",
		"heartbeat_ms=1200", "contracts=base,drain,config,cost,recover,sql,tenants,quota,platform",
		"fault_tolerance.machines=2", "fault_tolerance.zones=1", "fault_tolerance.regions=0", "bounds.seed_lag_s=3",
		"bounds.address_reuse_s=2", "bounds.stability_window_ms=4000", "bounds.ack_timeout_ms=5000", "bounds.catch_up_s=4",
		"bounds.drain_ms=7000", "bounds.grace_s=6", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=3000",
		"bounds.downgrade_slack_ms=250", "bounds.outer_bound_ms=12000", "bounds.strict_revocation=false",
		"bounds.revoke_ms=5000", "bounds.quota_window_s=5", "bounds.quota_over=0.1", "bounds.quota_slack=20",
		"bounds.recover_s=12", "bounds.fencing_required=false", "bounds.thaw_slack_ms=300", "platform.address=" + store.address,
		"platform.form=objects", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20",
		"platform.value_bytes=1048576", "platform.ttl_min_ms=1000", "cloud.address=" + store.address,
		"cloud.rate_per_s=50.0", "cloud.duties=promotion", "cloud.duty_per_s=50.0",
	}
	return g, os.WriteFile(g.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// freePorts returns n free ports of the address.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// freeRange returns the first of 16 free ports in a row.
func freeRange(ip string) (int, error) {
	for first := 17560; first < 30000; first += 100 {
		isFree := true
		for n := first; n < first+16 && isFree; n++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, n))
			if isFree = err == nil; isFree {
				l.Close()
			}
		}
		if isFree {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free ports at %s", ip)
}

// run keeps the process running until stop. Its output goes to a file in the temporary folder.
func (g *gateway) run() {
	defer close(g.done)
	output, err := os.Create(g.settings + ".log")
	if err != nil {
		return
	}
	defer output.Close()
	for {
		cmd := exec.Command(g.program, "gateway")
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RHUBARBWICK_SETTINGS=" + g.settings}
		cmd.Stdout, cmd.Stderr = output, output
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		g.mu.Lock()
		if g.stopped {
			g.mu.Unlock()
			return
		}
		err := cmd.Start()
		g.process = cmd.Process
		g.starts++
		g.mu.Unlock()
		if err != nil {
			g.record.say("%s cannot be started: %s", g.name, err)
			return
		}
		if g.onStart != nil {
			g.onStart(g)
		}
		g.record.printf("%s: process %d started", g.name, cmd.Process.Pid)
		err = cmd.Wait()
		g.mu.Lock()
		g.process = nil
		g.ends++
		stopped := g.stopped
		g.mu.Unlock()
		g.record.printf("%s: process ended: %v", g.name, err)
		if stopped {
			return
		}
		time.Sleep(restartDelay)
	}
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process != nil {
		g.record.printf("%s: signal %s", g.name, s)
		_ = g.process.Signal(s)
	}
}

// stop ends the process for good.
func (g *gateway) stop() {
	g.mu.Lock()
	g.stopped = true
	if g.process != nil {
		_ = g.process.Signal(syscall.SIGCONT)
		_ = g.process.Kill()
	}
	g.mu.Unlock()
	<-g.done
}

func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + g.ready + "/api/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
