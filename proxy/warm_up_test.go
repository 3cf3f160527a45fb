package proxy_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/admission"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// coldPerSecond is the rate of a cold server of the test group, and coldLimit the most statements that it may get in one
// second with coldTolerance.
const (
	coldPerSecond = 20
	coldLimit     = 35
)

var coldTolerance = admission.WarmUpTolerance{Over: 1.5, Slack: 5}

// recordArrival records the arrival of a client's statement.
func (s *fakeServer) recordArrival(o statement.Command) {
	switch o.(type) {
	case statement.Forward, statement.OpenTransaction, statement.RollbackTransaction:
		if s.recordsArrivals {
			s.arrivals = append(s.arrivals, time.Now())
		}
	}
}

// withColdCluster runs a test with n instances whose settings limit cold servers.
func withColdCluster(t *testing.T, n int, test func(w *cluster)) {
	t.Helper()
	withConfiguredCluster(t, n, func(w *cluster) {
		w.warmUp = coldTolerance
		w.doc.Groups[0].ColdRate = coldPerSecond
	}, func(w *cluster) {
		// The instances act on their ranks only after these have settled.
		sleep(4 * time.Second)
		test(w)
	})
}

// setCold changes whether the servers' entries say that they are cold, and waits until all instances have read it.
func (w *cluster) setCold(cold bool, names ...string) {
	w.mu.Lock()
	for _, name := range names {
		l := w.listed[name]
		l.Cold = cold
		w.version++
		w.listed[name], w.listedVersion = l, w.version
	}
	w.mu.Unlock()
	w.waitFor(func() bool {
		return !slices.ContainsFunc(w.names(), func(i string) bool {
			servers, _ := w.instance(i).state.Servers()
			return slices.ContainsFunc(names, func(name string) bool { return servers[name].Cold != cold })
		})
	})
}

// recordArrivals starts to record the statements at a server.
func (w *cluster) recordArrivals(server string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers[server].recordsArrivals, w.servers[server].arrivals = true, nil
}

func (w *cluster) arrivals(server string) []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.servers[server].arrivals)
}

// mostInOneSecond returns the greatest number of arrivals in any window of one second.
func mostInOneSecond(arrivals []time.Time) int {
	most, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// load is the statements that clients send to all instances.
type load struct {
	// every is the time between two clients at each instance, and statements what each of them sends.
	every      time.Duration
	statements []statement.Statement
	// during is called once at half of the time. It may be nil.
	during func()
}

// run sends the load for some time, and returns the results by kind; the empty kind is a success. Clients of instances
// that were killed end without a result.
func (l load) run(w *cluster, d time.Duration) map[port.Kind]int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	var clients sync.WaitGroup
	results := make(map[port.Kind]int)
	for elapsed := time.Duration(0); elapsed < d; elapsed += l.every {
		if half := d / 2; l.during != nil && elapsed <= half && elapsed+l.every > half {
			l.during()
		}
		for _, name := range w.names() {
			i := w.instance(name)
			clients.Go(func() {
				c := &fakeClient{}
				for n, s := range l.statements {
					c.requests = append(c.requests, statement.Request{ID: fmt.Sprint(n), Statement: s})
				}
				i.serveUntil(ctx, c)
				mu.Lock()
				defer mu.Unlock()
				for _, a := range c.answers {
					results[a.Failure.Kind]++
				}
			})
		}
		sleep(l.every)
	}
	sleep(2 * time.Second)
	cancel()
	clients.Wait()
	return results
}

var (
	writes       = []statement.Statement{statement.Write{Text: "WRITE a 1"}}
	transactions = []statement.Statement{
		statement.Begin{}, statement.Write{Text: "WRITE a 1"}, statement.Read{Text: "READ a"}, statement.Commit{},
	}
)

// requireColdLimit requires that the server got no more than it may in any second, and at least some in total.
func requireColdLimit(t *testing.T, w *cluster, server string, atLeast int) {
	t.Helper()
	arrivals := w.arrivals(server)
	require.LessOrEqual(t, mostInOneSecond(arrivals), coldLimit)
	require.GreaterOrEqual(t, len(arrivals), atLeast)
}

// Guards against a cold server that gets more statements than the platform allows, summed over all instances, and
// against one that gets none.
func TestColdServerIsLimited(t *testing.T) {
	const during = 8 * time.Second
	t.Run("statements", func(t *testing.T) {
		withColdCluster(t, 4, func(w *cluster) {
			w.setCold(true, "s1")
			w.recordArrivals("s1")
			results := load{every: 20 * time.Millisecond, statements: writes}.run(w, during)
			requireColdLimit(t, w, "s1", coldPerSecond*7)
			require.Positive(t, results[port.Busy])
		})
	})
	t.Run("transactions", func(t *testing.T) {
		withColdCluster(t, 4, func(w *cluster) {
			w.setCold(true, "s1")
			w.recordArrivals("s1")
			load{every: 50 * time.Millisecond, statements: transactions}.run(w, during)
			requireColdLimit(t, w, "s1", coldPerSecond*5)
		})
	})
	t.Run("transactions that were open before", func(t *testing.T) {
		withColdCluster(t, 4, func(w *cluster) {
			w.recordArrivals("s1")
			load{every: 20 * time.Millisecond, statements: transactions, during: func() { w.setCold(true, "s1"); w.recordArrivals("s1") }}.run(w, during)
			requireColdLimit(t, w, "s1", coldPerSecond*2)
		})
	})
	t.Run("without the settings", func(t *testing.T) {
		withConfiguredCluster(t, 4, func(w *cluster) { w.doc.Groups[0].ColdRate = coldPerSecond }, func(w *cluster) {
			w.setCold(true, "s1")
			w.recordArrivals("s1")
			results := load{every: 20 * time.Millisecond, statements: writes}.run(w, during)
			require.Greater(t, mostInOneSecond(w.arrivals("s1")), 150)
			require.Zero(t, results[port.Busy])
		})
	})
}

