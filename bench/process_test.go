package bench

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// startLimit bounds how long a process may take until it prints its addresses.
	startLimit = 20 * time.Second
	// pollPeriod is the period of all polls of conditions.
	pollPeriod = 10 * time.Millisecond
)

// process is a process that the test started. Its output goes to files.
type process struct {
	name     string
	cmd      *exec.Cmd
	out, log string
	// done is closed when the process has ended.
	done chan struct{}
}

// start starts a binary and stops it at the end of the test, also when it is stopped by a signal.
func start(t testing.TB, dir, name, binary string, args ...string) *process {
	t.Helper()
	p := &process{
		name: name,
		cmd:  exec.Command(pathOf(binary), args...),
		out:  filepath.Join(dir, name+".out"),
		log:  filepath.Join(dir, name+".log"),
		done: make(chan struct{}),
	}
	out, err := os.Create(p.out)
	require.NoError(t, err)
	defer func() { _ = out.Close() }()
	log, err := os.Create(p.log)
	require.NoError(t, err)
	defer func() { _ = log.Close() }()
	p.cmd.Stdout, p.cmd.Stderr = out, log
	// When the shell that started the tests in the background ends, their process group is orphaned, and the kernel sends SIGHUP
	// to it if a member is stopped. In a group of its own, a stopped process is left alone.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	require.NoError(t, p.cmd.Start())
	go p.run()
	t.Cleanup(p.end)
	return p
}

// pathOf returns the path of a binary: one of those that the tests built, unless it is a path itself.
func pathOf(binary string) string {
	if filepath.IsAbs(binary) {
		return binary
	}
	return filepath.Join(binaries, binary)
}

// run waits for the end of the process.
func (p *process) run() {
	defer close(p.done)
	_ = p.cmd.Wait()
}

// end kills the process and waits for its end.
func (p *process) end() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

func (p *process) signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(s), "signal %s to %s", s, p.name)
}

func (p *process) kill(t testing.TB) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	<-p.done
}

// stop pauses the process, and resume continues it.
func (p *process) stop(t testing.TB)      { t.Helper(); p.signal(t, syscall.SIGSTOP) }
func (p *process) resume(t testing.TB)    { t.Helper(); p.signal(t, syscall.SIGCONT) }
func (p *process) terminate(t testing.TB) { t.Helper(); p.signal(t, syscall.SIGTERM) }

func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// addresses waits for the line that tells the addresses, and returns the groups of the pattern.
func (p *process) addresses(t testing.TB, pattern string) []string {
	t.Helper()
	var found []string
	form := regexp.MustCompile(pattern)
	eventually(t, startLimit, p.name+" prints its addresses", func() bool {
		data, err := os.ReadFile(p.out)
		require.NoError(t, err)
		found = form.FindStringSubmatch(string(data))
		return found != nil
	})
	return found[1:]
}

// result is what a command of the command line left behind.
type result struct {
	code        int
	out, errors string
}

// command runs the command line of the product to its end.
func command(t testing.TB, env []string, args ...string) result {
	t.Helper()
	cmd := exec.Command(filepath.Join(binaries, "rhubarbwick"), args...)
	cmd.Env = append(os.Environ(), env...)
	out, err := cmd.Output()
	r := result{out: string(out)}
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		r.code, r.errors = exit.ExitCode(), string(exit.Stderr)
		return r
	}
	require.NoError(t, err)
	return r
}
