// Package platform is a stand-in of the platform's object store for tests. Its core works in-process as a port.Store;
// a handler wraps it for HTTP and for commanded faults.
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
	// MaxValue bounds the size of an object.
	MaxValue = 1 << 20
	// MaxWait bounds how long a watch waits.
	MaxWait = time.Minute
	// commandCapacity bounds what waits for the core; callers block while it is full.
	commandCapacity = 1024
)

// ErrLost is the cause of an Unavailable error when an update took effect and its answer was lost.
var ErrLost = errors.New("answer was lost")

// Counters count calls since the start.
type Counters struct {
	Reads          uint64 `json:"reads"`
	Writes         uint64 `json:"writes"`
	Watches        uint64 `json:"watches"`
	WatchesWaiting int    `json:"watches_waiting"`
	Refused        uint64 `json:"refused"`
}

// Store is the core of the stand-in. One duty owns its state and takes commands from one ring. Use New, then Run.
type Store struct {
	timer    port.Timer
	commands *ring.Ring[call]

	// The fields below are owned by the core's duty.
	objects   map[string]port.Object
	deleted   map[string]port.Version
	listings  []listing
	watchers  []watcher
	faults    Faults
	counters  Counters
	releasing []delayed
}

var _ port.Store = (*Store)(nil)

// listing is a list of instances and when it was set.
type listing struct {
	set       time.Duration
	instances []instance.Instance
}

// watcher is a watch that waits.
type watcher struct {
	call  call
	watch watchCommand
}

// delayed is a call that waits because the store is slow.
type delayed struct {
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

// Run carries out commands until ctx ends.
func (s *Store) Run(ctx context.Context) {
	const period = 100 * time.Millisecond // bounds how late a deadline is seen when its own tick was dropped
	stop := s.timer.Every(period, s.wake)
	defer stop()
	s.loop(ctx)
}

// Get reads an object.
func (s *Store) Get(ctx context.Context, name string) (port.Object, error) {
	a, err := s.do(ctx, newCall(getCommand{name: name}))
	return a.object, err
}

// Put writes an object if its version is still expected, and returns the new version.
func (s *Store) Put(ctx context.Context, name string, data []byte, expected port.Version) (port.Version, error) {
	a, err := s.do(ctx, newCall(putCommand{name: name, data: slices.Clone(data), expected: expected}))
	return a.object.Version, err
}

// Delete removes an object if its version is still expected.
func (s *Store) Delete(ctx context.Context, name string, expected port.Version) error {
	_, err := s.do(ctx, newCall(deleteCommand{name: name, expected: expected}))
	return err
}

// Watch waits up to wait for a version other than seen. An object that was deleted has version zero.
func (s *Store) Watch(
	ctx context.Context, name string, seen port.Version, wait time.Duration,
) (port.Object, bool, error) {
	until := s.timer.Now() + min(wait, MaxWait)
	c := newCall(watchCommand{name: name, seen: seen, until: until})
	a, err := s.do(ctx, c)
	if ctx.Err() != nil {
		// When the ring is full the watch ends with its time.
		s.commands.TryPut(newCall(leaveCommand{watch: c.answers}))
	}
	return a.object, a.changed, err
}

// List returns the objects whose names start with prefix, without their data, in order of their names.
func (s *Store) List(ctx context.Context, prefix string) ([]port.Object, error) {
	a, err := s.do(ctx, newCall(listCommand{prefix: prefix}))
	return a.objects, err
}

// Instances returns the list of instances as it was before the lag.
func (s *Store) Instances(ctx context.Context) ([]instance.Instance, error) {
	a, err := s.do(ctx, newCall(instancesCommand{}))
	return a.instances, err
}

// SetInstances replaces the list of instances.
func (s *Store) SetInstances(ctx context.Context, instances []instance.Instance) error {
	_, err := s.do(ctx, newCall(setInstancesCommand{instances: slices.Clone(instances)}))
	return err
}

// SetFaults changes the faults in force.
func (s *Store) SetFaults(ctx context.Context, change func(Faults) Faults) error {
	_, err := s.do(ctx, newCall(faultsCommand{change: change}))
	return err
}

// Counters returns the counters.
func (s *Store) Counters(ctx context.Context) (Counters, error) {
	a, err := s.do(ctx, newCall(countersCommand{}))
	return a.counters, err
}

// do carries out a command in the core's duty. When ctx ends first the command may still be carried out.
func (s *Store) do(ctx context.Context, c call) (answer, error) {
	if err := s.commands.Put(ctx, c); err != nil {
		return answer{}, port.Wrapf(err, port.Unavailable, "store did not take the command")
	}
	a, err := c.answers.Take(ctx)
	if err != nil {
		return answer{}, port.Wrapf(err, port.Unavailable, "store did not answer")
	}
	return a, a.err
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
		s.admit(c)
		s.releaseDelayed()
		s.answerWatchers()
	}
}

// admit carries out administration at once, and everything else after the faults had their effect.
func (s *Store) admit(c call) {
	switch command := c.command.(type) {
	case tick:
	case leaveCommand:
		s.leave(command.watch)
	case setInstancesCommand:
		s.listings = append(s.listings, listing{set: s.timer.Now(), instances: command.instances})
		c.answer(answer{})
	case faultsCommand:
		s.faults = command.change(s.faults)
		c.answer(answer{})
	case countersCommand:
		counters := s.counters
		counters.WatchesWaiting = len(s.watchers)
		c.answer(answer{counters: counters})
	default:
		s.delay(c)
	}
}

