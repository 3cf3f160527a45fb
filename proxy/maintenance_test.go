package proxy_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/proxy"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// Guards against a maintenance that some instance does not learn of, or that costs calls to the store where the
// deployment has none.
func TestMaintenanceList(t *testing.T) {
	t.Run("every instance learns of the begin and the end", func(t *testing.T) {
		withMaintenance(t, 6, func(w *cluster) {
			for _, begun := range []bool{true, false} {
				w.setMaintenance("a", begun)
				took := w.waitFor(func() bool { return w.allKnowMaintenance("a", begun) })
				require.Less(t, took, maintenanceBound-dispatch.TransactionGrace)
			}
		})
	})
	t.Run("only the head relay reads it", func(t *testing.T) {
		withMaintenance(t, 6, func(w *cluster) {
			sleep(3 * time.Second)
			before := w.maintenance.reads.Load()
			sleep(15 * time.Second)
			require.Less(t, w.maintenance.reads.Load()-before, int64(13), "a full read every 1.5 s and one for each wait")
		})
	})
	t.Run("nothing is read without the setting", func(t *testing.T) {
		withCluster(t, 2, func(w *cluster) {
			sleep(5 * time.Second)
			require.Zero(t, w.maintenance.reads.Load())
			require.True(t, w.instance("front-0").state.Maintenance().IsEmpty())
		})
	})
	t.Run("the last list stays in force while the store is down", func(t *testing.T) {
		withMaintenance(t, 4, func(w *cluster) {
			w.setMaintenance("c", true)
			w.waitFor(func() bool { return w.allKnowMaintenance("c", true) })
			w.setStoreDown(true)
			sleep(20 * time.Second)
			require.True(t, w.allKnowMaintenance("c", true))
		})
	})
	t.Run("an instance whose relay does not distribute the list reads it itself", func(t *testing.T) {
		withPreparedMaintenance(t, 2, func(w *cluster) { w.maintenance.isUsed = false }, func(w *cluster) {
			w.setMaintenance("a", true)
			w.maintenance.isUsed = true
			w.start("front-2", "a")
			w.waitFor(func() bool { return w.instance("front-2").state.MaintenanceList() != nil })
			require.True(t, w.instance("front-2").state.Maintenance().Has("a"))
		})
	})
	t.Run("a list that cannot be read keeps an instance from serving for the bound only", func(t *testing.T) {
		withPreparedMaintenance(t, 2, func(w *cluster) { w.maintenance.isUnreadable = true }, func(w *cluster) {
			w.start("front-2", "a")
			w.waitFor(func() bool {
				servers, _ := w.instance("front-2").state.Servers()
				_, hasDocument := w.instance("front-2").state.CurrentDocument()
				return servers != nil && hasDocument
			})
			requireKind(t, port.NoPrimary, w.send("front-2", statement.Write{Text: "WRITE a 1"})[0])
			took := w.waitFor(func() bool { return w.writeSucceeds("front-2") })
			require.Less(t, took, maintenanceBound+time.Second)
		})
	})
	t.Run("an instance that starts in a maintenance never uses the servers there", func(t *testing.T) {
		withMaintenance(t, 4, func(w *cluster) {
			w.setMaintenance("a", true)
			w.waitFor(func() bool { return w.allKnowMaintenance("a", true) })
			w.start("front-4", "a")
			began := time.Now()
			for range 20 {
				w.send("front-4", statement.Read{Text: "READ a"})
				sleep(20 * time.Millisecond)
			}
			w.requireUnused(began, "s1")
		})
	})
}

// Guards against a list that reverts to an older one, and against a change that is lost because it came with another one.
func TestMaintenanceVersions(t *testing.T) {
	begun := func(names ...string) []proxy.MaintenanceChange {
		var changes []proxy.MaintenanceChange
		for _, name := range names {
			changes = append(changes, proxy.MaintenanceBegun{DataCentre: name})
		}
		return changes
	}
	withMaintenance(t, 1, func(w *cluster) {
		state := w.instance("front-0").state
		w.setStoreDown(true)
		sleep(2 * time.Second)
		state.SetMaintenance(proxy.MaintenanceList{DataCentres: []string{"a"}, Version: 1000})
		requireMaintenance(t, state, "a")
		state.SetMaintenance(proxy.MaintenanceList{Version: 999})
		requireMaintenance(t, state, "a")
		state.ApplyMaintenanceChanges([]proxy.MaintenanceChange{proxy.MaintenanceEnded{DataCentre: "a"}}, 999)
		requireMaintenance(t, state, "a")
		state.ApplyMaintenanceChanges(begun("b", "c"), 1001)
		requireMaintenance(t, state, "a", "b", "c")
		state.ApplyMaintenanceChanges([]proxy.MaintenanceChange{proxy.MaintenanceEnded{DataCentre: "b"}}, 1002)
		requireMaintenance(t, state, "a", "c")
		state.SetMaintenance(proxy.MaintenanceList{Version: 1003})
		requireMaintenance(t, state)
	})
}

