package proxy_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/proxy"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

var testSpillValues = dispatch.SpillValues{Second: 1, Gigabyte: 1500}

// withSpillOver runs a test with two instances in each of three data centres. The test group has its primary "s1" in "a"
// and its replicas "s2" in "b" and "s3" in "c", and its reads accept data of any age.
func withSpillOver(t *testing.T, v dispatch.SpillValues, test func(w *cluster)) {
	t.Helper()
	withClusterIn(t, 0, 3, func(w *cluster) {
		w.spillOver, w.recorder = v, &w.spillEvents
		w.maintenance.isUsed, w.maintenance.names = true, make(map[string]bool)
		w.maintenance.monitors = make(map[string]*proxy.MaintenanceMonitor)
		for i, name := range []string{"s1", "s2", "s3", "t1", "t2", "t3"} {
			w.place(name, string(rune('a'+i%3)))
		}
		w.catchUpReplicas()
		for _, name := range []string{"front-0", "front-1", "front-2", "front-3", "front-4", "front-5"} {
			w.start(name, w.dataCentreOf(name))
		}
		w.waitFor(func() bool { return w.allUsePrimary("s1") && w.allUsePrimary("t1") })
		w.changeDocument(func(d *document.Document) {
			d.Routes[0].Freshness, d.Routes[0].AcceptedAgeMS = document.AcceptedAge, 60_000
		})
		// A write at the primary yields the position that reads need.
		for _, name := range w.names() {
			requireSuccess(t, w.send(name, statement.Write{Text: "WRITE a 1"})[0])
		}
		for _, replica := range []string{"s2", "s3"} {
			w.setOffset(replica, w.logEnd("s1"))
		}
		sleep(time.Second)
		test(w)
	})
}

// spillEvents records what the events say about spill-over.
type spillEvents struct {
	mu sync.Mutex
	// returned counts the reads that came back, and attempts is the largest number of attempts of one of them.
	returned, attempts int
	shares             []proxy.SpillShareChanged
}

// Record records an event.
func (r *spillEvents) Record(e proxy.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e := e.(type) {
	case proxy.RequestCompleted:
		if e.Spill.Returned {
			r.returned, r.attempts = r.returned+1, max(r.attempts, e.Attempts)
		}
	case proxy.SpillShareChanged:
		r.shares = append(r.shares, e)
	}
}

// readOutcomes counts the answers to reads by kind.
type readOutcomes struct {
	mu     sync.Mutex
	counts map[port.Kind]int
}

func (o *readOutcomes) add(a statement.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[a.Failure.Kind]++
}

func (o *readOutcomes) share(kind port.Kind) float64 {
	total := 0
	for _, n := range o.counts {
		total += n
	}
	return float64(o.counts[kind]) / float64(total)
}

// sendReads sends reads at the rate for the time, and waits for the answers.
func (w *cluster) sendReads(perSecond int, during time.Duration, names ...string) *readOutcomes {
	outcomes := &readOutcomes{counts: make(map[port.Kind]int)}
	var running sync.WaitGroup
	for i := range perSecond * int(during/time.Second) {
		running.Go(func() { outcomes.add(w.send(names[i%len(names)], statement.Read{Text: "READ a"})[0]) })
		sleep(time.Second / time.Duration(perSecond))
	}
	running.Wait()
	return outcomes
}

// statements returns how many statements the server has run since the last call.
func (w *cluster) statements(server string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.servers[server].statements
	w.servers[server].statements = 0
	return n
}

func (w *cluster) resetStatements() {
	for name := range w.servers {
		w.statements(name)
	}
}

// overload slows down the replica in "b", which then runs about 65 statements a second, and sends twice as many reads there,
// all of them through the pool of another instance.
func (w *cluster) overload(during time.Duration) *readOutcomes {
	w.setFault("s2", loaded)
	w.resetStatements()
	return w.sendReads(130, during, w.borrower())
}

// poolOwner returns which of the instances owns the server's pool.
func (w *cluster) poolOwner(server string, names ...string) string {
	for _, name := range names {
		if w.instance(name).dispatcher.PoolLoad(server).IsKnown() {
			return name
		}
	}
	require.Fail(w.t, "no instance owns the pool")
	return ""
}

