package proxy_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// Guards against a transaction that goes on at a server in maintenance, and against one that is ended although it had
// time left. Instance front-0 owns the server's pool and front-1 borrows from it.
func TestMaintenanceTransactions(t *testing.T) {
	write, commit := statement.Write{Text: "WRITE a 1"}, statement.Commit{}
	for _, name := range []string{"front-0", "front-1"} {
		t.Run("one that ends in time is kept, at "+name, func(t *testing.T) {
			withMaintenance(t, 2, func(w *cluster) {
				c, done := w.openTransaction(name, write, commit)
				w.beginMaintenance("a")
				sleep(dispatch.TransactionGrace / 2)
				close(c.goOn)
				<-done
				requireSuccess(t, c.answers[2])
				requireSuccess(t, c.answers[3])
			})
		})
		t.Run("an idle one ends and is not kept, at "+name, func(t *testing.T) {
			withMaintenance(t, 2, func(w *cluster) {
				c, done := w.openTransaction(name, write, commit)
				began := time.Now()
				w.beginMaintenance("a")
				w.waitFor(func() bool { return w.instance("front-0").dispatcher.Outstanding("s1") == 0 })
				require.Less(t, time.Since(began), maintenanceBound)
				require.GreaterOrEqual(t, time.Since(began), dispatch.TransactionGrace)
				close(c.goOn)
				<-done
				requireKind(t, port.NotKept, c.answers[2])
				require.Equal(t, statement.Failed, c.answers[2].State)
				requireKind(t, port.NotKept, c.answers[3])
				w.requireUnused(began, "s1")
				w.requireNoRollback("s1")
			})
		})
		t.Run("a commit that comes too late is not sent, at "+name, func(t *testing.T) {
			withMaintenance(t, 2, func(w *cluster) {
				c, done := w.openTransaction(name, commit)
				began := time.Now()
				w.beginMaintenance("a")
				sleep(maintenanceBound)
				close(c.goOn)
				<-done
				requireKind(t, port.NotKept, c.answers[2])
				require.Equal(t, statement.Idle, c.answers[2].State)
				w.requireUnused(began, "s1")
			})
		})
		t.Run("a rollback closes the connection, at "+name, func(t *testing.T) {
			withMaintenance(t, 2, func(w *cluster) {
				c, done := w.openTransaction(name, statement.Rollback{})
				w.beginMaintenance("a")
				close(c.goOn)
				<-done
				requireSuccess(t, c.answers[2])
				w.waitFor(func() bool { return w.connections("s1") == 0 })
				w.requireNoRollback("s1")
			})
		})
	}
	t.Run("a statement that waits for its server is refused", func(t *testing.T) {
		withMaintenance(t, 2, func(w *cluster) {
			w.authorizeKey("front-0")
			ended, before := w.occupySlots(10)
			sleep(50 * time.Millisecond)
			w.beginMaintenance("a")
			learned := time.Now()
			ended.Wait()
			require.Less(t, w.logEnd("s1")-before, uint64(10), "statements waited when the maintenance began")
			w.requireUnused(learned, "s1")
		})
	})
}

// beginMaintenance begins the maintenance of a data centre and waits until all instances know of it.
func (w *cluster) beginMaintenance(dataCentre string) {
	w.setMaintenance(dataCentre, true)
	w.waitFor(func() bool { return w.allKnowMaintenance(dataCentre, true) })
}

func (w *cluster) requireNoRollback(server string) {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	require.Zero(w.t, w.servers[server].rollbacks)
}
