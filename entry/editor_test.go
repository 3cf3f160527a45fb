package entry_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Guards against an operator who overwrites another's change, or is not told what it was.
func TestEditorConflicts(t *testing.T) {
	testDocumentFixture(t, "form of an older revision", 1, 2, func(t *testing.T, f *documentFixture) {
		_, err := f.apply("1a", entry.EditRequest{Edit: document.SetMaxFallbackHolders{MaxFallbackHolders: 7}, BaseRevision: 1, Author: "ana"})
		require.NoError(t, err)
		_, err = f.apply("1b", entry.EditRequest{Edit: document.SetMaxFallbackHolders{MaxFallbackHolders: 8}, BaseRevision: 1, Author: "ben"})
		requireErrorKind(t, port.Conflict, err)
		require.ErrorContains(t, err, "revision 2 by ana: seats: 32 to 7")
		f.requireAudit("first", "1a-2-1")
	})
	testDocumentFixture(t, "two operators at once", 1, 2, func(t *testing.T, f *documentFixture) {
		i := f.instances["1b"]
		i.set(func() { i.beforePut = func() { f.changeWithoutAudit(t) } })
		_, err := f.apply("1b", setMaxFallbackHolders(8))
		requireErrorKind(t, port.Conflict, err)
		require.ErrorContains(t, err, "revision 2 by ben: seats: 32 to 33")
		f.run(settleTime)
		f.requireState(2, true)
	})
	testDocumentFixture(t, "the store lost an update", 2, 2, func(t *testing.T, f *documentFixture) {
		old, _ := f.object(entry.DocumentObject)
		d, err := f.apply("1a", setMaxFallbackHolders(7))
		require.NoError(t, err)
		now, _ := f.object(entry.DocumentObject)
		_, err = f.put(entry.DocumentObject, old.Data, now.Version)
		require.NoError(t, err)
		f.run(document.MaxStaleness + settleTime)
		f.requireState(2, true)
		next, err := f.apply("2a", entry.EditRequest{Edit: document.RemoveRoute{Name: "menu"}, Author: "ben"})
		require.NoError(t, err)
		require.Equal(t, d.MaxFallbackHolders, next.MaxFallbackHolders)
		f.run(settleTime)
		f.requireState(3, true)
	})
	testDocumentFixture(t, "faults are all told and nothing is stored", 1, 1, func(t *testing.T, f *documentFixture) {
		_, err := f.apply("1a", entry.EditRequest{Edit: document.PutOrganisation{Name: "open", Rate: 0, Burst: 1}, Author: "ana"})
		requireErrorKind(t, port.Invalid, err)
		var violations entry.EditViolations
		require.ErrorAs(t, err, &violations)
		require.Len(t, violations, 2)
		f.run(settleTime)
		f.requireState(1, true)
	})
}

// Guards against an operator who is told the wrong outcome when the store's answer does not come.
func TestEditorLostAnswers(t *testing.T) {
	testDocumentFixture(t, "the update took effect", 1, 2, func(t *testing.T, f *documentFixture) {
		i := f.instances["1a"]
		i.set(func() { i.losePuts = 1 })
		d, err := f.apply("1a", setMaxFallbackHolders(7))
		require.NoError(t, err)
		require.Equal(t, document.Revision(2), d.Revision)
		f.run(settleTime)
		f.requireState(2, true)
		f.requireAudit("first", d.Change.ID)
	})
	testDocumentFixture(t, "the update was lost", 1, 2, func(t *testing.T, f *documentFixture) {
		i := f.instances["1a"]
		i.set(func() { i.dropPuts = 2 })
		d, err := f.apply("1a", setMaxFallbackHolders(7))
		require.NoError(t, err)
		f.requireAudit("first", d.Change.ID)
	})
	testDocumentFixture(t, "another operator changed it meanwhile", 1, 2, func(t *testing.T, f *documentFixture) {
		i := f.instances["1a"]
		i.set(func() { i.dropPuts = 1; i.beforePut = func() { f.changeWithoutAudit(t) } })
		_, err := f.apply("1a", setMaxFallbackHolders(7))
		requireErrorKind(t, port.Conflict, err)
		require.ErrorContains(t, err, "revision 2 by ben")
	})
	testDocumentFixture(t, "another operator changed it after it took effect", 1, 2, func(t *testing.T, f *documentFixture) {
		i := f.instances["1a"]
		i.set(func() { i.losePuts = 1 })
		done := make(chan error, 1)
		go func() {
			_, err := i.editor.Apply(f.ctx, setMaxFallbackHolders(7))
			done <- err
		}()
		f.run(fleetStep)
		f.changeWithoutAudit(t)
		f.run(settleTime)
		require.NoError(t, <-done)
		f.requireState(3, true)
	})
	testDocumentFixture(t, "the store stays silent", 1, 2, func(t *testing.T, f *documentFixture) {
		i := f.instances["1a"]
		i.set(func() { i.beforePut = func() { i.set(func() { i.storeDown = true }) } })
		_, err := f.apply("1a", setMaxFallbackHolders(7))
		requireErrorKind(t, port.Unavailable, err)
		require.ErrorContains(t, err, "it is not known whether change 1a-2-1 was stored")
		f.requireAudit("first")
	})
	testDocumentFixture(t, "no data centre confirms it", 2, 2, func(t *testing.T, f *documentFixture) {
		f.list("1a", instance.Departing)
		f.list("1b", instance.Departing)
		f.instances["2a"].kill()
		_, err := f.apply("1b", setMaxFallbackHolders(7))
		requireErrorKind(t, port.Unavailable, err)
		require.ErrorContains(t, err, "revision 2 is stored")
		f.run(settleTime)
		f.requireState(2, true)
	})
	testDocumentFixture(t, "a dead relay in the list does not hold a change up", 2, 2, func(t *testing.T, f *documentFixture) {
		f.instances["1a"].kill()
		_, err := f.apply("1b", setMaxFallbackHolders(7))
		require.NoError(t, err)
	})
}

