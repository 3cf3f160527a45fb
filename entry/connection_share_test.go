package entry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/document"
)

const server = "formula-core/s1"

// connectionsDocument returns a document with one server and its connection limit.
func connectionsDocument(revision, connections int) document.Document {
	d := document.Document{Revision: document.Revision(revision), MaxFallbackHolders: 32}
	return d.WithGroup(document.Group{
		Name: "formula-core", Servers: []document.Server{{Name: "s1", Connections: connections}},
	})
}

// connectionPools models one connection pool per member: its demand, and its open connections as far as the limit allows.
type connectionPools struct {
	cluster *limitCluster
	demand  []int
	open    []int
}

// advance lets the pools open connections up to MaxConnections and close one per step, as transactions end, and requires
// that the total stays within the limit of the server.
func (p *connectionPools) advance(t *testing.T, d time.Duration, total int) {
	t.Helper()
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		sum := 0
		for i, m := range p.cluster.members {
			p.open[i] = max(min(p.demand[i], m.MaxConnections(server)), p.open[i]-1)
			m.SetOpen(server, p.open[i])
			m.SetDemand(server, p.demand[i])
			sum += p.open[i]
		}
		require.LessOrEqual(t, sum, total, "open connections")
		p.cluster.advance(step)
	}
}

func testConnectionPools(t *testing.T, name string, n int, scenario func(t *testing.T, p *connectionPools)) {
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) {
			c := newLimitCluster(t, n, connectionsDocument(1, 50), allotment.ByDemand{})
			defer c.stopAll()
			scenario(t, &connectionPools{cluster: c, demand: make([]int, n), open: make([]int, n)})
		})
	})
}

// Guards against more open connections than the limit of the server, and against instances that starve others.
func TestConnectionShares(t *testing.T) {
	t.Parallel()
	testConnectionPools(t, "one instance demands all connections", 16, func(t *testing.T, p *connectionPools) {
		p.demand[0] = 50
		p.advance(t, 5*time.Second, 50)
		require.Equal(t, 35, p.open[0], "each of the others keeps one")
		for i := 1; i < 16; i++ {
			p.demand[i] = 2
		}
		p.advance(t, 5*time.Second, 50)
		for i := 1; i < 16; i++ {
			require.Equal(t, 2, p.open[i], "instance %d", i)
		}
		require.Equal(t, 20, p.open[0])
	})
	testConnectionPools(t, "every instance demands most connections", 16, func(t *testing.T, p *connectionPools) {
		for i := range p.demand {
			p.demand[i] = 40
		}
		p.advance(t, 20*time.Second, 50)
		for i := range p.demand {
			require.GreaterOrEqual(t, p.open[i], 2, "instance %d", i)
		}
	})
	testConnectionPools(t, "instance cut off from the store keeps one", 4, func(t *testing.T, p *connectionPools) {
		for i := range p.demand {
			p.demand[i] = 40
		}
		p.advance(t, 10*time.Second, 50)
		p.cluster.members[0].kill()
		p.advance(t, 60*time.Second, 50)
		require.Equal(t, 1, p.open[0])
		require.GreaterOrEqual(t, p.open[1]+p.open[2]+p.open[3], 48)
	})
	testConnectionPools(t, "limit is lowered", 4, func(t *testing.T, p *connectionPools) {
		for i := range p.demand {
			p.demand[i] = 40
		}
		p.advance(t, 10*time.Second, 50)
		p.cluster.setDocument(connectionsDocument(2, 20))
		p.advance(t, 3*time.Second, 50)
		p.advance(t, 5*time.Second, 20)
	})
}
