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

// maintainedServer is a stand-in server with a maintenance client.
type maintainedServer struct {
	process *server.Process
	client  *postgres.MaintenanceClient
	stop    func()
}

func startMaintainedServer(t *testing.T, name string) maintainedServer {
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
	var running sync.WaitGroup
	running.Go(func() { timer.Run(ctx) })
	running.Go(func() { _ = p.Run(ctx) })
	stop := func() {
		cancel()
		running.Wait()
	}
	t.Cleanup(stop)
	return maintainedServer{process: p, client: connectMaintenance(t, "a", p.Address()), stop: stop}
}

func connectMaintenance(t *testing.T, name, address string) *postgres.MaintenanceClient {
	t.Helper()
	m := postgres.NewMaintenanceClient(postgres.MaintenanceClientConfig{
		Server: name, Address: address, User: "system", Password: "secret",
	})
	t.Cleanup(m.Close)
	return m
}

func requireSameStatus(t *testing.T, m maintainedServer, got group.Status) {
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

// Guards against arguments or statuses that change on their way to or from a server.
func TestMaintenanceCalls(t *testing.T) {
	m := startMaintainedServer(t, "a")
	t.Run("status of a new server", func(t *testing.T) {
		status, err := m.client.Status(t.Context(), group.Position{}, 0)
		require.NoError(t, err)
		requireSameStatus(t, m, status)
	})
	t.Run("fence, promote and rejections", func(t *testing.T) {
		status, err := m.client.Fence(t.Context(), 2, "it's me")
		require.NoError(t, err)
		requireSameStatus(t, m, status)
		_, err = m.client.Fence(t.Context(), 1, "other")
		requireMaintenanceKind(t, port.Conflict, err)
		var refusal *port.TermConflictError
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, group.Term(2), refusal.Promised)
		status, err = m.client.Promote(t.Context(), 2, "it's me")
		require.NoError(t, err)
		require.Equal(t, group.Primary, status.Role)
		requireSameStatus(t, m, status)
		_, err = m.client.Follow(t.Context(), 2, "127.0.0.1:1")
		requireMaintenanceKind(t, port.Conflict, err)
	})
	t.Run("follow", func(t *testing.T) {
		b := startMaintainedServer(t, "a")
		_, err := b.client.Follow(t.Context(), 2, m.process.Address())
		require.NoError(t, err)
		status, err := b.client.Status(t.Context(), group.Position{Term: 2, Offset: 1}, 10*time.Second)
		require.NoError(t, err)
		require.Equal(t, group.Term(2), status.Followed)
	})
}

// Guards against a maintenance client that hangs, or that remains broken after its server has returned.
func TestMaintenanceFailures(t *testing.T) {
	t.Run("wait ends with its context and does not block other calls", func(t *testing.T) {
		m := startMaintainedServer(t, "a")
		ctx, cancel := context.WithCancel(t.Context())
		waited := make(chan error, 1)
		go func() {
			_, err := m.client.Status(ctx, group.Position{Term: 1, Offset: 1}, time.Hour)
			waited <- err
		}()
		_, err := m.client.Fence(t.Context(), 1, "candidate")
		require.NoError(t, err)
		cancel()
		requireMaintenanceKind(t, port.Unavailable, <-waited)
		_, err = m.client.Status(t.Context(), group.Position{}, 0)
		require.NoError(t, err)
	})
	t.Run("reconnects after a lost connection", func(t *testing.T) {
		m := startMaintainedServer(t, "a")
		for range 3 {
			_, err := m.client.Status(t.Context(), group.Position{}, 0)
			require.NoError(t, err)
			m.process.Listener.CloseConnections()
		}
		m.stop()
		_, err := m.client.Status(t.Context(), group.Position{}, 0)
		requireMaintenanceKind(t, port.Unavailable, err)
	})
	t.Run("another server at the address", func(t *testing.T) {
		m := startMaintainedServer(t, "b")
		_, err := m.client.Status(t.Context(), group.Position{}, 0)
		requireMaintenanceKind(t, port.Unavailable, err)
	})
	t.Run("zero value and closed", func(t *testing.T) {
		var zero postgres.MaintenanceClient
		_, err := zero.Fence(t.Context(), 1, "candidate")
		requireMaintenanceKind(t, port.Unavailable, err)
		m := startMaintainedServer(t, "a")
		m.client.Close()
		_, err = m.client.Status(t.Context(), group.Position{}, 0)
		requireMaintenanceKind(t, port.Unavailable, err)
	})
}
