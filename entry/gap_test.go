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

var gapSeeds = flag.Int("gap.seeds", 3, "runs for each way of failing in TestFailoverGap")

// gap is the time from a fault to the first acknowledged write, and its parts.
type gap struct {
	detection, agreement, catchingUp, total time.Duration
	majorityLost, leaseLost                 int
}

func measureGap(f *groupFixture, way failure) gap {
	stop := f.startClients(1)
	f.run(2*time.Second + time.Duration(f.rng.Int64N(int64(time.Second))))
	f.withLock(func() { f.fenceSent, f.electedAt = 0, 0 })
	way.begin(f)
	fault := f.timer.Now()
	elected := func() (at time.Duration) { f.withLock(func() { at = f.electedAt }); return at }
	f.runUntil(20*time.Second, "a new primary", func() bool { return elected() > 0 })
	acknowledged := func() (at time.Duration) { f.withLock(func() { at = f.writes.last }); return at }
	f.runUntil(20*time.Second, "an acknowledged write", func() bool { return acknowledged() > elected() })
	g := gap{
		detection: f.fenceSent - fault, agreement: elected() - f.fenceSent, catchingUp: acknowledged() - elected(),
		total: acknowledged() - fault,
	}
	stop()
	held := f.nodes[f.primaries[f.lastTerm()]].held()
	for id, lease := range f.writes.lease {
		if lease && !held[id] {
			g.leaseLost++
		}
		if f.writes.acknowledged[id] && !held[id] {
			g.majorityLost++
		}
	}
	return g
}

// spreadOf returns the median and the worst of a part of the gaps, in milliseconds.
func spreadOf(gaps []gap, part func(gap) time.Duration) string {
	var all []time.Duration
	for _, g := range gaps {
		all = append(all, part(g))
	}
	return medianAndWorst(all)
}

func medianAndWorst(all []time.Duration) string {
	slices.Sort(all)
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return fmt.Sprintf("%.1f / %.1f", ms(all[len(all)/2]), ms(all[len(all)-1]))
}

// Guards against a failover gap that grows, and prints the gap and its parts for each way of failing.
func TestFailoverGap(t *testing.T) {
	t.Parallel()
	const limit = 8 * time.Second
	// The worst of 200 runs was 1.34 s; an instance that asks as seldom as at other times takes longer.
	const killedLimit = 1400 * time.Millisecond
	t.Logf("ms, median / worst of %d runs", *gapSeeds)
	t.Logf("| way of failing | detection | agreement | catching up | gap | writes lost: majority | lease only |")
	for _, way := range failures() {
		if !way.promotes {
			continue
		}
		var gaps []gap
		majorityLost, leaseLost := 0, 0
		for seed := range *gapSeeds {
			inWorld(t, uint64(seed), 3, func(ctx context.Context, w *fakeCluster) {
				gaps = append(gaps, measureGap(newGroupFixture(ctx, w, 3), way))
			})
			last := gaps[len(gaps)-1]
			require.Less(t, last.total, limit, "%s, seed %d", way.name, seed)
			if way.name == "primary killed" {
				require.Less(t, last.total, killedLimit, "seed %d", seed)
			}
			majorityLost += last.majorityLost
			leaseLost += last.leaseLost
		}
		t.Logf("| %s | %s | %s | %s | %s | %d | %d |", way.name,
			spreadOf(gaps, func(g gap) time.Duration { return g.detection }),
			spreadOf(gaps, func(g gap) time.Duration { return g.agreement }),
			spreadOf(gaps, func(g gap) time.Duration { return g.catchingUp }),
			spreadOf(gaps, func(g gap) time.Duration { return g.total }), majorityLost, leaseLost)
		require.Zero(t, majorityLost)
	}
}

// Guards against an acknowledgment that waits for a poll, and prints its cost. The lease-only rule waits for nothing
// after the commit is reported, so the whole figure is what the majority costs.
func TestAcknowledgmentCost(t *testing.T) {
	t.Parallel()
	for _, callers := range []int{1, 8, 64} {
		inWorld(t, 1, 3, func(ctx context.Context, w *fakeCluster) {
			f := newGroupFixture(ctx, w, 3)
			stop := f.startClients(callers)
			f.run(5 * time.Second)
			stop()
			t.Logf("| %d callers | %d writes | %s ms |", callers, len(f.writes.cost), medianAndWorst(f.writes.cost))
			require.Less(t, slices.Max(f.writes.cost), 20*fakeLatency)
		})
	}
}
