package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/proxy"
)

// Guards against a relay whose path or ages are lost on the way, so that two relays follow each other, or an outdated list
// counts as a recent one.
func TestSourceCodec(t *testing.T) {
	sent := proxy.ExchangeResponse{
		Fresh: true, Path: []string{"front-1", "front-2"}, ServersAge: 3 * time.Second, MaintenanceAge: 1200 * time.Microsecond,
	}
	m, err := encodeExchangeResponse(sent)
	require.NoError(t, err)
	received, err := decodeExchangeResponse(m)
	require.NoError(t, err)
	t.Run("the path keeps its order", func(t *testing.T) { require.Equal(t, sent.Path, received.Path) })
	t.Run("ages are rounded up", func(t *testing.T) {
		require.Equal(t, sent.ServersAge, received.ServersAge)
		require.Equal(t, 2*time.Millisecond, received.MaintenanceAge)
	})
}