func (s *Store) delay(c call) {
	if s.faults.slow <= 0 {
		s.handle(c)
		return
	}
	s.releasing = append(s.releasing, delayed{call: c, at: s.timer.Now() + s.faults.slow})
	s.wakeAfter(s.faults.slow)
}

func (s *Store) releaseDelayed() {
	now := s.timer.Now()
	waiting := s.releasing[:0]
	for _, d := range s.releasing {
		if d.at > now {
			waiting = append(waiting, d)
			continue
		}
		s.handle(d.call)
	}
	clear(s.releasing[len(waiting):])
	s.releasing = waiting
}

func (s *Store) handle(c call) {
	if s.faults.down {
		s.counters.Refused++
		c.answer(answer{err: unavailable()})
		return
	}
	switch command := c.command.(type) {
	case getCommand:
		s.counters.Reads++
		c.answer(s.get(command.name))
	case listCommand:
		s.counters.Reads++
		c.answer(s.list(command.prefix))
	case instancesCommand:
		s.counters.Reads++
		c.answer(answer{instances: s.listed()})
	case watchCommand:
		s.watch(c, command)
	case putCommand:
		s.counters.Writes++
		c.answer(s.lose(s.put(command)))
	case deleteCommand:
		s.counters.Writes++
		c.answer(s.lose(s.remove(command)))
	}
}

func (s *Store) get(name string) answer {
	object, ok := s.objects[name]
	if !ok {
		return answer{err: port.Errorf(port.NotFound, "object %q does not exist", name)}
	}
	return answer{object: object}
}

func (s *Store) put(c putCommand) answer {
	if len(c.data) > MaxValue {
		return answer{err: port.Errorf(port.TooLarge, "object %q of %d bytes is larger than %d", c.name, len(c.data), MaxValue)}
	}
	if current := s.objects[c.name].Version; current != c.expected {
		return answer{err: conflict(c.name, c.expected, current)}
	}
	// A deleted object's versions go on, so that a version never names two values.
	version := max(c.expected, s.deleted[c.name]) + 1
	object := port.Object{Name: c.name, Version: version, Data: c.data}
	s.objects[c.name] = object
	return answer{object: object}
}

func (s *Store) remove(c deleteCommand) answer {
	current, ok := s.objects[c.name]
	if !ok {
		return answer{err: port.Errorf(port.NotFound, "object %q does not exist", c.name)}
	}
	if current.Version != c.expected {
		return answer{err: conflict(c.name, c.expected, current.Version)}
	}
	delete(s.objects, c.name)
	s.deleted[c.name] = current.Version
	return answer{}
}

// lose drops the answer of an update that took effect when that is commanded.
func (s *Store) lose(a answer) answer {
	if a.err != nil || s.faults.lostAnswers < 1 {
		return a
	}
	s.faults = s.faults.WithLostAnswers(s.faults.lostAnswers - 1)
	return answer{err: port.Wrapf(ErrLost, port.Unavailable, "store did not answer")}
}

func (s *Store) list(prefix string) answer {
	var objects []port.Object
	for name, object := range s.objects {
		if strings.HasPrefix(name, prefix) {
			objects = append(objects, port.Object{Name: name, Version: object.Version})
		}
	}
	slices.SortFunc(objects, func(a, b port.Object) int { return strings.Compare(a.Name, b.Name) })
	return answer{objects: objects}
}

// listed returns the newest list that was set before the lag, and drops older ones.
func (s *Store) listed() []instance.Instance {
	before := s.timer.Now() - s.faults.instancesLag
	for len(s.listings) > 1 && s.listings[1].set <= before {
		s.listings = s.listings[1:]
	}
	if len(s.listings) == 0 || s.listings[0].set > before {
		return nil
	}
	return s.listings[0].instances
}

func (s *Store) watch(c call, command watchCommand) {
	s.counters.Watches++
	if s.faults.maxWatches > 0 && len(s.watchers) >= s.faults.maxWatches {
		s.counters.Refused++
		c.answer(answer{err: port.Errorf(port.OverRate, "store has no more than %d watches", s.faults.maxWatches)})
		return
	}
	s.watchers = append(s.watchers, watcher{call: c, watch: command})
	s.wakeAfter(command.until - s.timer.Now())
}

// answerWatchers answers each watch that has seen another version, and each whose time is over.
func (s *Store) answerWatchers() {
	now := s.timer.Now()
	waiting := s.watchers[:0]
	for _, w := range s.watchers {
		current, exists := s.objects[w.watch.name]
		switch {
		case s.faults.down:
			w.call.answer(answer{err: unavailable()})
		case exists && current.Version != w.watch.seen:
			w.call.answer(answer{object: current, changed: true})
		case !exists && w.watch.seen != 0:
			w.call.answer(answer{object: port.Object{Name: w.watch.name}, changed: true})
		case now >= w.watch.until:
			w.call.answer(answer{})
		default:
			waiting = append(waiting, w)
		}
	}
	clear(s.watchers[len(waiting):])
	s.watchers = waiting
}

func (s *Store) leave(answers *ring.Ring[answer]) {
	s.watchers = slices.DeleteFunc(s.watchers, func(w watcher) bool { return w.call.answers == answers })
}

func unavailable() error { return port.Errorf(port.Unavailable, "store is down") }

func conflict(name string, expected, current port.Version) error {
	return port.Errorf(port.Conflict, "object %q has version %d, expected %d", name, current, expected)
}
