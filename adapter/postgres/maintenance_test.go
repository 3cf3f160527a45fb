package postgres_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/adapter/postgres"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/standin/server"
)

// maintained is a stand-in server with the maintenance side that reaches it.
type maintained struct {
	process     *server.Process
	maintenance *postgres.MaintenanceClient
	stop        func()
}

func startMaintained(t *testing.T, name string) maintained {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	timer := clock.NewService()
	p, err := server.Open(ctx, server.Config{
		Name:   name,
		Listen: "127.0.0.1:0",
		Admin:  "127.0.0.1:0",
		Login:  server.Login{User: "system", Password: "secret"},
	}, timer)
	require.NoError(t, err)
	var duties sync.WaitGroup
	duties.Go(func() { timer.Run(ctx) })
	duties.Go(func() { _ = p.Run(ctx) })
	stop := func() {
		cancel()
		duties.Wait()
	}
	t.Cleanup(stop)
	return maintained{process: p, maintenance: newMaintenance(t, "a", p.Address()), stop: stop}
}

func newMaintenance(t *testing.T, name, address string) *postgres.MaintenanceClient {
	t.Helper()
	m := postgres.NewMaintenanceClient(postgres.MaintenanceClientConfig{
		Server: name, Address: address, User: "system", Password: "secret",
	})
	t.Cleanup(m.Close)
	return m
}

func requireSameStatus(t *testing.T, m maintained, got group.Status) {
	t.Helper()
	want, err := m.process.Server.Status(t.Context(), group.Position{}, 0)
	require.NoError(t, err)
	want.PrimarySilence, want.Age = got.PrimarySilence, got.Age
	require.Equal(t, want, got)
}

func requireMaintenanceKind(t *testing.T, kind port.Kind, err error) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, kind, port.KindOf(err), "error is %v", err)
}

// Guards against orders or statuses that change on their way to a server.
func TestMaintenanceOrders(t *testing.T) {
	m := startMaintained(t, "a")
	t.Run("status of a new server", func(t *testing.T) {
		status, err := m.maintenance.Status(t.Context(), group.Position{}, 0)
		require.NoError(t, err)
		requireSameStatus(t, m, status)
	})
	t.Run("fence, promote and the refusals", func(t *testing.T) {
		status, err := m.maintenance.Fence(t.Context(), 2, "it's me")
		require.NoError(t, err)
		requireSameStatus(t, m, status)
		_, err = m.maintenance.Fence(t.Context(), 1, "other")
		requireMaintenanceKind(t, port.Conflict, err)
		var refusal *port.TermConflictError
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, group.Term(2), refusal.Promised)
		status, err = m.maintenance.Promote(t.Context(), 2, "it's me")
		require.NoError(t, err)
		require.Equal(t, group.Primary, status.Role)
		requireSameStatus(t, m, status)
		_, err = m.maintenance.Follow(t.Context(), 2, "127.0.0.1:1")
		requireMaintenanceKind(t, port.Conflict, err)
	})
	t.Run("follow", func(t *testing.T) {
		b := startMaintained(t, "a")
		_, err := b.maintenance.Follow(t.Context(), 2, m.process.Address())
		require.NoError(t, err)
		status, err := b.maintenance.Status(t.Context(), group.Position{Term: 2, Offset: 1}, 10*time.Second)
		require.NoError(t, err)
		require.Equal(t, group.Term(2), status.Followed)
	})
}

// Guards against a maintenance side that hangs, or stays broken after its server came back.
func TestMaintenanceFailures(t *testing.T) {
	t.Run("a wait ends with its context and leaves orders free", func(t *testing.T) {
		m := startMaintained(t, "a")
		ctx, cancel := context.WithCancel(t.Context())
		waited := make(chan error, 1)
		go func() {
			_, err := m.maintenance.Status(ctx, group.Position{Term: 1, Offset: 1}, time.Hour)
			waited <- err
		}()
		_, err := m.maintenance.Fence(t.Context(), 1, "candidate")
		require.NoError(t, err)
		cancel()
		requireMaintenanceKind(t, port.Unavailable, <-waited)
		_, err = m.maintenance.Status(t.Context(), group.Position{}, 0)
		require.NoError(t, err)
	})
	t.Run("reconnects after its connection was lost", func(t *testing.T) {
		m := startMaintained(t, "a")
		for range 3 {
			_, err := m.maintenance.Status(t.Context(), group.Position{}, 0)
			require.NoError(t, err)
			m.process.Listener.CloseConnections()
		}
		m.stop()
		_, err := m.maintenance.Status(t.Context(), group.Position{}, 0)
		requireMaintenanceKind(t, port.Unavailable, err)
	})
	t.Run("another server at the address", func(t *testing.T) {
		m := startMaintained(t, "b")
		_, err := m.maintenance.Status(t.Context(), group.Position{}, 0)
		requireMaintenanceKind(t, port.Unavailable, err)
	})
	t.Run("zero value and closed", func(t *testing.T) {
		var zero postgres.MaintenanceClient
		_, err := zero.Fence(t.Context(), 1, "candidate")
		requireMaintenanceKind(t, port.Unavailable, err)
		m := startMaintained(t, "a")
		m.maintenance.Close()
		_, err = m.maintenance.Status(t.Context(), group.Position{}, 0)
		requireMaintenanceKind(t, port.Unavailable, err)
	})
}
