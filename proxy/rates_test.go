package proxy_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/proxy"
)

const (
	rateInstances = 19
	ratePerSecond = 128
	rateBurst     = 128
	rateWindow    = 5 * time.Second
	rateOver      = 0.1
	rateSlack     = 20
	// rateStep is the time between two looks at the callers, and told how long demand travels.
	rateStep = 20 * time.Millisecond
	told     = time.Second
)

// staticRules is a document that never changes.
type staticRules struct{ index document.Index }

// Rules returns the document.
func (r staticRules) Rules() (document.Index, bool) { return r.index, true }

// rateFleet is a number of instances whose callers ask for one organisation's operations.
type rateFleet struct {
	timer    *clock.Fake
	random   *rand.Rand
	rates    []*proxy.SharedRates
	weights  []float64
	admitted []time.Duration
	asked    int
}

func newRateFleet(seed uint64) *rateFleet {
	f := &rateFleet{timer: &clock.Fake{}, random: rand.New(rand.NewPCG(seed, 1))}
	total := 0.0
	for range rateInstances {
		f.rates = append(f.rates, f.newRates())
		// Callers are spread unevenly: some instances have three times the mean, some have none.
		w := f.random.Float64() * f.random.Float64() * 3
		f.weights = append(f.weights, w)
		total += w
	}
	for i := range f.weights {
		f.weights[i] /= total
	}
	return f
}

func (f *rateFleet) newRates() *proxy.SharedRates {
	rules := staticRules{document.NewIndex(document.Document{
		Revision: 1, Organisations: []document.Organisation{{Name: testOrg, Rate: ratePerSecond, Burst: rateBurst}},
	})}
	return proxy.NewSharedRates(f.timer, rules, func() int { return rateInstances }, proxy.Tolerance{
		Window: rateWindow, Over: rateOver, Slack: rateSlack,
	})
}

// run lets callers ask for operations at the rate, and demand travel between the instances.
func (f *rateFleet) run(perSecond float64, d time.Duration) {
	for end := f.timer.Now() + d; f.timer.Now() < end; f.timer.Advance(rateStep) {
		for i, r := range f.rates {
			mean := perSecond * f.weights[i] * rateStep.Seconds()
			for n := f.poisson(mean); n > 0; n-- {
				f.asked++
				if r.Take(testOrg) == nil {
					f.admitted = append(f.admitted, f.timer.Now())
				}
			}
		}
		if f.timer.Now()%told == 0 {
			f.tell()
		}
	}
}

func (f *rateFleet) tell() {
	totals := make(proxy.Demand)
	demands := make([]proxy.Demand, len(f.rates))
	for i, r := range f.rates {
		demands[i] = r.Demand()
		totals[testOrg] += demands[i][testOrg]
	}
	for i, r := range f.rates {
		r.SetTotals(totals, demands[i])
	}
}

func (f *rateFleet) poisson(mean float64) int {
	n := 0
	for sum := f.random.ExpFloat64(); sum < mean; sum += f.random.ExpFloat64() {
		n++
	}
	return n
}

// restart replaces all instances by new ones that know nothing.
func (f *rateFleet) restart(down time.Duration) {
	f.timer.Advance(down)
	for i := range f.rates {
		f.rates[i] = f.newRates()
	}
}

// requireWindows fails when more operations were admitted in a window than the platform tolerates.
func (f *rateFleet) requireWindows(t *testing.T) {
	t.Helper()
	most := int((ratePerSecond*rateWindow.Seconds()+rateBurst)*(1+rateOver) + rateSlack)
	first := 0
	for last := range f.admitted {
		for f.admitted[last]-f.admitted[first] >= rateWindow {
			first++
		}
		require.LessOrEqual(t, last-first+1, most, "in the window from %s", f.admitted[first])
	}
}

// Guards against an organisation that gets more than its rate and burst, and against refusals inside them.
func TestSharedRates(t *testing.T) {
	for seed := range uint64(5) {
		t.Run("a steady organisation is not refused", func(t *testing.T) {
			f := newRateFleet(seed)
			f.run(ratePerSecond*0.6, 10*time.Second)
			f.asked, f.admitted = 0, nil
			f.run(ratePerSecond*0.6, 30*time.Second)
			refused := float64(f.asked-len(f.admitted)) / float64(f.asked)
			t.Logf("refused inside the rate: %.4f", refused)
			require.Less(t, refused, 0.02)
			f.requireWindows(t)
		})
		t.Run("an organisation that asks for eight times its rate is held", func(t *testing.T) {
			f := newRateFleet(seed)
			f.run(ratePerSecond*0.6, 10*time.Second)
			f.run(ratePerSecond*8, 10*time.Second)
			f.run(ratePerSecond*0.6, 10*time.Second)
			f.requireWindows(t)
		})
		t.Run("callers of a busy organisation move between instances", func(t *testing.T) {
			f := newRateFleet(seed)
			f.run(ratePerSecond*0.6, 10*time.Second)
			for range 8 {
				f.run(ratePerSecond*8, 3*time.Second)
				f.weights = append(f.weights[4:], f.weights[:4]...)
			}
			f.requireWindows(t)
		})
		t.Run("a fleet that starts anew does not give the rate out again", func(t *testing.T) {
			f := newRateFleet(seed)
			f.run(ratePerSecond*0.6, 10*time.Second)
			for range 4 {
				f.restart(time.Second)
				f.run(ratePerSecond, 3*time.Second)
			}
			f.requireWindows(t)
		})
	}
}
