package entry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an organisation that is starved of scarce connections by the load of another. All organisations but the
// first use less than an equal part of the connections, so they must not be refused, and wait at most for one running
// transaction and one statement of each organisation. The load with transactions of 5 s is excluded: there, requests beyond
// the queue's limit are refused before the pool knows that transactions are long.
func TestWaitForConnections(t *testing.T) {
	t.Parallel()
	for _, c := range contentions {
		if c.transactionTime > time.Second {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				maxWait := c.transactionTime + time.Duration(len(tenants))*statementTime
				for i, w := range measureWaits(t, c, true, time.Second)[1:] {
					requireServed(t, tenants[i+1].Name, w, maxWait)
				}
			})
		})
	}
}

func requireServed(t *testing.T, organisation string, w waitStats, maxWait time.Duration) {
	t.Helper()
	require.NotEmpty(t, w.waits, organisation)
	require.Zero(t, w.refused, organisation)
	for _, d := range w.waits {
		require.LessOrEqual(t, d, maxWait, organisation)
	}
}
