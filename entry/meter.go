package entry

import (
	"math"
	"time"

	"github.com/rhubarbwick/rhubarbwick/allotment"
)

const (
	// meterSlot is the period over which demand is counted, meterSlots how many count as new.
	meterSlot  = 100 * time.Millisecond
	meterSlots = 5
	// meterWeight is the part of a slot in the mean, which follows a change by half in 1.4 s.
	meterWeight = 0.05
	// maxMeterSteps is how many slots without demand make the mean zero.
	maxMeterSteps = 300
)

// meter counts demand in slots.
type meter struct {
	start  time.Duration
	last   time.Duration
	any    bool
	counts [meterSlots]int
	// mean is the mean demand in statements a second.
	mean float64
}

func (m *meter) count(now time.Duration) { m.add(now, 1) }

func (m *meter) add(now time.Duration, n int) {
	m.roll(now)
	m.counts[0] += n
	m.last, m.any = now, true
}

func (m *meter) roll(now time.Duration) {
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

// demand returns the mean, moved to where the newest slots leave no doubt that it has changed.
func (m *meter) demand(now time.Duration) allotment.Demand {
	m.roll(now)
	n := 0
	for _, c := range m.counts {
		n += c
	}
	span := (meterSlots * meterSlot).Seconds()
	deviation := 2 * math.Sqrt(float64(n)+1)
	low, high := (float64(n)-deviation)/span, (float64(n)+deviation)/span
	idle := now - m.last
	if !m.any {
		idle = now
	}
	return allotment.Demand{
		Rate: allotment.ToStatements(min(max(m.mean, low), high)),
		Idle: idle,
	}
}
