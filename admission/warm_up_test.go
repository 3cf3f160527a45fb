package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/admission"
)

const (
	coldPerSecond = 20
	settling      = 2500 * time.Millisecond
)

var tolerance = admission.WarmUpTolerance{Over: 1.5, Slack: 5}

// coldLimit is the number of statements that a cold server may get in one second.
func coldLimit(t admission.WarmUpTolerance, perSecond float64) int {
	return int(perSecond*t.Over + t.Slack)
}

// holder spends a budget as fast as it can, from its start to its end.
type holder struct {
	from, until time.Duration
	rank        admission.WarmUpRank
	statements  int
}

// replay returns the times of the statements that the holders send within ten seconds.
func replay(t admission.WarmUpTolerance, perSecond float64, holders ...holder) []time.Duration {
	var sent []time.Duration
	budgets := make([]admission.WarmUp, len(holders))
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		for i, h := range holders {
			if now < h.from || now >= h.until {
				continue
			}
			budgets[i] = budgets[i].WithShare(t.Share(perSecond, h.rank), now)
			for {
				next, granted := budgets[i].WithSpent(h.statements, now)
				if !granted {
					break
				}
				budgets[i] = next
				for range h.statements {
					sent = append(sent, now)
				}
			}
		}
	}
	return sent
}

// requireWithin requires that no window of one second has more statements than the limit, and returns the total.
func requireWithin(t *testing.T, limit int, sent []time.Duration) int {
	t.Helper()
	first := 0
	for i, at := range sent {
		for at-sent[first] >= time.Second {
			first++
		}
		require.LessOrEqual(t, i-first+1, limit, "in the second before %s", at)
	}
	return len(sent)
}

// Guards against holders that together send more than the bound, and against a budget that goes unused.
func TestWarmUpBudgetsStayWithinTheBound(t *testing.T) {
	const end = 10 * time.Second
	for name, c := range map[string]struct {
		holders []holder
		atLeast int
	}{
		"first holder":     {[]holder{{0, end, admission.WarmUpFirst, 1}}, 199},
		"second holder":    {[]holder{{0, end, admission.WarmUpSecond, 1}}, 99},
		"other instances":  {[]holder{{0, end, admission.WarmUpNone, 1}}, 0},
		"both at once":     {[]holder{{0, end, admission.WarmUpFirst, 1}, {0, end, admission.WarmUpSecond, 1}}, 298},
		"transactions":     {[]holder{{0, end, admission.WarmUpFirst, 2}, {0, end, admission.WarmUpSecond, 2}}, 290},
		"takeover":         {[]holder{{0, 5 * time.Second, admission.WarmUpFirst, 1}, {5 * time.Second, end, admission.WarmUpFirst, 1}, {0, end, admission.WarmUpSecond, 1}}, 290},
		"repeated changes": {[]holder{{0, 3 * time.Second, admission.WarmUpFirst, 2}, {3 * time.Second, 3500 * time.Millisecond, admission.WarmUpFirst, 2}, {3500 * time.Millisecond, end, admission.WarmUpFirst, 2}}, 190},
	} {
		t.Run(name, func(t *testing.T) {
			sent := replay(tolerance, coldPerSecond, c.holders...)
			require.GreaterOrEqual(t, requireWithin(t, coldLimit(tolerance, coldPerSecond), sent), c.atLeast)
		})
	}
}

// Guards against shares that exceed the bound when the tolerance is small, where the least burst is most of it.
func TestWarmUpSharesWithOtherTolerances(t *testing.T) {
	for name, tolerance := range map[string]admission.WarmUpTolerance{
		"no slack": {Over: 1.5}, "slack of one": {Over: 1, Slack: 1}, "below the rate": {Over: 0.5, Slack: 2}, "much slack": {Over: 3, Slack: 50},
	} {
		t.Run(name, func(t *testing.T) {
			for _, perSecond := range []float64{0.5, 1, 3, 20, 400} {
				sent := replay(tolerance, perSecond, holder{0, 10 * time.Second, admission.WarmUpFirst, 1}, holder{0, 10 * time.Second, admission.WarmUpSecond, 2})
				requireWithin(t, max(coldLimit(tolerance, perSecond), 0), sent)
			}
		})
	}
}

// Guards against a budget without a limit on the wait, and against debts that are forgotten.
func TestWarmUpDelay(t *testing.T) {
	w := admission.WarmUp{}.WithShare(tolerance.Share(coldPerSecond, admission.WarmUpFirst), 0)
	requireDelay := func(t *testing.T, w admission.WarmUp, want time.Duration) {
		t.Helper()
		got, possible := w.Delay(1, 0)
		require.True(t, possible)
		require.InDelta(t, want, got, 10)
		_, early := w.WithSpent(1, got-10)
		_, granted := w.WithSpent(1, got)
		require.True(t, granted && !early, "the delay is not the time of the next grant")
	}
	t.Run("empty at the start", func(t *testing.T) { requireDelay(t, w, 50*time.Millisecond) })
	t.Run("after a debt", func(t *testing.T) { requireDelay(t, w.WithDebt(3, 0), 200*time.Millisecond) })
	t.Run("without a share", func(t *testing.T) {
		_, possible := admission.WarmUp{}.Delay(1, 0)
		require.False(t, possible)
	})
}

// Guards against an instance that acts on a better rank while the one that had it before may still do so.
func TestWarmUpClaim(t *testing.T) {
	requireRank := func(t *testing.T, c admission.WarmUpClaim, want admission.WarmUpRank) {
		t.Helper()
		require.Equal(t, want, c.Rank())
	}
	claim := admission.NewWarmUpClaim().WithRank(admission.WarmUpFirst, time.Second, settling)
	t.Run("a better rank settles first", func(t *testing.T) { requireRank(t, claim, admission.WarmUpNone) })
	settled := claim.WithRank(admission.WarmUpFirst, time.Second+settling, settling)
	t.Run("then applies", func(t *testing.T) { requireRank(t, settled, admission.WarmUpFirst) })
	lost := settled.WithRank(admission.WarmUpSecond, 4*time.Second, settling)
	t.Run("a worse one applies at once", func(t *testing.T) { requireRank(t, lost, admission.WarmUpSecond) })
	t.Run("and the better one settles again", func(t *testing.T) {
		requireRank(t, lost.WithRank(admission.WarmUpFirst, 5*time.Second, settling), admission.WarmUpSecond)
	})
	t.Run("an interrupted rank settles again", func(t *testing.T) {
		c := claim.WithRank(admission.WarmUpNone, 2*time.Second, settling).WithRank(admission.WarmUpFirst, 3*time.Second, settling)
		requireRank(t, c.WithRank(admission.WarmUpFirst, 2*time.Second+settling, settling), admission.WarmUpNone)
	})
}
