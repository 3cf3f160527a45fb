package proxy_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
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

// rateFleet is a number of instances whose callers ask for one organisation's operations. It is the way to the reserves.
type rateFleet struct {
	timer *clock.Fake
	// organisation is asked for, and instances says how many instances there are.
	organisation document.Organisation
	instances    int
	// reserves are empty in a fleet without reserves. silent holds the instances that do not answer.
	reserves []*proxy.RateReserve
	silent   map[string]bool
	listed   proxy.Snapshot
	random   *rand.Rand
	rates    []*proxy.SharedRates
	weights  []float64
	admitted []time.Duration
	asked    int
}

func newRateFleet(seed uint64) *rateFleet {
	return newFleetOf(seed, rateInstances, document.Organisation{Name: testOrg, Rate: ratePerSecond, Burst: rateBurst}, false)
}

func newFleetOf(seed uint64, n int, o document.Organisation, withReserves bool) *rateFleet {
	f := &rateFleet{
		timer: &clock.Fake{}, random: rand.New(rand.NewPCG(seed, 1)), organisation: o, instances: n, silent: make(map[string]bool),
	}
	total := 0.0
	for i := range n {
		// Callers are spread unevenly: some instances have three times the mean, some have none.
		w := f.random.Float64() * f.random.Float64() * 3
		f.weights = append(f.weights, w)
		total += w
		f.rates = append(f.rates, nil)
		if withReserves {
			f.reserves = append(f.reserves, nil)
		}
		f.startOne(i)
	}
	for i := range f.weights {
		f.weights[i] /= total
	}
	return f
}

// startOne replaces an instance by a new one that knows nothing.
func (f *rateFleet) startOne(i int) {
	rules := staticRules{document.NewIndex(document.Document{
		Revision: 1, Organisations: []document.Organisation{f.organisation},
	})}
	tolerance := proxy.Tolerance{Window: rateWindow, Over: rateOver, Slack: rateSlack}
	f.rates[i] = proxy.NewSharedRates(f.timer, rules, func() int { return f.instances }, tolerance)
	if len(f.reserves) == 0 {
		return
	}
	f.reserves[i] = proxy.NewRateReserve(proxy.RateReserveConfig{
		Self: f.member(i), Timer: f.timer, Rules: rules, Records: f.records, Tolerance: tolerance,
	})
	f.rates[i] = f.rates[i].WithReserve(f.reserves[i], f)
}

// member is an instance in one of four data centres.
func (f *rateFleet) member(i int) proxy.Member {
	name := strconv.Itoa(i)
	return proxy.Member{Name: name, Incarnation: name, Address: name, DataCentre: strconv.Itoa(i % 4)}
}

func (f *rateFleet) records() (proxy.Snapshot, bool) {
	if len(f.listed.Members) == 0 {
		var objects []port.Object
		for i := range f.instances {
			data, _ := json.Marshal(f.member(i))
			objects = append(objects, port.Object{Name: "instance/" + strconv.Itoa(i), Version: port.Version(i + 1), Data: data})
		}
		f.listed = proxy.NewSnapshot(objects, 0)
	}
	return f.listed.WithReadAt(f.timer.Now()), true
}

// TakeRate takes from an instance's reserve.
func (f *rateFleet) TakeRate(_ context.Context, lender proxy.Member, organisation string) (bool, error) {
	if f.silent[lender.Name] {
		return false, port.Failf(port.Unavailable, "no answer")
	}
	i, err := strconv.Atoi(lender.Name)
	if err != nil {
		return false, err
	}
	return f.reserves[i].Lend(organisation), nil
}

// run lets callers ask for operations at the rate, and demand travel between the instances.
func (f *rateFleet) run(perSecond float64, d time.Duration) {
	for end := f.timer.Now() + d; f.timer.Now() < end; f.timer.Advance(rateStep) {
		for i, r := range f.rates {
			mean := perSecond * f.weights[i] * rateStep.Seconds()
			for n := f.poisson(mean); n > 0; n-- {
				f.asked++
				if r.Take(context.Background(), testOrg) == nil {
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
		f.startOne(i)
	}
}

// requireWindows fails when more operations were admitted in a window than the platform tolerates.
func (f *rateFleet) requireWindows(t *testing.T) {
	t.Helper()
	o := f.organisation
	most := int((o.Rate*rateWindow.Seconds()+o.Burst)*(1+rateOver) + rateSlack)
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

// Guards against a small organisation that is refused far inside its rate because its part at each of many instances is
// below one operation (grown Umubyeyi: one refusal in twenty on a calm day), and against parts that add up to more than
// the rate.
func TestRateReserves(t *testing.T) {
	const many = 48
	small := document.Organisation{Name: testOrg, Rate: 6, Burst: 6}
	large := document.Organisation{Name: testOrg, Rate: 60, Burst: 60}
	for seed := range uint64(3) {
		t.Run("a small organisation is not refused inside its rate", func(t *testing.T) {
			f := newFleetOf(seed, many, small, true)
			f.run(small.Rate*0.6, 10*time.Second)
			f.asked, f.admitted = 0, nil
			f.run(small.Rate*0.6, 20*time.Second)
			refused := float64(f.asked-len(f.admitted)) / float64(f.asked)
			t.Logf("refused inside the rate: %.4f", refused)
			require.Less(t, refused, 0.02)
		})
		t.Run("nor while the reserve of a data centre is silent", func(t *testing.T) {
			f := newFleetOf(seed, many, large, true)
			f.run(large.Rate*0.6, 10*time.Second)
			f.silent[f.reserves[0].Homes(testOrg)[0].Name] = true
			f.asked, f.admitted = 0, nil
			f.run(large.Rate*0.6, 10*time.Second)
			require.Less(t, float64(f.asked-len(f.admitted))/float64(f.asked), 0.02)
		})
		for _, o := range []document.Organisation{small, large} {
			t.Run("one that asks for eight times its rate is held", func(t *testing.T) {
				f := newFleetOf(seed, many, o, true)
				f.run(o.Rate*0.6, 10*time.Second)
				f.admitted = nil
				f.run(o.Rate*8, 10*time.Second)
				f.requireWindows(t)
				require.Greater(t, float64(len(f.admitted)), 0.85*o.Rate*10, "and gets its rate")
			})
		}
	}
}
