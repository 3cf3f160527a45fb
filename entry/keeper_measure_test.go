package entry_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/document"
)

var measureFull = flag.Bool("measure", false, "measure all keepers sizes and loads; takes minutes")

// tenants are the eight organisations of the measurement: name, statements a second, burst.
var tenants = []document.Organisation{
	{Name: "large-1", Rate: 200, Burst: 200},
	{Name: "large-2", Rate: 150, Burst: 150},
	{Name: "large-3", Rate: 100, Burst: 100},
	{Name: "small-1", Rate: 40, Burst: 40},
	{Name: "small-2", Rate: 30, Burst: 40},
	{Name: "small-3", Rate: 20, Burst: 30},
	{Name: "small-4", Rate: 20, Burst: 20},
	{Name: "small-5", Rate: 10, Burst: 20},
}

// traffic says at which member an organisation's n-th statement arrives, and how often.
type traffic interface{ traffic() }

// balanced traffic arrives at each member alike.
type balanced struct{}

// single traffic arrives at one member for each organisation.
type single struct{}

// moving traffic goes from one member to the next.
type moving struct{ every time.Duration }

// greedy traffic is balanced, and the first organisation sends several times its rate.
type greedy struct{ times float64 }

func (balanced) traffic() {}
func (single) traffic()   {}
func (moving) traffic()   {}
func (greedy) traffic()   {}

func placeTraffic(kind traffic, org int, now time.Duration, random *rand.Rand, n int) int {
	switch k := kind.(type) {
	case single:
		return org % n
	case moving:
		return (org + int(now/k.every)) % n
	default:
		return random.IntN(n)
	}
}

func rateFactor(kind traffic, org int) float64 {
	if g, ok := kind.(greedy); ok && org == 0 {
		return g.times
	}
	return 1
}

// result is what one run measured.
type result struct {
	// inside counts the statements that a limiter with one bucket would have admitted, wrong those of them that
	// were refused.
	inside, wrong int
	// worst is the greatest part of an organisation's inside statements that was refused, among those that keep
	// their rate.
	worst                  float64
	overshoot              float64
	reads, writes, watches float64
}

// variant is a policy with the parts that take statements at other instances.
type variant struct {
	policy          allotment.Policy
	homes, stewards bool
}

func (v variant) name() string {
	name := policyName(v.policy)
	if v.homes {
		name += " with homes"
	}
	if v.stewards {
		name += " with stewards"
	}
	return name
}

// tenantsOf returns the organisations of a fleet of the size. Those of a large fleet send and may send four times as much.
func tenantsOf(n int) []document.Organisation {
	if n < 64 {
		return tenants
	}
	large := slices.Clone(tenants)
	for i := range large {
		large[i].Rate, large[i].Burst = 4*large[i].Rate, 4*large[i].Burst
	}
	return large
}

// dataCentresOf returns how many data centres a fleet of the size has in the measurement.
func dataCentresOf(n int) int {
	if n < 64 {
		return 1
	}
	return 4
}

// measure runs traffic at a part of each organisation's rate, with statements that arrive at random.
func measure(t *testing.T, n int, v variant, kind traffic, part float64, d time.Duration) result {
	var r result
	tenants := tenantsOf(n)
	synctest.Test(t, func(t *testing.T) {
		doc := document.Document{Revision: 1, MaxFallbackHolders: 32}
		for _, o := range tenants {
			doc = doc.WithOrganisation(o)
		}
		f := newKeepers(t, 0, doc, v.policy)
		f.useHomes, f.useStewards, f.dataCentres = v.homes, v.stewards, dataCentresOf(n)
		for range n {
			f.join()
		}
		defer f.finish()
		random := rand.New(rand.NewPCG(1, 2))
		references := make([]reference, len(tenants))
		for i, o := range tenants {
			references[i] = reference{rate: o.Rate, burst: o.Burst, tokens: o.Burst}
		}
		const step = time.Millisecond
		for f.clock.Now() < warmUp+d {
			if f.clock.Now() == warmUp {
				f.resetCounts()
			}
			for i, o := range tenants {
				rate := o.Rate * part * rateFactor(kind, i)
				for k := poisson(random, rate*step.Seconds()); k > 0; k-- {
					m := f.members[placeTraffic(kind, i, f.clock.Now(), random, n)]
					f.sendInside(m, "rate/"+o.Name, references[i].take(f.clock.Now()))
				}
			}
			f.advance(step)
		}
		seconds := d.Seconds()
		r = f.result(kind)
		counts := f.store.Counts()
		r.reads, r.writes = float64(counts.Reads)/seconds, float64(counts.Writes)/seconds
		r.watches = float64(counts.Watches) / seconds
		f.advance(time.Second)
	})
	return r
}