// Guards against instances that together send more than the bound while one of them is cut off from the others and the
// store, but not from the server, or after one has failed.
func TestColdServerIsLimitedWhileOwnersFail(t *testing.T) {
	const during = 40 * time.Second
	for name, c := range map[string]func(w *cluster, owner string){
		"first owner is cut off":          func(w *cluster, owner string) { w.cutFromPeers(owner) },
		"first owner is killed":           func(w *cluster, owner string) { w.kill(owner) },
		"first owner is restarted":        func(w *cluster, owner string) { w.restart(owner) },
		"first owner is cut off for 5 s":  func(w *cluster, owner string) { w.cutFromPeers(owner); time.AfterFunc(5*time.Second, w.healPeers) },
		"first owner is cut off for 18 s": func(w *cluster, owner string) { w.cutFromPeers(owner); time.AfterFunc(18*time.Second, w.healPeers) },
		"an instance is added":            func(w *cluster, _ string) { w.start("front-8", "a") },
		"all instances are restarted":     func(w *cluster, owner string) { w.restartAll(owner) },
		"the store is down":               func(w *cluster, _ string) { w.setStoreDownFor(6 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			withColdCluster(t, 6, func(w *cluster) {
				w.setCold(true, "s1")
				w.recordArrivals("s1")
				owner := w.firstOwner("s1")
				load{every: 110 * time.Millisecond, statements: writes, during: func() { c(w, owner) }}.run(w, during)
				requireColdLimit(t, w, "s1", coldPerSecond*20)
			})
		})
	}
}

// Guards against a server that gets the full load after a restart until its entry in the list says that it is cold. The
// age of the records does not show that the list has been read since.
func TestRestartedServerIsLimitedBeforeItIsListed(t *testing.T) {
	for _, c := range []struct {
		name string
		// after is the time before the load, which shifts the reads of the list.
		after time.Duration
		list  func(w *cluster)
	}{
		{"a watch supplies the entry", 0, func(w *cluster) { w.listRestarted("s1") }},
		{"a read finds the entry soon", 0, func(w *cluster) { w.listRestartedInStore("s1") }},
		{"a read finds the entry after 1 s", time.Second, func(w *cluster) { w.listRestartedInStore("s1") }},
		{"a read finds the entry after 2 s", 2 * time.Second, func(w *cluster) { w.listRestartedInStore("s1") }},
		{"the store is down", 0, func(w *cluster) {
			w.setStoreDownFor(3 * time.Second)
			time.AfterFunc(3*time.Second, func() { w.listRestartedInStore("s1") })
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withColdCluster(t, 4, func(w *cluster) {
				sleep(c.after)
				l := load{every: 20 * time.Millisecond, statements: writes}
				l.during = func() {
					w.crash("s1")
					sleep(100 * time.Millisecond)
					w.setDown("s1", false)
					w.recordArrivals("s1")
					time.AfterFunc(time.Second, func() { c.list(w) })
				}
				l.run(w, 16*time.Second)
				requireColdLimit(t, w, "s1", coldPerSecond)
			})
		})
	}
}

// Guards against reads that go to a cold server although a warm one can serve them, and against a group that serves
// nothing because all of its servers are cold.
func TestColdServersServeReadsOnlyIfNoneIsWarm(t *testing.T) {
	reads := load{every: 20 * time.Millisecond, statements: []statement.Statement{statement.Read{Text: "READ a"}}}
	withReaders := func(t *testing.T, test func(w *cluster)) {
		t.Helper()
		withColdCluster(t, 4, func(w *cluster) {
			w.changeDocument(func(d *document.Document) {
				d.Routes[0].Freshness, d.Routes[0].AcceptedAgeMS = document.AcceptedAge, 60_000
			})
			w.runWrites("front-0")
			w.catchUpReplicas()
			test(w)
		})
	}
	t.Run("one is cold", func(t *testing.T) {
		withReaders(t, func(w *cluster) {
			w.setCold(true, "s2")
			w.recordArrivals("s2")
			results := reads.run(w, 4*time.Second)
			require.Zero(t, results[port.Busy])
			require.Empty(t, w.arrivals("s2"))
		})
	})
	t.Run("all are cold", func(t *testing.T) {
		withReaders(t, func(w *cluster) {
			w.setCold(true, "s1", "s2", "s3")
			for _, name := range []string{"s1", "s2", "s3"} {
				w.recordArrivals(name)
			}
			results := reads.run(w, 4*time.Second)
			for _, name := range []string{"s1", "s2", "s3"} {
				requireColdLimit(t, w, name, coldPerSecond*2)
			}
			require.Positive(t, results[port.Busy])
			require.Zero(t, results[port.NoPrimary])
		})
	})
	t.Run("warm again", func(t *testing.T) {
		withReaders(t, func(w *cluster) {
			w.setCold(true, "s1", "s2", "s3")
			w.setCold(false, "s1", "s2", "s3")
			require.Zero(t, reads.run(w, 2*time.Second)[port.Busy])
		})
	})
}
