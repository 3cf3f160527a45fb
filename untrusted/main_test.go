package untrusted

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/standin/harness"
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
	return harness.RunTests(m, func(dir string) { program = filepath.Join(dir, "rhubarbwick") }, "../cmd/rhubarbwick")
}

// eventually polls a condition until it holds, and fails the test when it does not hold within the limit.
func eventually(t testing.TB, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	harness.Eventually(t, timer, pollPeriod, limit, what, holds)
}

// pause waits for one period of a poll or of a slow client.
func pause(t testing.TB, d time.Duration) {
	t.Helper()
	_ = port.Sleep(t.Context(), timer, d)
}
