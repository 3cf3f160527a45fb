package proxy_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// withFailingServers runs a test in which the servers fail all statements and the others none. Reads accept data of any
// age.
func withFailingServers(t *testing.T, servers []string, test func(w *cluster)) {
	t.Helper()
	withCluster(t, 2, func(w *cluster) {
		w.changeDocument(func(d *document.Document) {
			d.Routes[0].Freshness, d.Routes[0].AcceptedAgeMS = document.AcceptedAge, 60000
		})
		w.catchUpReplicas()
		w.runWrites("front-0", "front-1")
		w.catchUpReplicas()
		sleep(time.Second)
		for _, server := range servers {
			w.setFault(server, failing)
		}
		test(w)
	})
}

func (w *cluster) failures() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers["s1"].failures + w.servers["s2"].failures + w.servers["s3"].failures
}

// Guards against reads that fail because a server fails a part of its statements while it reports that it is healthy: a
// client's three attempts met it one time in sixteen when it failed 40 % of them.
func TestFailedReadMovesToAnotherServer(t *testing.T) {
	write, read := statement.Write{Text: "WRITE a 1"}, statement.Read{Text: "READ a"}
	t.Run("a read", func(t *testing.T) {
		withFailingServers(t, []string{"s2"}, func(w *cluster) {
			for range 20 {
				requireSuccess(t, w.send("front-0", read)[0])
				requireSuccess(t, w.send("front-1", read)[0])
			}
			require.NotZero(t, w.failures(), "no read reached the failing server")
		})
	})
	t.Run("the first statement of a transaction that only reads", func(t *testing.T) {
		withFailingServers(t, []string{"s2"}, func(w *cluster) {
			for range 20 {
				answers := w.send("front-0", statement.Begin{ReadOnly: true}, read, read, statement.Commit{})
				for _, a := range answers {
					requireSuccess(t, a)
				}
			}
			require.NotZero(t, w.failures(), "no read reached the failing server")
		})
	})
	t.Run("a read is moved once", func(t *testing.T) {
		withFailingServers(t, []string{"s1", "s2", "s3"}, func(w *cluster) {
			requireKind(t, port.StatementFailed, w.send("front-0", read)[0])
			require.Equal(t, 2, w.failures())
		})
	})
	t.Run("a write is not moved", func(t *testing.T) {
		withFailingServers(t, []string{"s1"}, func(w *cluster) {
			requireKind(t, port.StatementFailed, w.send("front-0", write)[0])
			require.Equal(t, 1, w.failures())
		})
	})
	t.Run("a read that only the primary can run is not moved", func(t *testing.T) {
		withFailingServers(t, []string{"s1"}, func(w *cluster) {
			w.changeDocument(func(d *document.Document) { d.Routes[0].Freshness = document.EveryWrite })
			requireKind(t, port.StatementFailed, w.send("front-0", read)[0])
			require.Equal(t, 1, w.failures())
		})
	})
}
