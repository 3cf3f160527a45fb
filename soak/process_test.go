package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// gracePeriod is how long a gateway may take to end after SIGTERM.
const gracePeriod = 6 * time.Second

// gateway is one gateway process. It is restarted with the same name and addresses.
type gateway struct {
	name     string
	ip       string
	settings string
	log      string
	store    *link

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool
	// endings describes exits that no signal caused.
	endings []string
}

func newGateway(t *testing.T, dir string, i int, storeAddress string) *gateway {
	t.Helper()
	pid := os.Getpid()
	g := &gateway{
		name: fmt.Sprintf("front-%d", i),
		// Each gateway has a loopback address of its own, so that its ports are the same after a restart and free.
		ip:    fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, i+1),
		store: newLink(t, storeAddress),
	}
	g.settings, g.log = filepath.Join(dir, g.name+".conf"), filepath.Join(dir, g.name+".log")
	content := fmt.Sprintf(`node_name=%s
zone=kig-%c
ip_address=%[3]s
listen_addresses.frontend=%[3]s:8465
listen_addresses.ready=%[3]s:8460
internal_ports=7560,7575
platform.address=%[4]s
cloud.address=%[4]s
limits.cpu_share=0.3
limits.cores=1
limits.memory_mb=200
limits.file_descriptors=2000
bounds.grace_s=%d
bounds.quota_window_s=%d
bounds.quota_over=%g
bounds.quota_slack=%d
`, g.name, 'a'+i%2, g.ip, g.store.address(), int(gracePeriod.Seconds()), int(quotaWindow.Seconds()), quotaOver, quotaSlack)
	require.NoError(t, os.WriteFile(g.settings, []byte(content), 0o600))
	t.Cleanup(g.kill)
	return g
}

func (g *gateway) clientAddress() string { return g.ip + ":8465" }

// start starts the process. It does nothing while the process runs.
func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(g.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(binary, "gateway", "--settings", g.settings)
	cmd.Stdout, cmd.Stderr = log, log
	// A process group of its own keeps signals of the terminal away.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	g.cmd, g.exited, g.stopped = cmd, make(chan struct{}), false
	go g.run(cmd, g.exited)
	return nil
}

// run waits for the process to end.
func (g *gateway) run(cmd *exec.Cmd, exited chan<- struct{}) {
	err := cmd.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.stopped || cmd.ProcessState.ExitCode() > 0 {
		g.endings = append(g.endings, fmt.Sprintf("%s ended by itself: %v", g.name, err))
	}
	g.cmd = nil
	close(exited)
}

// signal sends a signal and returns a channel that is closed when the process has ended, or nil if none runs.
func (g *gateway) signal(s syscall.Signal) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd == nil {
		return nil
	}
	g.stopped = g.stopped || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = g.cmd.Process.Signal(s)
	return g.exited
}

func (g *gateway) kill() {
	if exited := g.signal(syscall.SIGKILL); exited != nil {
		<-exited
	}
}

// terminate stops the process as planned, and kills it after the grace period. It reports whether it ended in time.
func (g *gateway) terminate() bool {
	exited := g.signal(syscall.SIGTERM)
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(gracePeriod):
		g.kill()
		return false
	}
}

func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + g.ip + ":8460/api/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// unexpectedEndings returns the exits that no signal caused.
func (g *gateway) unexpectedEndings() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.endings
}
