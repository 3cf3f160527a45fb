package entry

import (
	"math"
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
)

const (
	// meterSlot is the period over which demand is counted. The last meterSlots periods bound the estimate.
	meterSlot  = 100 * time.Millisecond
	meterSlots = 5
	// meterWeight is the weight of a slot in the moving average, which follows half of a change in 1.4 s.
	meterWeight = 0.05
	// maxMeterSteps is the number of slots without demand after which the mean is set to zero.
	maxMeterSteps = 300
)

// meter estimates demand as an exponentially weighted moving average of the counts in slots of time.
type meter struct {
	start     time.Duration
	last      time.Duration
	hasCounts bool
	counts    [meterSlots]int
	// mean is the moving average in statements per second.
	mean float64
}

func (m *meter) count(now time.Duration) { m.add(now, 1) }

func (m *meter) add(now time.Duration, n int) {
	m.advance(now)
	m.counts[0] += n
	m.last, m.hasCounts = now, true
}

func (m *meter) advance(now time.Duration) {
	for steps := 0; now-m.start >= meterSlot; steps++ {
		if steps > maxMeterSteps {
			m.start, m.mean = now, 0
			break
		}
		m.mean += meterWeight * (float64(m.counts[0])/meterSlot.Seconds() - m.mean)
		copy(m.counts[1:], m.counts[:meterSlots-1])
		m.counts[0] = 0
		m.start += meterSlot
	}
}

// demand returns the mean, bounded to within two standard deviations of the rate in the newest slots, so that it follows
// a sudden change at once.
func (m *meter) demand(now time.Duration) allotment.Demand {
	m.advance(now)
	n := 0
	for _, c := range m.counts {
		n += c
	}
	span := (meterSlots * meterSlot).Seconds()
	deviation := 2 * math.Sqrt(float64(n)+1)
	low, high := (float64(n)-deviation)/span, (float64(n)+deviation)/span
	idle := now - m.last
	if !m.hasCounts {
		idle = now
	}
	return allotment.Demand{
		Rate: allotment.ToStatements(min(max(m.mean, low), high)),
		Idle: idle,
	}
}
