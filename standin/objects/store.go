// Package objects is a stand-in for the platform's metadata store and for its call that names primaries. It speaks the
// published protocol over HTTP, keeps everything in memory, and can be told to fail.
package objects

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
)

// Meta is what the store keeps of an object.
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

// Event is a change of an object.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind     string
	revision uint64
}

// Store holds objects by kind and name. It is safe for concurrent use; the zero value is empty.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]Object
	events   []Event
	// forgotten is the revision up to which the history is gone.
	forgotten uint64
	changed   chan struct{}
}

// List returns the objects of a kind by name, and the store's revision.
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

// Set writes the spec of an object, whatever its revision.
func (s *Store) Set(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		// The stand-in's own types can always be encoded.
		panic(err)
	}
	s.Put(kind, Object{Meta: Meta{Name: name}, Spec: data})
}

// Put writes an object. With a revision in its meta it reports false, and returns the object as it is, unless that is the
// object's revision.
func (s *Store) Put(kind string, o Object) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, found := s.objects[kind][o.Meta.Name]
	if o.Meta.Revision != 0 && (!found || before.Meta.Revision != o.Meta.Revision) {
		return before, false
	}
	if found && string(before.Spec) == string(o.Spec) {
		return before, true
	}
	s.revision++
	o.Meta.Revision, o.Meta.Created = s.revision, before.Meta.Created
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
	s.note(Event{Object: o, kind: kind, revision: s.revision})
	return o, true
}

// Create writes a new object, and reports false when there is one of the name.
func (s *Store) Create(kind string, o Object) (Object, bool) {
	if before, found := s.Get(kind, o.Meta.Name); found {
		return before, false
	}
	o.Meta.Revision = 0
	return s.Put(kind, o)
}

// Delete removes an object. It reports false when the revision is neither zero nor the object's.
func (s *Store) Delete(kind, name string, revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[kind][name]
	if !found || (revision != 0 && revision != o.Meta.Revision) {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	s.note(Event{Object: o, Deleted: true, kind: kind, revision: s.revision})
	return true
}

// Compact drops the history, so that waiting from an earlier revision fails.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.forgotten = nil, s.revision
	s.wake()
}

// Since returns the events of a kind after a revision and the store's revision. It reports false when the history is
// gone. The channel is closed at the next change.
func (s *Store) Since(kind string, revision uint64) ([]Event, uint64, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	if revision < s.forgotten {
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

// note keeps an event. The lock is held.
func (s *Store) note(e Event) {
	s.events = append(s.events, e)
	s.wake()
}

func (s *Store) wake() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}
