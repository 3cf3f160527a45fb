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

// Guards against an edit that overwrites another operator's change, and against a conflict error that does not describe that
// change.
func TestEditorConflicts(t *testing.T) {
	testDocumentFixture(t, "edit based on an older revision", 1, 2, func(t *testing.T, f *documentFixture) {
		_, err := f.apply("1a", entry.EditRequest{Edit: document.SetMaxFallbackHolders{MaxFallbackHolders: 7}, BaseRevision: 1, Author: "ana"})
		require.NoError(t, err)
		_, err = f.apply("1b", entry.EditRequest{Edit: document.SetMaxFallbackHolders{MaxFallbackHolders: 8}, BaseRevision: 1, Author: "ben"})
		requireErrorKind(t, port.Conflict, err)
		require.ErrorContains(t, err, "revision 2 by ana: seats: 32 to 7")
		f.requireAudit("first", "1a-2-1")
	})
	testDocumentFixture(t, "concurrent edit by another operator", 1, 2, func(t *testing.T, f *documentFixture) {
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
	testDocumentFixture(t, "all violations are reported and nothing is stored", 1, 1, func(t *testing.T, f *documentFixture) {
		_, err := f.apply("1a", entry.EditRequest{Edit: document.PutOrganisation{Name: "open", Rate: 0, Burst: 1}, Author: "ana"})
		requireErrorKind(t, port.Invalid, err)
		var violations entry.EditViolations
		require.ErrorAs(t, err, &violations)
		require.Len(t, violations, 2)
		f.run(settleTime)
		f.requireState(1, true)
	})
}

// Guards against a wrong outcome of an edit when the store's answer is lost.
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
	testDocumentFixture(t, "another operator made a change before the retry", 1, 2, func(t *testing.T, f *documentFixture) {
		i := f.instances["1a"]
		i.set(func() { i.dropPuts = 1; i.beforePut = func() { f.changeWithoutAudit(t) } })
		_, err := f.apply("1a", setMaxFallbackHolders(7))
		requireErrorKind(t, port.Conflict, err)
		require.ErrorContains(t, err, "revision 2 by ben")
	})
	testDocumentFixture(t, "another operator made a change after the update took effect", 1, 2, func(t *testing.T, f *documentFixture) {
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
	testDocumentFixture(t, "the store does not answer again", 1, 2, func(t *testing.T, f *documentFixture) {
		i := f.instances["1a"]
		i.set(func() { i.beforePut = func() { i.set(func() { i.storeDown = true }) } })
		_, err := f.apply("1a", setMaxFallbackHolders(7))
		requireErrorKind(t, port.Unavailable, err)
		require.ErrorContains(t, err, "it is not known whether change 1a-2-1 was stored")
		f.requireAudit("first")
	})
	testDocumentFixture(t, "no data centre confirms the change", 2, 2, func(t *testing.T, f *documentFixture) {
		f.list("1a", instance.Departing)
		f.list("1b", instance.Departing)
		f.instances["2a"].kill()
		_, err := f.apply("1b", setMaxFallbackHolders(7))
		requireErrorKind(t, port.Unavailable, err)
		require.ErrorContains(t, err, "revision 2 is stored")
		f.run(settleTime)
		f.requireState(2, true)
	})
	testDocumentFixture(t, "a dead relay in the list does not block a change", 2, 2, func(t *testing.T, f *documentFixture) {
		f.instances["1a"].kill()
		_, err := f.apply("1b", setMaxFallbackHolders(7))
		require.NoError(t, err)
	})
}

// Guards against a change that is accepted before a relay has it, and against sending the full document to relays that read
// it from the store.
func TestEditorOffers(t *testing.T) {
	for name, c := range map[string]struct {
		storeDown bool
		offers    int
	}{"relay that watches the store": {false, 0}, "relay that cannot reach the store": {true, 1}} {
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

// Guards against a missing audit record, and against a record of a change that was not made.
func TestEditorAudit(t *testing.T) {
	testDocumentFixture(t, "the editor dies before it writes its record", 1, 2, func(t *testing.T, f *documentFixture) {
		f.changeWithoutAudit(t)
		f.requireAudit("first")
		f.run(entry.AuditDelay + settleTime)
		f.requireAudit("first", "elsewhere")
	})
	testDocumentFixture(t, "the next editor writes the missing record", 1, 2, func(t *testing.T, f *documentFixture) {
		f.changeWithoutAudit(t)
		d, err := f.apply("1b", setMaxFallbackHolders(9))
		require.NoError(t, err)
		f.requireAudit("first", "elsewhere", d.Change.ID)
	})
	testDocumentFixture(t, "an editor that dies while writing records leaves no gap", 1, 2, func(t *testing.T, f *documentFixture) {
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
	testDocumentFixture(t, "a refused change leaves no record", 1, 2, func(t *testing.T, f *documentFixture) {
		i := f.instances["1a"]
		i.set(func() { i.beforePut = func() { f.changeWithoutAudit(t) } })
		_, err := f.apply("1a", setMaxFallbackHolders(9))
		requireErrorKind(t, port.Conflict, err)
		f.run(entry.AuditDelay + settleTime)
		f.requireAudit("first", "elsewhere")
	})
}

// requireAudit requires that there are exactly the audit records of the given changes, starting with revision 1.
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
