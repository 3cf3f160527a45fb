package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/adapter/platform"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against requests that miss their condition, so that an update overwrites another instance's.
func TestStoreRequests(t *testing.T) {
	t.Run("put with an expected version", func(t *testing.T) {
		s := serve(t, func(w http.ResponseWriter, r *http.Request) {
			assert.Equal(t, "/objects/ledger/rate/a%20b", r.URL.EscapedPath())
			assert.Equal(t, `"4"`, r.Header.Get("If-Match"))
			w.Header().Set("ETag", `"5"`)
		})
		version, err := s.Put(t.Context(), "ledger/rate/a b", []byte("x"), 4)
		require.NoError(t, err)
		require.Equal(t, port.Version(5), version)
	})
	t.Run("put of a new object", func(t *testing.T) {
		s := serve(t, func(w http.ResponseWriter, r *http.Request) {
			assert.Equal(t, "*", r.Header.Get("If-None-Match"))
			w.Header().Set("ETag", "1")
			w.WriteHeader(http.StatusCreated)
		})
		version, err := s.Put(t.Context(), "x", nil, 0)
		require.NoError(t, err)
		require.Equal(t, port.Version(1), version)
	})
	t.Run("watch", func(t *testing.T) {
		s := serve(t, func(w http.ResponseWriter, r *http.Request) {
			assert.Equal(t, "timeout_ms=1500&wait=3", r.URL.Query().Encode())
			w.WriteHeader(http.StatusNotModified)
		})
		_, changed, err := s.Watch(t.Context(), "x", 3, 1500*time.Millisecond)
		require.NoError(t, err)
		require.False(t, changed)
	})
	t.Run("watch reports a deleted object", func(t *testing.T) {
		s := serve(t, status(http.StatusNotFound))
		object, changed, err := s.Watch(t.Context(), "x", 3, time.Second)
		require.NoError(t, err)
		require.True(t, changed)
		require.Zero(t, object.Version)
	})
	t.Run("lists", func(t *testing.T) {
		s := serve(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/instances" {
				_, _ = w.Write([]byte(`[{"id":"i1","address":"10.0.0.1:1","data_centre":"dc1","state":"live"},{"id":"i2","state":"new"}]`))
				return
			}
			assert.Equal(t, "a/", r.URL.Query().Get("prefix"))
			_, _ = w.Write([]byte(`[{"name":"a/b","etag":"7"}]`))
		})
		objects, err := s.List(t.Context(), "a/")
		require.NoError(t, err)
		require.Equal(t, []port.Object{{Name: "a/b", Version: 7}}, objects)
		instances, err := s.Instances(t.Context())
		require.NoError(t, err)
		require.Equal(t, instance.Instance{Incarnation: "i1", Address: "10.0.0.1:1", DataCentre: "dc1", State: instance.Live}, instances[0])
		require.Equal(t, instance.Departing, instances[1].State)
	})
}

// Guards against an outage that looks like a missing object, and against answers without bound.
func TestStoreErrors(t *testing.T) {
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		kind    port.Kind
	}{
		"missing object":   {status(http.StatusNotFound), port.NotFound},
		"other version":    {status(http.StatusPreconditionFailed), port.Conflict},
		"outage":           {status(http.StatusServiceUnavailable), port.Unavailable},
		"redirect":         {status(http.StatusFound), port.Unavailable},
		"no version":       {status(http.StatusOK), port.Unavailable},
		"too large answer": {write(strings.Repeat("x", platform.MaxValueSize+1)), port.Unavailable},
		"cut answer":       {cut, port.Unavailable},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := serve(t, c.handler).Get(t.Context(), "x")
			requireKind(t, c.kind, err)
		})
	}
	t.Run("update of a missing object", func(t *testing.T) {
		_, err := serve(t, status(http.StatusNotFound)).Put(t.Context(), "x", nil, 3)
		requireKind(t, port.Conflict, err)
	})
	t.Run("too large value is not sent", func(t *testing.T) {
		s := serve(t, func(http.ResponseWriter, *http.Request) { t.Error("sent") })
		_, err := s.Put(t.Context(), "x", make([]byte, platform.MaxValueSize+1), 1)
		requireKind(t, port.TooLarge, err)
	})
	t.Run("zero store", func(t *testing.T) {
		var s platform.Store
		_, err := s.Get(t.Context(), "x")
		requireKind(t, port.Unavailable, err)
	})
	t.Run("bad address", func(t *testing.T) {
		_, err := platform.NewStore("10.0.0.1:7000", &clock.Fake{})
		requireKind(t, port.Invalid, err)
	})
}

// Guards against a call that waits without end for a store that does not answer.
func TestStoreTimeout(t *testing.T) {
	var fake clock.Fake
	arrived := make(chan struct{})
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(arrived)
		<-release
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(release) })
	s, err := platform.NewStore(server.URL, &fake)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	got := make(chan error)
	go func() {
		_, err := s.Get(context.WithoutCancel(t.Context()), "x")
		got <- err
	}()
	<-arrived
	fake.Advance(platform.CallTimeout)
	requireKind(t, port.Unavailable, <-got)
}

func serve(t *testing.T, handler http.HandlerFunc) *platform.Store {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	s, err := platform.NewStore(server.URL, &clock.Fake{})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

func write(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("ETag", "1")
		_, _ = w.Write([]byte(body))
	}
}

func cut(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("ETag", "1")
	w.Header().Set("Content-Length", "10")
	_, _ = w.Write([]byte("half"))
}

func requireKind(t *testing.T, want port.Kind, err error) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, want, port.KindOf(err), err)
}
