package platform_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startProcess runs a store with an HTTP listener until the test ends, and returns it with its base URL.
func startProcess(t *testing.T, faults platform.Faults) (*platform.Process, string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	timer := clock.NewService()
	p, err := platform.Open(ctx, platform.Config{Listen: "127.0.0.1:0", Faults: faults}, timer)
	require.NoError(t, err)
	var running sync.WaitGroup
	running.Go(func() { timer.Run(ctx) })
	running.Go(func() { _ = p.Run(ctx) })
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		cancel()
		running.Wait()
	})
	return p, "http://" + p.Address()
}

// response is an HTTP response.
type response struct {
	status int
	etag   string
	body   string
}

// send sends a request. header alternates between names and values.
func send(t *testing.T, method, url, body string, header ...string) (response, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, etag: resp.Header.Get("ETag"), body: string(data)}, err
}

func requireStatus(t *testing.T, want int, method, url, body string, header ...string) response {
	t.Helper()
	got, err := send(t, method, url, body, header...)
	require.NoError(t, err)
	require.Equal(t, want, got.status, got.body)
	return got
}

// awaitWatches waits until n watches are pending.
func awaitWatches(t *testing.T, p *platform.Process, n int) {
	t.Helper()
	require.Eventually(t, func() bool {
		counters, err := p.Store.Counters(t.Context())
		return err == nil && counters.WatchesWaiting == n
	}, 10*time.Second, time.Millisecond)
}

func requireKind(t *testing.T, kind port.Kind, err error) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, kind, port.KindOf(err))
}

// Guards against an update that overwrites a concurrent one, and against a version that identifies two values.
func TestObjects(t *testing.T) {
	_, url := startProcess(t, platform.Faults{})
	object := url + "/objects/ledger/rate/org"
	t.Run("conditional updates", func(t *testing.T) {
		requireStatus(t, http.StatusNotFound, "GET", object, "")
		require.Equal(t, `"1"`, requireStatus(t, http.StatusCreated, "PUT", object, "a", "If-None-Match", "*").etag)
		requireStatus(t, http.StatusPreconditionFailed, "PUT", object, "b", "If-None-Match", "*")
		requireStatus(t, http.StatusBadRequest, "PUT", object, "b")
		require.Equal(t, `"2"`, requireStatus(t, http.StatusOK, "PUT", object, "b", "If-Match", `"1"`).etag)
		requireStatus(t, http.StatusPreconditionFailed, "PUT", object, "c", "If-Match", `"1"`)
		require.Equal(t, response{200, `"2"`, "b"}, requireStatus(t, http.StatusOK, "GET", object, ""))
	})
	t.Run("listing", func(t *testing.T) {
		require.JSONEq(t, `[{"name":"ledger/rate/org","etag":"\"2\""}]`,
			requireStatus(t, http.StatusOK, "GET", url+"/objects?prefix=ledger/", "").body)
		require.JSONEq(t, `[]`, requireStatus(t, http.StatusOK, "GET", url+"/objects?prefix=other/", "").body)
	})
	t.Run("versions continue after a deletion", func(t *testing.T) {
		requireStatus(t, http.StatusPreconditionFailed, "DELETE", object, "", "If-Match", `"1"`)
		requireStatus(t, http.StatusNoContent, "DELETE", object, "", "If-Match", `"2"`)
		require.Equal(t, `"3"`, requireStatus(t, http.StatusCreated, "PUT", object, "d", "If-None-Match", "*").etag)
	})
	t.Run("size limit", func(t *testing.T) {
		large := strings.Repeat("x", platform.MaxValueSize+1)
		requireStatus(t, http.StatusRequestEntityTooLarge, "PUT", url+"/objects/large", large, "If-None-Match", "*")
	})
}

// Guards against a watch that misses an update or outlives its context, and against more watches than the maximum.
func TestWatches(t *testing.T) {
	p, url := startProcess(t, platform.Faults{}.WithMaxWatches(1))
	object := url + "/objects/document"
	t.Run("timeout", func(t *testing.T) {
		requireStatus(t, http.StatusNotModified, "GET", object+"?wait=0&timeout_ms=1", "")
	})
	t.Run("update, and maximum number of watches", func(t *testing.T) {
		got := make(chan response, 1)
		go func() {
			r, _ := send(t, "GET", object+"?wait=0&timeout_ms=60000", "")
			got <- r
		}()
		awaitWatches(t, p, 1)
		requireStatus(t, http.StatusTooManyRequests, "GET", object+"?wait=0&timeout_ms=1", "")
		requireStatus(t, http.StatusCreated, "PUT", object, "a", "If-None-Match", "*")
		require.Equal(t, response{200, `"1"`, "a"}, <-got)
	})
	t.Run("an earlier update is reported at once", func(t *testing.T) {
		requireStatus(t, http.StatusOK, "GET", object+"?wait=7&timeout_ms=60000", "")
	})
	t.Run("a watch ends with its context", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		watchErr := make(chan error, 1)
		go func() {
			_, _, err := p.Store.Watch(ctx, "document", 1, time.Minute)
			watchErr <- err
		}()
		awaitWatches(t, p, 1)
		cancel()
		requireKind(t, port.Unavailable, <-watchErr)
		awaitWatches(t, p, 0)
	})
	t.Run("a deleted object has version zero", func(t *testing.T) {
		require.NoError(t, p.Store.Delete(t.Context(), "document", 1))
		deleted, changed, err := p.Store.Watch(t.Context(), "document", 1, time.Minute)
		require.NoError(t, err)
		require.True(t, changed)
		require.Zero(t, deleted.Version)
	})
}

