package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Guards against a change that takes effect in part, or is lost, when its editor fails between sections and index.
func TestSectionsEditorFails(t *testing.T) {
	testDocumentFixture(t, "dies between sections and index", 1, 2, func(t *testing.T, f *documentFixture) {
		i := f.instances["1a"]
		i.set(func() { i.beforePut = func() { i.set(func() { i.dead = true }) } })
		_, err := f.apply("1a", putOrganisation("acme", 7))
		requireErrorKind(t, port.Unavailable, err)
		require.NotEmpty(t, f.sectionNames())
		f.requireState(1, true, "1b")
		f.unlist("1a")
		f.run(settleTime)
		_, err = f.apply("1b", putOrganisation("acme", 8))
		require.NoError(t, err)
		removed, err := f.collectGarbage("1b")
		require.NoError(t, err)
		require.Equal(t, 1, removed)
		f.requireCollected(f.requireStored("1b", 2))
	})
	testDocumentFixture(t, "the store is silent at the sections", 1, 2, func(t *testing.T, f *documentFixture) {
		i := f.instances["1a"]
		i.set(func() {
			for range entry.UpdateAttempts {
				i.sectionPuts = append(i.sectionPuts, dropUpdate)
			}
		})
		_, err := f.apply("1a", putOrganisation("acme", 7))
		require.ErrorIs(t, err, entry.ErrNothingChanged)
		f.run(settleTime)
		f.requireState(1, true)
	})
	for name, faults := range map[string][]writeFault{
		"lost answer to a section":            {loseAnswer},
		"lost update and answer to a section": {dropUpdate, loseAnswer},
		"lost answers to section and index":   {loseAnswer, loseAnswer},
	} {
		testDocumentFixture(t, name, 1, 2, func(t *testing.T, f *documentFixture) {
			i := f.instances["1a"]
			i.set(func() { i.sectionPuts, i.losePuts = faults, len(faults)-1 })
			_, err := f.apply("1a", putOrganisation("acme", 7))
			require.NoError(t, err)
			f.requireCollected(f.requireStored("1b", 2))
		})
	}
	testDocumentFixture(t, "two editors race", 1, 2, func(t *testing.T, f *documentFixture) {
		_, err := f.apply("1a", setMaxFallbackHolders(7))
		require.NoError(t, err)
		i := f.instances["1a"]
		i.set(func() { i.beforePut = func() { f.changeWithoutAudit(t) } })
		_, err = f.apply("1a", putOrganisation("acme", 8))
		requireErrorKind(t, port.Conflict, err)
		f.run(settleTime)
		f.requireStored("1b", 3)
		require.Equal(t, 8, f.instances["1b"].follower.Document().MaxFallbackHolders)
		require.Len(t, f.sectionNames(), 2, "the section of the refused change is left for the collector")
	})
}

// Guards against an index that names a section which was removed, and against sections that are never removed.
func TestSectionsCollected(t *testing.T) {
	testDocumentFixture(t, "a paused editor resumes after a collection", 1, 3, func(t *testing.T, f *documentFixture) {
		_, err := f.apply("1a", setMaxFallbackHolders(7))
		require.NoError(t, err)
		var removed int
		i := f.instances["1a"]
		i.set(func() {
			i.beforePut = func() {
				var err error
				removed, err = f.instances["1b"].gc.Collect(f.ctx)
				require.NoError(t, err)
			}
		})
		d, err := f.apply("1a", putOrganisation("acme", 8))
		require.NoError(t, err)
		require.Equal(t, 1, removed, "the section of the paused editor was not removed")
		ix := f.requireStored("1b", d.Revision)
		require.Equal(t, uint64(1), ix.GCCount)
	})
	testDocumentFixture(t, "lost answer to the counter removes nothing", 1, 2, func(t *testing.T, f *documentFixture) {
		for rate := range 2 {
			_, err := f.apply("1a", putOrganisation("acme", float64(rate+6)))
			require.NoError(t, err)
		}
		i := f.instances["1b"]
		i.set(func() { i.losePuts = 1 })
		_, err := f.collectGarbage("1b")
		requireErrorKind(t, port.Unavailable, err)
		require.Len(t, f.sectionNames(), 2)
		removed, err := f.collectGarbage("1b")
		require.NoError(t, err)
		require.Equal(t, 1, removed)
		f.requireCollected(f.requireStored("1a", 3))
	})
	testDocumentFixture(t, "the first relay does it each hour", 2, 2, func(t *testing.T, f *documentFixture) {
		for rate := range 3 {
			_, err := f.apply("2a", putOrganisation("acme", float64(rate+6)))
			require.NoError(t, err)
		}
		f.clock.Advance(entry.CollectPeriod)
		f.run(settleTime)
		ix, _, _ := f.storedDocument()
		require.Equal(t, uint64(1), ix.GCCount)
		f.requireCollected(ix)
	})
	testDocumentFixture(t, "two collectors at once", 1, 2, func(t *testing.T, f *documentFixture) {
		for rate := range 2 {
			_, err := f.apply("1a", putOrganisation("acme", float64(rate+6)))
			require.NoError(t, err)
		}
		i := f.instances["1a"]
		i.set(func() {
			i.beforePut = func() {
				_, err := f.instances["1b"].gc.Collect(f.ctx)
				require.NoError(t, err)
			}
		})
		_, err := f.collectGarbage("1a")
		requireErrorKind(t, port.Conflict, err)
		f.requireCollected(f.requireStored("1a", 3))
	})
}

