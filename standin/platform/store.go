// Package platform is a stand-in for the platform's object store, for tests. Store implements port.Store in-process;
// Handler serves it over HTTP together with an API for fault injection.
package platform

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	// MaxValueSize is the maximum size of an object in bytes.
	MaxValueSize = 1 << 20
	// MaxWait is the maximum timeout of a watch.
	MaxWait = time.Minute
	// commandCapacity is the capacity of the command ring; callers block while it is full.
	commandCapacity = 1024
)

// ErrResponseLost is the cause of an Unavailable error if an update took effect and its response was lost.
var ErrResponseLost = errors.New("response was lost")

// Counters holds the number of calls since the store was created.
type Counters struct {
	Reads          uint64 `json:"reads"`
	Writes         uint64 `json:"writes"`
	Watches        uint64 `json:"watches"`
	WatchesWaiting int    `json:"watches_waiting"`
	Refused        uint64 `json:"refused"`
}

// Store is an in-memory object store. One goroutine owns its state and processes commands from one ring. Use New, then
// Run.
type Store struct {
	timer    port.Timer
	commands *ring.Ring[call]

	// The fields below are accessed only by loop.
	objects       map[string]port.Object
	deleted       map[string]port.Version
	instanceLists []instanceList
	watchers      []watcher
	faults        Faults
	counters      Counters
	delayed       []delayedCall
}

var _ port.Store = (*Store)(nil)

// instanceList is a list of instances with the time at which it was set.
type instanceList struct {
	setAt     time.Duration
	instances []instance.Instance
}

// watcher is a pending watch.
type watcher struct {
	call    call
	command watchCommand
}

// delayedCall is a call that is processed at a later time because of an injected delay.
type delayedCall struct {
	call call
	at   time.Duration
}

// New returns an empty store.
func New(timer port.Timer) *Store {
	return &Store{
		timer:    timer,
		commands: ring.New[call](commandCapacity),
		objects:  make(map[string]port.Object),
		deleted:  make(map[string]port.Version),
	}
}

// Run processes commands until ctx is done.
func (s *Store) Run(ctx context.Context) {
	const period = 100 * time.Millisecond // limits how late a deadline is noticed if its own tick was dropped
	stop := s.timer.Every(period, s.wake)
	defer stop()
	s.loop(ctx)
}

// Get returns the object with the given name.
func (s *Store) Get(ctx context.Context, name string) (port.Object, error) {
	r, err := s.do(ctx, newCall(getCommand{name: name}))
	return r.object, err
}

// Put writes an object if its current version equals expected, and returns the new version.
func (s *Store) Put(ctx context.Context, name string, data []byte, expected port.Version) (port.Version, error) {
	r, err := s.do(ctx, newCall(putCommand{name: name, data: slices.Clone(data), expected: expected}))
	return r.object.Version, err
}

// Delete removes an object if its current version equals expected.
func (s *Store) Delete(ctx context.Context, name string, expected port.Version) error {
	_, err := s.do(ctx, newCall(deleteCommand{name: name, expected: expected}))
	return err
}

// Watch waits at most wait until the object has a version other than seen. A deleted object has version zero.
func (s *Store) Watch(
	ctx context.Context, name string, seen port.Version, wait time.Duration,
) (port.Object, bool, error) {
	until := s.timer.Now() + min(wait, MaxWait)
	c := newCall(watchCommand{name: name, seen: seen, until: until})
	r, err := s.do(ctx, c)
	if ctx.Err() != nil {
		// If the ring is full, the watch ends at its timeout.
		s.commands.TryPut(newCall(cancelWatchCommand{watch: c.responses}))
	}
	return r.object, r.changed, err
}

// List returns the objects whose names start with prefix, sorted by name and without their data.
func (s *Store) List(ctx context.Context, prefix string) ([]port.Object, error) {
	r, err := s.do(ctx, newCall(listCommand{prefix: prefix}))
	return r.objects, err
}