// Guards against faults whose effect differs from their documentation.
func TestFaults(t *testing.T) {
	t.Run("an update whose response was lost took effect", func(t *testing.T) {
		_, url := startProcess(t, platform.Faults{})
		requireStatus(t, http.StatusNoContent, "POST", url+"/admin/lose?n=1", "")
		_, err := send(t, "PUT", url+"/objects/a", "v", "If-None-Match", "*")
		require.Error(t, err)
		require.Equal(t, response{200, `"1"`, "v"}, requireStatus(t, http.StatusOK, "GET", url+"/objects/a", ""))
		requireStatus(t, http.StatusOK, "PUT", url+"/objects/a", "w", "If-Match", `"1"`)
	})
	t.Run("an outage refuses calls and ends watches, but not administration", func(t *testing.T) {
		p, url := startProcess(t, platform.Faults{})
		watched := make(chan error, 1)
		go func() {
			_, _, err := p.Store.Watch(t.Context(), "a", 0, time.Minute)
			watched <- err
		}()
		awaitWatches(t, p, 1)
		requireStatus(t, http.StatusNoContent, "POST", url+"/admin/down", "")
		requireKind(t, port.Unavailable, <-watched)
		requireStatus(t, http.StatusServiceUnavailable, "PUT", url+"/objects/a", "v", "If-None-Match", "*")
		requireStatus(t, http.StatusServiceUnavailable, "GET", url+"/instances", "")
		requireStatus(t, http.StatusNoContent, "POST", url+"/admin/up", "")
		requireStatus(t, http.StatusNotFound, "GET", url+"/objects/a", "")
	})
	t.Run("delay and lag of the instances", func(t *testing.T) {
		var timer clock.Fake
		store := platform.New(&timer)
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan struct{})
		go func() {
			store.Run(ctx)
			close(stopped)
		}()
		require.NoError(t, store.SetInstances(t.Context(), nil))
		require.NoError(t, store.SetFaults(t.Context(), func(f platform.Faults) platform.Faults {
			return f.WithDelay(time.Second).WithInstancesLag(time.Minute)
		}))
		done := make(chan time.Duration, 1)
		go func() {
			_, _ = store.Instances(t.Context())
			done <- timer.Now()
		}()
		for len(done) == 0 {
			timer.Advance(10 * time.Millisecond)
			_, err := store.Counters(t.Context())
			require.NoError(t, err)
		}
		require.GreaterOrEqual(t, <-done, time.Second)
		cancel()
		<-stopped
	})
}

// Guards against a list of instances that differs after a round trip, and against calls that are not counted.
func TestInstancesAndCounters(t *testing.T) {
	_, url := startProcess(t, platform.Faults{})
	list := `[{"id":"i1","address":"10.0.0.1:7000","data_centre":"dc1","state":"departing"}]`
	requireStatus(t, http.StatusNoContent, "PUT", url+"/admin/instances", list)
	require.JSONEq(t, list, requireStatus(t, http.StatusOK, "GET", url+"/instances", "").body)
	requireStatus(t, http.StatusNoContent, "POST", url+"/admin/instances-lag?ms=60000", "")
	require.JSONEq(t, `[]`, requireStatus(t, http.StatusOK, "GET", url+"/instances", "").body)
	requireStatus(t, http.StatusCreated, "PUT", url+"/objects/a", "v", "If-None-Match", "*")
	requireStatus(t, http.StatusOK, "GET", url+"/objects/a?wait=0&timeout_ms=0", "")
	var counters platform.Counters
	require.NoError(t, json.Unmarshal([]byte(requireStatus(t, http.StatusOK, "GET", url+"/admin/counters", "").body), &counters))
	require.Equal(t, platform.Counters{Reads: 2, Writes: 1, Watches: 1}, counters)
}
