package spec_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/spec"
)

const stateLimit = 6_000_000

// Guards against the loss of an acknowledged write and against two primaries in one term.
func TestFailover(t *testing.T) {
	for _, bounds := range []spec.FailoverBounds{
		{Promoters: 1, Attempts: 1, Writes: 1},
		{Promoters: 1, Attempts: 1, Writes: 2},
		{Promoters: 1, Attempts: 2, Writes: 1},
		{Promoters: 2, Attempts: 1, Writes: 1},
	} {
		t.Run(fmt.Sprintf("%+v", bounds), func(t *testing.T) {
			requireHolds(t, spec.NewFailover(bounds, spec.FailoverFaults{}))
		})
	}
}

// Guards against invariants that are too weak: each disabled guard has to lead to a violation.
func TestFailoverGuards(t *testing.T) {
	one := spec.FailoverBounds{Promoters: 1, Attempts: 1, Writes: 1}
	two := spec.FailoverBounds{Promoters: 2, Attempts: 1, Writes: 1}
	for name, c := range map[string]struct {
		bounds spec.FailoverBounds
		faults spec.FailoverFaults
		want   string
	}{
		"append after fence":           {one, spec.FailoverFaults{AppendAfterFence: true}, "was acknowledged"},
		"acknowledge without replicas": {one, spec.FailoverFaults{AcknowledgeWithoutReplicas: true}, "was acknowledged"},
		"promote the shortest log":     {one, spec.FailoverFaults{PromoteShortestLog: true}, "was acknowledged"},
		"promote after later promise":  {two, spec.FailoverFaults{PromoteIgnoringPromise: true}, "was acknowledged"},
		"promise a term twice":         {two, spec.FailoverFaults{PromiseTwice: true}, "are both primary"},
	} {
		t.Run(name, func(t *testing.T) { requireViolates(t, spec.NewFailover(c.bounds, c.faults), c.want) })
	}
}

func requireViolates(t *testing.T, initial spec.State, want string) {
	t.Helper()
	result := spec.Explore(initial, stateLimit)
	t.Log(result)
	require.Contains(t, result.Violation, want, result.String())
}

func requireHolds(t *testing.T, initial spec.State) {
	t.Helper()
	result := spec.Explore(initial, stateLimit)
	t.Log(result)
	require.Empty(t, result.Violation, result.String())
	require.True(t, result.Complete, result.String())
}
