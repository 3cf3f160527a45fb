package entry_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/instance"
)

// Guards against a change that does not reach all instances, and against store calls by instances that are not relays.
func TestFollowerDistributesChanges(t *testing.T) {
	testDocumentFixture(t, "all instances within a second", 2, 4, func(t *testing.T, f *documentFixture) {
		f.requireState(1, true)
		before := f.watchCount(f.followers("dc2"))
		follower := f.instances[f.followers("dc2")[0]]
		received := follower.documentsReceived
		_, err := f.apply(f.followers("dc1")[0], setMaxFallbackHolders(7))
		require.NoError(t, err)
		f.run(time.Second)
		f.requireState(2, true)
		require.Equal(t, received, follower.documentsReceived, "the full document was sent for one change")
		f.run(10 * time.Second)
		require.Equal(t, before, f.watchCount(f.followers("dc2")), "a follower watches the store in addition to its relay")
	})
}

// Guards against wrong staleness, reverted documents and missed changes when a source is slow, dead or answers out of order.
func TestFollowerSources(t *testing.T) {
	testDocumentFixture(t, "slow watch does not understate staleness", 1, 1, func(t *testing.T, f *documentFixture) {
		f.list("2a", instance.Live)
		f.run(settleTime)
		i := f.instances["1a"]
		i.set(func() { i.storeDelay = 900 * time.Millisecond })
		f.run(settleTime)
		f.requireState(1, true)
		age, ok := i.follower.Staleness()
		require.True(t, ok)
		require.GreaterOrEqual(t, age, 900*time.Millisecond)
	})
	testDocumentFixture(t, "watch without an answer does not confirm the document", 1, 1, func(_ *testing.T, f *documentFixture) {
		f.list("2a", instance.Live)
		f.run(settleTime)
		i := f.instances["1a"]
		i.set(func() { i.storeDelay = time.Hour })
		f.run(document.MaxStaleness + settleTime)
		f.requireState(1, false)
		i.set(func() { i.storeDelay = 0 })
		f.run(settleTime)
		f.requireState(1, true)
	})
	testDocumentFixture(t, "follower switches from a slow relay to the other one", 1, 4, func(t *testing.T, f *documentFixture) {
		self := f.instances[f.followers("dc1")[0]].self
		list := instance.NewList(f.allListed()...)
		used, _ := instance.NewSources(self).WithList(list).Next(0).(instance.FromRelay)
		late := f.instances[used.Address]
		late.set(func() { late.answerDelay = time.Hour })
		before := f.watchCount(f.followers("dc1"))
		_, err := f.apply(f.relays("dc1")[0], setMaxFallbackHolders(7))
		require.NoError(t, err)
		f.run(settleTime)
		f.requireState(2, true)
		require.Equal(t, before, f.watchCount(f.followers("dc1")), "a follower watches the store although a relay answers")
	})
	testDocumentFixture(t, "late answer does not understate staleness", 2, 3, func(t *testing.T, f *documentFixture) {
		follower := f.instances[f.followers("dc1")[0]].follower
		for _, name := range f.relays("dc1") {
			i := f.instances[name]
			i.set(func() { i.storeDown, i.answerDelay = true, 900*time.Millisecond })
		}
		for range 30 {
			f.run(fleetStep)
			youngest := time.Hour
			for _, name := range f.relays("dc1") {
				age, _ := f.instances[name].follower.Staleness()
				youngest = min(youngest, age)
			}
			age, _ := follower.Staleness()
			require.GreaterOrEqual(t, age, youngest)
		}
	})
	testDocumentFixture(t, "reordered answers do not revert the document", 1, 1, func(t *testing.T, f *documentFixture) {
		old, _ := f.object(entry.DocumentObject)
		_, err := f.apply("1a", setMaxFallbackHolders(7))
		require.NoError(t, err)
		i := f.instances["1a"]
		i.set(func() { i.staleObjects = append(i.staleObjects, old) })
		f.run(settleTime)
		f.requireState(2, true)
	})
	testDocumentFixture(t, "full document is requested if a patch cannot be applied", 1, 3, func(t *testing.T, f *documentFixture) {
		follower := f.instances[f.followers("dc1")[0]].follower
		fork, violations := follower.Document().WithEdit(document.SetMaxFallbackHolders{MaxFallbackHolders: 99}, document.Change{ID: "fork", Author: "ben"})
		require.Empty(t, violations)
		_, err := follower.Install(t.Context(), fork)
		require.NoError(t, err)
		for _, maxHolders := range []int{7, 8} {
			_, err := f.apply(f.relays("dc1")[0], setMaxFallbackHolders(maxHolders))
			require.NoError(t, err)
		}
		f.run(settleTime)
		f.requireState(3, true)
		require.Equal(t, f.instances[f.relays("dc1")[0]].follower.Document(), follower.Document())
	})
	testDocumentFixture(t, "relays die one by one", 2, 4, func(t *testing.T, f *documentFixture) {
		f.instances[f.relays("dc1")[0]].kill()
		f.run(settleTime)
		f.requireState(1, true)
		f.instances[f.relays("dc1")[1]].kill()
		_, err := f.apply(f.relays("dc2")[0], setMaxFallbackHolders(7))
		require.NoError(t, err)
		f.run(settleTime)
		f.requireState(2, true)
	})
	testDocumentFixture(t, "restarted instance with only a stale relay", 2, 3, func(t *testing.T, f *documentFixture) {
		name := f.followers("dc1")[0]
		f.storeDown(true, "1a", "1b", "1c")
		f.cut("dc1", "dc2", true)
		_, err := f.apply("2a", setMaxFallbackHolders(7))
		require.NoError(t, err)
		f.run(document.MaxStaleness)
		f.storeDown(false, name)
		f.run(settleTime)
		f.requireState(2, true, name)
		f.storeDown(true, name)
		i := f.restart(name)
		f.run(settleTime)
		_, fresh := i.follower.CurrentDocument()
		require.False(t, fresh)
		f.storeDown(false)
		f.run(settleTime)
		f.requireState(2, true)
	})
}

