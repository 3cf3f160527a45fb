package entry_test

import (
	"context"
	"time"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// fakeStore is a port.Store in memory over the fake network's time. Methods that no duty here calls are left out.
type fakeStore struct {
	port.Store
	w       *world
	objects map[string]port.Object
	// down makes every call wait until its context ends.
	down bool
	// loseAnswers makes each second update take effect without an answer.
	loseAnswers bool
	puts        int
	watching    map[*ring.Ring[struct{}]]bool
}

func newFakeStore(w *world) *fakeStore {
	return &fakeStore{w: w, objects: map[string]port.Object{}, watching: map[*ring.Ring[struct{}]]bool{}}
}

// trip waits for one way to the store and back.
func (s *fakeStore) trip(ctx context.Context) error {
	arrived := ring.New[struct{}](1)
	s.w.timer.After(2*fakeLatency, func(time.Duration) {
		s.w.locked(func() {
			if !s.down {
				arrived.Offer(struct{}{})
			}
		})
	})
	_, err := arrived.Take(ctx)
	return port.Wrapf(err, port.Unavailable, "store does not answer")
}

func (s *fakeStore) Get(ctx context.Context, name string) (port.Object, error) {
	if err := s.trip(ctx); err != nil {
		return port.Object{}, err
	}
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	o, ok := s.objects[name]
	if !ok {
		return port.Object{}, port.Failf(port.NotFound, "no object %q", name)
	}
	return o, nil
}

func (s *fakeStore) Put(ctx context.Context, name string, data []byte, expected port.Version) (port.Version, error) {
	if err := s.trip(ctx); err != nil {
		return 0, err
	}
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	if s.objects[name].Version != expected {
		return 0, port.Failf(port.Conflict, "object %q has changed", name)
	}
	s.objects[name] = port.Object{Name: name, Version: expected + 1, Data: data}
	for r := range s.watching {
		r.Offer(struct{}{})
	}
	s.puts++
	if s.loseAnswers && s.puts%2 == 1 {
		return 0, port.Failf(port.Unavailable, "answer was lost")
	}
	return expected + 1, nil
}

func (s *fakeStore) Watch(
	ctx context.Context, name string, seen port.Version, wait time.Duration,
) (port.Object, bool, error) {
	changed := ring.New[struct{}](1)
	s.w.locked(func() { s.watching[changed] = true })
	defer s.w.locked(func() { delete(s.watching, changed) })
	stop := s.w.timer.After(wait, func(time.Duration) { changed.Offer(struct{}{}) })
	defer stop()
	for {
		if err := s.trip(ctx); err != nil {
			return port.Object{}, false, err
		}
		var o port.Object
		s.w.locked(func() { o = s.objects[name] })
		if o.Version != seen {
			return o, true, nil
		}
		if _, err := changed.Take(ctx); err != nil {
			return port.Object{}, false, err
		}
	}
}