// Instances returns the list of instances, delayed by the injected lag.
func (s *Store) Instances(ctx context.Context) ([]instance.Instance, error) {
	r, err := s.do(ctx, newCall(instancesCommand{}))
	return r.instances, err
}

// SetInstances replaces the list of instances.
func (s *Store) SetInstances(ctx context.Context, instances []instance.Instance) error {
	_, err := s.do(ctx, newCall(setInstancesCommand{instances: slices.Clone(instances)}))
	return err
}

// SetFaults replaces the active faults with the result of update.
func (s *Store) SetFaults(ctx context.Context, update func(Faults) Faults) error {
	_, err := s.do(ctx, newCall(faultsCommand{update: update}))
	return err
}

// Counters returns the counters.
func (s *Store) Counters(ctx context.Context) (Counters, error) {
	r, err := s.do(ctx, newCall(countersCommand{}))
	return r.counters, err
}

// do sends a command to loop and waits for the response. If ctx is done first, the command may still be executed.
func (s *Store) do(ctx context.Context, c call) (response, error) {
	if err := s.commands.Put(ctx, c); err != nil {
		return response{}, port.Wrapf(err, port.Unavailable, "store did not take the command")
	}
	r, err := c.responses.Take(ctx)
	if err != nil {
		return response{}, port.Wrapf(err, port.Unavailable, "store did not answer")
	}
	return r, r.err
}

func (s *Store) wake(time.Duration) { s.commands.TryPut(newCall(tick{})) }

func (s *Store) wakeAfter(d time.Duration) {
	if d > 0 {
		s.timer.After(d, s.wake)
	}
}

func (s *Store) loop(ctx context.Context) {
	for {
		c, err := s.commands.Take(ctx)
		if err != nil {
			return
		}
		s.dispatch(c)
		s.handleDelayed()
		s.respondToWatchers()
	}
}

// dispatch executes administrative commands at once. Faults apply to all other commands.
func (s *Store) dispatch(c call) {
	switch command := c.command.(type) {
	case tick:
	case cancelWatchCommand:
		s.cancelWatch(command.watch)
	case setInstancesCommand:
		s.instanceLists = append(s.instanceLists, instanceList{setAt: s.timer.Now(), instances: command.instances})
		c.respond(response{})
	case faultsCommand:
		s.faults = command.update(s.faults)
		c.respond(response{})
	case countersCommand:
		counters := s.counters
		counters.WatchesWaiting = len(s.watchers)
		c.respond(response{counters: counters})
	default:
		s.handleAfterDelay(c)
	}
}

func (s *Store) handleAfterDelay(c call) {
	if s.faults.delay <= 0 {
		s.handle(c)
		return
	}
	s.delayed = append(s.delayed, delayedCall{call: c, at: s.timer.Now() + s.faults.delay})
	s.wakeAfter(s.faults.delay)
}

func (s *Store) handleDelayed() {
	now := s.timer.Now()
	waiting := s.delayed[:0]
	for _, d := range s.delayed {
		if d.at > now {
			waiting = append(waiting, d)
			continue
		}
		s.handle(d.call)
	}
	clear(s.delayed[len(waiting):])
	s.delayed = waiting
}

func (s *Store) handle(c call) {
	if s.faults.down {
		s.counters.Refused++
		c.respond(response{err: unavailableError()})
		return
	}
	switch command := c.command.(type) {
	case getCommand:
		s.counters.Reads++
		c.respond(s.get(command.name))
	case listCommand:
		s.counters.Reads++
		c.respond(s.list(command.prefix))
	case instancesCommand:
		s.counters.Reads++
		c.respond(response{instances: s.laggedInstances()})
	case watchCommand:
		s.watch(c, command)
	case putCommand:
		s.counters.Writes++
		c.respond(s.loseResponse(s.put(command)))
	case deleteCommand:
		s.counters.Writes++
		c.respond(s.loseResponse(s.remove(command)))
	}
}

func (s *Store) get(name string) response {
	object, ok := s.objects[name]
	if !ok {
		return response{err: port.Errorf(port.NotFound, "object %q does not exist", name)}
	}
	return response{object: object}
}

