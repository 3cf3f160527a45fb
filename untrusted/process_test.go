package untrusted

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// process is a process under test.
type process struct {
	cmd *exec.Cmd
	// log is the file with its output.
	log  string
	done chan struct{}

	mu sync.Mutex
	// mostDescriptors is the largest number of open descriptors that was seen.
	mostDescriptors int
}

// startProcess starts the program and kills it at the end of the test.
func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(program, args...), log: filepath.Join(t.TempDir(), "process.log"), done: make(chan struct{})}
	log, err := os.Create(p.log)
	require.NoError(t, err)
	defer func() { _ = log.Close() }()
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	require.NoError(t, p.cmd.Start())
	go p.run()
	stop := timer.Every(pollPeriod, p.sampleDescriptors)
	t.Cleanup(func() {
		stop()
		_ = p.cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			t.Logf("end of the log:\n%s", lastBytes(p.output(), 4<<10))
		}
	})
	return p
}

// run waits until the process exits.
func (p *process) run() {
	defer close(p.done)
	_ = p.cmd.Wait()
}

func (p *process) hasExited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func (p *process) output() string {
	data, _ := os.ReadFile(p.log)
	return string(data)
}

func lastBytes(text string, n int) string { return text[max(0, len(text)-n):] }

// peakMemoryKB returns the largest resident memory of the process so far.
func (p *process) peakMemoryKB(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(t, err, "the process has exited")
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			n, err := strconv.Atoi(strings.Fields(rest)[0])
			require.NoError(t, err)
			return n
		}
	}
	require.FailNow(t, "the status has no VmHWM", "%s", status)
	return 0
}

func (p *process) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

func (p *process) sampleDescriptors(_ time.Duration) {
	n := p.descriptors()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mostDescriptors = max(p.mostDescriptors, n)
}

// requireBounds requires that the process is alive and stayed within its memory, its descriptors and the size of its
// log.
func (p *process) requireBounds(t *testing.T) {
	t.Helper()
	require.False(t, p.hasExited(), "the process has exited")
	peak := p.peakMemoryKB(t)
	p.sampleDescriptors(0)
	p.mu.Lock()
	descriptors := p.mostDescriptors
	p.mu.Unlock()
	t.Logf("peak memory %d kB, most descriptors %d, log %d bytes", peak, descriptors, len(p.output()))
	require.LessOrEqual(t, peak, memoryMB<<10, "peak memory in kB")
	require.LessOrEqual(t, descriptors, descriptorLimit, "descriptors")
	require.LessOrEqual(t, len(p.output()), logLimit, "size of the log")
}

// freeAddresses returns n loopback addresses on which nothing listens, in ascending order of their ports.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	ports := make([]int, 0, n)
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return sortedAddresses(ports)
}

// sortedAddresses returns the loopback addresses of the ports in ascending order.
func sortedAddresses(ports []int) []string {
	slices.Sort(ports)
	addresses := make([]string, 0, len(ports))
	for _, n := range ports {
		addresses = append(addresses, "127.0.0.1:"+strconv.Itoa(n))
	}
	return addresses
}
