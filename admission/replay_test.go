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
	// aim is when an answer has to come to count, and patience how long a statement may wait for its turn.
	aim      = 250 * ms
	patience = aim / 2
	// giveUp is when a caller no longer waits.
	giveUp = time.Second
	// meanWork is how long a statement runs.
	meanWork = 18 * ms
	length   = 30 * time.Second
)

// load is a pattern of arrivals.
type load struct {
	// factor is the work that arrives, as a part of what the slots can do.
	factor float64
	// hot is how many times its part the first of the organisations sends.
	hot float64
	// urgent is the part of the statements of priority zero; the others have one.
	urgent float64
}

const organisations = 8

// arrival is one statement of a load.
type arrival struct {
	admission.QueuedStatement
	work  time.Duration
	organ int
}

// arrivals draws the statements of a load.
func (l load) arrivals(seed uint64) []arrival {
	r := rand.New(rand.NewPCG(seed, 1))
	var all []arrival
	perSecond := l.factor * slots / meanWork.Seconds()
	weights := l.hot + organisations - 1
	for at := 0.0; at < length.Seconds(); at += r.ExpFloat64() / perSecond {
		a := arrival{work: workTime(r)}
		if pick := r.Float64() * weights; pick > l.hot {
			a.organ = 1 + int(pick-l.hot)
		}
		a.Organisation = string(rune('a' + a.organ))
		a.Arrived = time.Duration(at * float64(time.Second))
		if r.Float64() >= l.urgent {
			a.Priority = 1
		}
		all = append(all, a)
	}
	return all
}

// workTime draws a skewed time with the mean meanWork.
func workTime(r *rand.Rand) time.Duration {
	const spread = 0.7
	return time.Duration(float64(meanWork) * math.Exp(spread*r.NormFloat64()-spread*spread/2))
}

// policy says what becomes of the waiting statements.
type policy func(waiting []arrival, now time.Duration, shares admission.RecentAdmissions) (next int, refused []int)

// firstCome runs statements in the order of their arrival and refuses none.
func firstCome([]arrival, time.Duration, admission.RecentAdmissions) (int, []int) { return 0, nil }

// fixedLimit is firstCome that refuses what does not fit into a queue of 24.
func fixedLimit(waiting []arrival, _ time.Duration, _ admission.RecentAdmissions) (int, []int) {
	const queue = 24
	var refused []int
	for i := queue; i < len(waiting); i++ {
		refused = append(refused, i)
	}
	return 0, refused
}

// admitted is the policy of the product.
func admitted(waiting []arrival, now time.Duration, shares admission.RecentAdmissions) (int, []int) {
	entries := make([]admission.QueuedStatement, len(waiting))
	for i, a := range waiting {
		entries[i] = a.QueuedStatement
	}
	order := admission.Order(entries, shares)
	server := admission.Server{Slots: slots, ServiceTime: meanWork}
	var refused []int
	ahead, next := 0, -1
	for _, i := range order {
		if _, isRefused := admission.Decide(server, ahead, now-waiting[i].Arrived, patience).(admission.Refused); isRefused {
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

// result counts what became of a load.
type result struct {
	asked, inAim, urgentAsked, urgentInAim int
	askedBy, inAimBy                       [organisations]int
	// refusedAfter holds how long refused statements had waited.
	refusedAfter []time.Duration
}

func (r result) share() float64       { return float64(r.inAim) / float64(r.asked) }
func (r result) urgentShare() float64 { return float64(r.urgentInAim) / float64(r.urgentAsked) }

// worst returns the share of the worst-served organisation but the first.
func (r result) worst() float64 {
	worst := 1.0
	for i := 1; i < organisations; i++ {
		worst = min(worst, float64(r.inAimBy[i])/float64(r.askedBy[i]))
	}
	return worst
}

func (r *result) served(a arrival, at time.Duration) {
	if at-a.Arrived > aim {
		return
	}
	r.inAim++
	r.inAimBy[a.organ]++
	if a.Priority == 0 {
		r.urgentInAim++
	}
}

// replay plays a load against a server and returns what became of it.
func replay(l load, seed uint64, p policy) result {
	var r result
	var free [slots]time.Duration
	var waiting []arrival
	var shares admission.RecentAdmissions
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
			next, refused := p(waiting, now, shares)
			for _, i := range refused {
				r.refusedAfter = append(r.refusedAfter, now-waiting[i].Arrived)
			}
			if next >= 0 {
				a := waiting[next]
				shares = shares.WithAdmission(a.Organisation, now)
				if now-a.Arrived < giveUp {
					free[slot] = now + a.work
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
		r.asked++
		r.askedBy[a.organ]++
		if a.Priority == 0 {
			r.urgentAsked++
		}
		waiting = append(waiting, a)
	}
	run(length + giveUp)
	return r
}

// Guards against a queue that makes everybody late when more arrives than a server can run: a group whose replicas all lag
// (scale-1 of Umubyeyi) leaves its reads to one server.
func TestOverload(t *testing.T) {
	for seed := range uint64(5) {
		l := load{factor: 1.6, hot: 1, urgent: 0.2}
		ours, first, fixed := replay(l, seed, admitted), replay(l, seed, firstCome), replay(l, seed, fixedLimit)
		t.Logf("in time: %.3f; first come %.3f; queue of 24 %.3f", ours.share(), first.share(), fixed.share())
		require.Greater(t, ours.share(), 0.9/l.factor, "nine tenths of what the slots can run")
		require.Greater(t, ours.share(), first.share()+0.3)
		require.GreaterOrEqual(t, ours.share(), fixed.share()-0.02)
		t.Run("urgent statements are served", func(t *testing.T) {
			require.Greater(t, ours.urgentShare(), 0.99)
			require.Greater(t, ours.urgentShare(), fixed.urgentShare()+0.1)
		})
		t.Run("whoever is refused is refused early", func(t *testing.T) {
			slices.Sort(ours.refusedAfter)
			require.LessOrEqual(t, ours.refusedAfter[len(ours.refusedAfter)/2], patience)
		})
	}
}

// Guards against organisations that wait for one that sends many times what they do (hot_tenant).
func TestHotOrganisation(t *testing.T) {
	for seed := range uint64(5) {
		l := load{factor: 1.8, hot: 12}
		ours, fixed := replay(l, seed, admitted), replay(l, seed, fixedLimit)
		t.Logf("worst other organisation in time: %.3f; queue of 24 %.3f", ours.worst(), fixed.worst())
		require.Greater(t, ours.worst(), 0.97)
		require.Greater(t, ours.worst(), fixed.worst()+0.2)
	}
}

// Guards against refusals while a server has room.
func TestLightLoad(t *testing.T) {
	for seed := range uint64(5) {
		ours := replay(load{factor: 0.6, hot: 1}, seed, admitted)
		require.LessOrEqual(t, float64(len(ours.refusedAfter)), float64(ours.asked)/1000, "only rare bursts are too long")
		require.Greater(t, ours.share(), 0.999)
	}
}
