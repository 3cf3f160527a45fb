package dispatch_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/group"
)

// replaySeeds are the seeds with which each load is replayed.
var replaySeeds = []uint64{1, 2}

// replayed runs the test for each seed.
func replayed(t *testing.T, p replay, test func(t *testing.T, results map[string]simResult)) {
	t.Helper()
	for _, seed := range replaySeeds {
		test(t, p.compare(t, seed))
	}
}

// requireServedAtLeast checks that the share policy serves as many reads on time as the other policy, up to a tolerance.
func requireServedAtLeast(t *testing.T, results map[string]simResult, other string, gain float64) {
	t.Helper()
	require.GreaterOrEqual(t, results["share"].total(), results[other].total()+gain, other)
}

// requireReceiversNoWorse checks that the callers of the data centres that receive reads wait less than a run time longer
// than without them, and are served as often.
func requireReceiversNoWorse(t *testing.T, results map[string]simResult, receivers ...int) {
	t.Helper()
	for _, zone := range receivers {
		require.LessOrEqual(t, results["share"].meanTime(zone), results["always local"].meanTime(zone)+simRun)
		require.GreaterOrEqual(t, results["share"].onTimeShare(zone), results["always local"].onTimeShare(zone)-0.002)
	}
}

func awayShare(r simResult, zone int) float64 { return float64(r.away[zone]) / float64(r.reads[zone]) }

// Guards against a data centre with too little capacity whose reads are refused while others have capacity left, and
// against policies that help it at the others' cost.
func TestSpillOverload(t *testing.T) {
	replayed(t, replay{load: constantLoad(1.3, 0.6, 0.6)}, func(t *testing.T, results map[string]simResult) {
		t.Helper()
		requireServedAtLeast(t, results, "always local", 0.1)
		requireServedAtLeast(t, results, "two choices", 0.04)
		requireServedAtLeast(t, results, "least loaded", 0.005)
		requireServedAtLeast(t, results, "marginal cost", -0.005)
		requireServedAtLeast(t, results, "constant cost", -0.005)
		requireReceiversNoWorse(t, results, 1, 2)
		share, marginal := results["share"], results["marginal cost"]
		require.Less(t, awayShare(share, 0), awayShare(marginal, 0)/1.5, "reads that leave")
		require.Less(t, awayShare(share, 1)+awayShare(share, 2), 0.02, "reads that leave the receivers")
		require.Less(t, deviation(share.shares[len(share.shares)/2:]), 0.1, "the share oscillates")
	})
}

// deviation returns the standard deviation.
func deviation(values []float64) float64 {
	mean, squares := 0.0, 0.0
	for _, v := range values {
		mean += v / float64(len(values))
	}
	for _, v := range values {
		squares += (v - mean) * (v - mean) / float64(len(values))
	}
	return math.Sqrt(squares)
}

// Guards against data centres that send each other reads although none has capacity left.
func TestSpillWhenAllAreOverloaded(t *testing.T) {
	replayed(t, replay{load: constantLoad(1.1, 1.1, 1.1)}, func(t *testing.T, results map[string]simResult) {
		t.Helper()
		for zone := range zones {
			require.Less(t, awayShare(results["share"], zone), 0.02)
		}
		requireServedAtLeast(t, results, "always local", -0.01)
		for _, other := range []string{"least loaded", "constant cost", "marginal cost", "two choices"} {
			requireServedAtLeast(t, results, other, 0.015)
		}
	})
}

// Guards against reads that leave under ordinary load.
func TestSpillUnderOrdinaryLoad(t *testing.T) {
	replayed(t, replay{load: constantLoad(0.6, 0.6, 0.6)}, func(t *testing.T, results map[string]simResult) {
		t.Helper()
		for zone := range zones {
			require.Less(t, awayShare(results["share"], zone), 0.01)
			require.Greater(t, awayShare(results["constant cost"], zone), 0.05)
		}
	})
}

