package memory

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Conn is one client's connection to a Store. It is a port.Store, with faults of its own beside those of the store.
type Conn struct {
	store *Store
	timer port.Timer

	mu     sync.Mutex
	faults Faults
	// applied counts the updates that took effect, but for late ones.
	applied int
}

var _ port.Store = (*Conn)(nil)

// UpdateFaults replaces the line's own faults.
func (l *Conn) UpdateFaults(change func(Faults) Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = change(l.faults)
}

// Get reads an object.
func (l *Conn) Get(ctx context.Context, name string) (port.Object, error) {
	if err := l.request(ctx); err != nil {
		return port.Object{}, err
	}
	object, err := l.store.get(name)
	if lost := l.answer(ctx); lost != nil {
		return port.Object{}, lost
	}
	return object, err
}

// Put writes an object if its version is still expected.
func (l *Conn) Put(ctx context.Context, name string, data []byte, expected port.Version) (port.Version, error) {
	var version port.Version
	err := l.update(ctx, func() error {
		var err error
		version, err = l.store.put(name, data, expected)
		return err
	})
	if err != nil {
		return 0, err
	}
	return version, nil
}

// Delete removes an object if its version is still expected.
func (l *Conn) Delete(ctx context.Context, name string, expected port.Version) error {
	return l.update(ctx, func() error { return l.store.remove(name, expected) })
}

// Watch waits for a version other than seen.
func (l *Conn) Watch(
	ctx context.Context, name string, seen port.Version, wait time.Duration,
) (port.Object, bool, error) {
	if err := l.request(ctx); err != nil {
		return port.Object{}, false, err
	}
	ended := make(chan struct{})
	stop := l.store.timer.After(wait, func(time.Duration) { close(ended) })
	defer stop()
	select {
	case <-l.store.watch(name, seen):
	case <-ended:
	case <-ctx.Done():
		return port.Object{}, false, port.Wrapf(context.Cause(ctx), port.Unavailable, "caller left")
	}
	if err := l.answer(ctx); err != nil {
		return port.Object{}, false, err
	}
	object := l.store.Object(name)
	return object, object.Version != seen, nil
}

// List returns the objects whose names start with prefix, in the order of their names and without their data.
func (l *Conn) List(ctx context.Context, prefix string) ([]port.Object, error) {
	if err := l.request(ctx); err != nil {
		return nil, err
	}
	listed := l.store.list(prefix)
	return listed, l.answer(ctx)
}

// Instances returns the platform's list of instances.
func (l *Conn) Instances(ctx context.Context) ([]instance.Instance, error) {
	if err := l.request(ctx); err != nil {
		return nil, err
	}
	l.store.mu.Lock()
	instances := slices.Clone(l.store.instances)
	l.store.mu.Unlock()
	return instances, l.answer(ctx)
}

// update sends a change to the store. Late updates and lost answers look the same to the caller.
func (l *Conn) update(ctx context.Context, apply func() error) error {
	if err := l.request(ctx); err != nil {
		return err
	}
	faults := l.current()
	if faults.lateBy > 0 {
		l.store.timer.After(faults.lateBy, func(time.Duration) { _ = apply() })
		return port.Errorf(port.Unavailable, "answer is lost")
	}
	applied, err := l.apply(apply)
	if faults.loses(applied, err) {
		return port.Errorf(port.Unavailable, "answer is lost")
	}
	if lost := l.answer(ctx); lost != nil {
		return lost
	}
	return err
}

func (l *Conn) apply(apply func() error) (applied int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	err = apply()
	if err == nil {
		l.applied++
	}
	return l.applied, err
}

func (l *Conn) current() Faults {
	l.store.mu.Lock()
	shared := l.store.faults
	l.store.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults.and(shared)
}

func (l *Conn) request(ctx context.Context) error { return l.travel(ctx, l.current().there) }

func (l *Conn) answer(ctx context.Context) error { return l.travel(ctx, l.current().back) }

// travel takes one way. The faults count at its end.
func (l *Conn) travel(ctx context.Context, latency time.Duration) error {
	if latency > 0 {
		if err := port.Sleep(ctx, l.timer, latency); err != nil {
			return port.Wrapf(err, port.Unavailable, "store does not answer")
		}
	}
	faults := l.current()
	if faults.silent {
		<-ctx.Done()
		return port.Wrapf(context.Cause(ctx), port.Unavailable, "store does not answer")
	}
	if faults.down {
		return port.Errorf(port.Unavailable, "store does not answer")
	}
	return nil
}
