package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/maintenance"
)

// Guards against components that are connected wrongly: a data centre is taken out of service and back in while clients
// are connected.
func TestGatewayMaintenance(t *testing.T) {
	f := newFixture(t)
	f.maintenanceBound, f.zones = 5*time.Second, map[string]string{"i-b": "kig-b", "i-c": "kig-c"}
	for _, s := range f.group.Servers() {
		f.setListing(s)
	}
	one, two := f.start("one"), f.start("two")
	requireMaintenance(t, one, 0)
	c := dial(t, one.clientAddress, "orders", testKey)
	c.line()
	requireProof(t, c.query("WRITE a 1"))
	f.platform.Store.Set("evacuations", "kig-a", struct{}{})
	f.platform.Store.Set("evacuations", "nowhere", "text")
	for _, g := range []*gatewayInstance{one, two} {
		var list []maintenance.DataCentre
		require.Eventually(t, func() bool {
			list = requireList(t, g)
			return len(list) == 2 && len(list[0].Groups) == 0
		}, waitTimeout, 20*time.Millisecond, "%v", list)
		require.Equal(t, "kig-a", list[0].Name)
		require.True(t, list[0].Known)
		require.False(t, list[1].Known)
		require.Contains(t, g.log.String(), "maintenance: begun")
		require.Contains(t, g.log.String(), "maintenance: data centre is unknown")
	}
	require.Eventually(t, func() bool {
		lines := c.query("WRITE a 2")
		return strings.HasPrefix(lines[len(lines)-2], "COMPLETE ")
	}, waitTimeout, 20*time.Millisecond)
	requireRow(t, "2", c.query("READ a"))
	metrics := get(t, "http://"+one.metricsAddress+"/metrics")
	require.Contains(t, metrics, "rhubarbwick_gateway_maintenance_data_centres 2")
	require.Contains(t, metrics, "rhubarbwick_gateway_maintenance_primaries 0")
	require.Contains(t, metrics, `rhubarbwick_gateway_maintenance_changes_total{change="begun"} 2`)
	require.True(t, f.platform.Store.Delete("evacuations", "kig-a", 0))
	require.True(t, f.platform.Store.Delete("evacuations", "nowhere", 0))
	requireMaintenance(t, one, 0)
	requireMaintenance(t, two, 0)
	requireProof(t, c.query("WRITE a 3"))
}

// Guards against calls to the store, which cost money, for a maintenance that the deployment does not have.
func TestGatewayWithoutMaintenance(t *testing.T) {
	f := newFixture(t)
	g := f.start("one")
	_, err := maintenance.List(t.Context(), g.metricsAddress)
	require.ErrorContains(t, err, "bounds.evacuation_ms")
	require.NotContains(t, get(t, "http://"+g.metricsAddress+"/metrics"), `kind="evacuations"`)
}

func requireList(t *testing.T, g *gatewayInstance) []maintenance.DataCentre {
	t.Helper()
	list, err := maintenance.List(t.Context(), g.metricsAddress)
	require.NoError(t, err)
	return list
}

// requireMaintenance waits until the instance knows the number of data centres in maintenance.
func requireMaintenance(t *testing.T, g *gatewayInstance, n int) {
	t.Helper()
	require.Eventually(t, func() bool { return len(requireList(t, g)) == n }, waitTimeout, 20*time.Millisecond)
}
