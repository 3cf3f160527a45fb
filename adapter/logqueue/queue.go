// Package logqueue writes log lines from a queue, so that no goroutine that logs waits for the reader of the output.
package logqueue

import (
	"context"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	// maxLines is the capacity of the queue, and maxBulkLines the number of queued lines from which on lines about single
	// requests are dropped. The rest is left for lines about the process.
	maxLines     = 1280
	maxBulkLines = 1024
	// maxLineSize is the size in bytes to which a line is cut, for example one with a stack trace.
	maxLineSize = 32 << 10
	// flushTimeout limits how long Close waits for the reader of the output.
	flushTimeout = 500 * time.Millisecond
)

// Queue holds lines that are not written yet. If it is full, further lines are dropped and counted. It is safe for
// concurrent use. Use New.
type Queue struct {
	w       io.Writer
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
	stop    context.CancelFunc
	done    chan struct{}
}

// New returns a queue whose lines are written to w until Close.
func New(w io.Writer) *Queue {
	ctx, stop := context.WithCancel(context.Background())
	q := &Queue{w: w, lines: ring.New[[]byte](maxLines), stop: stop, done: make(chan struct{})}
	go q.run(ctx)
	return q
}

// Lines returns the writer for lines about the process. It never blocks and never fails.
func (q *Queue) Lines() zapcore.WriteSyncer { return &writer{queue: q, limit: maxLines} }

// BulkLines returns the writer for lines about single requests, which are dropped first. It never blocks and never fails.
func (q *Queue) BulkLines() zapcore.WriteSyncer { return &writer{queue: q, limit: maxBulkLines} }

// Dropped returns the number of lines that were dropped.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Close writes the queued lines and stops. If nobody reads the output, it gives up after flushTimeout.
func (q *Queue) Close() {
	q.stop()
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	select {
	case <-q.done:
	case <-ctx.Done():
	}
}

func (q *Queue) run(ctx context.Context) {
	defer close(q.done)
	for {
		line, err := q.lines.Take(ctx)
		if err != nil {
			break
		}
		q.write(line)
	}
	for line, found := q.lines.TryTake(); found; line, found = q.lines.TryTake() {
		q.write(line)
	}
}

// write counts a line that cannot be written as dropped: there is no other place to report it.
func (q *Queue) write(line []byte) {
	if _, err := q.w.Write(line); err != nil {
		q.dropped.Add(1)
	}
}

// writer queues lines while the queue holds fewer than limit.
type writer struct {
	queue *Queue
	limit int
}

// Write queues a copy of the line.
func (w *writer) Write(line []byte) (int, error) {
	n := len(line)
	if n > maxLineSize {
		line = append(slices.Clip(line[:maxLineSize-1]), '\n')
	} else {
		line = slices.Clone(line)
	}
	if w.queue.lines.Len() >= w.limit || !w.queue.lines.TryPut(line) {
		w.queue.dropped.Add(1)
	}
	return n, nil
}

// Sync does nothing: it would have to wait for the reader of the output.
func (w *writer) Sync() error { return nil }
