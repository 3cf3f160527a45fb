package untrusted

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
)

const (
	// memoryMB and descriptorLimit are the limits of the processes under test. They are below those of the smallest known
	// machine (136 MB, 3,010 descriptors), so that a small crowd reaches them.
	memoryMB        = 100
	descriptorLimit = 400
	// placeLimit is the number of clients that a process with descriptorLimit accepts.
	placeLimit = 200
	// logLimit is the size in bytes that the log of a process may reach during a test.
	logLimit = 256 << 10

	startTimeout = 20 * time.Second
	// crowdTimeout ends the connections of a crowd that is still sending.
	crowdTimeout = 3 * time.Second
	// ordinaryTimeout ends the connection of an ordinary client. On a busy machine, the stand-in takes seconds to parse a
	// statement of 1 MiB.
	ordinaryTimeout = 10 * time.Second
	// serviceTimeout is how long an ordinary client repeats its request until it is answered.
	serviceTimeout = 30 * time.Second
	pollPeriod     = 20 * time.Millisecond
)

var (
	// program is the path of the product's program.
	program string
	// timer is the clock of all polls.
	timer = clock.NewService()
)

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go timer.Run(ctx)
	dir, err := os.MkdirTemp("", "rhubarbwick-untrusted-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "rhubarbwick")
	build := exec.Command("go", "build", "-o", program, "../cmd/rhubarbwick")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the program failed: %s\n%s", err, output)
		return 1
	}
	return m.Run()
}

// eventually polls a condition until it holds, and fails the test when it does not hold within the limit.
func eventually(t testing.TB, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	deadline := timer.Now() + limit
	for !holds() {
		if timer.Now() > deadline {
			require.FailNow(t, "condition did not hold", "%s within %s", what, limit)
		}
		pause(t, pollPeriod)
	}
}

// pause waits for one period of a poll or of a slow client.
func pause(t testing.TB, d time.Duration) {
	t.Helper()
	done := make(chan struct{})
	stop := timer.After(d, func(time.Duration) { close(done) })
	defer stop()
	select {
	case <-done:
	case <-t.Context().Done():
	}
}
