package allotment_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbwick/rhubarbwick/allotment"
)

// Guards against a window that drops events too early, so that an organisation exceeds its rate, or too late, so that
// statements within the rate are refused.
func TestWindow(t *testing.T) {
	const span = 5 * time.Second
	t.Run("the zero value is empty", func(t *testing.T) {
		require.Zero(t, allotment.Window{}.At(time.Minute).Count())
	})
	t.Run("the window covers at least the span and at most a twentieth more", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			w := allotment.NewWindow(span)
			var at []time.Duration
			now := time.Duration(0)
			for range rapid.IntRange(1, 60).Draw(t, "events") {
				now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "gap")) * time.Millisecond
				w = w.With(now, 1)
				at = append(at, now)
				requireCount(t, w, at, now, span)
			}
		})
	})
}

func requireCount(t *rapid.T, w allotment.Window, at []time.Duration, now, span time.Duration) {
	least, most := int64(0), int64(0)
	for _, event := range at {
		if now-event < span {
			least++
		}
		if now-event <= span+span/20 {
			most++
		}
	}
	require.GreaterOrEqual(t, w.Count(), least)
	require.LessOrEqual(t, w.Count(), most)
}
