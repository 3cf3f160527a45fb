package entry_test

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var failoverSeeds = flag.Int("gap.seeds", 3, "runs for each way of failing in TestFailoverGap")

// failoverTime is the time from a fault to the first acknowledged write of the new term, and its parts.
type failoverTime struct {
	detection, election, recovery, total time.Duration
	majorityLost, leaseLost              int
}

func measureFailover(f *groupFixture, fault faultCase) failoverTime {
	stop := f.startClients(1)
	f.run(2*time.Second + time.Duration(f.rng.Int64N(int64(time.Second))))
	f.withLock(func() { f.fenceSent, f.electedAt = 0, 0 })
	fault.inject(f)
	faultAt := f.timer.Now()
	elected := func() (at time.Duration) { f.withLock(func() { at = f.electedAt }); return at }
	f.runUntil(20*time.Second, "a new primary", func() bool { return elected() > 0 })
	acknowledged := func() (at time.Duration) { f.withLock(func() { at = f.results.last }); return at }
	f.runUntil(20*time.Second, "an acknowledged write", func() bool { return acknowledged() > elected() })
	times := failoverTime{
		detection: f.fenceSent - faultAt, election: elected() - f.fenceSent, recovery: acknowledged() - elected(),
		total: acknowledged() - faultAt,
	}
	stop()
	held := f.servers[f.primaries[f.lastTerm()]].heldWrites()
	for id, lease := range f.results.leaseOnly {
		if lease && !held[id] {
			times.leaseLost++
		}
		if f.results.acknowledged[id] && !held[id] {
			times.majorityLost++
		}
	}
	return times
}

// medianAndWorstOf returns the median and the maximum of a part of the failover times, in milliseconds.
func medianAndWorstOf(times []failoverTime, part func(failoverTime) time.Duration) string {
	var all []time.Duration
	for _, t := range times {
		all = append(all, part(t))
	}
	return medianAndWorst(all)
}

func medianAndWorst(all []time.Duration) string {
	slices.Sort(all)
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return fmt.Sprintf("%.1f / %.1f", ms(all[len(all)/2]), ms(all[len(all)-1]))
}

// Guards against an increase of the failover time. Prints the time and its parts for each fault.
func TestFailoverGap(t *testing.T) {
	t.Parallel()
	const limit = 8 * time.Second
	// The maximum of 200 runs was 1.34 s. An instance that polls at the idle interval during a failover takes longer.
	const killedLimit = 1400 * time.Millisecond
	t.Logf("ms, median / worst of %d runs", *failoverSeeds)
	t.Logf("| way of failing | detection | agreement | catching up | gap | writes lost: majority | lease only |")
	for _, fault := range faultCases() {
		if !fault.needsPromotion {
			continue
		}
		var gaps []failoverTime
		majorityLost, leaseLost := 0, 0
		for seed := range *failoverSeeds {
			inFakeCluster(t, uint64(seed), 3, func(ctx context.Context, cl *fakeCluster) {
				gaps = append(gaps, measureFailover(newGroupFixture(ctx, cl, 3), fault))
			})
			last := gaps[len(gaps)-1]
			require.Less(t, last.total, limit, "%s, seed %d", fault.name, seed)
			if fault.name == "primary killed" {
				require.Less(t, last.total, killedLimit, "seed %d", seed)
			}
			majorityLost += last.majorityLost
			leaseLost += last.leaseLost
		}
		t.Logf("| %s | %s | %s | %s | %s | %d | %d |", fault.name,
			medianAndWorstOf(gaps, func(g failoverTime) time.Duration { return g.detection }),
			medianAndWorstOf(gaps, func(g failoverTime) time.Duration { return g.election }),
			medianAndWorstOf(gaps, func(g failoverTime) time.Duration { return g.recovery }),
			medianAndWorstOf(gaps, func(g failoverTime) time.Duration { return g.total }), majorityLost, leaseLost)
		require.Zero(t, majorityLost)
	}
}

// Guards against an acknowledgment that waits for the next periodic poll. Prints the time from commit to acknowledgment.
// With a primary lease alone that time would be zero, so all of it is the cost of waiting for a majority.
func TestAcknowledgmentCost(t *testing.T) {
	t.Parallel()
	for _, clients := range []int{1, 8, 64} {
		inFakeCluster(t, 1, 3, func(ctx context.Context, cl *fakeCluster) {
			f := newGroupFixture(ctx, cl, 3)
			stop := f.startClients(clients)
			f.run(5 * time.Second)
			stop()
			t.Logf("| %d callers | %d writes | %s ms |", clients, len(f.results.waits), medianAndWorst(f.results.waits))
			require.Less(t, slices.Max(f.results.waits), 20*fakeLatency)
		})
	}
}
