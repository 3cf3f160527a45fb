package bench

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/standin/harness"
)

var (
	// binaries is the directory of the binaries under test.
	binaries string
	// timer is the clock of all polls and measurements.
	timer = clock.NewService()
)

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go timer.Run(ctx)
	return harness.RunTests(m, func(dir string) { binaries = dir }, "../cmd/rhubarbwick", "../cmd/rhubarbwick-standin")
}

// eventually polls a condition until it holds, and fails the test when it does not hold within the limit.
func eventually(t testing.TB, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	harness.Eventually(t, timer, pollPeriod, limit, what, holds)
}