func requireMaintenance(t *testing.T, state *proxy.ClusterState, names ...string) {
	t.Helper()
	require.ElementsMatch(t, names, state.Maintenance().DataCentres())
}

// Guards against a statement that reaches a server in maintenance, and against one that is refused although a server
// elsewhere could run it.
func TestMaintenanceStatements(t *testing.T) {
	read := statement.Read{Text: "READ a"}
	t.Run("idle connections are closed and none is opened", func(t *testing.T) {
		withMaintenance(t, 2, func(w *cluster) {
			sleep(2 * time.Second)
			require.Positive(t, w.connections("s3"), "connections are prewarmed")
			w.setMaintenance("c", true)
			w.waitFor(func() bool { return w.allKnowMaintenance("c", true) && w.connections("s3") == 0 })
			opened := w.opened("s3")
			sleep(5 * time.Second)
			require.Equal(t, opened, w.opened("s3"))
			w.setMaintenance("c", false)
			w.waitFor(func() bool { return w.connections("s3") > 0 })
		})
	})
	t.Run("reads go to servers elsewhere, at every instance", func(t *testing.T) {
		withMaintenance(t, 4, func(w *cluster) {
			w.acceptAge(60000)
			w.runWrites(w.names()...)
			w.setMaintenance("b", true)
			w.waitFor(func() bool { return w.allKnowMaintenance("b", true) })
			began := time.Now()
			for _, name := range w.names() {
				requireSuccess(t, w.send(name, read)[0])
			}
			w.requireUnused(began, "s2")
		})
	})
	t.Run("with all data centres in maintenance everything is refused at once", func(t *testing.T) {
		withMaintenance(t, 2, func(w *cluster) {
			w.acceptAge(60000)
			w.runWrites(w.names()...)
			for _, name := range []string{"a", "b", "c"} {
				w.setMaintenance(name, true)
			}
			w.waitFor(func() bool {
				return w.allKnowMaintenance("a", true) && w.allKnowMaintenance("b", true) && w.allKnowMaintenance("c", true)
			})
			for _, stmt := range []statement.Statement{read, statement.Write{Text: "WRITE a 1"}} {
				began := time.Now()
				requireKind(t, port.NoPrimary, w.send("front-0", stmt)[0])
				require.Less(t, time.Since(began), 10*time.Millisecond)
			}
			sleep(5 * time.Second)
			require.Empty(t, w.epochs(), "nothing is promoted")
			for _, name := range []string{"a", "b", "c"} {
				w.setMaintenance(name, false)
			}
			w.waitFor(func() bool { return w.writeSucceeds("front-0") && w.writeSucceeds("front-1") })
			require.True(t, w.allUsePrimary("s1"))
		})
	})
	t.Run("an unknown data centre changes nothing", func(t *testing.T) {
		withMaintenance(t, 2, func(w *cluster) {
			w.setMaintenance("z", true)
			w.waitFor(func() bool { return w.allKnowMaintenance("z", true) })
			require.True(t, w.writeSucceeds("front-0"))
			sleep(5 * time.Second)
			require.Empty(t, w.epochs())
			require.False(t, w.maintenance.monitors["front-0"].Status()[0].IsKnown)
		})
	})
	t.Run("an owner that learned first refuses the loan, and the borrower runs the read elsewhere", func(t *testing.T) {
		withMaintenance(t, 4, func(w *cluster) {
			w.acceptAge(60000)
			w.runWrites(w.names()...)
			w.learnMaintenance("b", "front-1", "front-3")
			w.learnMaintenance("a", "front-0")
			began, loans := time.Now(), w.loans.Load()
			requireSuccess(t, w.send("front-0", read)[0])
			require.Positive(t, w.loans.Load()-loans, "a loan was refused")
			w.requireUnused(began, "s1", "s2")
		})
	})
	t.Run("an owner that learned first refuses the loan of a write, which is refused at once", func(t *testing.T) {
		withMaintenance(t, 4, func(w *cluster) {
			w.runWrites(w.names()...)
			w.learnMaintenance("a", "front-0", "front-2")
			began := time.Now()
			requireKind(t, port.NoPrimary, w.send("front-1", statement.Write{Text: "WRITE a 1"})[0])
			require.Less(t, time.Since(began), 20*time.Millisecond)
			w.requireUnused(began, "s1")
		})
	})
}

// learnMaintenance makes some instances learn of a maintenance before the others.
func (w *cluster) learnMaintenance(dataCentre string, names ...string) {
	for _, name := range names {
		w.instance(name).state.SetMaintenance(proxy.MaintenanceList{DataCentres: []string{dataCentre}, Version: 1 << 40})
	}
}

// opened returns the number of connections that were opened to the server.
func (w *cluster) opened(server string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[server].opened
}

// acceptAge makes the statements of the route accept data of the age.
func (w *cluster) acceptAge(ms int64) {
	w.changeDocument(func(d *document.Document) {
		d.Routes[0].Freshness, d.Routes[0].AcceptedAgeMS = document.AcceptedAge, ms
	})
}
