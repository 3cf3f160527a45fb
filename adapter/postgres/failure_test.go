package postgres_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/postgres"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Guards against a write that is sent twice, a read that is not retried, and a wrong outcome.
func TestServerConnectionLost(t *testing.T) {
	closeConn := func(c *fakeConn, _ string) { _ = c.conn.Close() }
	t.Run("read is retried before the first byte of the response", func(t *testing.T) {
		failing, healthy := startFakeServer(t), startFakeServer(t)
		failing.setScript(closeConn)
		f := startFixture(t, postgres.ListenerConfig{}, failing, healthy)
		requireRow(t, f.connect("acme", "stock"), "select 1", pgx.QueryExecModeSimpleProtocol)
		require.Len(t, failing.statements(), 1)
	})
	t.Run("after a fatal error", func(t *testing.T) {
		failing, healthy := startFakeServer(t), startFakeServer(t)
		failing.setScript(func(c *fakeConn, _ string) {
			c.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "57P01", Message: "shutting down"})
			_ = c.backend.Flush()
			_ = c.conn.Close()
		})
		f := startFixture(t, postgres.ListenerConfig{}, failing, healthy)
		requireRow(t, f.connect("acme", "stock"), "select 1", pgx.QueryExecModeSimpleProtocol)
		f.selector.reset()
		conn := f.connect("acme", "orders")
		requireKind(t, port.UnknownOutcome, <-execute(conn, "insert 1"))
		requireRow(t, conn, "select 1", pgx.QueryExecModeSimpleProtocol)
	})
	t.Run("read is unknown after the first byte of the response", func(t *testing.T) {
		failing, healthy := startFakeServer(t), startFakeServer(t)
		seen := make(chan struct{})
		failing.setScript(func(c *fakeConn, sql string) {
			c.row(sql)
			_ = c.backend.Flush()
			<-seen
			_ = c.conn.Close()
		})
		f := startFixture(t, postgres.ListenerConfig{}, failing, healthy)
		conn := f.connect("acme", "stock")
		rows, err := conn.Query(t.Context(), "select 1", pgx.QueryExecModeSimpleProtocol)
		require.NoError(t, err)
		require.True(t, rows.Next())
		close(seen)
		rows.Close()
		requireKind(t, port.UnknownOutcome, rows.Err())
		require.Empty(t, healthy.statements())
		requireRow(t, conn, "select 2", pgx.QueryExecModeSimpleProtocol)
	})
	t.Run("write is unknown and not retried", func(t *testing.T) {
		failing, healthy := startFakeServer(t), startFakeServer(t)
		failing.setScript(closeConn)
		f := startFixture(t, postgres.ListenerConfig{}, failing, healthy)
		conn := f.connect("acme", "orders")
		_, err := conn.Exec(t.Context(), "insert 1")
		requireKind(t, port.UnknownOutcome, err)
		require.Len(t, append(failing.statements(), healthy.statements()...), 1)
	})
	t.Run("open transaction ends the connection", func(t *testing.T) {
		f, server := startOneServer(t)
		conn := f.connect("acme", "orders")
		tx := begin(t, conn)
		server.closeConns()
		_, err := tx.Exec(t.Context(), "insert 1")
		require.Error(t, err)
		require.Equal(t, []string{"1 acme begin"}, server.statements())
	})
	t.Run("rejected bind means not run", func(t *testing.T) {
		server := startFakeServer(t)
		server.configure(func(b *behaviour) { b.bindError = "fenced" })
		f := startFixture(t, postgres.ListenerConfig{}, server)
		conn := f.connect("acme", "orders")
		defer f.runClock()()
		requireKind(t, port.NoConnection, <-execute(conn, "insert 1"))
		require.Empty(t, server.statements())
	})
}

