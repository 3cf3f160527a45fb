// Package memory provides stand-ins for the ports that run in memory on a timer service, for tests of code that embeds
// the decision and duty packages.
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

// Store is one object space in memory. Clients reach it through lines. It is safe for concurrent use.
type Store struct {
	timer port.Timer

	mu        sync.Mutex
	objects   map[string]port.Object
	changed   map[string]chan struct{}
	instances []instance.Instance
	faults    Faults
	counts    Counters
}

// Counters are the numbers of calls that reached the objects.
type Counters struct {
	Reads, Writes, Watches int
	// Conflicts counts the writes that were refused because of their version.
	Conflicts int
}

// NewStore returns an empty store. Late updates take effect on timer.
func NewStore(timer port.Timer) *Store {
	return &Store{timer: timer, objects: map[string]port.Object{}, changed: map[string]chan struct{}{}}
}

// Connect returns a new line to the store without faults. timer is the client's own clock.
func (s *Store) Connect(timer port.Timer) *Conn { return &Conn{store: s, timer: timer} }

// UpdateFaults replaces the faults that all lines share.
func (s *Store) UpdateFaults(change func(Faults) Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = change(s.faults)
}

// Counters returns the numbers of calls since the start or since ResetCounts.
func (s *Store) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// ResetCounters sets the counts to zero.
func (s *Store) ResetCounters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts = Counters{}
}

// SetInstances replaces the platform's list of instances.
func (s *Store) SetInstances(instances ...instance.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = slices.Clone(instances)
}

// Object returns an object without any fault or latency. Its version is zero when it does not exist.
func (s *Store) Object(name string) port.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return copied(s.objects[name])
}

// SetObject puts an object in place without a check of its version, as a restored backup does.
func (s *Store) SetObject(o port.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[o.Name] = copied(o)
	s.notify(o.Name)
}

func (s *Store) get(name string) (port.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	object, ok := s.objects[name]
	if !ok {
		return port.Object{}, port.Errorf(port.NotFound, "object %q does not exist", name)
	}
	return copied(object), nil
}

func (s *Store) put(name string, data []byte, expected port.Version) (port.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	if err := s.expect(name, expected); err != nil {
		return 0, err
	}
	s.objects[name] = copied(port.Object{Name: name, Version: expected + 1, Data: data})
	s.notify(name)
	return expected + 1, nil
}

func (s *Store) remove(name string, expected port.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	if err := s.expect(name, expected); err != nil {
		return err
	}
	delete(s.objects, name)
	s.notify(name)
	return nil
}

func (s *Store) list(prefix string) []port.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	var listed []port.Object
	for _, name := range slices.Sorted(maps.Keys(s.objects)) {
		if strings.HasPrefix(name, prefix) {
			listed = append(listed, port.Object{Name: name, Version: s.objects[name].Version})
		}
	}
	return listed
}

// watch returns a channel that is closed when the object has another version than seen.
func (s *Store) watch(name string, seen port.Version) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Watches++
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

func (s *Store) expect(name string, expected port.Version) error {
	if version := s.objects[name].Version; version != expected {
		s.counts.Conflicts++
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

func copied(o port.Object) port.Object {
	o.Data = bytes.Clone(o.Data)
	return o
}