// Guards against a change that is accepted while a relay does not know it, and against one that sends the whole document
// to relays that read it from the store.
func TestEditorOffers(t *testing.T) {
	for name, c := range map[string]struct {
		storeDown bool
		offers    int
	}{"relay that watches the store": {false, 0}, "relay without the store": {true, 1}} {
		testDocumentFixture(t, name, 1, 2, func(t *testing.T, f *documentFixture) {
			relay := f.instances["1b"]
			relay.set(func() { relay.storeDown = c.storeDown })
			_, err := f.apply("1a", setMaxFallbackHolders(7))
			require.NoError(t, err)
			f.requireState(2, true)
			editor := f.instances["1a"]
			editor.set(func() { require.Equal(t, c.offers, editor.offers) })
		})
	}
}

// Guards against an audit record that is lost, or that tells of a change that did not happen.
func TestEditorAudit(t *testing.T) {
	testDocumentFixture(t, "the writer died before its record", 1, 2, func(t *testing.T, f *documentFixture) {
		f.changeWithoutAudit(t)
		f.requireAudit("first")
		f.run(entry.AuditDelay + settleTime)
		f.requireAudit("first", "elsewhere")
	})
	testDocumentFixture(t, "the next editor completes it", 1, 2, func(t *testing.T, f *documentFixture) {
		f.changeWithoutAudit(t)
		d, err := f.apply("1b", setMaxFallbackHolders(9))
		require.NoError(t, err)
		f.requireAudit("first", "elsewhere", d.Change.ID)
	})
	testDocumentFixture(t, "a writer that dies midway leaves no gap", 1, 2, func(t *testing.T, f *documentFixture) {
		f.list("1a", instance.Departing)
		f.list("1b", instance.Departing)
		f.run(settleTime)
		f.changeWithoutAudit(t)
		f.changeWithoutAudit(t)
		f.run(time.Second)
		i := f.instances["1a"]
		puts := 0
		var count func()
		count = func() {
			puts++
			i.set(func() { i.storeDown = puts > 1; i.beforePut = count })
		}
		i.set(func() { i.beforePut = count })
		require.Error(t, i.editor.CompleteAudit(f.ctx, i.follower.Document()))
		f.requireAudit("first", "elsewhere")
		i.set(func() { i.storeDown, i.beforePut = false, nil })
		require.NoError(t, i.editor.CompleteAudit(f.ctx, i.follower.Document()))
		f.requireAudit("first", "elsewhere", "elsewhere")
	})
	testDocumentFixture(t, "a refused change leaves none", 1, 2, func(t *testing.T, f *documentFixture) {
		i := f.instances["1a"]
		i.set(func() { i.beforePut = func() { f.changeWithoutAudit(t) } })
		_, err := f.apply("1a", setMaxFallbackHolders(9))
		requireErrorKind(t, port.Conflict, err)
		f.run(entry.AuditDelay + settleTime)
		f.requireAudit("first", "elsewhere")
	})
}

// requireAudit checks that the audit records are exactly those of the changes, from revision 1 on.
func (f *documentFixture) requireAudit(ids ...string) {
	f.mu.Lock()
	records := 0
	for name := range f.objects {
		if strings.HasPrefix(name, "audit/") {
			records++
		}
	}
	f.mu.Unlock()
	require.Equal(f.t, len(ids), records, "number of audit records")
	for n, id := range ids {
		object, _ := f.object(fmt.Sprintf("audit/%d", n+1))
		require.Contains(f.t, string(object.Data), fmt.Sprintf(`"id":%q`, id))
	}
}
