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

func refused(i int) proxy.Event {
	return proxy.RequestCompleted{ID: fmt.Sprint(i), Kind: port.Busy, Reason: "full"}
}

// running runs a log until the test ends.
type running struct {
	log   *decisions.Log
	stop  context.CancelFunc
	ended sync.WaitGroup
}

func start(t *testing.T, z *zap.Logger) *running {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	r := &running{log: decisions.New(z, &clock.Fake{}), stop: stop}
	r.ended.Go(func() { r.log.Run(ctx) })
	return r
}

func (r *running) end() {
	r.stop()
	r.ended.Wait()
}

// Guards against a log that grows with the load, and against one that loses what the instance came to believe.
func TestLogIsBounded(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	r := start(t, zap.New(core))
	for i := range 500 {
		r.log.Record(refused(i))
	}
	r.log.Record(proxy.PromotionStep{Group: "core", Step: "announced", Server: "i-1", Epoch: 3})
	r.end()
	require.LessOrEqual(t, lines.FilterMessage("request: answered").Len(), 50)
	require.Equal(t, 1, lines.FilterMessage("promotion: announced").Len())
	require.Equal(t, uint64(450), r.log.Dropped())
}

// Guards against successes that drown the failures.
func TestLogSamplesSuccesses(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	r := start(t, zap.New(core))
	for range 500 {
		r.log.Record(proxy.RequestCompleted{ID: "1"})
	}
	r.end()
	require.Equal(t, 5, lines.Len())
}

// Guards against a reader that stops reading and so stops the statements.
func TestLogNeverBlocks(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(writer), zapcore.InfoLevel)
	r := start(t, zap.New(core))
	long := strings.Repeat("x", 4<<10)
	began := time.Now()
	for range 20_000 {
		r.log.Record(proxy.PromotionStep{Reason: long})
	}
	require.Less(t, time.Since(began), 5*time.Second)
	require.Positive(t, r.log.Dropped())
	// The pipe is read again, so that the duty can end.
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	r.end()
	require.NoError(t, writer.Close())
}
