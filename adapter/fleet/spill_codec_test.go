package fleet

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	fleetv1 "github.com/rhubarbwick/rhubarbwick/gen/rhubarbwick/fleet/v1"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/proxy"
)

// Guards against a route that is lost or changed between instances, and against a message of an earlier version that is
// read as a route.
func TestSpillRoutes(t *testing.T) {
	load := dispatch.PoolLoad{Wait: 3 * time.Millisecond, RunTime: 1500 * time.Microsecond}
	for _, route := range []proxy.SpillRoute{
		nil,
		proxy.SpillOffer{Bytes: 700},
		proxy.SpillAway{Server: "i-1", MaxWait: time.Millisecond},
		proxy.SpillReturned{},
		proxy.SpillReturned{Server: "i-1", Load: load},
		proxy.SpillReturned{Server: "i-1", Lost: true},
	} {
		require.Equal(t, route, decodeTerms(encodeTerms(proxy.LoanTerms{Spill: route})).Spill)
	}
	require.Equal(t, dispatch.PoolLoad{}, decodePoolLoad(nil))
	require.Equal(t, time.Hour, decodePoolLoad(&fleetv1.PoolLoad{WaitUs: 1 << 63}).Wait)
}

// Guards against advice that does not reach the borrower.
func TestSpillRefusal(t *testing.T) {
	refusal := &proxy.SpillRefusal{
		Load: dispatch.PoolLoad{Wait: time.Millisecond, RunTime: time.Millisecond}, Advice: proxy.SpillAway{Server: "i-2", MaxWait: time.Second},
	}
	_, err := decodeLendResponse(encodeLendResponse(proxy.LoanRefusal{Kind: port.Busy, Text: "full", Spill: refusal}))
	require.Equal(t, port.Busy, port.KindOf(err))
	var got *proxy.SpillRefusal
	require.ErrorAs(t, err, &got)
	require.Equal(t, refusal.Advice, got.Advice)
	require.Equal(t, refusal.Load, got.Load)
	_, err = decodeLendResponse(encodeLendResponse(proxy.LoanRefusal{Kind: port.Busy}))
	require.False(t, errorsAsSpillRefusal(err))
}

func errorsAsSpillRefusal(err error) bool {
	var refusal *proxy.SpillRefusal
	return errors.As(err, &refusal)
}
