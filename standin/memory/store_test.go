package memory_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/standin/memory"
)

const name = "document"

// testLine runs one case on a line with the faults.
func testLine(
	t *testing.T, title string, faults memory.Faults,
	body func(t *testing.T, timer *clock.Fake, store *memory.Store, line *memory.Conn),
) {
	t.Helper()
	t.Run(title, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			var timer clock.Fake
			store := memory.NewStore(&timer)
			line := store.Connect(&timer)
			line.UpdateFaults(func(memory.Faults) memory.Faults { return faults })
			body(t, &timer, store, line)
		})
	})
}

func requirePut(t *testing.T, line *memory.Conn, expected port.Version, want port.Kind) {
	t.Helper()
	_, err := line.Put(t.Context(), name, []byte("data"), expected)
	if want == "" {
		require.NoError(t, err)
		return
	}
	require.Equal(t, want, port.KindOf(err), err)
}

// Guards against a fault that strikes on the wrong side of the update.
func TestFaults(t *testing.T) {
	var none memory.Faults
	type fake = clock.Fake
	testLine(t, "no update while down", none.WithDown(true), func(t *testing.T, _ *fake, s *memory.Store, l *memory.Conn) {
		requirePut(t, l, 0, port.Unavailable)
		require.Zero(t, s.Object(name).Version)
	})
	testLine(t, "no update while silent", none.WithUnresponsive(true), func(t *testing.T, _ *fake, s *memory.Store, l *memory.Conn) {
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			synctest.Wait()
			cancel()
		}()
		_, err := l.Put(ctx, name, nil, 0)
		require.Equal(t, port.Unavailable, port.KindOf(err))
		require.Zero(t, s.Object(name).Version)
	})
	all := none.WithLostResponses(memory.AllResponses{})
	testLine(t, "lost answer of an update that took effect", all, func(t *testing.T, _ *fake, s *memory.Store, l *memory.Conn) {
		requirePut(t, l, 0, port.Unavailable)
		require.Equal(t, port.Version(1), s.Object(name).Version)
		requirePut(t, l, 0, port.Unavailable)
	})
	alternate := none.WithLostResponses(memory.AlternateResponses{})
	testLine(t, "each second answer lost", alternate, func(t *testing.T, _ *fake, s *memory.Store, l *memory.Conn) {
		requirePut(t, l, 0, port.Unavailable)
		requirePut(t, l, 0, port.Conflict)
		requirePut(t, l, 1, "")
		requirePut(t, l, 2, port.Unavailable)
		require.Equal(t, port.Version(3), s.Object(name).Version)
	})
	late := none.WithDelayedUpdates(time.Second)
	testLine(t, "late update", late, func(t *testing.T, timer *fake, s *memory.Store, l *memory.Conn) {
		requirePut(t, l, 0, port.Unavailable)
		require.Zero(t, s.Object(name).Version)
		timer.Advance(time.Second)
		require.Equal(t, port.Version(1), s.Object(name).Version)
	})
}

// Guards against a watch that misses an update or outlasts its wait.
func TestWatch(t *testing.T) {
	var none memory.Faults
	watch := func(t *testing.T, line *memory.Conn, change func()) (port.Object, bool) {
		go func() {
			synctest.Wait()
			change()
		}()
		o, changed, err := line.Watch(t.Context(), name, 0, time.Second)
		require.NoError(t, err)
		return o, changed
	}
	testLine(t, "update", none, func(t *testing.T, timer *clock.Fake, s *memory.Store, l *memory.Conn) {
		o, changed := watch(t, l, func() { _, _ = s.Connect(timer).Put(t.Context(), name, []byte("data"), 0) })
		require.True(t, changed)
		require.Equal(t, port.Object{Name: name, Version: 1, Data: []byte("data")}, o)
	})
	testLine(t, "end of the wait", none, func(t *testing.T, timer *clock.Fake, _ *memory.Store, l *memory.Conn) {
		_, changed := watch(t, l, func() { timer.Advance(time.Second) })
		require.False(t, changed)
	})
}

// Guards against a list with data or with removed objects.
func TestList(t *testing.T) {
	testLine(t, "after a removal", memory.Faults{}, func(t *testing.T, _ *clock.Fake, s *memory.Store, l *memory.Conn) {
		for _, name := range []string{"a/2", "a/1", "a/3", "b/1"} {
			s.SetObject(port.Object{Name: name, Version: 4, Data: []byte("data")})
		}
		require.Equal(t, port.Conflict, port.KindOf(l.Delete(t.Context(), "a/3", 3)))
		require.NoError(t, l.Delete(t.Context(), "a/3", 4))
		listed, err := l.List(t.Context(), "a/")
		require.NoError(t, err)
		require.Equal(t, []port.Object{{Name: "a/1", Version: 4}, {Name: "a/2", Version: 4}}, listed)
	})
}
