package proxy_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/proxy"
)

const (
	// applyLimit is the shortest time within which a deployment requires a document to be in force (config_apply_ms).
	applyLimit = 3 * time.Second
	// documentInterval is the time between two documents of a storm.
	documentInterval = 100 * time.Millisecond
	// stormTime is longer than any exclusion of a relay, so that each relay is tried again meanwhile.
	stormTime = 12 * time.Second
	// settleTime is how long the instances may take to find another source after a failure. From then on, somebody reads
	// the document at its interval of 1.5 s, and no two reads are further apart than maxReadGap.
	settleTime = applyLimit
	maxReadGap = 1800 * time.Millisecond
)

// documentStorm writes documents in quick succession and measures how long instances lack one of them.
type documentStorm struct {
	cluster *cluster
	first   document.Revision
	// writtenAt holds when each document was written, in the order of the revisions.
	writtenAt []time.Time
}

// write writes the next document.
func (s *documentStorm) write() {
	next := s.cluster.doc
	next.Revision++
	s.cluster.setDocument(next)
	s.writtenAt = append(s.writtenAt, time.Now())
}

// delay returns how long the instance has lacked the oldest document that it does not have.
func (s *documentStorm) delay(i *testInstance) time.Duration {
	index, known := i.state.CurrentDocument()
	next := int(index.Document().Revision - s.first)
	if !known || next < 0 || next >= len(s.writtenAt) {
		return 0
	}
	return time.Since(s.writtenAt[next])
}

// longestDelay writes documents for stormTime and returns the longest time for which an instance lacked one of them.
func (w *cluster) longestDelay() time.Duration {
	s := &documentStorm{cluster: w, first: w.doc.Revision}
	longest := time.Duration(0)
	for start := time.Now(); time.Since(start) < stormTime; sleep(documentInterval) {
		s.write()
		for _, name := range w.names() {
			// The instance may have been stopped meanwhile.
			if i := w.instance(name); i != nil {
				longest = max(longest, s.delay(i))
			}
		}
	}
	return longest
}

// longestReadGap returns the longest time between two reads of the document since a time.
func (w *cluster) longestReadGap(since time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	gap, last := time.Duration(0), since
	for _, at := range append(w.documentReads, time.Now()) {
		if at.After(since) {
			gap, last = max(gap, at.Sub(last)), at
		}
	}
	return gap
}

// disturbance is something that makes instances read the records alone.
type disturbance struct {
	name string
	run  func(ctx context.Context, w *cluster)
}

// restartInTurn restarts three of the four instances of data centre "a" in turn, except those that the store does not
// serve.
func restartInTurn(ctx context.Context, w *cluster) {
	for n := 0; ctx.Err() == nil; n++ {
		name := []string{"front-4", "front-8", "front-12"}[n%3]
		if !w.storeSilent[name] && !w.storeRejects[name] {
			w.restart(name)
		}
		_ = sleepContext(ctx, 500*time.Millisecond)
	}
}

// readRecordsAlone makes every instance read the records as often as a promoter does during a replacement.
func readRecordsAlone(ctx context.Context, w *cluster) {
	for ctx.Err() == nil {
		var reading sync.WaitGroup
		for _, name := range w.names() {
			reading.Go(func() { _ = w.instance(name).readers.ReadRecords(ctx) })
		}
		reading.Wait()
		_ = sleepContext(ctx, 200*time.Millisecond)
	}
}

// noDisturbance leaves the instances alone.
func noDisturbance(context.Context, *cluster) {}

// requireDocumentsDespite runs the storm beside the disturbance, once for each instance to which fail is applied.
func requireDocumentsDespite(t *testing.T, d disturbance, fail func(w *cluster, name string)) {
	t.Helper()
	const instances, dataCentres = 14, 4
	for n := range instances {
		withClusterIn(t, instances, dataCentres, func(w *cluster) {
			sleep(2 * time.Second)
			name := fmt.Sprintf("front-%d", n)
			began := time.Now()
			w.mu.Lock()
			fail(w, name)
			w.mu.Unlock()
			ctx, stop := context.WithCancel(context.Background())
			var running sync.WaitGroup
			running.Go(func() { d.run(ctx, w) })
			longest := w.longestDelay()
			stop()
			running.Wait()
			w.t.Logf("%s: a document was in force after %s at the latest", name, longest)
			require.Less(w.t, longest, applyLimit, name)
			require.Less(w.t, w.longestReadGap(began.Add(settleTime)), maxReadGap, name)
		})
	}
}

// requireSource requires that the source has the path at the time.
func requireSource(t *testing.T, s proxy.StateSource, at time.Duration, path ...string) {
	t.Helper()
	got, found := s.Path(at)
	require.True(t, found)
	require.Equal(t, path, got)
}

// requireNoSource requires that the state has no source at the time.
func requireNoSource(t *testing.T, s proxy.StateSource, at time.Duration) {
	t.Helper()
	_, found := s.Path(at)
	require.False(t, found)
}