// borrower returns the instance in "b" that does not own the pool of "s2".
func (w *cluster) borrower() string {
	if w.spillOver.IsEnabled() && w.poolOwner("s2", "front-1", "front-4") == "front-1" {
		return "front-4"
	}
	return "front-1"
}

// Guards against reads that are refused in an overloaded data centre while others have capacity.
func TestSpillOver(t *testing.T) {
	t.Run("reads leave an overloaded data centre and return", func(t *testing.T) {
		withSpillOver(t, testSpillValues, func(w *cluster) {
			w.overload(4 * time.Second)
			require.Less(t, w.overload(4*time.Second).share(port.Busy), 0.02)
			require.Greater(t, w.statements("s3"), 100)
			require.Greater(t, w.statements("s2"), 100, "the local server stays in use")
			w.setFault("s2", 0)
			w.sendReads(130, 5*time.Second, "front-1", "front-4")
			w.resetStatements()
			outcomes := w.sendReads(130, 2*time.Second, "front-1", "front-4")
			require.InDelta(t, 1, outcomes.share(""), 0)
			require.Zero(t, w.statements("s3")+w.statements("s1"), "everything is local again")
			require.NotEmpty(t, w.spillEvents.shares)
			require.Equal(t, "s2", w.spillEvents.shares[0].Server)
			require.Zero(t, w.spillEvents.shares[len(w.spillEvents.shares)-1].Share)
		})
	})
	t.Run("reads of the owner's own clients leave too", func(t *testing.T) {
		withSpillOver(t, testSpillValues, func(w *cluster) {
			owner := w.poolOwner("s2", "front-1", "front-4")
			w.setFault("s2", loaded)
			w.sendReads(130, 4*time.Second, owner)
			w.resetStatements()
			require.Less(t, w.sendReads(130, 2*time.Second, owner).share(port.Busy), 0.02)
			require.Greater(t, w.statements("s3"), 50)
		})
	})
	t.Run("reads stay under ordinary load", func(t *testing.T) {
		withSpillOver(t, testSpillValues, func(w *cluster) {
			w.resetStatements()
			surveys := w.surveys.Load()
			w.sendReads(100, 3*time.Second, "front-1", "front-2", "front-4", "front-5")
			require.Zero(t, w.statements("s1"))
			require.Equal(t, surveys, w.surveys.Load(), "nobody is asked while no read waits")
		})
	})
	t.Run("without the settings the cost decides", func(t *testing.T) {
		withSpillOver(t, dispatch.SpillValues{}, func(w *cluster) {
			w.overload(2 * time.Second)
			require.Greater(t, w.statements("s3"), 100, "each read goes to the server of least cost")
		})
	})
	t.Run("a receiver that is busier than expected refuses, and the reads run at home", func(t *testing.T) {
		withSpillOver(t, testSpillValues, func(w *cluster) {
			w.overload(4 * time.Second)
			w.setFault("s3", loaded)
			w.setFault("s1", loaded)
			w.resetStatements()
			var running sync.WaitGroup
			running.Go(func() { w.sendReads(130, 4*time.Second, "front-2", "front-5") })
			w.sendReads(130, 4*time.Second, w.borrower())
			running.Wait()
			require.Less(t, w.statements("s1")+w.statements("s3"), 2*65*4+40, "what the receivers run without them")
			require.Greater(t, w.statements("s2"), 60*4)
			require.NotZero(t, w.spillEvents.returned)
			require.LessOrEqual(t, w.spillEvents.attempts, 3, "at home, away and at home")
		})
	})
	t.Run("a data centre that is cut off gets nothing", func(t *testing.T) {
		withSpillOver(t, testSpillValues, func(w *cluster) {
			w.overload(4 * time.Second)
			w.setPartitioned(true, "front-0", "front-2", "front-3", "front-5")
			w.overload(2 * time.Second)
			outcomes := w.overload(2 * time.Second)
			require.Zero(t, w.statements("s3")+w.statements("s1"))
			require.Greater(t, outcomes.share(""), 0.3, "the local server is in use")
			require.Zero(t, outcomes.counts[port.UnknownOutcome])
			w.setPartitioned(false, "front-0", "front-2", "front-3", "front-5")
		})
	})
	t.Run("a share ends with the reads", func(t *testing.T) {
		withSpillOver(t, testSpillValues, func(w *cluster) {
			w.overload(4 * time.Second)
			sleep(4 * time.Second)
			last := w.spillEvents.shares[len(w.spillEvents.shares)-1]
			require.Zero(t, last.Share)
			require.Equal(t, dispatch.SpillOldKnowledge, last.Reason)
		})
	})
	t.Run("a replica that is too far behind gets no reads for long", func(t *testing.T) {
		withSpillOver(t, testSpillValues, func(w *cluster) {
			w.overload(4 * time.Second)
			w.setOffset("s3", 1)
			w.overload(4 * time.Second)
			require.Zero(t, w.overload(2 * time.Second).counts[port.Lagging])
			require.Less(t, w.statements("s3"), 20)
		})
	})
	t.Run("a data centre in maintenance sends its reads away and gets none", func(t *testing.T) {
		withSpillOver(t, testSpillValues, func(w *cluster) {
			w.overload(4 * time.Second)
			w.setMaintenance("c", true)
			sleep(maintenanceBound)
			w.overload(4 * time.Second)
			require.Zero(t, w.statements("s3"))
			require.Greater(t, w.statements("s1"), 50)
			w.setMaintenance("c", false)
			w.setMaintenance("b", true)
			sleep(maintenanceBound)
			w.resetStatements()
			require.InDelta(t, 1, w.sendReads(50, 2*time.Second, "front-1", "front-4").share(""), 0)
			require.Zero(t, w.statements("s2"))
			require.Greater(t, w.statements("s3"), 50)
		})
	})
	t.Run("transactions stay", func(t *testing.T) {
		withSpillOver(t, testSpillValues, func(w *cluster) {
			w.overload(4 * time.Second)
			w.resetStatements()
			for range 20 {
				w.send("front-1", statement.Begin{ReadOnly: true}, statement.Read{Text: "READ a"}, statement.Commit{})
			}
			require.Zero(t, w.statements("s3")+w.statements("s1"))
		})
	})
}