// Guards against an outage of the store that stops traffic although all data centres can communicate, and against one in
// which a withdrawn key remains valid.
func TestFollowerStoreDown(t *testing.T) {
	testDocumentFixture(t, "long outage without partition", 3, 3, func(t *testing.T, f *documentFixture) {
		f.storeDown(true)
		f.run(2 * time.Minute)
		f.requireState(1, true)
		f.storeDown(false)
		_, err := f.apply("3a", setMaxFallbackHolders(7))
		require.NoError(t, err)
		f.run(settleTime)
		f.requireState(2, true)
	})
	testDocumentFixture(t, "long outage with one data centre partitioned", 3, 3, func(_ *testing.T, f *documentFixture) {
		f.storeDown(true)
		f.cut("dc1", "dc3", true)
		f.cut("dc2", "dc3", true)
		f.run(document.MaxStaleness - 6*time.Second)
		f.requireState(1, true)
		f.run(10 * time.Second)
		f.requireState(1, false)
		f.cut("dc1", "dc3", false)
		f.cut("dc2", "dc3", false)
		f.run(settleTime)
		f.requireState(1, true)
	})
	testDocumentFixture(t, "two data centres communicate through the third", 3, 3, func(_ *testing.T, f *documentFixture) {
		f.storeDown(true)
		f.cut("dc1", "dc3", true)
		f.run(time.Minute)
		f.requireState(1, true)
	})
	testDocumentFixture(t, "only one instance, no relay, reaches the store", 3, 4, func(t *testing.T, f *documentFixture) {
		name := f.followers("dc2")[0]
		f.storeDown(true)
		f.storeDown(false, name)
		f.run(30 * time.Second)
		_, err := f.apply(name, setMaxFallbackHolders(7))
		require.NoError(t, err)
		f.run(settleTime)
		f.requireState(2, true)
	})
	testDocumentFixture(t, "a data centre cut off from the store and its peers becomes stale", 2, 3, func(t *testing.T, f *documentFixture) {
		f.storeDown(true, "1a", "1b", "1c")
		f.cut("dc1", "dc2", true)
		_, err := f.apply("2a", setMaxFallbackHolders(7))
		require.NoError(t, err)
		f.run(document.MaxStaleness + settleTime)
		f.requireState(1, false, "1a", "1b", "1c")
		f.requireState(2, true, "2a", "2b", "2c")
	})
	testDocumentFixture(t, "restarted relays make no attestations about lost revisions", 2, 3, func(t *testing.T, f *documentFixture) {
		name := f.followers("dc1")[0]
		f.storeDown(true)
		f.storeDown(false, name)
		f.cut("dc1", "dc2", true)
		_, err := f.apply(name, setMaxFallbackHolders(7))
		require.NoError(t, err)
		f.instances[name].kill()
		for _, relay := range f.relays("dc1") {
			i := f.instances[relay]
			i.set(func() { i.storeDown, i.watchDown = false, true })
			f.restart(relay)
		}
		f.run(time.Second)
		f.storeDown(true)
		f.cut("dc1", "dc2", false)
		f.run(time.Minute)
		f.requireState(1, false, "2a", "2b", "2c")
	})
	testDocumentFixture(t, "change known only in a data centre that has left the list", 3, 2, func(t *testing.T, f *documentFixture) {
		for _, name := range []string{"1a", "1b", "2a", "2b"} {
			i := f.instances[name]
			i.set(func() { i.watchDown = true })
		}
		f.cut("dc3", "dc1", true)
		f.cut("dc3", "dc2", true)
		_, err := f.apply("3a", setMaxFallbackHolders(7))
		require.NoError(t, err)
		f.instances["3a"].kill()
		f.instances["3b"].kill()
		f.unlist("3a", "3b")
		f.run(time.Minute)
		f.requireState(1, false)
	})
}