// Guards against a confirmation that is sent before a majority has the write, and against a wrong outcome if the wait
// for the majority fails.
func TestAcknowledgment(t *testing.T) {
	f, server := startOneServer(t)
	t.Run("confirmation is held back", func(t *testing.T) {
		awaited, allow := make(chan group.Position, 1), make(chan struct{})
		f.selector.setAwaitDurable(func(_ context.Context, p group.Position) error {
			awaited <- p
			<-allow
			return nil
		})
		conn := f.connect("acme", "orders")
		done := execute(conn, "insert 1")
		require.Equal(t, group.Position{Term: 1, Offset: 1}, <-awaited)
		require.Empty(t, done)
		close(allow)
		require.NoError(t, <-done)
	})
	for _, kind := range []port.Kind{port.NotKept, port.UnknownOutcome, port.Timeout} {
		t.Run("failed with "+string(kind), func(t *testing.T) {
			f.selector.setAwaitDurable(func(context.Context, group.Position) error { return port.Errorf(kind, "replaced") })
			conn := f.connect("acme", "orders")
			_, err := conn.Exec(t.Context(), "insert 1")
			if kind == port.Timeout {
				kind = port.UnknownOutcome
			}
			requireKind(t, kind, err)
			require.Empty(t, conn.PgConn().ParameterStatus("rhubarbwick.session"))
			requireRow(t, conn, "select 1")
		})
	}
	t.Run("held response is limited", func(t *testing.T) {
		server.setScript(func(c *fakeConn, _ string) {
			c.complete("INSERT 0 1")
			c.row(strings.Repeat("x", postgres.DefaultMaxHeldBytes))
			c.complete("SELECT 1")
		})
		conn := f.connect("acme", "orders")
		requireKind(t, port.UnknownOutcome, <-execute(conn, "insert 1"))
	})
}

// Guards against a planned stop that interrupts a statement or an open transaction.
func TestStop(t *testing.T) {
	t.Run("statement in flight finishes", func(t *testing.T) {
		server := startFakeServer(t)
		running, finish := make(chan struct{}), make(chan struct{})
		server.setScript(func(c *fakeConn, sql string) {
			close(running)
			<-finish
			c.run(sql)
		})
		f := startFixture(t, postgres.ListenerConfig{}, server)
		busy, idle := f.connect("acme", "orders"), f.connect("acme", "orders")
		done := execute(busy, "insert 1")
		<-running
		stopped := f.stop()
		_, err := idle.WaitForNotification(t.Context())
		requireKind(t, port.Stopping, err)
		require.Empty(t, stopped)
		close(finish)
		require.NoError(t, <-done)
		defer f.runClock()()
		require.NoError(t, <-stopped)
		require.Len(t, server.statements(), 1)
	})
	t.Run("open transaction finishes", func(t *testing.T) {
		f, _ := startOneServer(t)
		conn := f.connect("acme", "orders")
		tx := begin(t, conn)
		stopped := f.stop()
		_, err := tx.Exec(t.Context(), "insert 1", pgx.QueryExecModeSimpleProtocol)
		require.NoError(t, err)
		require.NoError(t, tx.Commit(t.Context()))
		defer f.runClock()()
		require.NoError(t, <-stopped)
	})
	t.Run("idle transaction is closed at the limit", func(t *testing.T) {
		f, _ := startOneServer(t)
		tx, err := f.connect("acme", "orders").Begin(t.Context())
		require.NoError(t, err)
		stopped := f.stop()
		defer f.runClock()()
		require.NoError(t, <-stopped)
		require.GreaterOrEqual(t, f.clock.Now(), postgres.DefaultDrainIdleTimeout)
		require.Error(t, tx.Commit(t.Context()))
	})
}

// runClock advances the clock until the returned function is called.
func (f *fixture) runClock() func() {
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				f.clock.Advance(100 * time.Millisecond)
			}
		}
	}()
	return func() {
		close(stop)
		<-stopped
	}
}

// advanceTo advances the clock to an instant, so that whatever waits for it on a server continues.
func (f *fixture) advanceTo(instant time.Duration) { f.clock.Advance(max(0, instant-f.clock.Now())) }

func (f *fixture) stop() <-chan error {
	stopped := make(chan error, 1)
	go func() { stopped <- f.listener.Stop(context.Background()) }()
	return stopped
}

// reset makes the selector return the first server next.
func (s *fakeSelector) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selected = 0
}

func (s *fakeSelector) setAwaitDurable(f func(context.Context, group.Position) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaitDurable = f
}

// Guards against one client whose statement causes a panic and that thereby ends the process with all other clients.
func TestPanicEndsOneClient(t *testing.T) {
	f, server := startOneServer(t)
	unaffected, failing := f.connect("acme", "orders"), f.connect("other", "orders")
	f.authorizer.setPanicFor("other")
	require.Error(t, <-execute(failing, "insert 1"))
	require.NoError(t, <-execute(unaffected, "insert 2"))
	f.authorizer.setPanicFor("")
	require.NoError(t, <-execute(f.connect("other", "orders"), "insert 3"))
	require.Len(t, server.statements(), 2)
}
