package admission_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/admission"
)

const (
	ms    = time.Millisecond
	slots = 3
	// An answer counts as on time up to target after the arrival. maxWait is how long a statement may be queued.
	target  = 250 * ms
	maxWait = target / 2
	// callerTimeout is the time after which a caller cancels its statement.
	callerTimeout = time.Second
	// meanServiceTime is the mean time that a statement runs.
	meanServiceTime = 18 * ms
	duration        = 30 * time.Second
)

// load is a pattern of arrivals.
type load struct {
	// factor is the offered load relative to the capacity of the slots.
	factor float64
	// hot is the load of the first organisation relative to that of each other one.
	hot float64
	// urgent is the share of statements with priority zero; the others have priority one.
	urgent float64
}

const organisations = 8

// arrival is one statement of a load.
type arrival struct {
	admission.QueuedStatement
	serviceTime  time.Duration
	organisation int
}

// arrivals generates the statements of a load.
func (l load) arrivals(seed uint64) []arrival {
	r := rand.New(rand.NewPCG(seed, 1))
	var all []arrival
	perSecond := l.factor * slots / meanServiceTime.Seconds()
	weights := l.hot + organisations - 1
	for at := 0.0; at < duration.Seconds(); at += r.ExpFloat64() / perSecond {
		a := arrival{serviceTime: drawServiceTime(r)}
		if pick := r.Float64() * weights; pick > l.hot {
			a.organisation = 1 + int(pick-l.hot)
		}
		a.Organisation = string(rune('a' + a.organisation))
		a.Arrived = time.Duration(at * float64(time.Second))
		if r.Float64() >= l.urgent {
			a.Priority = 1
		}
		all = append(all, a)
	}
	return all
}

// drawServiceTime draws from a log-normal distribution with the mean meanServiceTime.
func drawServiceTime(r *rand.Rand) time.Duration {
	const spread = 0.7
	return time.Duration(float64(meanServiceTime) * math.Exp(spread*r.NormFloat64()-spread*spread/2))
}

// policy returns the index of the waiting statement to run next, or -1, and the indices of those to refuse.
type policy func(waiting []arrival, now time.Duration, recent admission.RecentAdmissions) (next int, refused []int)

// fifo runs statements in the order of arrival and refuses none.
func fifo([]arrival, time.Duration, admission.RecentAdmissions) (int, []int) { return 0, nil }

// fixedLimit is fifo with a queue of 24 statements; the rest is refused.
func fixedLimit(waiting []arrival, _ time.Duration, _ admission.RecentAdmissions) (int, []int) {
	const queue = 24
	var refused []int
	for i := queue; i < len(waiting); i++ {
		refused = append(refused, i)
	}
	return 0, refused
}

// fairPolicy is the policy of package admission.
func fairPolicy(waiting []arrival, now time.Duration, recent admission.RecentAdmissions) (int, []int) {
	entries := make([]admission.QueuedStatement, len(waiting))
	for i, a := range waiting {
		entries[i] = a.QueuedStatement
	}
	order := admission.Order(entries, recent)
	server := admission.Server{Slots: slots, ServiceTime: meanServiceTime}
	var refused []int
	ahead, next := 0, -1
	for _, i := range order {
		if _, isRefused := admission.Decide(server, ahead, now-waiting[i].Arrived, maxWait).(admission.Refused); isRefused {
			refused = append(refused, i)
			continue
		}
		if next < 0 {
			next = i
		}
		ahead++
	}
	return next, refused
}

// result counts the outcomes of a simulation.
type result struct {
	arrived, onTime, urgentArrived, urgentOnTime int
	arrivedBy, onTimeBy                          [organisations]int
	// refusedAfter holds the waiting times of the refused statements.
	refusedAfter []time.Duration
}

func (r result) onTimeShare() float64 { return float64(r.onTime) / float64(r.arrived) }
func (r result) urgentOnTimeShare() float64 {
	return float64(r.urgentOnTime) / float64(r.urgentArrived)
}

// worstShare returns the smallest share of statements on time of any organisation other than the first.
func (r result) worstShare() float64 {
	worst := 1.0
	for i := 1; i < organisations; i++ {
		worst = min(worst, float64(r.onTimeBy[i])/float64(r.arrivedBy[i]))
	}
	return worst
}

