package proxy_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// loseMachines kills all instances at once and starts them again after the outage.
func (w *cluster) loseMachines(outage time.Duration) {
	names := w.names()
	for _, name := range names {
		w.kill(name)
	}
	sleep(outage)
	for _, name := range names {
		w.start(name, w.dataCentreOf(name))
	}
}

// Guards against clients that are refused because a new instance does not have the document yet. After a loss of power of
// all instances the platform sends clients to instances that are not ready; on a day of cedarline-ci-grown about 1,200
// operations used up their repetitions in this way within half a second.
func TestClientsWaitForStateOfNewInstance(t *testing.T) {
	t.Run("a client is served by an instance that has just started", func(t *testing.T) {
		withCluster(t, 4, func(w *cluster) {
			w.loseMachines(time.Second)
			var clients sync.WaitGroup
			for _, name := range w.names() {
				clients.Go(func() {
					i := w.instance(name)
					allowed, err := i.manager.Authorize(w.t.Context(), "orders", "")
					require.NoError(w.t, err)
					c := &fakeClient{requests: []statement.Request{request(statement.Write{Text: "WRITE a 1"})}}
					i.manager.Serve(w.t.Context(), c, allowed, nil)
					requireSuccess(w.t, c.answers[0])
				})
			}
			clients.Wait()
		})
	})
	t.Run("the relay and the head start later", func(t *testing.T) {
		// Registration takes two calls, an exchange with each of two unresponsive instances 300 ms, and the reads two calls.
		const limit = 700 * time.Millisecond
		withCluster(t, 6, func(w *cluster) {
			names := w.names()
			for _, name := range names {
				w.kill(name)
			}
			// Machines without power do not respond, and the records still name their former processes.
			w.setPartitioned(true, names...)
			sleep(time.Second)
			for i, name := range names {
				w.setPartitioned(false, name)
				w.start(name, w.dataCentreOf(name))
				start := time.Now()
				_, err := w.instance(name).manager.Authorize(w.t.Context(), "orders", "")
				require.NoError(w.t, err)
				require.Less(w.t, time.Since(start), limit, "instance %d", i)
			}
		})
	})
	t.Run("the wait is bounded", func(t *testing.T) {
		withCluster(t, 2, func(w *cluster) {
			w.setStoreDown(true)
			w.loseMachines(time.Second)
			start := time.Now()
			_, err := w.instance("front-0").manager.Authorize(w.t.Context(), "orders", "")
			require.Error(w.t, err)
			require.Less(w.t, time.Since(start), 2*time.Second, "clients give up after two seconds")
			w.setStoreDown(false)
		})
	})
	t.Run("an instance that has its state does not wait", func(t *testing.T) {
		withCluster(t, 2, func(w *cluster) {
			w.changeDocument(func(d *document.Document) { d.TransactionIdleMS++ })
			start := time.Now()
			_, err := w.instance("front-0").manager.Authorize(w.t.Context(), "orders", "")
			require.NoError(w.t, err)
			require.Zero(w.t, time.Since(start))
		})
	})
}