// Guards against two data centres that both send what the third can take from one of them.
func TestSpillToSameNeighbour(t *testing.T) {
	replayed(t, replay{load: constantLoad(1.2, 1.2, 0.3)}, func(t *testing.T, results map[string]simResult) {
		t.Helper()
		requireServedAtLeast(t, results, "always local", 0.08)
		for _, other := range []string{"least loaded", "constant cost", "marginal cost", "two choices"} {
			requireServedAtLeast(t, results, other, 0.015)
		}
		requireReceiversNoWorse(t, results, 2)
		require.InDelta(t, awayShare(results["share"], 0), awayShare(results["share"], 1), 0.06, "both get a part")
	})
}

// Guards against reads that are sent to data centres that can no longer be reached.
func TestSpillCut(t *testing.T) {
	cut := replay{
		load: constantLoad(1.3, 0.6, 0.6),
		cut:  func(zone int, at time.Duration) bool { return zone == 0 && at > simTime/2 },
	}
	replayed(t, cut, func(t *testing.T, results map[string]simResult) {
		t.Helper()
		require.Zero(t, results["share"].awayAtEnd, "everything stays local")
		requireServedAtLeast(t, results, "always local", 0.03)
		requireServedAtLeast(t, results, "marginal cost", -0.005)
		requireReceiversNoWorse(t, results, 1, 2)
	})
}

// Guards against decisions from knowledge that is too old, and against losing all of the gain when it is somewhat old.
func TestSpillWithOldKnowledge(t *testing.T) {
	t.Run("2 s", func(t *testing.T) {
		old := replay{load: constantLoad(1.3, 0.6, 0.6), knowledgeAge: 2 * time.Second}
		replayed(t, old, func(t *testing.T, results map[string]simResult) {
			t.Helper()
			require.Zero(t, results["share"].away[0])
		})
	})
	t.Run("1 s", func(t *testing.T) {
		old := replay{load: constantLoad(1.3, 0.6, 0.6), knowledgeAge: time.Second}
		replayed(t, old, func(t *testing.T, results map[string]simResult) {
			t.Helper()
			requireServedAtLeast(t, results, "always local", 0.08)
			requireServedAtLeast(t, results, "two choices", 0.05)
			requireReceiversNoWorse(t, results, 1, 2)
		})
	})
}

// Guards against reads that go on leaving when the local server has capacity again.
func TestSpillReturns(t *testing.T) {
	drop := replay{load: func(zone int, at time.Duration) float64 {
		if zone == 0 && at < simTime/2 {
			return 1.3
		}
		return 0.5
	}}
	replayed(t, drop, func(t *testing.T, results map[string]simResult) {
		t.Helper()
		requireServedAtLeast(t, results, "always local", 0.05)
		r := results["share"]
		require.Less(t, r.awayAtEnd, 10)
		for i, share := range r.shares {
			if at := time.Duration(i) * surveyTime; at > simTime/2+5*time.Second {
				require.Less(t, share, 0.2, "at %s", at)
			}
		}
	})
}

// overloaded returns a state whose local server has a wait of 100 ms and whose neighbour "b" is idle, after n steps.
func overloaded(v dispatch.SpillValues, bytes, n int) (dispatch.SpillOver, time.Duration) {
	var s dispatch.SpillOver
	now := time.Second
	for range n {
		now += dispatch.SpillStepInterval
		s = s.WithSurvey("b", dispatch.SpillSurvey{Load: dispatch.PoolLoad{RunTime: simRun}, RoundTrip: 2 * ms}, now)
		s, _ = s.WithRead(v, dispatch.PoolLoad{Wait: 100 * ms, RunTime: simRun}, bytes, now)
	}
	return s, now
}

