package clock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/port"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against timers that are delivered in the wrong order, twice, or after they were stopped.
func TestFake(t *testing.T) {
	t.Run("delivers in order of deadlines", func(t *testing.T) {
		var fake clock.Fake
		var got []time.Duration
		record := func(now time.Duration) { got = append(got, now) }
		fake.After(3*time.Second, record)
		fake.Every(2*time.Second, record)
		fake.Advance(5 * time.Second)
		require.Equal(t, []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second}, got)
	})
	t.Run("does not deliver a stopped timer", func(t *testing.T) {
		var fake clock.Fake
		n := 0
		stop := fake.Every(time.Second, func(time.Duration) { n++ })
		fake.Advance(time.Second)
		stop()
		stop()
		fake.Advance(time.Minute)
		require.Equal(t, 1, n)
	})
	t.Run("timeout cancels the context with kind Timeout", func(t *testing.T) {
		var fake clock.Fake
		ctx, cancel := port.WithTimeout(t.Context(), &fake, time.Second)
		defer cancel()
		fake.Advance(time.Second)
		<-ctx.Done()
		requireKind(t, port.Timeout, contextCause(ctx))
	})
}

// Guards against a service that does not deliver a timer that is added while it waits for a later one.
func TestService(t *testing.T) {
	service := clock.NewService()
	ctx, cancel := port.WithTimeout(t.Context(), service, time.Hour)
	defer cancel()
	stopped := make(chan struct{})
	go runService(ctx, service, stopped)
	fired := make(chan struct{})
	service.After(time.Millisecond, func(time.Duration) { close(fired) })
	<-fired
	cancel()
	<-stopped
}
