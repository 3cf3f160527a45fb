package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// demandMemory is the time constant with which past statements of an organisation decay. Among 71 organisations a
	// small one sends a server a statement every few seconds, and a few of them have to be remembered to tell it from one
	// that has left.
	demandMemory = 20 * time.Second
	// initialHold is the assumed time for which an organisation that has released no connection yet uses one.
	initialHold = 20 * time.Millisecond
	// holdWeight is the divisor of a new sample in the moving average of that time.
	holdWeight = 8
	// minRecent is the decayed number of statements below which an organisation is forgotten.
	minRecent = 0.05
	// maxTracked bounds the organisations that are remembered for a server. It is several times the connections that a
	// server accepts, so the forgotten ones would have had none anyway.
	maxTracked = 512
)

// Demand estimates from recent statements how many connections to a server each organisation needs. It is immutable; the
// zero value has seen no statement.
type Demand struct {
	// seen is sorted by name.
	seen []organisationDemand
}

type organisationDemand struct {
	name string
	// recent is the number of statements up to at, with exponential decay.
	recent float64
	at     time.Duration
	hold   time.Duration
}

func (o organisationDemand) recentAt(now time.Duration) float64 {
	return o.recent * math.Exp(-float64(max(now-o.at, 0))/float64(demandMemory))
}

func (d Demand) find(organisation string) (int, bool) {
	return slices.BinarySearchFunc(d.seen, organisation, func(o organisationDemand, name string) int {
		return cmp.Compare(o.name, name)
	})
}

// WithStatement returns the demand after a statement or transaction of the organisation used the server at now.
func (d Demand) WithStatement(organisation string, now time.Duration) Demand {
	i, found := d.find(organisation)
	if !found {
		d = d.withoutForgotten(now)
		i, _ = d.find(organisation)
		d.seen = slices.Insert(d.seen, i, organisationDemand{name: organisation, at: now, hold: initialHold})
	} else {
		d.seen = slices.Clone(d.seen)
	}
	o := &d.seen[i]
	o.recent, o.at = o.recentAt(now)+1, now
	return d
}

// withoutForgotten returns a copy without the organisations that have sent nothing for long, and with room for another.
func (d Demand) withoutForgotten(now time.Duration) Demand {
	kept := make([]organisationDemand, 0, len(d.seen)+1)
	least := 0
	for _, o := range d.seen {
		if o.recentAt(now) < minRecent {
			continue
		}
		kept = append(kept, o)
		if o.recentAt(now) < kept[least].recentAt(now) {
			least = len(kept) - 1
		}
	}
	if len(kept) >= maxTracked {
		kept = slices.Delete(kept, least, least+1)
	}
	return Demand{seen: kept}
}

// WithRelease returns the demand after the organisation has used a connection for the given time.
func (d Demand) WithRelease(organisation string, held time.Duration) Demand {
	i, found := d.find(organisation)
	if !found {
		return d
	}
	d.seen = slices.Clone(d.seen)
	d.seen[i].hold += (held - d.seen[i].hold) / holdWeight
	return d
}

// Hold returns the mean time for which the organisation uses a connection.
func (d Demand) Hold(organisation string) time.Duration {
	if i, found := d.find(organisation); found {
		return d.seen[i].hold
	}
	return initialHold
}

// Value returns how many statements per second of the organisation need its nth connection, that is, find the others in
// use. It assumes random arrivals, so that the number in use has a Poisson distribution.
func (d Demand) Value(organisation string, n int, now time.Duration) float64 {
	i, found := d.find(organisation)
	if !found {
		return 0
	}
	rate := d.seen[i].recentAt(now) / demandMemory.Seconds()
	return rate * poissonTail(rate*d.seen[i].hold.Seconds(), n-1)
}

// poissonTail returns the probability that a Poisson variable of the mean is at least k.
func poissonTail(mean float64, k int) float64 {
	below, term := 0.0, math.Exp(-mean)
	for i := range k {
		below += term
		term *= mean / float64(i+1)
	}
	return max(1-below, 0)
}
