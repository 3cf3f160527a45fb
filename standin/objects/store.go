// Package objects is a stand-in for the platform's metadata store and its promotion call. It implements the published
// HTTP protocol, keeps all data in memory, and supports fault injection.
package objects

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
)

// Meta is the metadata of an object.
type Meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// Object is a stored object.
type Object struct {
	Meta   Meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// Event is an update or a deletion of an object.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind     string
	revision uint64
}

// Store holds objects by kind and name. It is safe for concurrent use. The zero value is an empty store.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]Object
	events   []Event
	// compacted is the revision up to which the events have been discarded.
	compacted uint64
	changed   chan struct{}
}

// List returns the objects of a kind, sorted by name, and the revision of the store.
func (s *Store) List(kind string) ([]Object, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []Object
	for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		items = append(items, s.objects[kind][name])
	}
	return items, s.revision
}

// Get returns an object.
func (s *Store) Get(kind, name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[kind][name]
	return o, found
}

// Set writes the spec of an object regardless of its revision.
func (s *Store) Set(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		// Callers pass only types that can be encoded.
		panic(err)
	}
	s.Put(kind, Object{Meta: Meta{Name: name}, Spec: data})
}

// Put writes an object. If the metadata contains a revision that is not the current one, it returns the current object
// and false.
func (s *Store) Put(kind string, o Object) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, found := s.objects[kind][o.Meta.Name]
	if o.Meta.Revision != 0 && (!found || current.Meta.Revision != o.Meta.Revision) {
		return current, false
	}
	if found && string(current.Spec) == string(o.Spec) {
		return current, true
	}
	s.revision++
	o.Meta.Revision, o.Meta.Created = s.revision, current.Meta.Created
	if !found {
		o.Meta.Created = s.revision
	}
	if s.objects == nil {
		s.objects = make(map[string]map[string]Object)
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	s.objects[kind][o.Meta.Name] = o
	s.appendEvent(Event{Object: o, kind: kind, revision: s.revision})
	return o, true
}

// Create writes a new object. If an object of this name exists, it returns that object and false.
func (s *Store) Create(kind string, o Object) (Object, bool) {
	if current, found := s.Get(kind, o.Meta.Name); found {
		return current, false
	}
	o.Meta.Revision = 0
	return s.Put(kind, o)
}

// Delete removes an object. It returns false if the object does not exist or the revision is neither zero nor the
// current one.
func (s *Store) Delete(kind, name string, revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[kind][name]
	if !found || (revision != 0 && revision != o.Meta.Revision) {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	s.appendEvent(Event{Object: o, Deleted: true, kind: kind, revision: s.revision})
	return true
}

// Compact discards all events, so that a watch from an earlier revision fails.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.compacted = nil, s.revision
	s.notify()
}

// EventsSince returns the events of a kind after a revision, and the current revision. It returns false if these events
// have been discarded. The channel is closed at the next update.
func (s *Store) EventsSince(kind string, revision uint64) ([]Event, uint64, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	if revision < s.compacted {
		return nil, s.revision, s.changed, false
	}
	var events []Event
	for _, e := range s.events {
		if e.kind == kind && e.revision > revision {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed, true
}

// appendEvent must be called with the lock held.
func (s *Store) appendEvent(e Event) {
	s.events = append(s.events, e)
	s.notify()
}

func (s *Store) notify() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}