// warmUp is left out of the counts: all traffic begins at once in it, which is not how a keepers starts.
const warmUp = 10 * time.Second

func (f *keepers) resetCounts() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.inside)
	clear(f.wrong)
	f.store.ResetCounts()
}

func (f *keepers) result(kind traffic) result {
	f.mu.Lock()
	defer f.mu.Unlock()
	var r result
	for i, o := range tenantsOf(len(f.members)) {
		name := "rate/" + o.Name
		r.overshoot = max(r.overshoot, overshoot(f.admitted[name], o.Rate, o.Burst))
		if rateFactor(kind, i) != 1 {
			continue
		}
		r.inside += f.inside[name]
		r.wrong += f.wrong[name]
		if *measureFull {
			f.t.Logf("%s: %d of %d", name, f.wrong[name], f.inside[name])
		}
		r.worst = max(r.worst, float64(f.wrong[name])/float64(max(f.inside[name], 1)))
	}
	return r
}

// reference is one bucket for the whole keepers.
type reference struct {
	rate, burst, tokens float64
	at                  time.Duration
}

func (r *reference) take(now time.Duration) bool {
	r.tokens = min(r.burst, r.tokens+r.rate*(now-r.at).Seconds())
	r.at = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for at := random.ExpFloat64(); at < mean; at += random.ExpFloat64() {
		n++
	}
	return n
}

func policyName(p allotment.Policy) string {
	switch p.(type) {
	case allotment.EqualSplit:
		return "equal split"
	case allotment.Unshared:
		return "unshared"
	default:
		return "by demand"
	}
}

// Guards against a policy that refuses more than a static split, or that calls the store more often as its figures
// in docs/allotments.md say. With -measure it prints the table of that page.
func TestMeasureFleet(t *testing.T) {
	t.Parallel()
	kinds := []struct {
		name string
		kind traffic
	}{
		{"balanced", balanced{}},
		{"one instance", single{}},
		{"moving", moving{every: 10 * time.Second}},
		{"one sends 8x", greedy{times: 8 / 0.8}},
	}
	sizes, length := []int{4}, 15*time.Second
	if *measureFull {
		sizes, length = []int{4, 8, 16, 19, 32, 64}, 60*time.Second
	}
	for _, n := range sizes {
		for _, k := range kinds {
			for _, v := range []variant{
				{policy: allotment.ByDemand{}, homes: true, stewards: true},
				{policy: allotment.ByDemand{}, homes: true},
				{policy: allotment.ByDemand{}},
				{policy: allotment.EqualSplit{Holders: n}},
				{policy: allotment.Unshared{}},
			} {
				p, name := v.policy, v.name()
				t.Run(fmt.Sprintf("%d %s %s", n, k.name, name), func(t *testing.T) {
					t.Parallel()
					r := measure(t, n, v, k.kind, 0.8, length)
					t.Logf("| %d | %s | %s | %.2f %% | %.1f %% | %.0f | %.1f | %.1f | %.1f |", n, k.name, name,
						100*float64(r.wrong)/float64(r.inside), 100*r.worst, r.overshoot, r.reads, r.writes, r.watches)
					if _, unshared := p.(allotment.Unshared); !unshared {
						require.LessOrEqual(t, r.overshoot, 1e-6)
					}
				})
			}
		}
	}
}
