package decisions_test

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/adapter/decisions"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/proxy"
)

func refusedRequest(i int) proxy.Event {
	return proxy.RequestCompleted{ID: fmt.Sprint(i), Kind: port.Busy, Reason: "full"}
}

// logRun is a log that runs until end is called.
type logRun struct {
	log   *decisions.Log
	stop  context.CancelFunc
	ended sync.WaitGroup
}

func startLog(t *testing.T, logger *zap.Logger) *logRun {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	r := &logRun{log: decisions.New(logger, logger, &clock.Fake{}), stop: stop}
	r.ended.Go(func() { r.log.Run(ctx) })
	return r
}

func (r *logRun) end() {
	r.stop()
	r.ended.Wait()
}

// Guards against a log that grows with the load, and against the loss of events other than requests.
func TestLogIsBounded(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	r := startLog(t, zap.New(core))
	for i := range 500 {
		r.log.Record(refusedRequest(i))
	}
	r.log.Record(proxy.PromotionStep{Group: "core", Step: "announced", Server: "i-1", Epoch: 3})
	r.end()
	require.LessOrEqual(t, lines.FilterMessage("request: answered").Len(), 50)
	require.Equal(t, 1, lines.FilterMessage("promotion: announced").Len())
	require.Equal(t, uint64(450), r.log.Dropped())
}

// Guards against successful requests that use up the limit on lines, so that failures are not logged.
func TestLogSamplesSuccesses(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	r := startLog(t, zap.New(core))
	for range 500 {
		r.log.Record(proxy.RequestCompleted{ID: "1"})
	}
	r.end()
	require.Equal(t, 5, lines.Len())
}

// Guards against a log whose reader has stopped reading and that therefore blocks statements.
func TestLogNeverBlocks(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(writer), zapcore.InfoLevel)
	r := startLog(t, zap.New(core))
	longReason := strings.Repeat("x", 4<<10)
	start := time.Now()
	for range 20_000 {
		r.log.Record(proxy.PromotionStep{Reason: longReason})
	}
	require.Less(t, time.Since(start), 5*time.Second)
	require.Positive(t, r.log.Dropped())
	// The pipe must be read again, so that Run can return.
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	r.end()
	require.NoError(t, writer.Close())
}
