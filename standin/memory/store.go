// Package memory provides in-memory implementations of the ports with fault injection. They run on a timer service and
// serve tests of code that embeds the packages of this module.
package memory

import (
	"bytes"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Store is an in-memory object store. Clients access it through connections. It is safe for concurrent use.
type Store struct {
	timer port.Timer

	mu        sync.Mutex
	objects   map[string]port.Object
	changed   map[string]chan struct{}
	instances []instance.Instance
	faults    Faults
	counters  Counters
}

// Counters holds the number of calls that reached the objects.
type Counters struct {
	Reads, Writes, Watches int
	// Conflicts is the number of writes that were rejected because of a version mismatch.
	Conflicts int
}

// NewStore returns an empty Store. It uses timer for delayed updates.
func NewStore(timer port.Timer) *Store {
	return &Store{timer: timer, objects: map[string]port.Object{}, changed: map[string]chan struct{}{}}
}

// Connect returns a new connection without faults. timer is the client's clock.
func (s *Store) Connect(timer port.Timer) *Conn { return &Conn{store: s, timer: timer} }

// UpdateFaults replaces the faults of all connections with the result of update.
func (s *Store) UpdateFaults(update func(Faults) Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = update(s.faults)
}

// Counters returns the number of calls since the store was created or the numbers were last reset.
func (s *Store) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// ResetCounters sets the numbers of calls to zero.
func (s *Store) ResetCounters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters = Counters{}
}

// SetInstances replaces the platform's list of instances.
func (s *Store) SetInstances(instances ...instance.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = slices.Clone(instances)
}

// Object returns an object, bypassing faults and latency. Its version is zero if it does not exist.
func (s *Store) Object(name string) port.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return clone(s.objects[name])
}

// SetObject writes an object without checking its version, as restoring a backup does.
func (s *Store) SetObject(o port.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[o.Name] = clone(o)
	s.notify(o.Name)
}

func (s *Store) get(name string) (port.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Reads++
	object, ok := s.objects[name]
	if !ok {
		return port.Object{}, port.Errorf(port.NotFound, "object %q does not exist", name)
	}
	return clone(object), nil
}

func (s *Store) put(name string, data []byte, expected port.Version) (port.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Writes++
	if err := s.checkVersion(name, expected); err != nil {
		return 0, err
	}
	s.objects[name] = clone(port.Object{Name: name, Version: expected + 1, Data: data})
	s.notify(name)
	return expected + 1, nil
}

func (s *Store) remove(name string, expected port.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Writes++
	if err := s.checkVersion(name, expected); err != nil {
		return err
	}
	delete(s.objects, name)
	s.notify(name)
	return nil
}

func (s *Store) list(prefix string) []port.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Reads++
	var objects []port.Object
	for _, name := range slices.Sorted(maps.Keys(s.objects)) {
		if strings.HasPrefix(name, prefix) {
			objects = append(objects, port.Object{Name: name, Version: s.objects[name].Version})
		}
	}
	return objects
}

// watch returns a channel that is closed once the object has a version other than seen.
func (s *Store) watch(name string, seen port.Version) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Watches++
	if s.objects[name].Version != seen {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	if _, ok := s.changed[name]; !ok {
		s.changed[name] = make(chan struct{})
	}
	return s.changed[name]
}

func (s *Store) checkVersion(name string, expected port.Version) error {
	if version := s.objects[name].Version; version != expected {
		s.counters.Conflicts++
		return port.Errorf(port.Conflict, "object %q has version %d", name, version)
	}
	return nil
}

func (s *Store) notify(name string) {
	if ch, ok := s.changed[name]; ok {
		close(ch)
		delete(s.changed, name)
	}
}

func clone(o port.Object) port.Object {
	o.Data = bytes.Clone(o.Data)
	return o
}