// faultEvent is a random fault or edit, and the time that passes after it.
type faultEvent struct {
	kind        int
	name        string
	dataCentres [2]string
	on          bool
	delay       time.Duration
	maxHolders  int
	pause       time.Duration
}

func drawEvent(rt *rapid.T) faultEvent {
	centre := rapid.SampledFrom([]string{"dc1", "dc2", "dc3"})
	return faultEvent{
		kind:        rapid.IntRange(0, 9).Draw(rt, "kind"),
		name:        rapid.SampledFrom([]string{"1a", "1b", "1c", "2a", "2b", "2c", "3a", "3b", "3c"}).Draw(rt, "name"),
		dataCentres: [2]string{centre.Draw(rt, "from"), centre.Draw(rt, "to")},
		on:          rapid.Bool().Draw(rt, "on"),
		delay:       time.Duration(rapid.IntRange(0, 3000).Draw(rt, "delay")) * time.Millisecond,
		maxHolders:  rapid.IntRange(1, 100).Draw(rt, "seats"),
		pause:       time.Duration(rapid.IntRange(0, 15).Draw(rt, "pause")) * time.Second,
	}
}

func (e faultEvent) apply(f *documentFixture) {
	i := f.instances[e.name]
	switch e.kind {
	case 0:
		f.storeDown(e.on, e.name)
	case 1:
		f.storeDown(e.on)
	case 2:
		f.cut(e.dataCentres[0], e.dataCentres[1], e.on)
	case 3:
		f.restart(e.name)
	case 4:
		i.set(func() { i.storeDelay, i.answerDelay = e.delay, e.delay/2 })
	case 5:
		_, _ = f.collectGarbage(e.name)
	case 6:
		f.applyDuringGC(e.name, putOrganisation("acme", float64(e.maxHolders)))
	case 7:
		i.set(func() { i.sectionPuts, i.losePuts = []writeFault{loseAnswer, dropUpdate}, 1 })
	case 8:
		_, _ = f.apply(e.name, putOrganisation("acme", float64(e.maxHolders)))
	default:
		_, _ = f.apply(e.name, setMaxFallbackHolders(e.maxHolders))
	}
	f.storedDocument()
	f.run(e.pause)
}

// checkFailure passes a failed check out of the synctest bubble.
type checkFailure struct{ text string }

func (f *checkFailure) Errorf(format string, args ...any) { f.text += fmt.Sprintf(format, args...) }

func (f *checkFailure) FailNow() { panic(f) }

// Guards against a document that reverts, counts as fresh after it was replaced, or has a missing section in the store, under
// any sequence of faults.
func TestFollowerUnderRandomFailures(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(drawEvent), 1, 15).Draw(rt, "events")
		var failure checkFailure
		synctest.Test(t, func(t *testing.T) {
			f := startDocumentFixture(t.Context(), &failure, &clock.Fake{}, 3, 3)
			defer f.close()
			defer func() {
				if r := recover(); r != nil && r != any(&failure) {
					panic(r)
				}
			}()
			f.run(settleTime)
			for _, e := range events {
				e.apply(f)
			}
		})
		if failure.text != "" {
			rt.Fatal(failure.text)
		}
	})
}

func (f *documentFixture) watchCount(names []string) int {
	n := 0
	for _, name := range names {
		i := f.instances[name]
		i.set(func() { n += i.watches })
	}
	return n
}
