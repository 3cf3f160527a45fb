package proxy_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// withRegions runs a test with four instances in the data centres "a" (region north) and "b" (south). All servers are in
// "a", and so are the owners of their pools.
func withRegions(t *testing.T, homes document.Homes, test func(w *cluster)) {
	t.Helper()
	withConfiguredCluster(t, 4, func(w *cluster) {
		w.regions = dispatch.NewRegions(map[string]string{"a": "north", "b": "south", "c": "south"})
		w.doc.Routes[0].Homes = homes
	}, test)
}

// write runs one write at an instance and returns its result and how long it took.
func (w *cluster) write(name string) (statement.Result, time.Duration) {
	c := &fakeClient{requests: []statement.Request{{ID: "w", Statement: statement.Write{Text: "WRITE a 1"}}}}
	start := time.Now()
	w.instance(name).serve(c)
	require.Len(w.t, c.answers, 1)
	return c.answers[0], time.Since(start)
}

// Guards against statements that run at servers outside of their homes, or pass through instances there.
func TestHomesOfRoute(t *testing.T) {
	t.Run("servers in the homes", func(t *testing.T) {
		withRegions(t, document.NewHomes("north"), func(w *cluster) {
			a, _ := w.write("front-1")
			require.Empty(t, a.Failure.Kind)
			require.Positive(t, w.loans.Load())
		})
	})
	t.Run("servers elsewhere", func(t *testing.T) {
		withRegions(t, document.NewHomes("south"), func(w *cluster) {
			w.recordArrivals("s1")
			a, took := w.write("front-1")
			require.Equal(t, port.NoPrimary, a.Failure.Kind)
			require.Less(t, took, 10*time.Millisecond)
			require.Empty(t, w.arrivals("s1"))
		})
	})
	t.Run("owners of the pool elsewhere", func(t *testing.T) {
		withRegions(t, document.NewHomes("south"), func(w *cluster) {
			// The server moves to "c", which has no instances, so that its owners may be in "a".
			w.moveServer("s1", "c")
			w.mu.Lock()
			clear(w.loansVia)
			w.mu.Unlock()
			for _, name := range w.names() {
				a, _ := w.write(name)
				require.Empty(t, a.Failure.Kind, name)
			}
			require.Zero(t, w.loansVia["a"], "a statement passed through an instance outside of its homes")
		})
	})
}

// moveServer lists a server in another data centre, and waits until all instances have read it.
func (w *cluster) moveServer(server, dataCentre string) {
	w.mu.Lock()
	l := w.listed[server]
	l.DataCentre = dataCentre
	w.version++
	w.listed[server], w.listedVersion = l, w.version
	w.mu.Unlock()
	w.waitFor(func() bool {
		return !slices.ContainsFunc(w.names(), func(name string) bool {
			servers, _ := w.instance(name).state.Servers()
			return servers[server].DataCentre != dataCentre
		})
	})
}