func (r *result) served(a arrival, at time.Duration) {
	if at-a.Arrived > target {
		return
	}
	r.onTime++
	r.onTimeBy[a.organisation]++
	if a.Priority == 0 {
		r.urgentOnTime++
	}
}

// simulate runs a load against one server under the policy.
func simulate(l load, seed uint64, p policy) result {
	var r result
	var free [slots]time.Duration
	var waiting []arrival
	var recent admission.RecentAdmissions
	run := func(until time.Duration) {
		for {
			slot := 0
			for i := range free {
				if free[i] < free[slot] {
					slot = i
				}
			}
			if len(waiting) == 0 || max(free[slot], waiting[0].Arrived) > until {
				return
			}
			now := max(free[slot], waiting[0].Arrived)
			next, refused := p(waiting, now, recent)
			for _, i := range refused {
				r.refusedAfter = append(r.refusedAfter, now-waiting[i].Arrived)
			}
			if next >= 0 {
				a := waiting[next]
				recent = recent.WithAdmission(a.Organisation, now)
				if now-a.Arrived < callerTimeout {
					free[slot] = now + a.serviceTime
					r.served(a, free[slot])
				}
				refused = append(refused, next)
			}
			kept := waiting[:0:0]
			for i, a := range waiting {
				if !slices.Contains(refused, i) {
					kept = append(kept, a)
				}
			}
			waiting = kept
		}
	}
	for _, a := range l.arrivals(seed) {
		run(a.Arrived)
		r.arrived++
		r.arrivedBy[a.organisation]++
		if a.Priority == 0 {
			r.urgentArrived++
		}
		waiting = append(waiting, a)
	}
	run(duration + callerTimeout)
	return r
}

// Guards against a queue that makes all statements late under overload. That occurs when all replicas of a group lag,
// so that its reads go to one server.
func TestOverload(t *testing.T) {
	for seed := range uint64(5) {
		l := load{factor: 1.6, hot: 1, urgent: 0.2}
		fair, firstCome, fixed := simulate(l, seed, fairPolicy), simulate(l, seed, fifo), simulate(l, seed, fixedLimit)
		t.Logf("share on time: %.3f; FIFO %.3f; queue of 24 %.3f", fair.onTimeShare(), firstCome.onTimeShare(), fixed.onTimeShare())
		require.Greater(t, fair.onTimeShare(), 0.9/l.factor, "nine tenths of the capacity")
		require.Greater(t, fair.onTimeShare(), firstCome.onTimeShare()+0.3)
		require.GreaterOrEqual(t, fair.onTimeShare(), fixed.onTimeShare()-0.02)
		t.Run("urgent statements are answered on time", func(t *testing.T) {
			require.Greater(t, fair.urgentOnTimeShare(), 0.99)
			require.Greater(t, fair.urgentOnTimeShare(), fixed.urgentOnTimeShare()+0.1)
		})
		t.Run("statements are refused early", func(t *testing.T) {
			slices.Sort(fair.refusedAfter)
			require.LessOrEqual(t, fair.refusedAfter[len(fair.refusedAfter)/2], maxWait)
		})
	}
}

// Guards against one organisation with many times the load of the others that makes their statements late.
func TestHotOrganisation(t *testing.T) {
	for seed := range uint64(5) {
		l := load{factor: 1.8, hot: 12}
		fair, fixed := simulate(l, seed, fairPolicy), simulate(l, seed, fixedLimit)
		t.Logf("worst share on time of the other organisations: %.3f; queue of 24 %.3f", fair.worstShare(), fixed.worstShare())
		require.Greater(t, fair.worstShare(), 0.97)
		require.Greater(t, fair.worstShare(), fixed.worstShare()+0.2)
	}
}

// Guards against refusing statements under light load.
func TestLightLoad(t *testing.T) {
	for seed := range uint64(5) {
		fair := simulate(load{factor: 0.6, hot: 1}, seed, fairPolicy)
		require.LessOrEqual(t, float64(len(fair.refusedAfter)), float64(fair.arrived)/1000, "only rare bursts exceed the limit")
		require.Greater(t, fair.onTimeShare(), 0.999)
	}
}
