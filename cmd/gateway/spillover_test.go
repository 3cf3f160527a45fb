package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/fleet"
	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/platform"
	"github.com/rhubarbwick/rhubarbwick/proxy"
)

// statedLoads returns how many of the gateways that g knows state a load for the server.
func (f *fixture) statedLoads(g *gatewayInstance, server string) int {
	f.t.Helper()
	records, _ := g.process.state.Records()
	peers := fleet.NewClient(platform.NewDialer())
	n := 0
	for _, member := range records.Members {
		response, err := peers.Survey(f.t.Context(), member.Address, proxy.SurveyRequest{Server: server, WantsLoad: true})
		require.NoError(f.t, err)
		if response.Load.IsKnown() {
			n++
		}
	}
	return n
}

// Guards against settings of spill-over that do not reach the dispatcher, and against loads that are lost on the way to
// another instance.
func TestGatewaySpillOver(t *testing.T) {
	for name, c := range map[string]struct {
		values dispatch.SpillValues
		stated int
	}{
		"enabled":  {dispatch.SpillValues{Second: 1, Gigabyte: 1500}, 1},
		"disabled": {dispatch.SpillValues{}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.spillOver = c.values
			one := f.start("one")
			f.start("two")
			session := dial(t, one.clientAddress, "stock", testKey)
			session.line()
			requireProof(t, session.query("WRITE tin 7"))
			requireRow(t, "7", session.query("READ tin"))
			require.Eventually(t, func() bool { return f.statedLoads(one, "i-a") == c.stated }, waitTimeout, 50*time.Millisecond,
				"only the owner of the pool states its load")
		})
	}
}
