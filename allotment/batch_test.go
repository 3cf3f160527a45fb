package allotment_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/allotment"
)

// Guards against a batch that is spent after its reservation has ended and the coordinator's bucket may fill up again.
func TestBatchTimes(t *testing.T) {
	share := limit(1000, 10, 0, 1).Total
	h := allotment.Holding{}.WithEntry(0, 0, allotment.Entry{Holder: "a", Share: share}, share.Burst)
	h, n, ok := h.IssueBatch(time.Second, "t", 1, 4*allotment.Statement)
	require.True(t, ok)
	batch := allotment.NewBatch(900*time.Millisecond, n)
	requireTokens := func(t *testing.T, want int, h allotment.Holding, at time.Duration) {
		t.Helper()
		require.Equal(t, allotment.Statements(want)*allotment.Statement, h.At(at).Tokens())
	}
	t.Run("the bucket does not fill up while the batch is reserved", func(t *testing.T) {
		requireTokens(t, 6, h, time.Second+allotment.BatchReservation-1)
	})
	t.Run("the bucket fills up after the reservation", func(t *testing.T) {
		requireTokens(t, 10, h.At(time.Second+allotment.BatchReservation), 3*time.Second)
	})
	t.Run("the bucket fills up after the batch was closed", func(t *testing.T) {
		requireTokens(t, 10, h.WithClosedBatches(time.Second, "t", 1), 1100*time.Millisecond)
	})
	t.Run("a report by another borrower changes nothing", func(t *testing.T) {
		requireTokens(t, 6, h.WithClosedBatches(time.Second, "u", 1), 1100*time.Millisecond)
	})
	t.Run("the batch expires a second after the request", func(t *testing.T) {
		_, ok := batch.Take(1900*time.Millisecond - 1)
		require.True(t, ok)
		_, ok = batch.Take(1900 * time.Millisecond)
		require.False(t, ok)
		require.GreaterOrEqual(t, allotment.BatchReservation, allotment.BatchTTL+allotment.BatchTTL/10)
	})
}
