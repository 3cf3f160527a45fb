package logqueue_test

import (
	"bytes"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/logqueue"
)

// readAll returns what was written to the pipe.
func readAll(t *testing.T, r io.Reader) []byte {
	t.Helper()
	data, err := io.ReadAll(r)
	require.NoError(t, err)
	return data
}

// Guards against a goroutine that waits for the reader of the output, and against lines about requests that take the place
// of those about the process.
func TestQueueWithoutReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		q := logqueue.New(w)
		start := time.Now()
		for range 5000 {
			_, err := q.BulkLines().Write([]byte("request\n"))
			require.NoError(t, err)
		}
		synctest.Wait()
		for range 100 {
			_, err := q.Lines().Write([]byte("process\n"))
			require.NoError(t, err)
		}
		require.Zero(t, time.Since(start), "no call waits")
		dropped := q.Dropped()
		require.Greater(t, dropped, uint64(5000-1100))
		q.Close()
		require.Less(t, time.Since(start), time.Second, "Close gives up")
		time.AfterFunc(time.Second, func() { _ = w.Close() })
		data := readAll(t, r)
		require.Equal(t, 100, bytes.Count(data, []byte("process\n")))
		require.Equal(t, 5000-int(dropped), bytes.Count(data, []byte("request\n")))
	})
}

// Guards against lines that are lost or out of order when the process ends, and against a line of unbounded size.
func TestQueueIsWrittenOnClose(t *testing.T) {
	var out bytes.Buffer
	q := logqueue.New(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, err := q.Lines().Write([]byte(line))
		require.NoError(t, err)
	}
	n, err := q.BulkLines().Write(bytes.Repeat([]byte("x"), 1<<20))
	require.NoError(t, err)
	require.Equal(t, 1<<20, n)
	q.Close()
	require.Zero(t, q.Dropped())
	require.True(t, bytes.HasPrefix(out.Bytes(), []byte("a\nb\nc\nx")))
	require.True(t, bytes.HasSuffix(out.Bytes(), []byte("x\n")))
	require.Less(t, out.Len(), 64<<10)
}
