package proxy_test

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/proxy"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// maintenanceBound is the time within which a maintenance must have taken effect.
const maintenanceBound = 5 * time.Second

// fakeMaintenance is the store's list of data centres in maintenance. It is guarded by cluster.mu.
type fakeMaintenance struct {
	// isUsed is true if the instances use the list.
	isUsed bool
	names  map[string]bool
	// isUnreadable makes every read of the list fail.
	isUnreadable bool
	reads        atomic.Int64
	// monitors holds the monitors of the instances by name.
	monitors map[string]*proxy.MaintenanceMonitor
}

// useMaintenance makes an instance use the list if the deployment has maintenance. It returns a function that the
// instance runs.
func (w *cluster) useMaintenance(i *testInstance, readers *proxy.StoreReaders, timer port.Timer) func(context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.maintenance.isUsed {
		return func(context.Context) {}
	}
	readers.Maintenances = &maintenanceReader{&clusterClient{cluster: w, name: i.self.Name}}
	i.state.UseMaintenance()
	monitor := proxy.NewMaintenanceMonitor(proxy.MaintenanceMonitorConfig{
		Timer: timer, State: i.state, Views: i.views, Dispatcher: i.dispatcher, Bound: maintenanceBound,
	})
	w.maintenance.monitors[i.self.Name] = monitor
	return monitor.Run
}

// maintenanceReader reads the list on behalf of one instance.
type maintenanceReader struct{ client *clusterClient }

// ReadAll returns the list.
func (r *maintenanceReader) ReadAll(ctx context.Context) ([]string, port.Version, error) {
	r.client.cluster.maintenance.reads.Add(1)
	done, err := r.client.callForPart(ctx, maintenancePart)
	if err != nil {
		return nil, 0, err
	}
	defer done()
	w := r.client.cluster
	if w.maintenance.isUnreadable {
		return nil, 0, port.Errorf(port.Unavailable, "status 403")
	}
	return slices.Sorted(maps.Keys(w.maintenance.names)), w.version, nil
}

// AwaitChanges never returns changes, like a store that lost its history.
func (r *maintenanceReader) AwaitChanges(ctx context.Context, since port.Version, wait time.Duration) ([]proxy.MaintenanceChange, port.Version, error) {
	_, next, err := r.client.AwaitChanges(ctx, since, wait)
	return nil, next, err
}

// setMaintenance begins or ends the maintenance of a data centre.
func (w *cluster) setMaintenance(dataCentre string, begun bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	if begun {
		w.maintenance.names[dataCentre] = true
		return
	}
	delete(w.maintenance.names, dataCentre)
}

// withMaintenance runs a test with n instances in the data centres "a" and "b". The first server of each group, its
// primary, is in data centre "a", the second in "b" and the third in "c".
func withMaintenance(t *testing.T, n int, test func(w *cluster)) {
	t.Helper()
	withPreparedMaintenance(t, n, nil, test)
}

// withPreparedMaintenance is withMaintenance with a function that is called before the instances start.
func withPreparedMaintenance(t *testing.T, n int, prepare, test func(w *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t)
		w.dataCentres = 2
		w.maintenance.isUsed, w.maintenance.names = true, make(map[string]bool)
		w.maintenance.monitors = make(map[string]*proxy.MaintenanceMonitor)
		for i, name := range []string{"s1", "s2", "s3", "t1", "t2", "t3"} {
			w.place(name, string(rune('a'+i%3)))
		}
		w.catchUpReplicas()
		if prepare != nil {
			prepare(w)
		}
		for i := range n {
			name := "front-" + string(rune('0'+i))
			w.start(name, w.dataCentreOf(name))
		}
		defer w.stopAll()
		w.waitFor(func() bool { return w.allUsePrimary("s1") && w.allUsePrimary("t1") })
		test(w)
	})
}

// place moves a server to a data centre.
func (w *cluster) place(server, dataCentre string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.listed[server]
	l.DataCentre = dataCentre
	w.version++
	w.listed[server], w.listedVersion = l, w.version
}

// allKnowMaintenance reports whether every instance knows whether the data centre is in maintenance.
func (w *cluster) allKnowMaintenance(dataCentre string, begun bool) bool {
	return !slices.ContainsFunc(w.names(), func(name string) bool {
		return w.instance(name).state.Maintenance().Has(dataCentre) != begun
	})
}

// lastStatement returns when one of the servers last received a client's statement.
func (w *cluster) lastStatement(servers ...string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	var last time.Time
	for _, name := range servers {
		if at := w.servers[name].lastStatement; at.After(last) {
			last = at
		}
	}
	return last
}

// requireUnused fails if one of the servers received a client's statement after the time.
func (w *cluster) requireUnused(since time.Time, servers ...string) {
	w.t.Helper()
	last := w.lastStatement(servers...)
	require.False(w.t, last.After(since), "a statement arrived %s after the bound", last.Sub(since))
}

// openTransaction runs a transaction of one write at the instance and leaves it open until goOn of the returned client is
// closed. The client then sends the rest. done is closed when its session has ended.
func (w *cluster) openTransaction(name string, rest ...statement.Statement) (c *waitingClient, done chan struct{}) {
	c = &waitingClient{goOn: make(chan struct{})}
	for _, stmt := range rest {
		c.rest = append(c.rest, request(stmt))
	}
	c.requests = []statement.Request{request(statement.Begin{}), request(statement.Write{Text: "WRITE a 1"})}
	done = make(chan struct{})
	go func() {
		w.instance(name).serveClient(c, testOrganisation)
		close(done)
	}()
	sleep(100 * time.Millisecond)
	return c, done
}
