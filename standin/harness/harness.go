// Package harness builds the project's programs and runs them as processes, for the tests that need them so.
package harness

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/port"
)

// RunTests builds the programs of the packages, passes the directory that contains them to use, and runs the tests. It
// returns the exit code.
func RunTests(m *testing.M, use func(dir string), packages ...string) int {
	dir, err := os.MkdirTemp("", "rhubarbwick-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.CommandContext(context.Background(), "go", append([]string{"build", "-o", dir + "/"}, packages...)...)
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the programs failed: %s\n%s", err, output)
		return 1
	}
	use(dir)
	return m.Run()
}

// Process is a process that a test started.
type Process struct {
	Cmd *exec.Cmd
	// Exited is closed when the process has exited.
	Exited chan struct{}
}

// Start starts a command, and kills it at the end of the test, even if it is paused then.
func Start(t testing.TB, cmd *exec.Cmd) *Process {
	t.Helper()
	p := &Process{Cmd: cmd, Exited: make(chan struct{})}
	// When the shell that started the tests in the background exits, their process group is orphaned, and the kernel sends
	// SIGHUP to an orphaned group with a stopped member. A process group of its own protects the stopped process.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	require.NoError(t, cmd.Start())
	go p.run()
	t.Cleanup(p.KillAndWait)
	return p
}

// KillAndWait returns when the process has exited.
func (p *Process) KillAndWait() {
	_ = p.Cmd.Process.Kill()
	<-p.Exited
}

// run waits until the process exits.
func (p *Process) run() {
	defer close(p.Exited)
	_ = p.Cmd.Wait()
}

// HasExited reports whether the process has exited.
func (p *Process) HasExited() bool {
	select {
	case <-p.Exited:
		return true
	default:
		return false
	}
}

// Eventually checks a condition once in a period until it holds, and fails the test if it does not hold within the limit.
func Eventually(t testing.TB, timer port.Timer, period, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	deadline := timer.Now() + limit
	for !holds() {
		if timer.Now() > deadline {
			require.FailNow(t, "condition did not hold", "%s within %s", what, limit)
		}
		_ = port.Sleep(context.Background(), timer, period)
	}
}