// Guards against the rules of a single read.
func TestSpillPlacement(t *testing.T) {
	local := dispatch.PoolLoad{Wait: 100 * ms, RunTime: simRun}
	t.Run("the share rises in bounded steps", func(t *testing.T) {
		for n := 1; n <= 10; n++ {
			s, now := overloaded(spillValues, readBytes, n)
			require.LessOrEqual(t, s.Share(now), 0.05*float64(n)+1e-9)
		}
		s, now := overloaded(spillValues, readBytes, 100)
		require.InDelta(t, 0.8, s.Share(now), 1e-9)
	})
	t.Run("a read is sent with the wait that the receiver may have", func(t *testing.T) {
		s, now := overloaded(spillValues, readBytes, 100)
		require.Contains(t, placements(s, spillValues, local, readBytes, now), dispatch.SendAway{Server: "b", MaxWait: 2 * simRun})
		require.Equal(t, dispatch.SpillSaves, s.Reason(now))
	})
	t.Run("a read that meets no wait stays", func(t *testing.T) {
		s, now := overloaded(spillValues, readBytes, 100)
		requireStays(t, dispatch.SpillNotNeeded, s, spillValues, dispatch.PoolLoad{RunTime: simRun}, readBytes, now)
	})
	t.Run("a large read stays", func(t *testing.T) {
		s, now := overloaded(spillValues, readBytes, 100)
		requireStays(t, dispatch.SpillTransferCost, s, spillValues, local, 1<<20, now)
	})
	t.Run("nothing leaves if bytes are worth more than the time", func(t *testing.T) {
		s, now := overloaded(dispatch.SpillValues{Second: 1, Gigabyte: 1e6}, readBytes, 20)
		require.Zero(t, s.Share(now))
	})
	t.Run("a refusing server gets nothing until it is surveyed", func(t *testing.T) {
		s, now := overloaded(spillValues, readBytes, 100)
		s = s.WithRefusal("b", dispatch.PoolLoad{Wait: 50 * ms, RunTime: simRun}, now)
		requireStays(t, dispatch.SpillLocalShare, s, spillValues, local, readBytes, now)
	})
	t.Run("a server that cannot run half of the reads gets fewer", func(t *testing.T) {
		s, now := overloaded(spillValues, readBytes, 100)
		before := s.Share(now)
		for range 3 {
			s = s.WithUnsuitable("b")
		}
		now += dispatch.SpillStepInterval
		s, _ = s.WithRead(spillValues, local, readBytes, now)
		require.InDelta(t, before/2, s.Share(now), 1e-9)
		require.Equal(t, dispatch.SpillNotSuitable, s.Reason(now))
	})
	t.Run("knowledge loses weight with age", func(t *testing.T) {
		s, now := overloaded(spillValues, readBytes, 100)
		require.Greater(t, s.Share(now), s.Share(now+time.Second))
		require.Zero(t, s.Share(now+2*time.Second))
		require.Equal(t, dispatch.SpillOldKnowledge, s.Reason(now+2*time.Second))
		requireStays(t, dispatch.SpillOldKnowledge, s, spillValues, local, readBytes, now+2*time.Second)
	})
	t.Run("a lost server gets nothing", func(t *testing.T) {
		s, now := overloaded(spillValues, readBytes, 100)
		requireStays(t, dispatch.SpillNeighbourLost, s.WithoutNeighbour("b"), spillValues, local, readBytes, now)
	})
	t.Run("the state is immutable", func(t *testing.T) {
		s, now := overloaded(spillValues, readBytes, 100)
		before := s.Share(now)
		s.WithoutNeighbour("b").WithSurvey("c", dispatch.SpillSurvey{Load: local, RoundTrip: ms}, now)
		require.InDelta(t, before, s.Share(now), 0)
	})
}

// placements returns the placements of the next five reads.
func placements(s dispatch.SpillOver, v dispatch.SpillValues, local dispatch.PoolLoad, bytes int, now time.Duration) []dispatch.Placement {
	all := make([]dispatch.Placement, 5)
	for i := range all {
		s, all[i] = s.WithRead(v, local, bytes, now)
	}
	return all
}

