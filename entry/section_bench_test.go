package entry_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
)

var targetSizes = []int{1000, 4500}

// Measures a change of one organisation: the store calls, bytes and CPU time of the editor and of one relay.
func BenchmarkStoredChange(b *testing.B) {
	for _, n := range targetSizes {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			m := &memoryStore{objects: map[string]port.Object{}, changed: make(chan struct{})}
			editor, relay := m.start(b, "a"), m.start(b, "b")
			editor.replaceDocument(b, n)
			relay.awaitRevision(b, 1)
			editor.awaitRevision(b, 1)
			*editor.stats, *relay.stats = storeStats{}, storeStats{}
			var editing, relaying time.Duration
			revision := document.Revision(1)
			for b.Loop() {
				revision++
				relay.watchMu.Lock()
				startedAt := processorTime(b)
				_, err := editor.editor.Apply(b.Context(), putOrganisation("o7", float64(revision)))
				require.NoError(b, err)
				editedAt := processorTime(b)
				relay.watchMu.Unlock()
				relay.awaitRevision(b, revision)
				editing += editedAt - startedAt
				relaying += processorTime(b) - editedAt
			}
			b.ReportMetric(float64(editor.stats.calls.Load())/float64(b.N), "editor-calls/change")
			b.ReportMetric(float64(editor.stats.read.Load())/float64(b.N), "editor-read-B/change")
			b.ReportMetric(float64(editor.stats.written.Load())/float64(b.N), "editor-written-B/change")
			b.ReportMetric(float64(relay.stats.calls.Load())/float64(b.N), "relay-calls/change")
			b.ReportMetric(float64(relay.stats.read.Load())/float64(b.N), "relay-read-B/change")
			b.ReportMetric(float64(editing.Microseconds())/1000/float64(b.N), "editor-cpu-ms/change")
			b.ReportMetric(float64(relaying.Microseconds())/1000/float64(b.N), "relay-cpu-ms/change")
		})
	}
}

// Measures what a relay without a document reads at start-up.
func BenchmarkStoredStart(b *testing.B) {
	for _, n := range targetSizes {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			m := &memoryStore{objects: map[string]port.Object{}, changed: make(chan struct{})}
			m.start(b, "a").replaceDocument(b, n)
			var calls, read int64
			startedAt := processorTime(b)
			for b.Loop() {
				relay := m.start(b, "b")
				relay.awaitRevision(b, 1)
				calls += relay.stats.calls.Load()
				read += relay.stats.read.Load()
			}
			b.ReportMetric(float64(calls)/float64(b.N), "calls/start")
			b.ReportMetric(float64(read)/float64(b.N), "read-B/start")
			b.ReportMetric(float64((processorTime(b)-startedAt).Microseconds())/1000/float64(b.N), "cpu-ms/start")
		})
	}
}

// memoryStore is a store without faults or delays.
type memoryStore struct {
	mu      sync.Mutex
	objects map[string]port.Object
	changed chan struct{}
}

type storeStats struct{ calls, read, written atomic.Int64 }

// benchInstance is an instance with an editor. Its watches are blocked while watchMu is locked.
type benchInstance struct {
	*memoryStore
	follower *entry.Follower
	editor   *entry.Editor
	watchMu  sync.Mutex
	stats    *storeStats
}

func (m *memoryStore) start(b *testing.B, name string) *benchInstance {
	b.Helper()
	i := &benchInstance{memoryStore: m, stats: &storeStats{}}
	self := instance.Instance{Incarnation: name, Address: name, DataCentre: "dc", State: instance.Live}
	timer := &clock.Fake{}
	i.follower = entry.NewFollower(entry.FollowerConfig{Self: self, Store: i, Relays: i, Timer: timer})
	ids := 0
	i.editor = entry.NewEditor(entry.EditorConfig{
		Self: self, Store: i, Relays: i, Follower: i.follower, Timer: timer,
		Wall:  func() time.Time { return time.Unix(0, 0) },
		NewID: func() string { ids++; return fmt.Sprintf("%s-%013d", name, ids) },
	})
	ctx, cancel := context.WithCancel(b.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		i.follower.Run(ctx)
	}()
	b.Cleanup(func() {
		cancel()
		<-stopped
	})
	return i
}

// replaceDocument replaces the document by one with n organisations and groups.
func (i *benchInstance) replaceDocument(b *testing.B, n int) {
	b.Helper()
	_, err := i.editor.Apply(b.Context(), entry.EditRequest{Edit: document.Replace{Document: documentOfSize(n)}, Author: "ana"})
	if port.KindOf(err) == port.Invalid {
		b.Skip("the document is too large: ", err)
	}
	require.NoError(b, err)
}

