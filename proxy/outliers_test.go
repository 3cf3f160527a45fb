package proxy_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// withReads runs a test in which all servers of the group can serve the reads.
func withReads(t *testing.T, test func(w *cluster)) {
	t.Helper()
	withCluster(t, 4, func(w *cluster) {
		w.changeDocument(func(d *document.Document) {
			d.Routes[0].Freshness, d.Routes[0].AcceptedAgeMS = document.AcceptedAge, 60_000
		})
		w.runWrites("front-0")
		w.catchUpReplicas()
		for _, name := range []string{"s1", "s2", "s3"} {
			w.recordArrivals(name)
		}
		test(w)
	})
}

// reads sends enough at once that all servers of the group get some.
var reads = load{every: 5 * time.Millisecond, statements: []statement.Statement{statement.Read{Text: "READ a"}}}

// Guards against a server that fails two of five reads and still gets as many of them as the others.
func TestPartlyFailingServerIsAvoidedForReads(t *testing.T) {
	withReads(t, func(w *cluster) {
		reads.run(w, 2*time.Second)
		healthy := len(w.arrivals("s2"))
		require.Positive(t, healthy)
		w.setFault("s2", failsSome)
		reads.run(w, 5*time.Second)
		w.recordArrivals("s2")
		results := reads.run(w, 10*time.Second)
		require.Less(t, 3*len(w.arrivals("s2")), 5*healthy)
		require.Less(t, results[port.StatementFailed]*20, results[""])
	})
}

// Guards against a primary that is avoided for writes, and against reads that are refused because their only server is
// an outlier.
func TestOutlierIsUsedWhereNoOtherCanServe(t *testing.T) {
	t.Run("writes at the primary", func(t *testing.T) {
		withReads(t, func(w *cluster) {
			w.setFault("s1", failsSome)
			results := load{every: 20 * time.Millisecond, statements: writes}.run(w, 5*time.Second)
			require.Greater(t, results[""], results[port.StatementFailed])
			require.Zero(t, results[port.NoPrimary]+results[port.Busy])
		})
	})
	t.Run("reads of the last server", func(t *testing.T) {
		withReads(t, func(w *cluster) {
			w.setFault("s2", failsSome)
			reads.run(w, 5*time.Second)
			w.setDown("s1", true)
			w.setDown("s3", true)
			sleep(2 * time.Second)
			results := reads.run(w, 2*time.Second)
			require.Positive(t, results[""])
		})
	})
}
