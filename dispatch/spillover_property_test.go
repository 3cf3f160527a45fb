package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
)

// Guards against a sequence of events after which more reads leave than the rules allow.
func TestSpillBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s dispatch.SpillOver
		now := time.Second
		known := make(map[string]time.Duration)
		duration := func(name string, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, name))
		}
		load := func() dispatch.PoolLoad {
			return dispatch.PoolLoad{Wait: duration("wait", 300*ms), RunTime: ms + duration("run", 60*ms)}
		}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += duration("pause", 400*ms)
			before := s.Share(now)
			server := rapid.SampledFrom([]string{"b", "c", "d"}).Draw(t, "server")
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				s = s.WithSurvey(server, dispatch.SpillSurvey{Load: load(), RoundTrip: duration("trip", 5*ms)}, now)
				known[server] = now
			case 2:
				s = s.WithoutNeighbour(server)
				delete(known, server)
			case 3:
				s = s.WithUnsuitable(server)
			default:
				var placement dispatch.Placement
				s, placement = s.WithRead(spillValues, load(), rapid.IntRange(0, 1<<20).Draw(t, "bytes"), now)
				require.LessOrEqual(t, s.Share(now), before+3*0.05+1e-9, "a step for each server")
				if away, leaves := placement.(dispatch.SendAway); leaves {
					require.Contains(t, known, away.Server)
					require.Less(t, now-known[away.Server], 2*time.Second)
					require.Positive(t, away.MaxWait)
					require.LessOrEqual(t, away.MaxWait, 2*61*ms, "two run times of the receiver")
				}
			}
			require.LessOrEqual(t, s.Share(now), 0.8+1e-9)
		}
	})
}