func (i *benchInstance) awaitRevision(b *testing.B, r document.Revision) {
	b.Helper()
	_, err := i.follower.WaitForRevision(b.Context(), r)
	require.NoError(b, err)
}

func (i *benchInstance) countRead(o port.Object) port.Object {
	i.stats.calls.Add(1)
	i.stats.read.Add(int64(len(o.Data)))
	return o
}

func (i *benchInstance) Get(_ context.Context, name string) (port.Object, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	o, found := i.objects[name]
	if !found {
		i.countRead(o)
		return o, port.Errorf(port.NotFound, "no object %s", name)
	}
	return i.countRead(o), nil
}

func (i *benchInstance) Put(_ context.Context, name string, data []byte, expected port.Version) (port.Version, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stats.calls.Add(1)
	i.stats.written.Add(int64(len(data)))
	if i.objects[name].Version != expected {
		return 0, port.Errorf(port.Conflict, "object %s has changed", name)
	}
	i.objects[name] = port.Object{Name: name, Version: expected + 1, Data: data}
	close(i.changed)
	i.changed = make(chan struct{})
	return expected + 1, nil
}

func (i *benchInstance) Delete(context.Context, string, port.Version) error { return nil }

func (i *benchInstance) Watch(ctx context.Context, name string, seen port.Version, _ time.Duration) (port.Object, bool, error) {
	for {
		i.watchMu.Lock()
		i.mu.Lock()
		o, changed := i.objects[name], i.changed
		i.mu.Unlock()
		i.watchMu.Unlock()
		if o.Version != seen {
			return i.countRead(o), true, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return port.Object{}, false, context.Cause(ctx)
		}
	}
}

// List counts the length of the names as bytes read.
func (i *benchInstance) List(_ context.Context, prefix string) ([]port.Object, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stats.calls.Add(1)
	var listed []port.Object
	for name, o := range i.objects {
		if strings.HasPrefix(name, prefix) {
			i.stats.read.Add(int64(len(name)))
			listed = append(listed, port.Object{Name: name, Version: o.Version})
		}
	}
	return listed, nil
}

func (i *benchInstance) Instances(context.Context) ([]instance.Instance, error) {
	return []instance.Instance{
		{Incarnation: "a", Address: "a", DataCentre: "dc", State: instance.Live},
		{Incarnation: "b", Address: "b", DataCentre: "dc", State: instance.Live},
	}, nil
}

// Follow returns the next revision without its document, so that relays read it from the store.
func (i *benchInstance) Follow(_ context.Context, _ string, request entry.FollowRequest) (entry.FollowResponse, error) {
	return entry.FollowResponse{Revision: request.KnownRevision + 1}, nil
}

// Offer reports success without sending the document.
func (i *benchInstance) Offer(_ context.Context, _ string, d document.Document) (document.Revision, error) {
	return d.Revision, nil
}

// processorTime returns the CPU time that the process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// documentOfSize returns a document with n organisations of two keys each and n groups of three servers each.
func documentOfSize(n int) document.Document {
	d := document.Document{MaxFallbackHolders: document.DefaultMaxFallbackHolders}
	for i := range n {
		d = withOrganisationAndGroup(d, i)
	}
	return d
}

func withOrganisationAndGroup(d document.Document, i int) document.Document {
	o := document.Organisation{Name: fmt.Sprintf("o%d", i), Rate: 100, Burst: 200}
	g := document.Group{Name: fmt.Sprintf("g%d", i), Slots: []string{"s"}}
	for k := range 2 {
		o.Keys = append(o.Keys, document.Key{ID: fmt.Sprintf("k%d", k), SHA256: fmt.Sprintf("%064x", 2*i+k)})
	}
	for s := range 3 {
		g.Servers = append(g.Servers, document.Server{
			Name: fmt.Sprintf("server-%d", s), Address: fmt.Sprintf("10.%d.%d.%d:5432", s, i>>8, i&255),
			DataCentre: fmt.Sprintf("dc%d", s), Connections: 50,
		})
	}
	d.Organisations = append(d.Organisations, o)
	d.Groups = append(d.Groups, g)
	d.Routes = append(d.Routes, document.Route{Name: fmt.Sprintf("r%d", i), Group: g.Name, Slot: "s", Kind: document.Write})
	return d
}
