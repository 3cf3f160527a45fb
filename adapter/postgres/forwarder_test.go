package postgres_test

import (
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/postgres"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const simpleProtocol = pgx.QueryExecModeSimpleProtocol

// Guards against a session that ends with its serving instance although nothing was open, a request that is sent twice,
// and a wrong outcome.
func TestServingInstanceLost(t *testing.T) {
	t.Run("while idle", func(t *testing.T) {
		f := startForwardFixture(t)
		conn := f.connect("acme", "orders")
		require.NoError(t, <-execute(conn, "insert 1"))
		f.killInstance(f.first)
		f.recorder.await(func() bool { return f.recorder.moved == 1 })
		requireRow(t, conn, "select 1", simpleProtocol)
		require.Equal(t, "acme@map[core:1:1]", f.second.authorizer.lastToken(), "the latest token is sent with the session")
		require.Equal(t, []string{"1 acme select 1"}, f.second.statements())
		require.Empty(t, f.statements())
	})
	t.Run("in a request", func(t *testing.T) {
		f := startForwardFixture(t)
		conn := f.connect("acme", "orders")
		entered, killed := make(chan struct{}), make(chan struct{})
		f.first.servers[0].setScript(func(*fakeConn, string) {
			close(entered)
			<-killed
		})
		inserted := execute(conn, "insert 1")
		<-entered
		f.killInstance(f.first)
		close(killed)
		requireKind(t, port.UnknownOutcome, <-inserted)
		require.Empty(t, f.second.statements())
		require.Equal(t, []port.Outcome{port.Unknown}, f.recorder.lostOutcomes)
	})
	t.Run("in a transaction", func(t *testing.T) {
		f := startForwardFixture(t)
		tx := begin(t, f.connect("acme", "orders"))
		f.killInstance(f.first)
		f.recorder.await(func() bool { return len(f.recorder.lostOutcomes) > 0 })
		requireKind(t, port.Stopping, <-execute(tx.Conn(), "insert 1"))
		f.first.servers[0].awaitClosed()
	})
	t.Run("with a named prepared statement", func(t *testing.T) {
		f := startForwardFixture(t)
		conn := f.connect("acme", "stock")
		requireRow(t, conn, "select 1")
		f.killInstance(f.first)
		f.recorder.await(func() bool { return len(f.recorder.lostOutcomes) > 0 })
		_, err := conn.Exec(t.Context(), "select 1")
		requireKind(t, port.Stopping, err)
	})
	t.Run("and no other can be reached", func(t *testing.T) {
		f := startForwardFixture(t)
		conn := f.connect("acme", "orders")
		require.NoError(t, <-execute(conn, "insert 1"))
		f.connector.mu.Lock()
		f.connector.instances = nil
		f.connector.mu.Unlock()
		f.connector.closeConns()
		f.recorder.await(func() bool { return f.recorder.moved == 1 })
		requireRow(t, conn, "select 2", simpleProtocol)
		require.Equal(t, []string{"1 acme select 2"}, f.statements())
		require.Equal(t, "acme@map[core:1:1]", f.authorizer.lastToken())
	})
}

// Guards against a request that is written to an instance that already counts as lost: its outcome would be unknown,
// although it could run elsewhere.
func TestForwardToLostInstance(t *testing.T) {
	f := startForwardFixture(t)
	conn := f.connect("acme", "stock")
	requireRow(t, conn, "select 1", simpleProtocol)
	f.markLost(f.first)
	requireRow(t, conn, "select 2", simpleProtocol)
	require.Equal(t, []string{"1 acme/read select 2"}, f.second.statements())
	require.Empty(t, f.recorder.lostOutcomes)
}

// Guards against instances that forward to each other because their lists differ, and against a client that is not
// served by any instance.
func TestForwardingChoice(t *testing.T) {
	t.Run("forwarded client is not forwarded again", func(t *testing.T) {
		f := startForwardFixture(t)
		back := &fakeConnector{t: t, instances: []*fixture{f.fixture}}
		middle := startFixture(t, postgres.ListenerConfig{
			Forward: &postgres.ForwardConfig{Connector: back, Observer: newForwardRecorder()},
		}, startFakeServer(t))
		f.connector.instances = []*fixture{f.first}
		require.NoError(t, middle.connect("acme", "stock").Close(t.Context()))
		f.connector.mu.Lock()
		f.connector.instances = []*fixture{middle}
		f.connector.mu.Unlock()
		requireRow(t, f.connect("acme", "stock"), "select 1", simpleProtocol)
		require.Equal(t, []string{"1 acme/read select 1"}, middle.statements())
	})
	t.Run("no serving instance can be reached at start-up", func(t *testing.T) {
		f := startForwardFixture(t)
		f.connector.instances = nil
		requireRow(t, f.connect("acme", "stock"), "select 1")
		require.Len(t, f.statements(), 1)
	})
	t.Run("serving instance refuses the key", func(t *testing.T) {
		f := startForwardFixture(t)
		f.first.authorizer.setError(port.Errorf(port.KeyRefused, "the key was withdrawn"))
		requireKind(t, port.KeyRefused, <-execute(f.connect("acme", "stock"), "select 1"))
		require.Empty(t, f.second.statements())
	})
	t.Run("serving instance has an older revision", func(t *testing.T) {
		f := startForwardFixture(t)
		f.first.authorizer.setError(port.Errorf(port.NotFresh, "revision 2 did not arrive in time"))
		requireRow(t, f.connect("acme", "stock"), "select 1", simpleProtocol)
		require.Len(t, f.second.statements(), 1)
	})
	t.Run("key of a forwarded client is withdrawn", func(t *testing.T) {
		f := startForwardFixture(t)
		conn := f.connect("acme", "stock")
		requireRow(t, conn, "select 1", simpleProtocol)
		f.first.authorizer.setError(port.Errorf(port.KeyRefused, "the key was withdrawn"))
		requireKind(t, port.KeyRefused, <-execute(conn, "select 2"))
		require.Empty(t, f.second.statements())
	})
}

// Guards against a planned stop of either instance that interrupts a request or a transaction, or that waits for an
// idle client.
func TestForwardedStop(t *testing.T) {
	t.Run("serving instance with an idle client", func(t *testing.T) {
		f := startForwardFixture(t)
		conn := f.connect("acme", "stock")
		requireRow(t, conn, "select 1", simpleProtocol)
		stopped := f.first.stop()
		f.recorder.await(func() bool { return f.recorder.moved == 1 })
		requireRow(t, conn, "select 2", simpleProtocol)
		require.Len(t, f.second.statements(), 1)
		require.NoError(t, <-stopped)
	})
	t.Run("serving instance with a transaction", func(t *testing.T) {
		f := startForwardFixture(t)
		conn := f.connect("acme", "orders")
		tx := begin(t, conn)
		stopped := f.first.stop()
		require.NoError(t, <-execute(conn, "insert 1"))
		require.NoError(t, tx.Commit(t.Context()))
		require.Empty(t, f.second.statements())
		require.NoError(t, <-stopped)
	})
	t.Run("forwarding instance with an idle client", func(t *testing.T) {
		f := startForwardFixture(t)
		conn := f.connect("acme", "stock")
		requireRow(t, conn, "select 1", simpleProtocol)
		stopped := f.stop()
		requireKind(t, port.Stopping, conn.PgConn().WaitForNotification(t.Context()))
		require.NoError(t, <-stopped)
	})
	t.Run("forwarding instance with a transaction", func(t *testing.T) {
		f := startForwardFixture(t)
		conn := f.connect("acme", "orders")
		tx := begin(t, conn)
		stopped := f.stop()
		require.NoError(t, <-execute(conn, "insert 1"))
		require.NoError(t, tx.Commit(t.Context()))
		defer f.runClock()()
		require.NoError(t, <-stopped)
	})
	t.Run("forwarding instance with an idle transaction", func(t *testing.T) {
		f := startForwardFixture(t)
		begin(t, f.connect("acme", "orders"))
		stopped := f.stop()
		defer f.runClock()()
		require.NoError(t, <-stopped)
		require.GreaterOrEqual(t, f.clock.Now(), postgres.DefaultDrainIdleTimeout)
		f.first.servers[0].awaitClosed()
	})
}

// Guards against a cancel request that does not reach the server, and against messages that are not forwarded correctly
// because they are larger than the buffers.
func TestForwardedMessages(t *testing.T) {
	t.Run("cancel", func(t *testing.T) {
		f := startForwardFixture(t)
		conn := f.connect("acme", "orders")
		entered := make(chan struct{})
		f.first.servers[0].setScript(func(c *fakeConn, _ string) {
			close(entered)
			c.server.awaitCancel()
			c.fail("57014", "cancelled")
		})
		inserted := execute(conn, "insert 1")
		<-entered
		require.NoError(t, conn.PgConn().CancelRequest(t.Context()))
		require.ErrorContains(t, <-inserted, "cancelled")
	})
	t.Run("large statement and response", func(t *testing.T) {
		f := startForwardFixture(t)
		requireRow(t, f.connect("acme", "stock"), "select "+strings.Repeat("x", 200_000), simpleProtocol)
	})
	t.Run("message above the limit", func(t *testing.T) {
		f := startForwardFixture(t)
		err := <-execute(f.connect("acme", "stock"), strings.Repeat("x", postgres.DefaultMaxMessageBytes+1))
		require.Error(t, err)
		require.Empty(t, f.first.statements())
	})
	t.Run("extended protocol", func(t *testing.T) {
		f := startForwardFixture(t)
		conn := f.connect("acme", "stock")
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeExec, pgx.QueryExecModeCacheStatement} {
			requireRow(t, conn, "select 1", mode)
		}
		require.Error(t, <-execute(conn, "copy out"))
		requireRow(t, conn, "select 2", simpleProtocol)
	})
}

// Guards against instances that buffer the response for a client that does not read it, and against a connection of
// such a client that is never closed.
func TestForwardedSlowClient(t *testing.T) {
	const rows, rowBytes = 4096, 16 << 10
	f := startForwardFixture(t)
	sent := make(chan int, rows)
	f.first.servers[0].setScript(func(c *fakeConn, _ string) {
		for n := range rows {
			c.row(strings.Repeat("x", rowBytes))
			if c.backend.Flush() != nil {
				break
			}
			sent <- n
		}
	})
	conn := f.connect("acme", "stock").PgConn()
	_ = conn.ExecParams(t.Context(), "select 1", nil, nil, nil, nil)
	<-sent
	defer f.runClock()()
	f.first.servers[0].awaitClosed()
	require.Less(t, len(sent), rows-1, "the server stopped sending before the response was complete")
}
