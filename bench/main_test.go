package bench

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
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
	dir, err := os.MkdirTemp("", "rhubarbwick-bench-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaries = dir
	build := exec.Command("go", "build", "-o", dir+"/", "../cmd/rhubarbwick", "../cmd/rhubarbwick-standin")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the binaries failed: %s\n%s", err, output)
		return 1
	}
	return m.Run()
}

// eventually polls a condition until it holds, and fails the test when it does not hold within the limit.
func eventually(t testing.TB, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	tick := make(chan struct{}, 1)
	stop := timer.Every(pollPeriod, func(time.Duration) {
		select {
		case tick <- struct{}{}:
		default:
		}
	})
	defer stop()
	deadline := timer.Now() + limit
	for !holds() {
		if timer.Now() > deadline {
			require.FailNow(t, "condition did not hold", "%s within %s", what, limit)
		}
		<-tick
	}
}