// Guards against an instance that counts as a source without reading the store itself.
func TestStateSource(t *testing.T) {
	const now = time.Minute
	read := proxy.ReadTimes{}.WithStart(now)
	following := proxy.StateSource{}.WithRelay([]string{"head", "relay"})
	t.Run("an instance that has read nothing is no source", func(t *testing.T) { requireNoSource(t, proxy.StateSource{}, now) })
	t.Run("an instance that reads the store", func(t *testing.T) {
		requireSource(t, proxy.StateSource{}.WithReading(now).WithReads(read), now+time.Second)
	})
	t.Run("an instance that follows a relay", func(t *testing.T) { requireSource(t, following, now, "head", "relay") })
	t.Run("an instance that follows a relay of an earlier version", func(t *testing.T) {
		_, found := proxy.StateSource{}.WithRelay(nil).Path(now)
		require.True(t, found)
	})
	t.Run("it begins to read", func(t *testing.T) {
		requireSource(t, following.WithReading(now), now+400*time.Millisecond, "head", "relay")
		requireSource(t, following.WithReading(now).WithReads(read), now+400*time.Millisecond)
	})
	t.Run("its reads fail", func(t *testing.T) { requireNoSource(t, following.WithReading(now), now+time.Second) })
	t.Run("it reads the records alone", func(t *testing.T) {
		requireNoSource(t, following.WithReading(now).WithReads(proxy.ReadTimes{}.WithRecords(now)), now+time.Second)
		requireNoSource(t, proxy.StateSource{}.WithReading(now).WithReads(read.WithRecords(now+3*time.Second)), now+3*time.Second)
	})
	t.Run("it follows again", func(t *testing.T) {
		requireSource(t, proxy.StateSource{}.WithReads(read).WithRelay([]string{"head"}), now, "head")
	})
}

// Guards against relays that follow each other while nobody reads the document (review/11): the store has lost one of
// them, and the others read the records alone, so that these stay recent.
func TestDocumentReachesInstancesOfRelayWithoutStore(t *testing.T) {
	for _, d := range []disturbance{
		{"nothing else", noDisturbance},
		{"instances are restarted in turn", restartInTurn},
		{"records are read alone", readRecordsAlone},
	} {
		t.Run(d.name, func(t *testing.T) {
			t.Run("silent", func(t *testing.T) {
				requireDocumentsDespite(t, d, func(w *cluster, name string) { w.storeSilent[name] = true })
			})
			t.Run("rejected", func(t *testing.T) {
				requireDocumentsDespite(t, d, func(w *cluster, name string) { w.storeRejects[name] = true })
			})
		})
	}
}

// Guards against an instance whose reads of one part of the state fail while those of the records succeed: it counted as a
// good source, so that nobody had a newer part.
func TestStateReachesInstancesOfRelayWithoutOnePart(t *testing.T) {
	t.Run("document", func(t *testing.T) {
		requireDocumentsDespite(t, disturbance{"nothing else", noDisturbance}, func(w *cluster, name string) {
			w.unreadable[name] = documentPart
		})
	})
	t.Run("servers", func(t *testing.T) {
		// The shortest time that a server has between its entry and its end (drain_ms).
		const drainTime = 7 * time.Second
		for n := range 14 {
			withClusterIn(t, 14, 4, func(w *cluster) {
				w.makeUnreadable(n, listingsPart)
				w.updateListing("s2", true)
				took := w.waitFor(func() bool { return w.allKnowDraining("s2") })
				require.Less(w.t, took, drainTime, "front-%d", n)
			})
		}
	})
	t.Run("data centres in maintenance", func(t *testing.T) {
		for n := range 6 {
			withMaintenance(t, 6, func(w *cluster) {
				w.makeUnreadable(n, maintenancePart)
				w.setMaintenance("a", true)
				took := w.waitFor(func() bool { return w.allKnowMaintenance("a", true) })
				require.Less(w.t, took, maintenanceBound, "front-%d", n)
			})
		}
	})
}

// makeUnreadable makes an instance unable to read a part of the state, after a time in which it was read.
func (w *cluster) makeUnreadable(n int, part statePart) {
	sleep(2 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unreadable[fmt.Sprintf("front-%d", n)] = part
}

// allKnowDraining reports whether all instances know that the server is draining.
func (w *cluster) allKnowDraining(server string) bool {
	return !slices.ContainsFunc(w.names(), func(name string) bool {
		servers, _ := w.instance(name).state.Servers()
		return !servers[server].Draining
	})
}

// Guards against instances that search for another source of a part that nobody can decode: 24 instances made up to 174
// calls a second to the store instead of 5.
func TestUndecodablePartCostsNoStoreCalls(t *testing.T) {
	withClusterIn(t, 24, 4, func(w *cluster) {
		sleep(2 * time.Second)
		w.mu.Lock()
		w.undecodable = listingsPart
		w.mu.Unlock()
		sleep(5 * time.Second)
		before := w.storeCalls.Load()
		sleep(20 * time.Second)
		require.Less(w.t, float64(w.storeCalls.Load()-before)/20, 6.0, "store calls per second")
	})
}
