package entry_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// putFault is what happens to one write.
type putFault int

const (
	loseAnswer putFault = iota + 1
	dropUpdate
)

func (i *documentInstance) putSection(ctx context.Context, name string, data []byte, expected port.Version) (port.Version, error) {
	var fault putFault
	i.set(func() {
		if len(i.sectionPuts) > 0 {
			fault, i.sectionPuts = i.sectionPuts[0], i.sectionPuts[1:]
		}
	})
	if err := i.reachStore(ctx); err != nil {
		return 0, err
	}
	if fault == dropUpdate {
		return 0, port.Failf(port.Unavailable, "update was lost")
	}
	version, err := i.fleet.put(name, data, expected)
	if fault == loseAnswer {
		return 0, port.Failf(port.Unavailable, "answer was lost")
	}
	return version, err
}

func (i *documentInstance) List(ctx context.Context, prefix string) ([]port.Object, error) {
	i.fleet.mu.Lock()
	var listed []port.Object
	for name, object := range i.fleet.objects {
		if strings.HasPrefix(name, prefix) && object.Version > 0 {
			listed = append(listed, port.Object{Name: name, Version: object.Version})
		}
	}
	i.fleet.mu.Unlock()
	return listed, i.reachStore(ctx)
}

func (i *documentInstance) Delete(ctx context.Context, name string, expected port.Version) error {
	if err := i.reachStore(ctx); err != nil {
		return err
	}
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	if current := i.fleet.objects[name].Version; current != expected {
		return port.Failf(port.Conflict, "object %s has version %d", name, current)
	}
	delete(i.fleet.objects, name)
	return nil
}

// storedDocument returns the index and the document that the store holds. The index is empty in the earlier form.
func (f *documentFleet) storedDocument() (document.SectionIndex, document.Document, port.Version) {
	object, _ := f.object(entry.DocumentObject)
	form, faults := document.ParseStored(object.Data)
	require.Empty(f.t, faults)
	if whole, ok := form.(document.Whole); ok {
		return document.SectionIndex{}, whole.Document, object.Version
	}
	ix, _ := form.(document.SectionIndex)
	sections := make(map[int]document.Section)
	for _, ref := range ix.Sections {
		stored, _ := f.object(ref.Object())
		s, faults := document.ParseSection(ref, stored.Data)
		require.Empty(f.t, faults)
		sections[ref.Number] = s
	}
	d, faults := ix.Assemble(sections)
	require.Empty(f.t, faults)
	return ix, d, object.Version
}

// changeElsewhere changes the document in the store as an editor does that dies before anything else.
func (f *documentFleet) changeElsewhere(t *testing.T) {
	t.Helper()
	ix, d, version := f.storedDocument()
	next, faults := d.WithEdit(document.SetSeats{Seats: d.Seats + 1}, document.Change{ID: "elsewhere", Author: "ben"})
	require.Empty(t, faults)
	exists := func(string) bool { return true }
	following, written, faults := ix.WithDocument(d, next, fmt.Sprintf("elsewhere-%d", next.Revision), exists)
	require.Empty(t, faults)
	for _, s := range written {
		_, err := f.put(s.Ref.Object(), s.Data, 0)
		require.NoError(t, err)
	}
	data, faults := document.EncodeIndex(following)
	require.Empty(t, faults)
	_, err := f.put(entry.DocumentObject, data, version)
	require.NoError(t, err)
}
