package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// gateway is a machine of the system: one process of the deploy file's role, which is started again when it has ended.
type gateway struct {
	name, zone, ip string
	settings       string
	dir            string
	memoryMB       int
	record         *record

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool // no further start
	planned bool // the end was caused by a signal of the script
	endings []string
	peakMB  float64
	done    chan struct{}
}

func newGateway(r *record, dir string, i int, zone, platform string, memoryMB int, more string) *gateway {
	pid := os.Getpid()
	g := &gateway{
		name: fmt.Sprintf("frontend-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, i+1), dir: dir,
		memoryMB: memoryMB, record: r,
	}
	g.settings = filepath.Join(dir, g.name+".conf")
	text := fmt.Sprintf(`node_name=%s
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
limits.cpu_share=0.272
limits.cores=1
limits.memory_mb=%[4]d
limits.file_descriptors=2940
limits.link_mbps=700.0
limits.disk_mb=0
discovery=platform
entry=virtual_ip
heartbeat_ms=1200
contracts=base,drain,config,cost,recover,sql,tenants,quota,platform
fault_tolerance.machines=2
fault_tolerance.zones=1
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
platform.address=%[5]s
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
cloud.address=%[5]s
cloud.duties=promotion
cloud.duty_per_s=50.0
%[6]s`, g.name, g.ip, zone, memoryMB, platform, more)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	return g
}

func (g *gateway) clients() string { return g.ip + ":8465" }

// start starts the process and keeps it running.
func (g *gateway) start() {
	g.mu.Lock()
	defer g.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(g.dir, g.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/rhubarbwick", "gateway")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "RHUBARBWICK_SETTINGS=" + g.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	g.cmd, g.planned, g.done = cmd, false, make(chan struct{})
	g.record.add("started  %s", g.name)
	go g.watch(cmd, g.done)
}

// watch waits for the end of the process, and kills it when it has more memory than its machine, as the platform does.
func (g *gateway) watch(cmd *exec.Cmd, done chan struct{}) {
	ended := make(chan struct{})
	go g.watchMemory(cmd.Process.Pid, ended)
	err := cmd.Wait()
	close(ended)
	g.mu.Lock()
	if !g.planned {
		g.endings = append(g.endings, fmt.Sprint(err))
		g.record.add("ENDED    %s by itself: %v", g.name, err)
	} else {
		g.record.add("ended    %s: %v", g.name, err)
	}
	stopped := g.stopped
	close(done)
	g.mu.Unlock()
	if !stopped {
		time.Sleep(restartDelay)
		g.mu.Lock()
		stopped = g.stopped
		g.mu.Unlock()
		if !stopped {
			g.start()
		}
	}
}

// restartDelay is how long after its end a process is started again.
const restartDelay = 1000 * time.Millisecond

func (g *gateway) watchMemory(pid int, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
		mb, ok := residentMB(pid)
		if !ok {
			continue
		}
		g.mu.Lock()
		g.peakMB = max(g.peakMB, mb)
		g.mu.Unlock()
		if mb > float64(g.memoryMB) {
			g.record.add("MEMORY   %s has %.0f MB of %d and is killed", g.name, mb, g.memoryMB)
			_ = syscall.Kill(pid, syscall.SIGKILL)
			return
		}
	}
}

// residentMB returns the resident memory of a process without shared pages of files.
func residentMB(pid int) (float64, bool) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, false
	}
	f := strings.Fields(string(data))
	if len(f) < 3 {
		return 0, false
	}
	resident, _ := strconv.ParseFloat(f[1], 64)
	shared, _ := strconv.ParseFloat(f[2], 64)
	return (resident - shared) * float64(os.Getpagesize()) / (1 << 20), true
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil && g.cmd.Process != nil {
		g.planned = g.planned || s == syscall.SIGKILL || s == syscall.SIGTERM
		g.record.add("signal   %s %v", g.name, s)
		_ = g.cmd.Process.Signal(s)
	}
}

// stop ends the process for good.
func (g *gateway) stop() {
	g.mu.Lock()
	g.stopped, g.planned = true, true
	done := g.done
	if g.cmd != nil {
		_ = g.cmd.Process.Kill()
	}
	g.mu.Unlock()
	if done != nil {
		<-done
	}
}

func (g *gateway) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + g.ip + ":8460/api/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ends returns how often the process has ended by itself.
func (g *gateway) ends() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.endings)
}

func (g *gateway) peak() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peakMB
}
