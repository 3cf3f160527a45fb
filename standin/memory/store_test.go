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

const objectName = "document"

// testConn runs a subtest with a connection that has the given faults.
func testConn(
	t *testing.T, name string, faults memory.Faults,
	body func(t *testing.T, timer *clock.Fake, store *memory.Store, conn *memory.Conn),
) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			var timer clock.Fake
			store := memory.NewStore(&timer)
			conn := store.Connect(&timer)
			conn.UpdateFaults(func(memory.Faults) memory.Faults { return faults })
			body(t, &timer, store, conn)
		})
	})
}

func requirePut(t *testing.T, conn *memory.Conn, expected port.Version, want port.Kind) {
	t.Helper()
	_, err := conn.Put(t.Context(), objectName, []byte("data"), expected)
	if want == "" {
		require.NoError(t, err)
		return
	}
	require.Equal(t, want, port.KindOf(err), err)
}

// Guards against a fault that is applied before the update when it should be applied after it, or the reverse.
func TestFaults(t *testing.T) {
	var none memory.Faults
	type fake = clock.Fake
	testConn(t, "no update while down", none.WithDown(true), func(t *testing.T, _ *fake, store *memory.Store, conn *memory.Conn) {
		requirePut(t, conn, 0, port.Unavailable)
		require.Zero(t, store.Object(objectName).Version)
	})
	testConn(t, "no update while unresponsive", none.WithUnresponsive(true), func(t *testing.T, _ *fake, store *memory.Store, conn *memory.Conn) {
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			synctest.Wait()
			cancel()
		}()
		_, err := conn.Put(ctx, objectName, nil, 0)
		require.Equal(t, port.Unavailable, port.KindOf(err))
		require.Zero(t, store.Object(objectName).Version)
	})
	all := none.WithLostResponses(memory.AllResponses{})
	testConn(t, "lost response to an update that took effect", all, func(t *testing.T, _ *fake, store *memory.Store, conn *memory.Conn) {
		requirePut(t, conn, 0, port.Unavailable)
		require.Equal(t, port.Version(1), store.Object(objectName).Version)
		requirePut(t, conn, 0, port.Unavailable)
	})
	alternate := none.WithLostResponses(memory.AlternateResponses{})
	testConn(t, "every other response lost", alternate, func(t *testing.T, _ *fake, store *memory.Store, conn *memory.Conn) {
		requirePut(t, conn, 0, port.Unavailable)
		requirePut(t, conn, 0, port.Conflict)
		requirePut(t, conn, 1, "")
		requirePut(t, conn, 2, port.Unavailable)
		require.Equal(t, port.Version(3), store.Object(objectName).Version)
	})
	delayed := none.WithDelayedUpdates(time.Second)
	testConn(t, "delayed update", delayed, func(t *testing.T, timer *fake, store *memory.Store, conn *memory.Conn) {
		requirePut(t, conn, 0, port.Unavailable)
		require.Zero(t, store.Object(objectName).Version)
		timer.Advance(time.Second)
		require.Equal(t, port.Version(1), store.Object(objectName).Version)
	})
}

// Guards against a watch that misses an update or exceeds its timeout.
func TestWatch(t *testing.T) {
	var none memory.Faults
	watch := func(t *testing.T, conn *memory.Conn, change func()) (port.Object, bool) {
		go func() {
			synctest.Wait()
			change()
		}()
		o, changed, err := conn.Watch(t.Context(), objectName, 0, time.Second)
		require.NoError(t, err)
		return o, changed
	}
	testConn(t, "update", none, func(t *testing.T, timer *clock.Fake, store *memory.Store, conn *memory.Conn) {
		o, changed := watch(t, conn, func() { _, _ = store.Connect(timer).Put(t.Context(), objectName, []byte("data"), 0) })
		require.True(t, changed)
		require.Equal(t, port.Object{Name: objectName, Version: 1, Data: []byte("data")}, o)
	})
	testConn(t, "timeout", none, func(t *testing.T, timer *clock.Fake, _ *memory.Store, conn *memory.Conn) {
		_, changed := watch(t, conn, func() { timer.Advance(time.Second) })
		require.False(t, changed)
	})
}

// Guards against a list that contains object data or deleted objects.
func TestList(t *testing.T) {
	testConn(t, "after a deletion", memory.Faults{}, func(t *testing.T, _ *clock.Fake, store *memory.Store, conn *memory.Conn) {
		for _, name := range []string{"a/2", "a/1", "a/3", "b/1"} {
			store.SetObject(port.Object{Name: name, Version: 4, Data: []byte("data")})
		}
		require.Equal(t, port.Conflict, port.KindOf(conn.Delete(t.Context(), "a/3", 3)))
		require.NoError(t, conn.Delete(t.Context(), "a/3", 4))
		objects, err := conn.List(t.Context(), "a/")
		require.NoError(t, err)
		require.Equal(t, []port.Object{{Name: "a/1", Version: 4}, {Name: "a/2", Version: 4}}, objects)
	})
}
