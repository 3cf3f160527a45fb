package ring_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/ring"
)

// Guards against a ring that grows, reorders, or blocks where it has to refuse.
func TestRing(t *testing.T) {
	t.Run("zero value holds the default capacity", func(t *testing.T) {
		var r ring.Ring[int]
		for i := range ring.DefaultCapacity {
			require.True(t, r.TryPut(i))
		}
		require.False(t, r.TryPut(0))
		requireTakes(t, &r, 0)
	})
	t.Run("push drops the oldest", func(t *testing.T) {
		r := ring.New[int](2)
		require.Zero(t, r.PutDroppingOldest(1))
		require.Zero(t, r.PutDroppingOldest(2))
		require.Equal(t, 1, r.PutDroppingOldest(3))
		requireTakes(t, r, 2, 3)
	})
	t.Run("put and take end with the context", func(t *testing.T) {
		r := ring.New[int](1)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		require.True(t, r.TryPut(1))
		require.ErrorIs(t, r.Put(ctx, 2), context.Canceled)
		requireTakes(t, r, 1)
		_, err := r.Take(ctx)
		require.ErrorIs(t, err, context.Canceled)
	})
}

func requireTakes(t *testing.T, r *ring.Ring[int], want ...int) {
	t.Helper()
	for _, w := range want {
		got, ok := r.TryTake()
		require.True(t, ok)
		require.Equal(t, w, got)
	}
}
