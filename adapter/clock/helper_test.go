package clock_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/port"
)

func requireKind(t *testing.T, want port.Kind, err error) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, want, port.KindOf(err))
}

func contextCause(ctx context.Context) error { return context.Cause(ctx) }

func runService(ctx context.Context, service *clock.Service, stopped chan<- struct{}) {
	service.Run(ctx)
	close(stopped)
}
