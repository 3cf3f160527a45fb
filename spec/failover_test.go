package spec_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/spec"
)

const stateLimit = 6_000_000

// Guards against a protocol that loses an acknowledged write or has two primaries of one term.
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

func requireHolds(t *testing.T, initial spec.State) {
	t.Helper()
	result := spec.Explore(initial, stateLimit)
	t.Log(result)
	require.Empty(t, result.Violation, result.String())
	require.True(t, result.Complete, result.String())
}