// Guards against a reader that stops, or takes a document in part, because a section is missing.
func TestSectionsMissing(t *testing.T) {
	testDocumentFixture(t, "removed before it was read", 1, 1, func(t *testing.T, f *documentFixture) {
		_, err := f.apply("1a", putOrganisation("acme", 7))
		require.NoError(t, err)
		old, _ := f.object(entry.DocumentObject)
		_, err = f.apply("1a", putOrganisation("acme", 8))
		require.NoError(t, err)
		_, err = f.collectGarbage("1a")
		require.NoError(t, err)
		i := f.restart("1a")
		i.set(func() { i.staleObjects = append(i.staleObjects, old) })
		f.run(fleetStep)
		f.requireState(3, true)
	})
	testDocumentFixture(t, "backup of an older revision", 2, 2, func(t *testing.T, f *documentFixture) {
		_, err := f.apply("1a", putOrganisation("acme", 7))
		require.NoError(t, err)
		backup, _ := f.object(entry.DocumentObject)
		_, err = f.apply("1a", putOrganisation("acme", 8))
		require.NoError(t, err)
		_, err = f.collectGarbage("1a")
		require.NoError(t, err)
		f.restore(backup)
		f.run(document.MaxStaleness + settleTime)
		f.requireState(3, true)
		d, err := f.apply("2a", setMaxFallbackHolders(7))
		require.NoError(t, err)
		acme, _ := d.FindOrganisation("acme")
		require.InDelta(t, 8, acme.Rate, 0)
		f.run(settleTime)
		f.requireStored("2b", 4)
	})
	testDocumentFixture(t, "backup of the revision in force without its sections", 1, 2, func(t *testing.T, f *documentFixture) {
		_, err := f.apply("1a", putOrganisation("acme", 7))
		require.NoError(t, err)
		f.removeSections()
		f.run(settleTime)
		f.requireState(2, true)
		_, err = f.apply("1b", setMaxFallbackHolders(7))
		require.NoError(t, err)
		f.requireStored("1a", 3)
	})
	testDocumentFixture(t, "no instance has the document", 1, 1, func(t *testing.T, f *documentFixture) {
		_, err := f.apply("1a", putOrganisation("acme", 7))
		require.NoError(t, err)
		index, _ := f.object(entry.DocumentObject)
		f.removeSections()
		f.restart("1a")
		f.run(settleTime)
		f.requireState(0, false)
		_, err = f.apply("1a", setMaxFallbackHolders(7))
		require.ErrorIs(t, err, entry.ErrNothingChanged)
		now, _ := f.object(entry.DocumentObject)
		require.Equal(t, index, now)
	})
}

// Guards against a fleet that cannot read a document of the earlier form.
func TestSectionsEarlierForm(t *testing.T) {
	testDocumentFixture(t, "read, and rewritten by the next edit", 2, 2, func(t *testing.T, f *documentFixture) {
		require.Empty(t, f.sectionNames())
		removed, err := f.collectGarbage("1a")
		require.NoError(t, err)
		require.Zero(t, removed)
		_, err = f.apply("2a", setMaxFallbackHolders(7))
		require.NoError(t, err)
		f.run(time.Second)
		f.requireState(2, true)
		f.requireCollected(f.requireStored("1a", 2))
	})
}

// Guards against a document of the target size that cannot be stored, read or patched, and against a change that makes a
// relay read the sections.
func TestSectionsTargetSize(t *testing.T) {
	testDocumentFixture(t, "4,500 organisations and groups", 1, 2, func(t *testing.T, f *documentFixture) {
		_, err := f.apply("1a", entry.EditRequest{Edit: document.Replace{Document: documentOfSize(4500)}, Author: "ana"})
		require.NoError(t, err)
		ix := f.requireStored("1b", 2)
		require.Len(t, ix.Sections, 256)
		gets := f.readCount("1b")
		_, err = f.apply("1a", putOrganisation("o7", 9))
		require.NoError(t, err)
		f.run(time.Second)
		f.requireState(3, true)
		require.Equal(t, gets, f.readCount("1b"), "a relay reads sections although it knows the previous revision")
		require.Len(t, f.sectionNames(), len(ix.Sections)+1, "a change of one organisation writes one section")
	})
}

// readCount returns the number of objects that the instance read.
func (f *documentFixture) readCount(name string) int {
	n := 0
	i := f.instances[name]
	i.set(func() { n = i.reads })
	return n
}
