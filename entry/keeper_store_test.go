package entry_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// ledgerStore is a store with versions, conflicts, watches, outages and answers that are lost.
type ledgerStore struct {
	clock *clock.Fake

	mu      sync.Mutex
	objects map[string]port.Object
	changed map[string]chan struct{}
	down    bool
	// slow is added to the round trip.
	slow                   time.Duration
	reads, writes, watches int
	conflicts              int
}

func (s *ledgerStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *ledgerStore) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *ledgerStore) ledger(t testing.TB, name string) allotment.Ledger {
	t.Helper()
	s.mu.Lock()
	object := s.objects["ledger/"+name]
	s.mu.Unlock()
	l, err := entry.ParseLedger(object.Data)
	require.NoError(t, err)
	return l
}

func (s *ledgerStore) get(name string) (port.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	object, ok := s.objects[name]
	if !ok {
		return port.Object{}, port.Failf(port.NotFound, "object %q does not exist", name)
	}
	return object, nil
}

func (s *ledgerStore) put(name string, data []byte, expected port.Version) (port.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	object := s.objects[name]
	if object.Version != expected {
		s.conflicts++
		return 0, port.Failf(port.Conflict, "object %q has version %d", name, object.Version)
	}
	s.objects[name] = port.Object{Name: name, Version: expected + 1, Data: data}
	if ch, ok := s.changed[name]; ok {
		close(ch)
		delete(s.changed, name)
	}
	return expected + 1, nil
}

// line is one keeper's connection to the store.
type line struct {
	*ledgerStore
	timer *pausableTimer

	faults sync.Mutex
	cut    bool
	// loseAnswers loses the answers of updates that take effect; lateBy delays updates after their caller gave up.
	loseAnswers bool
	lateBy      time.Duration
}

func (l *line) set(change func(l *line)) {
	l.faults.Lock()
	defer l.faults.Unlock()
	change(l)
}

// Get reads an object after half a round trip.
func (l *line) Get(ctx context.Context, name string) (port.Object, error) {
	if err := l.travel(ctx); err != nil {
		return port.Object{}, err
	}
	object, err := l.get(name)
	if lost := l.travel(ctx); lost != nil {
		return port.Object{}, lost
	}
	return object, err
}

// Put writes an object after half a round trip.
func (l *line) Put(ctx context.Context, name string, data []byte, expected port.Version) (port.Version, error) {
	if err := l.travel(ctx); err != nil {
		return 0, err
	}
	l.faults.Lock()
	lose, late := l.loseAnswers, l.lateBy
	l.faults.Unlock()
	if late > 0 {
		l.clock.After(late, func(time.Duration) { _, _ = l.put(name, data, expected) })
		return 0, port.Failf(port.Unavailable, "answer is lost")
	}
	version, err := l.put(name, data, expected)
	if lose {
		return 0, port.Failf(port.Unavailable, "answer is lost")
	}
	if lost := l.travel(ctx); lost != nil {
		return 0, lost
	}
	return version, err
}

// Watch waits for a version other than seen.
func (l *line) Watch(ctx context.Context, name string, seen port.Version, wait time.Duration) (port.Object, bool, error) {
	if err := l.travel(ctx); err != nil {
		return port.Object{}, false, err
	}
	ch := make(chan struct{})
	l.mu.Lock()
	l.watches++
	object := l.objects[name]
	if object.Version == seen {
		if have, ok := l.changed[name]; ok {
			ch = have
		}
		l.changed[name] = ch
	} else {
		close(ch)
	}
	l.mu.Unlock()
	ended := make(chan struct{})
	stop := l.clock.After(wait, func(time.Duration) { close(ended) })
	defer stop()
	select {
	case <-ch:
	case <-ended:
	case <-ctx.Done():
		return port.Object{}, false, port.Failf(port.Unavailable, "caller left")
	}
	if err := l.travel(ctx); err != nil {
		return port.Object{}, false, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	object = l.objects[name]
	return object, object.Version != seen, nil
}

// Delete is not used by the ledgers.
func (l *line) Delete(context.Context, string, port.Version) error {
	return port.Failf(port.Internal, "not used")
}

// List is not used by the ledgers.
func (l *line) List(context.Context, string) ([]port.Object, error) {
	return nil, port.Failf(port.Internal, "not used")
}

// Instances is not used by the ledgers.
func (l *line) Instances(context.Context) ([]instance.Instance, error) {
	return nil, port.Failf(port.Internal, "not used")
}

// travel takes half a round trip, and does not arrive while the store is down or the line is cut.
func (l *line) travel(ctx context.Context) error {
	l.mu.Lock()
	slow := l.slow
	l.mu.Unlock()
	arrived := make(chan struct{})
	stop := l.timer.After((testRTT+slow)/2, func(time.Duration) { close(arrived) })
	defer stop()
	select {
	case <-arrived:
	case <-ctx.Done():
		return port.Failf(port.Unavailable, "no answer")
	}
	l.faults.Lock()
	defer l.faults.Unlock()
	if l.cut || l.isDown() {
		return port.Failf(port.Unavailable, "store does not answer")
	}
	return nil
}
