package fleet

import (
	"math"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	fleetv1 "github.com/rhubarbwick/rhubarbwick/gen/rhubarbwick/fleet/v1"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/proxy"
)

func encodeSpillRoute(m *fleetv1.LoanTerms, r proxy.SpillRoute) {
	switch r := r.(type) {
	case proxy.SpillOffer:
		m.Spill = &fleetv1.LoanTerms_Offer{Offer: &fleetv1.SpillOffer{Bytes: uint64(max(r.Bytes, 0))}}
	case proxy.SpillAway:
		m.Spill = &fleetv1.LoanTerms_Away{Away: encodeSpillAway(r)}
	case proxy.SpillReturned:
		m.Spill = &fleetv1.LoanTerms_Returned{Returned: &fleetv1.SpillReturned{Server: r.Server, Load: encodePoolLoad(r.Load), Lost: r.Lost}}
	}
}

// decodeSpillRoute returns nil for a statement without a route, which includes all of an earlier version.
func decodeSpillRoute(m *fleetv1.LoanTerms) proxy.SpillRoute {
	switch r := m.GetSpill().(type) {
	case *fleetv1.LoanTerms_Offer:
		return proxy.SpillOffer{Bytes: int(min(r.Offer.GetBytes(), math.MaxInt32))}
	case *fleetv1.LoanTerms_Away:
		return decodeSpillAway(r.Away)
	case *fleetv1.LoanTerms_Returned:
		return proxy.SpillReturned{Server: r.Returned.GetServer(), Load: decodePoolLoad(r.Returned.GetLoad()), Lost: r.Returned.GetLost()}
	default:
		return nil
	}
}

func encodeSpillAway(a proxy.SpillAway) *fleetv1.SpillAway {
	return &fleetv1.SpillAway{Server: a.Server, MaxWaitUs: encodeMicroseconds(a.MaxWait)}
}

func decodeSpillAway(m *fleetv1.SpillAway) proxy.SpillAway {
	return proxy.SpillAway{Server: m.GetServer(), MaxWait: microseconds(m.GetMaxWaitUs())}
}

func encodeSpillRefusal(r *proxy.SpillRefusal) *fleetv1.SpillRefusal {
	if r == nil {
		return nil
	}
	m := &fleetv1.SpillRefusal{Load: encodePoolLoad(r.Load)}
	if r.Advice.Server != "" {
		m.Advice = encodeSpillAway(r.Advice)
	}
	return m
}

func decodeRefusal(m *fleetv1.LoanRefusal) proxy.LoanRefusal {
	r := proxy.LoanRefusal{Kind: port.Kind(m.GetKind()), Text: m.GetText(), OwnerUnavailable: m.GetClosed()}
	if spill := m.GetSpill(); spill != nil {
		r.Spill = &proxy.SpillRefusal{Load: decodePoolLoad(spill.GetLoad()), Advice: decodeSpillAway(spill.GetAdvice())}
	}
	return r
}

func encodePoolLoad(l dispatch.PoolLoad) *fleetv1.PoolLoad {
	if !l.IsKnown() {
		return nil
	}
	return &fleetv1.PoolLoad{WaitUs: encodeMicroseconds(l.Wait), RunUs: encodeMicroseconds(l.RunTime)}
}

func decodePoolLoad(m *fleetv1.PoolLoad) dispatch.PoolLoad {
	return dispatch.PoolLoad{Wait: microseconds(m.GetWaitUs()), RunTime: microseconds(m.GetRunUs())}
}

// encodeMicroseconds rounds up, so that a short time does not become unknown.
func encodeMicroseconds(d time.Duration) uint64 {
	return uint64((max(d, 0) + time.Microsecond - 1) / time.Microsecond)
}

// microseconds limits the time to an hour, so that no value of another instance overflows.
func microseconds(n uint64) time.Duration {
	return time.Duration(min(n, uint64(time.Hour/time.Microsecond))) * time.Microsecond
}
