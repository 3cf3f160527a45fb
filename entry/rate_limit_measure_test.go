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

var measureAll = flag.Bool("measure", false, "measure all fleet sizes and loads; takes minutes")

// tenants are the organisations of the measurement.
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

// traffic determines at which members an organisation's statements arrive, and how many.
type traffic interface{ traffic() }

// balanced traffic arrives at a random member.
type balanced struct{}

// single traffic of an organisation always arrives at the same member.
type single struct{}

// moving traffic of an organisation arrives at one member, and moves to the next after each period.
type moving struct{ every time.Duration }

// excessive traffic is balanced, but the first organisation sends a multiple of its normal load.
type excessive struct{ factor float64 }

func (balanced) traffic()  {}
func (single) traffic()    {}
func (moving) traffic()    {}
func (excessive) traffic() {}

func targetMember(kind traffic, org int, now time.Duration, random *rand.Rand, n int) int {
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
	if e, ok := kind.(excessive); ok && org == 0 {
		return e.factor
	}
	return 1
}

// result holds the measurements of one run.
type result struct {
	// admissible counts the statements that a single bucket would have admitted, wronglyRefused those of them that were
	// refused.
	admissible, wronglyRefused int
	// worstRefused is the greatest refused fraction of an organisation's admissible statements, among the organisations that
	// keep to their rate.
	worstRefused           float64
	overshoot              float64
	reads, writes, watches float64
}

// variant is a policy, with or without homes and coordinators.
type variant struct {
	policy                    allotment.Policy
	useHomes, useCoordinators bool
}

func (v variant) name() string {
	name := policyName(v.policy)
	if v.useHomes {
		name += " with homes"
	}
	if v.useCoordinators {
		name += " with coordinators"
	}
	return name
}

// tenantsForSize returns the organisations for a fleet of n instances. In a large fleet their limits and loads are four
// times as great.
func tenantsForSize(n int) []document.Organisation {
	if n < 64 {
		return tenants
	}
	large := slices.Clone(tenants)
	for i := range large {
		large[i].Rate, large[i].Burst = 4*large[i].Rate, 4*large[i].Burst
	}
	return large
}

// dataCentresForSize returns the number of data centres of a fleet of n instances.
func dataCentresForSize(n int) int {
	if n < 64 {
		return 1
	}
	return 4
}

// measure runs traffic at a fraction of each organisation's rate, with random (Poisson) arrivals.
func measure(t *testing.T, n int, v variant, kind traffic, fraction float64, d time.Duration) result {
	var r result
	tenants := tenantsForSize(n)
	synctest.Test(t, func(t *testing.T) {
		doc := document.Document{Revision: 1, MaxFallbackHolders: 32}
		for _, o := range tenants {
			doc = doc.WithOrganisation(o)
		}
		c := newLimitCluster(t, 0, doc, v.policy)
		c.useHomes, c.useCoordinators, c.dataCentres = v.useHomes, v.useCoordinators, dataCentresForSize(n)
		for range n {
			c.addMember()
		}
		defer c.stopAll()
		random := rand.New(rand.NewPCG(1, 2))
		references := make([]referenceBucket, len(tenants))
		for i, o := range tenants {
			references[i] = referenceBucket{rate: o.Rate, burst: o.Burst, tokens: o.Burst}
		}
		const step = time.Millisecond
		for c.clock.Now() < rateWarmUp+d {
			if c.clock.Now() == rateWarmUp {
				c.resetCounts()
			}
			for i, o := range tenants {
				rate := o.Rate * fraction * rateFactor(kind, i)
				for k := poisson(random, rate*step.Seconds()); k > 0; k-- {
					m := c.members[targetMember(kind, i, c.clock.Now(), random, n)]
					c.sendCounted(m, "rate/"+o.Name, references[i].take(c.clock.Now()))
				}
			}
			c.advance(step)
		}
		seconds := d.Seconds()
		r = c.result(kind)
		counts := c.store.Counters()
		r.reads, r.writes = float64(counts.Reads)/seconds, float64(counts.Writes)/seconds
		r.watches = float64(counts.Watches) / seconds
		c.advance(time.Second)
	})
	return r
}

// rateWarmUp is the time excluded from the counts, because all traffic starts at once in it, unlike in a real fleet.
const rateWarmUp = 10 * time.Second

func (c *limitCluster) resetCounts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.admissible)
	clear(c.wronglyRefused)
	c.store.ResetCounters()
}

func (c *limitCluster) result(kind traffic) result {
	c.mu.Lock()
	defer c.mu.Unlock()
	var r result
	for i, o := range tenantsForSize(len(c.members)) {
		name := "rate/" + o.Name
		r.overshoot = max(r.overshoot, overshoot(c.admitted[name], o.Rate, o.Burst))
		if rateFactor(kind, i) != 1 {
			continue
		}
		r.admissible += c.admissible[name]
		r.wronglyRefused += c.wronglyRefused[name]
		if *measureAll {
			c.t.Logf("%s: %d of %d", name, c.wronglyRefused[name], c.admissible[name])
		}
		r.worstRefused = max(r.worstRefused, float64(c.wronglyRefused[name])/float64(max(c.admissible[name], 1)))
	}
	return r
}

// referenceBucket is a single token bucket for the whole fleet.
type referenceBucket struct {
	rate, burst, tokens float64
	refilledAt          time.Duration
}

func (r *referenceBucket) take(now time.Duration) bool {
	r.tokens = min(r.burst, r.tokens+r.rate*(now-r.refilledAt).Seconds())
	r.refilledAt = now
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

// Guards against overshoot under each policy that shares a limit, and logs refusals and store calls. With -measure it prints
// the table of docs/allotments.md.
func TestMeasureRateLimits(t *testing.T) {
	t.Parallel()
	kinds := []struct {
		name string
		kind traffic
	}{
		{"balanced", balanced{}},
		{"one instance", single{}},
		{"moving", moving{every: 10 * time.Second}},
		{"one sends 8x", excessive{factor: 8 / 0.8}},
	}
	sizes, duration := []int{4}, 15*time.Second
	if *measureAll {
		sizes, duration = []int{4, 8, 16, 19, 32, 64}, 60*time.Second
	}
	for _, n := range sizes {
		for _, k := range kinds {
			for _, v := range []variant{
				{policy: allotment.ByDemand{}, useHomes: true, useCoordinators: true},
				{policy: allotment.ByDemand{}, useHomes: true},
				{policy: allotment.ByDemand{}},
				{policy: allotment.EqualSplit{Holders: n}},
				{policy: allotment.Unshared{}},
			} {
				p, name := v.policy, v.name()
				t.Run(fmt.Sprintf("%d %s %s", n, k.name, name), func(t *testing.T) {
					t.Parallel()
					r := measure(t, n, v, k.kind, 0.8, duration)
					t.Logf("| %d | %s | %s | %.2f %% | %.1f %% | %.0f | %.1f | %.1f | %.1f |", n, k.name, name,
						100*float64(r.wronglyRefused)/float64(r.admissible), 100*r.worstRefused, r.overshoot, r.reads, r.writes, r.watches)
					if _, unshared := p.(allotment.Unshared); !unshared {
						require.LessOrEqual(t, r.overshoot, 1e-6)
					}
				})
			}
		}
	}
}
