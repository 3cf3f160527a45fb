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
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/standin/harness"
)

// process is a process under test.
type process struct {
	*harness.Process
	// log is the file with its output.
	log string

	mu sync.Mutex
	// mostDescriptors is the largest number of open descriptors that was seen.
	mostDescriptors int
}

// startProcess starts the program and kills it at the end of the test.
func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{log: filepath.Join(t.TempDir(), "process.log")}
	log, err := os.Create(p.log)
	require.NoError(t, err)
	defer func() { _ = log.Close() }()
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("end of the log:\n%s", lastBytes(p.output(), 4<<10))
		}
	})
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	p.Process = harness.Start(t, cmd)
	t.Cleanup(timer.Every(pollPeriod, p.sampleDescriptors))
	return p
}

func (p *process) output() string {
	data, _ := os.ReadFile(p.log)
	return string(data)
}

func lastBytes(text string, n int) string { return text[max(0, len(text)-n):] }

// peakMemoryKB returns the largest resident memory of the process so far.
func (p *process) peakMemoryKB(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Cmd.Process.Pid))
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
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Cmd.Process.Pid))
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
	require.False(t, p.HasExited(), "the process has exited")
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
