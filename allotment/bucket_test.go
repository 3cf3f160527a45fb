package allotment_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/allotment"
)

// Guards against a slow rate that never yields a token when the bucket is updated often: an update must not drop the
// fraction of a token that has accrued since the one before.
func TestBucketFillsWhenPolledOften(t *testing.T) {
	for _, step := range []time.Duration{time.Microsecond, 343 * time.Nanosecond, time.Millisecond} {
		t.Run(step.String(), func(t *testing.T) {
			share := allotment.Amount{Rate: allotment.ToStatements(0.3), Burst: allotment.ToStatements(5)}
			b := allotment.Bucket{}.WithShare(time.Second, share)
			now := time.Second
			for now < 2*time.Second {
				now += step
				b = b.At(now)
			}
			require.InDelta(t, 0.3, b.Tokens().Float(), 0.001)
		})
	}
}

// Guards against a new rate that is applied to the time before it was granted.
func TestBucketGrantsShareFromItsInstant(t *testing.T) {
	slow := allotment.Amount{Rate: allotment.ToStatements(0.000_001), Burst: allotment.ToStatements(1000)}
	fast := allotment.Amount{Rate: allotment.ToStatements(1e6), Burst: allotment.ToStatements(1000)}
	b := allotment.Bucket{}.WithShare(time.Second, slow).WithShare(time.Second+500*time.Millisecond, fast)
	require.Less(t, b.At(time.Second+500*time.Millisecond).Tokens().Float(), 0.001)
}
