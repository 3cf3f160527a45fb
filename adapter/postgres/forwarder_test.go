package postgres_test

import (
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/postgres"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const simple = pgx.QueryExecModeSimpleProtocol

// Guards against a session that ends with its serving instance although nothing was open, a request that is sent twice,
// and an outcome that is not true.
func TestServingInstanceKilled(t *testing.T) {
	t.Run("while idle", func(t *testing.T) {
		f := startForwarding(t)
		conn := f.connect("acme", "orders")
		require.NoError(t, <-execute(conn, "insert 1"))
		f.kill(f.near)
		f.counts.await(func() bool { return f.counts.moved == 1 })
		requireRow(t, conn, "select 1", simple)
		require.Equal(t, "acme@map[core:1:1]", f.far.gate.lastToken(), "the newest token moves with the session")
		require.Equal(t, []string{"1 acme select 1"}, f.far.ran())
		require.Empty(t, f.ran())
	})
	t.Run("in a request", func(t *testing.T) {
		f := startForwarding(t)
		conn := f.connect("acme", "orders")
		entered, killed := make(chan struct{}), make(chan struct{})
		f.near.servers[0].answer(func(*fakeConn, string) {
			close(entered)
			<-killed
		})
		inserted := execute(conn, "insert 1")
		<-entered
		f.kill(f.near)
		close(killed)
		requireState(t, port.UnknownOutcome, <-inserted)
		require.Empty(t, f.far.ran())
		require.Equal(t, []port.Outcome{port.Unknown}, f.counts.lost)
	})
	t.Run("in a transaction", func(t *testing.T) {
		f := startForwarding(t)
		tx := begin(t, f.connect("acme", "orders"))
		f.kill(f.near)
		f.counts.await(func() bool { return len(f.counts.lost) > 0 })
		requireState(t, port.Stopping, <-execute(tx.Conn(), "insert 1"))
		f.near.servers[0].waitClosed()
	})
	t.Run("with a named prepared statement", func(t *testing.T) {
		f := startForwarding(t)
		conn := f.connect("acme", "stock")
		requireRow(t, conn, "select 1")
		f.kill(f.near)
		f.counts.await(func() bool { return len(f.counts.lost) > 0 })
		_, err := conn.Exec(t.Context(), "select 1")
		requireState(t, port.Stopping, err)
	})
	t.Run("and no other one can be reached", func(t *testing.T) {
		f := startForwarding(t)
		conn := f.connect("acme", "orders")
		require.NoError(t, <-execute(conn, "insert 1"))
		f.connector.mu.Lock()
		f.connector.receivers = nil
		f.connector.mu.Unlock()
		f.connector.cut()
		f.counts.await(func() bool { return f.counts.moved == 1 })
		requireRow(t, conn, "select 2", simple)
		require.Equal(t, []string{"1 acme select 2"}, f.ran())
		require.Equal(t, "acme@map[core:1:1]", f.gate.lastToken())
	})
}

// Guards against a request that is written to an instance which this one has given up already, and whose outcome is
// unknown then although it could have run elsewhere.
func TestForwardedToGivenUp(t *testing.T) {
	f := startForwarding(t)
	conn := f.connect("acme", "stock")
	requireRow(t, conn, "select 1", simple)
	f.giveUp(f.near)
	requireRow(t, conn, "select 2", simple)
	require.Equal(t, []string{"1 acme/read select 2"}, f.far.ran())
	require.Empty(t, f.counts.lost)
}

// Guards against instances that forward to each other while their lists differ, and against a caller that nobody serves.
func TestForwardingChoice(t *testing.T) {
	t.Run("a receiver does not forward again", func(t *testing.T) {
		f := startForwarding(t)
		back := &fakeConnector{t: t, receivers: []*fixture{f.fixture}}
		middle := start(t, postgres.ListenerConfig{
			Forward: &postgres.ForwardConfig{Connector: back, Observer: newForwardCounts()},
		}, startFake(t))
		f.connector.receivers = []*fixture{f.near}
		require.NoError(t, middle.connect("acme", "stock").Close(t.Context()))
		f.connector.mu.Lock()
		f.connector.receivers = []*fixture{middle}
		f.connector.mu.Unlock()
		requireRow(t, f.connect("acme", "stock"), "select 1", simple)
		require.Equal(t, []string{"1 acme/read select 1"}, middle.ran())
	})
	t.Run("nobody can be reached at the start", func(t *testing.T) {
		f := startForwarding(t)
		f.connector.receivers = nil
		requireRow(t, f.connect("acme", "stock"), "select 1")
		require.Len(t, f.ran(), 1)
	})
	t.Run("the key is refused at the serving instance", func(t *testing.T) {
		f := startForwarding(t)
		f.near.gate.refuseWith(port.Errorf(port.KeyRefused, "the key was withdrawn"))
		requireState(t, port.KeyRefused, <-execute(f.connect("acme", "stock"), "select 1"))
		require.Empty(t, f.far.ran())
	})
	t.Run("the serving instance is behind in revisions", func(t *testing.T) {
		f := startForwarding(t)
		f.near.gate.refuseWith(port.Errorf(port.NotFresh, "revision 2 did not come in time"))
		requireRow(t, f.connect("acme", "stock"), "select 1", simple)
		require.Len(t, f.far.ran(), 1)
	})
	t.Run("a key is withdrawn from a forwarded caller", func(t *testing.T) {
		f := startForwarding(t)
		conn := f.connect("acme", "stock")
		requireRow(t, conn, "select 1", simple)
		f.near.gate.refuseWith(port.Errorf(port.KeyRefused, "the key was withdrawn"))
		requireState(t, port.KeyRefused, <-execute(conn, "select 2"))
		require.Empty(t, f.far.ran())
	})
}

// Guards against a planned stop of either side that cuts a request or a transaction, or that waits for an idle caller.
func TestForwardedStop(t *testing.T) {
	t.Run("serving instance with an idle caller", func(t *testing.T) {
		f := startForwarding(t)
		conn := f.connect("acme", "stock")
		requireRow(t, conn, "select 1", simple)
		stopped := f.near.stop()
		f.counts.await(func() bool { return f.counts.moved == 1 })
		requireRow(t, conn, "select 2", simple)
		require.Len(t, f.far.ran(), 1)
		require.NoError(t, <-stopped)
	})
	t.Run("serving instance with a transaction", func(t *testing.T) {
		f := startForwarding(t)
		conn := f.connect("acme", "orders")
		tx := begin(t, conn)
		stopped := f.near.stop()
		require.NoError(t, <-execute(conn, "insert 1"))
		require.NoError(t, tx.Commit(t.Context()))
		require.Empty(t, f.far.ran())
		require.NoError(t, <-stopped)
	})
	t.Run("own instance with an idle caller", func(t *testing.T) {
		f := startForwarding(t)
		conn := f.connect("acme", "stock")
		requireRow(t, conn, "select 1", simple)
		stopped := f.stop()
		requireState(t, port.Stopping, conn.PgConn().WaitForNotification(t.Context()))
		require.NoError(t, <-stopped)
	})
	t.Run("own instance with a transaction", func(t *testing.T) {
		f := startForwarding(t)
		conn := f.connect("acme", "orders")
		tx := begin(t, conn)
		stopped := f.stop()
		require.NoError(t, <-execute(conn, "insert 1"))
		require.NoError(t, tx.Commit(t.Context()))
		defer f.keepTimeMoving()()
		require.NoError(t, <-stopped)
	})
	t.Run("own instance with an idle transaction", func(t *testing.T) {
		f := startForwarding(t)
		begin(t, f.connect("acme", "orders"))
		stopped := f.stop()
		defer f.keepTimeMoving()()
		require.NoError(t, <-stopped)
		require.GreaterOrEqual(t, f.clock.Now(), postgres.DefaultDrainIdleTimeout)
		f.near.servers[0].waitClosed()
	})
}

// Guards against a cancel request that does not reach the server, and against messages greater than the buffers.
func TestForwardedMessages(t *testing.T) {
	t.Run("cancel", func(t *testing.T) {
		f := startForwarding(t)
		conn := f.connect("acme", "orders")
		entered := make(chan struct{})
		f.near.servers[0].answer(func(c *fakeConn, _ string) {
			close(entered)
			c.server.waitCancelled()
			c.fail("57014", "cancelled")
		})
		inserted := execute(conn, "insert 1")
		<-entered
		require.NoError(t, conn.PgConn().CancelRequest(t.Context()))
		require.ErrorContains(t, <-inserted, "cancelled")
	})
	t.Run("large statement and answer", func(t *testing.T) {
		f := startForwarding(t)
		requireRow(t, f.connect("acme", "stock"), "select "+strings.Repeat("x", 200_000), simple)
	})
	t.Run("message above the limit", func(t *testing.T) {
		f := startForwarding(t)
		err := <-execute(f.connect("acme", "stock"), strings.Repeat("x", postgres.DefaultMaxMessageBytes+1))
		require.Error(t, err)
		require.Empty(t, f.near.ran())
	})
	t.Run("extended protocol", func(t *testing.T) {
		f := startForwarding(t)
		conn := f.connect("acme", "stock")
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeExec, pgx.QueryExecModeCacheStatement} {
			requireRow(t, conn, "select 1", mode)
		}
		require.Error(t, <-execute(conn, "copy out"))
		requireRow(t, conn, "select 2", simple)
	})
}

// Guards against a caller that does not read its answer and makes the instances keep it, and against its connection
// that stays for ever.
func TestForwardedSlowCaller(t *testing.T) {
	const rows, rowBytes = 4096, 16 << 10
	f := startForwarding(t)
	sent := make(chan int, rows)
	f.near.servers[0].answer(func(c *fakeConn, _ string) {
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
	defer f.keepTimeMoving()()
	f.near.servers[0].waitClosed()
	require.Less(t, len(sent), rows-1, "the server was stopped before the whole answer was sent")
}
