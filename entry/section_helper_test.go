package entry_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// writeFault is the fault of one write.
type writeFault int

const (
	loseAnswer writeFault = iota + 1
	dropUpdate
)

func (i *documentInstance) putSection(ctx context.Context, name string, data []byte, expected port.Version) (port.Version, error) {
	var fault writeFault
	i.set(func() {
		if len(i.sectionPuts) > 0 {
			fault, i.sectionPuts = i.sectionPuts[0], i.sectionPuts[1:]
		}
	})
	if err := i.reachStore(ctx); err != nil {
		return 0, err
	}
	if fault == dropUpdate {
		return 0, port.Errorf(port.Unavailable, "update was lost")
	}
	version, err := i.fixture.put(name, data, expected)
	if fault == loseAnswer {
		return 0, port.Errorf(port.Unavailable, "answer was lost")
	}
	return version, err
}

func (i *documentInstance) List(ctx context.Context, prefix string) ([]port.Object, error) {
	i.fixture.mu.Lock()
	var listed []port.Object
	for name, object := range i.fixture.objects {
		if strings.HasPrefix(name, prefix) && object.Version > 0 {
			listed = append(listed, port.Object{Name: name, Version: object.Version})
		}
	}
	i.fixture.mu.Unlock()
	return listed, i.reachStore(ctx)
}

func (i *documentInstance) Delete(ctx context.Context, name string, expected port.Version) error {
	if err := i.reachStore(ctx); err != nil {
		return err
	}
	i.fixture.mu.Lock()
	defer i.fixture.mu.Unlock()
	if current := i.fixture.objects[name].Version; current != expected {
		return port.Errorf(port.Conflict, "object %s has version %d", name, current)
	}
	delete(i.fixture.objects, name)
	return nil
}

// storedDocument returns the stored index and document. The index is empty if the document is a single object.
func (f *documentFixture) storedDocument() (document.SectionIndex, document.Document, port.Version) {
	object, _ := f.object(entry.DocumentObject)
	form, violations := document.ParseStored(object.Data)
	require.Empty(f.t, violations)
	if single, ok := form.(document.SingleObject); ok {
		return document.SectionIndex{}, single.Document, object.Version
	}
	ix, _ := form.(document.SectionIndex)
	sections := make(map[int]document.Section)
	for _, ref := range ix.Sections {
		stored, _ := f.object(ref.ObjectName())
		s, violations := document.ParseSection(ref, stored.Data)
		require.Empty(f.t, violations)
		sections[ref.Number] = s
	}
	d, violations := ix.Assemble(sections)
	require.Empty(f.t, violations)
	return ix, d, object.Version
}

// changeWithoutAudit changes the document in the store like an editor that dies before it writes the audit record.
func (f *documentFixture) changeWithoutAudit(t *testing.T) {
	t.Helper()
	ix, d, version := f.storedDocument()
	next, violations := d.WithEdit(document.SetMaxFallbackHolders{MaxFallbackHolders: d.MaxFallbackHolders + 1}, document.Change{ID: "elsewhere", Author: "ben"})
	require.Empty(t, violations)
	exists := func(string) bool { return true }
	nextIndex, written, violations := ix.WithDocument(d, next, fmt.Sprintf("elsewhere-%d", next.Revision), exists)
	require.Empty(t, violations)
	for _, s := range written {
		_, err := f.put(s.Ref.ObjectName(), s.Data, 0)
		require.NoError(t, err)
	}
	data, violations := document.EncodeIndex(nextIndex)
	require.Empty(t, violations)
	_, err := f.put(entry.DocumentObject, data, version)
	require.NoError(t, err)
}

// putOrganisation returns an edit that changes the section of the organisation.
func putOrganisation(name string, rate float64) entry.EditRequest {
	return entry.EditRequest{Edit: document.PutOrganisation{Name: name, Rate: rate, Burst: 5}, Author: "ana"}
}

// sectionNames returns the names of the sections in the store.
func (f *documentFixture) sectionNames() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.objects {
		if strings.HasPrefix(name, document.SectionPrefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (f *documentFixture) removeSections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.objects, func(name string, _ port.Object) bool { return strings.HasPrefix(name, document.SectionPrefix) })
}

// restore replaces the document object by an earlier one, as if the store was restored from a backup.
func (f *documentFixture) restore(backup port.Object) {
	current, _ := f.object(entry.DocumentObject)
	_, err := f.put(entry.DocumentObject, backup.Data, current.Version)
	require.NoError(f.t, err)
}

// collectGarbage runs a garbage collection at an instance while the clock advances.
func (f *documentFixture) collectGarbage(name string) (int, error) {
	var removed int
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		removed, err = f.instances[name].gc.Collect(f.ctx)
	}()
	f.runUntil(done)
	return removed, err
}

// requireStored requires that the revision is stored completely, and that a restarted instance can read it.
func (f *documentFixture) requireStored(name string, r document.Revision) document.SectionIndex {
	ix, d, _ := f.storedDocument()
	require.Equal(f.t, r, d.Revision)
	require.NotEmpty(f.t, ix.Sections, "the document is stored as a single object")
	restarted := f.restart(name)
	f.run(settleTime)
	f.requireState(r, true)
	want, violations := document.Encode(d)
	require.Empty(f.t, violations)
	got, violations := document.Encode(restarted.follower.Document())
	require.Empty(f.t, violations)
	require.JSONEq(f.t, string(want), string(got))
	return ix
}

// requireCollected requires that the store contains exactly the sections of the index.
func (f *documentFixture) requireCollected(ix document.SectionIndex) {
	require.Empty(f.t, ix.Unreferenced(f.sectionNames()))
	require.Len(f.t, f.sectionNames(), len(ix.Sections))
}

// applyDuringGC applies an edit and runs a garbage collection between the writes of its sections and its index.
func (f *documentFixture) applyDuringGC(name string, r entry.EditRequest) {
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	i, gc := f.instances[name], f.instances["1a"].gc
	i.set(func() { i.beforePut = func() { _, _ = gc.Collect(ctx) } })
	_, _ = f.apply(name, r)
	i.set(func() { i.beforePut = nil })
}
