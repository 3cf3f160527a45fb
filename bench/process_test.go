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

	"github.com/rhubarbwick/rhubarbwick/standin/harness"
)

const (
	// startTimeout is how long a process may take to print its addresses.
	startTimeout = 20 * time.Second
	// pollPeriod is the interval at which conditions are checked.
	pollPeriod = 10 * time.Millisecond
)

// process is a process started by the test, with its output in files.
type process struct {
	*harness.Process
	name     string
	out, log string
}

// start starts a binary and kills it at the end of the test, even if it is paused then.
func start(t testing.TB, dir, name, binary string, args ...string) *process {
	t.Helper()
	p := &process{name: name, out: filepath.Join(dir, name+".out"), log: filepath.Join(dir, name+".log")}
	out, err := os.Create(p.out)
	require.NoError(t, err)
	defer func() { _ = out.Close() }()
	log, err := os.Create(p.log)
	require.NoError(t, err)
	defer func() { _ = log.Close() }()
	cmd := exec.Command(pathOf(binary), args...)
	cmd.Stdout, cmd.Stderr = out, log
	p.Process = harness.Start(t, cmd)
	return p
}

// pathOf returns an absolute path unchanged, and for a name the path of the binary that the tests built.
func pathOf(binary string) string {
	if filepath.IsAbs(binary) {
		return binary
	}
	return filepath.Join(binaries, binary)
}

func (p *process) signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.Cmd.Process.Signal(s), "signal %s to %s", s, p.name)
}

func (p *process) kill(t testing.TB) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	<-p.Exited
}

// pause suspends the process with SIGSTOP until resume is called.
func (p *process) pause(t testing.TB)     { t.Helper(); p.signal(t, syscall.SIGSTOP) }
func (p *process) resume(t testing.TB)    { t.Helper(); p.signal(t, syscall.SIGCONT) }
func (p *process) terminate(t testing.TB) { t.Helper(); p.signal(t, syscall.SIGTERM) }

// addresses waits until the process prints a line that matches the pattern, and returns the submatches.
func (p *process) addresses(t testing.TB, pattern string) []string {
	t.Helper()
	var found []string
	form := regexp.MustCompile(pattern)
	eventually(t, startTimeout, p.name+" prints its addresses", func() bool {
		data, err := os.ReadFile(p.out)
		require.NoError(t, err)
		found = form.FindStringSubmatch(string(data))
		return found != nil
	})
	return found[1:]
}

// result is the exit code and the output of a command.
type result struct {
	code        int
	out, errors string
}

// command runs the command-line tool until it exits.
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
