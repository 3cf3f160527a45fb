package allotment_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/allotment"
)

// Guards against an organisation with many waiting clients that starves the others.
func TestQueue(t *testing.T) {
	t.Run("organisations are served in turn", func(t *testing.T) {
		q := queueOf(t, 8, "big", "big", "big", "small", "small", "tiny")
		requireOrder(t, q, 1, 4, 6, 2, 5, 3)
	})
	t.Run("later arrivals do not change the turn", func(t *testing.T) {
		q := queueOf(t, 8, "big", "big", "small")
		q = q.WithServed(q.Waiters()[0])
		requireOrder(t, q, 3, 2)
		requireOrder(t, withWaiter(t, q, 4, "small"), 3, 2, 4)
	})
	t.Run("a removed waiter is not served", func(t *testing.T) {
		q := queueOf(t, 8, "big", "big", "small")
		q = q.Without(allotment.Waiter{ID: 1, Organisation: "big"})
		requireOrder(t, q.Without(allotment.Waiter{ID: 9, Organisation: "none"}), 2, 3)
	})
	t.Run("a full queue accepts the first waiter of another organisation", func(t *testing.T) {
		q := queueOf(t, 2, "big", "big")
		_, ok := q.WithWaiter(allotment.Waiter{ID: 3, Organisation: "big"})
		require.False(t, ok)
		requireOrder(t, withWaiter(t, q, 3, "small"), 1, 3, 2)
	})
	t.Run("the original queue is unchanged", func(t *testing.T) {
		q := queueOf(t, 8, "big", "big")
		first := withWaiter(t, q, 3, "big")
		second := withWaiter(t, q, 4, "big")
		requireOrder(t, q, 1, 2)
		requireOrder(t, first, 1, 2, 3)
		requireOrder(t, second, 1, 2, 4)
	})
	t.Run("the zero value is bounded", func(t *testing.T) {
		var q allotment.Queue
		for i := range allotment.DefaultQueueLimit {
			q = withWaiter(t, q, uint64(i), "big")
		}
		_, ok := q.WithWaiter(allotment.Waiter{ID: 1000, Organisation: "big"})
		require.False(t, ok)
	})
}

func queueOf(t *testing.T, limit int, organisations ...string) allotment.Queue {
	t.Helper()
	q := allotment.NewQueue(limit)
	for i, organisation := range organisations {
		q = withWaiter(t, q, uint64(i+1), organisation)
	}
	return q
}

func withWaiter(t *testing.T, q allotment.Queue, id uint64, organisation string) allotment.Queue {
	t.Helper()
	q, ok := q.WithWaiter(allotment.Waiter{ID: id, Organisation: organisation})
	require.True(t, ok)
	return q
}

func requireOrder(t *testing.T, q allotment.Queue, want ...uint64) {
	t.Helper()
	var got []uint64
	for _, w := range q.Waiters() {
		got = append(got, w.ID)
	}
	require.Equal(t, want, got)
	require.Equal(t, len(want), q.Len())
}