// requireStays checks that all of the next reads stay, at least one of them for the reason.
func requireStays(t *testing.T, want dispatch.SpillReason, s dispatch.SpillOver, v dispatch.SpillValues, local dispatch.PoolLoad, bytes int, now time.Duration) {
	t.Helper()
	all := placements(s, v, local, bytes, now)
	require.Contains(t, all, dispatch.StayLocal{Reason: want})
	for _, placement := range all {
		require.IsType(t, dispatch.StayLocal{}, placement)
	}
}

// Guards against an assumed size that outlives the first sample.
func TestReadSize(t *testing.T) {
	var size dispatch.ReadSize
	require.Equal(t, 1000, size.Bytes())
	size = size.WithRead(300)
	require.Equal(t, 300, size.Bytes())
	require.Equal(t, 400, size.WithRead(1900).Bytes())
}

// Guards against reads that leave although a server of their data centre can run them, and against reads that find no
// server although one elsewhere can run them.
func TestChooseNear(t *testing.T) {
	p, near, far := server("p", "a"), server("near", "a").WithOutstanding(5), server("far", "b")
	reader := dispatch.NeedReader{Own: at(3), AcceptedAge: time.Second}
	t.Run("a loaded local replica is preferred", func(t *testing.T) {
		requireServer(t, "near", at(5), dispatch.ChooseNear(reader, []dispatch.Candidate{free(p), free(near), free(far)}, routingContext(), false))
	})
	t.Run("without a local replica the cost decides", func(t *testing.T) {
		requireServer(t, "far", at(5), dispatch.ChooseNear(reader, []dispatch.Candidate{free(p), free(far)}, routingContext(), false))
	})
	t.Run("a read that came back may use the local primary", func(t *testing.T) {
		requireServer(t, "p", group.Position{}, dispatch.ChooseNear(reader, []dispatch.Candidate{free(p), free(far)}, routingContext(), true))
	})
	t.Run("a read leaves a data centre in maintenance", func(t *testing.T) {
		in := routingContext()
		in.Maintenance = in.Maintenance.WithDataCentres([]string{"a"}, 0)
		all := []dispatch.Candidate{free(p), free(near), free(far)}
		requireServer(t, "far", at(5), dispatch.ChooseNear(reader, all, in, false))
		requireServer(t, "far", at(5), dispatch.ChooseNear(reader, all, in, true))
		require.False(t, dispatch.CanStay(reader, all, in))
	})
	t.Run("a warm replica elsewhere is preferred to a cold one here", func(t *testing.T) {
		cold := free(near)
		cold.WarmUp = dispatch.Cold
		requireServer(t, "far", at(5), dispatch.ChooseNear(reader, []dispatch.Candidate{cold, free(far)}, routingContext(), true))
		require.False(t, dispatch.CanStay(reader, []dispatch.Candidate{cold, free(far)}, routingContext()))
		requireServer(t, "near", at(5), dispatch.ChooseNear(reader, []dispatch.Candidate{cold}, routingContext(), true))
	})
	t.Run("a read is not sent to a cold server", func(t *testing.T) {
		cold := free(far)
		cold.WarmUp = dispatch.Cold
		require.Equal(t, dispatch.NoServer{}, dispatch.ChooseServer(reader, "far", []dispatch.Candidate{free(near), cold}, routingContext()))
		requireServer(t, "far", at(5), dispatch.ChooseServer(reader, "far", []dispatch.Candidate{free(near), free(far)}, routingContext()))
	})
	t.Run("a local replica that lacks the position is skipped", func(t *testing.T) {
		lacking := free(near.WithMissingPosition(at(5), time.Second))
		requireServer(t, "far", at(5), dispatch.ChooseNear(reader, []dispatch.Candidate{lacking, free(far)}, routingContext(), true))
	})
}