// acquireLent acquires a connection to "s3" as its pool's owner does for another instance.
func (w *cluster) acquireLent(owner, organisation string, spill proxy.SpillRoute) (proxy.Grant, error) {
	return w.instance(owner).dispatcher.Acquire(context.Background(), proxy.AcquireRequest{
		Group: testGroup, Organisation: organisation, Need: dispatch.NeedServer{Name: "s3"}, ConnectionWait: time.Second, Spill: spill,
	})
}

func (w *cluster) requireLent(owner string, spill proxy.SpillRoute) {
	grant, err := w.acquireLent(owner, testOrganisation, spill)
	require.NoError(w.t, err)
	w.instance(owner).dispatcher.Return(grant.Connection, true)
}

// Guards against reads of other data centres that delay the callers of a busy one, or that wait there before they are
// refused.
func TestReceiverDecides(t *testing.T) {
	away := proxy.SpillAway{Server: "s3", MaxWait: time.Second}
	t.Run("a full pool refuses at once, states its load, and goes on serving its own callers", func(t *testing.T) {
		withSpillOver(t, testSpillValues, func(w *cluster) {
			owner := w.poolOwner("s3", "front-2", "front-5")
			w.setFault("s3", loaded)
			var running sync.WaitGroup
			running.Go(func() { w.sendReads(300, 2*time.Second, owner) })
			sleep(1900 * time.Millisecond)
			start := time.Now()
			_, err := w.acquireLent(owner, testOrganisation, away)
			var refusal *proxy.SpillRefusal
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, port.Busy, port.KindOf(err))
			require.Zero(t, time.Since(start))
			require.Greater(t, refusal.Load.Wait, 2*loadedServerDelay)
			require.Empty(t, refusal.Advice.Server)
			w.requireLent(owner, nil)
			running.Wait()
		})
	})
	t.Run("a pool with a free slot takes the read", func(t *testing.T) {
		withSpillOver(t, testSpillValues, func(w *cluster) { w.requireLent(w.poolOwner("s3", "front-2", "front-5"), away) })
	})
	t.Run("a read that needs another connection is refused if opening it takes longer than the read may wait", func(t *testing.T) {
		withSpillOver(t, testSpillValues, func(w *cluster) {
			_, err := w.acquireLent(w.poolOwner("s3", "front-2", "front-5"), "another", proxy.SpillAway{Server: "s3", MaxWait: time.Millisecond})
			require.Equal(t, port.Busy, port.KindOf(err))
		})
	})
}
