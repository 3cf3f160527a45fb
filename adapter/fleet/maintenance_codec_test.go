package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/proxy"
)

// Guards against an empty list of data centres in maintenance that is taken for an unknown one, which would keep a
// maintenance in force after its end.
func TestMaintenanceCodec(t *testing.T) {
	for _, l := range []*proxy.MaintenanceList{nil, {Version: 7}, {DataCentres: []string{"a", "b"}, Version: 7}} {
		m, err := encodeExchangeResponse(proxy.ExchangeResponse{Maintenance: l})
		require.NoError(t, err)
		r, err := decodeExchangeResponse(m)
		require.NoError(t, err)
		require.Equal(t, l, r.Maintenance)
	}
	zero := port.Version(0)
	for _, v := range []*port.Version{nil, &zero} {
		require.Equal(t, v, decodeVersion(encodeVersion(v)))
	}
}