func (s *Store) put(c putCommand) response {
	if len(c.data) > MaxValueSize {
		return response{err: port.Errorf(port.TooLarge, "object %q of %d bytes is larger than %d", c.name, len(c.data), MaxValueSize)}
	}
	if current := s.objects[c.name].Version; current != c.expected {
		return response{err: conflictError(c.name, c.expected, current)}
	}
	// The versions of a deleted object continue, so that a version never identifies two values.
	version := max(c.expected, s.deleted[c.name]) + 1
	object := port.Object{Name: c.name, Version: version, Data: c.data}
	s.objects[c.name] = object
	return response{object: object}
}

func (s *Store) remove(c deleteCommand) response {
	current, ok := s.objects[c.name]
	if !ok {
		return response{err: port.Errorf(port.NotFound, "object %q does not exist", c.name)}
	}
	if current.Version != c.expected {
		return response{err: conflictError(c.name, c.expected, current.Version)}
	}
	delete(s.objects, c.name)
	s.deleted[c.name] = current.Version
	return response{}
}

// loseResponse replaces the response to a successful update with an error while lost responses are injected.
func (s *Store) loseResponse(r response) response {
	if r.err != nil || s.faults.lostResponses < 1 {
		return r
	}
	s.faults = s.faults.WithLostResponses(s.faults.lostResponses - 1)
	return response{err: port.Wrapf(ErrResponseLost, port.Unavailable, "store did not answer")}
}

func (s *Store) list(prefix string) response {
	var objects []port.Object
	for name, object := range s.objects {
		if strings.HasPrefix(name, prefix) {
			objects = append(objects, port.Object{Name: name, Version: object.Version})
		}
	}
	slices.SortFunc(objects, func(a, b port.Object) int { return strings.Compare(a.Name, b.Name) })
	return response{objects: objects}
}

// laggedInstances returns the latest list that is at least as old as the lag, and discards older ones.
func (s *Store) laggedInstances() []instance.Instance {
	before := s.timer.Now() - s.faults.instancesLag
	for len(s.instanceLists) > 1 && s.instanceLists[1].setAt <= before {
		s.instanceLists = s.instanceLists[1:]
	}
	if len(s.instanceLists) == 0 || s.instanceLists[0].setAt > before {
		return nil
	}
	return s.instanceLists[0].instances
}

func (s *Store) watch(c call, command watchCommand) {
	s.counters.Watches++
	if s.faults.maxWatches > 0 && len(s.watchers) >= s.faults.maxWatches {
		s.counters.Refused++
		c.respond(response{err: port.Errorf(port.OverRate, "store has no more than %d watches", s.faults.maxWatches)})
		return
	}
	s.watchers = append(s.watchers, watcher{call: c, command: command})
	s.wakeAfter(command.until - s.timer.Now())
}

// respondToWatchers answers every watch whose object has a different version and every watch that timed out.
func (s *Store) respondToWatchers() {
	now := s.timer.Now()
	waiting := s.watchers[:0]
	for _, w := range s.watchers {
		current, exists := s.objects[w.command.name]
		switch {
		case s.faults.down:
			w.call.respond(response{err: unavailableError()})
		case exists && current.Version != w.command.seen:
			w.call.respond(response{object: current, changed: true})
		case !exists && w.command.seen != 0:
			w.call.respond(response{object: port.Object{Name: w.command.name}, changed: true})
		case now >= w.command.until:
			w.call.respond(response{})
		default:
			waiting = append(waiting, w)
		}
	}
	clear(s.watchers[len(waiting):])
	s.watchers = waiting
}

func (s *Store) cancelWatch(responses *ring.Ring[response]) {
	s.watchers = slices.DeleteFunc(s.watchers, func(w watcher) bool { return w.call.responses == responses })
}

func unavailableError() error { return port.Errorf(port.Unavailable, "store is down") }

func conflictError(name string, expected, current port.Version) error {
	return port.Errorf(port.Conflict, "object %q has version %d, expected %d", name, current, expected)
}
