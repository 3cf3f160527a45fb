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

// Guards against a write that is sent twice, a read that is given up too early, and a wrong outcome.
func TestServerDies(t *testing.T) {
	dies := func(c *fakeConn, _ string) { _ = c.conn.Close() }
	t.Run("read before the first byte is placed again", func(t *testing.T) {
		bad, good := startFake(t), startFake(t)
		bad.answer(dies)
		f := start(t, postgres.ListenerConfig{}, bad, good)
		requireRow(t, f.connect("acme", "stock"), "select 1", pgx.QueryExecModeSimpleProtocol)
		require.Len(t, bad.statements(), 1)
	})
	t.Run("with a last error", func(t *testing.T) {
		bad, good := startFake(t), startFake(t)
		bad.answer(func(c *fakeConn, _ string) {
			c.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "57P01", Message: "shutting down"})
			_ = c.backend.Flush()
			_ = c.conn.Close()
		})
		f := start(t, postgres.ListenerConfig{}, bad, good)
		requireRow(t, f.connect("acme", "stock"), "select 1", pgx.QueryExecModeSimpleProtocol)
		f.director.startOver()
		conn := f.connect("acme", "orders")
		requireState(t, port.UnknownOutcome, <-execute(conn, "insert 1"))
		requireRow(t, conn, "select 1", pgx.QueryExecModeSimpleProtocol)
	})
	t.Run("read after the first byte is unknown", func(t *testing.T) {
		bad, good := startFake(t), startFake(t)
		seen := make(chan struct{})
		bad.answer(func(c *fakeConn, sql string) {
			c.row(sql)
			_ = c.backend.Flush()
			<-seen
			_ = c.conn.Close()
		})
		f := start(t, postgres.ListenerConfig{}, bad, good)
		conn := f.connect("acme", "stock")
		rows, err := conn.Query(t.Context(), "select 1", pgx.QueryExecModeSimpleProtocol)
		require.NoError(t, err)
		require.True(t, rows.Next())
		close(seen)
		rows.Close()
		requireState(t, port.UnknownOutcome, rows.Err())
		require.Empty(t, good.statements())
		requireRow(t, conn, "select 2", pgx.QueryExecModeSimpleProtocol)
	})
	t.Run("write is unknown and not sent again", func(t *testing.T) {
		bad, good := startFake(t), startFake(t)
		bad.answer(dies)
		f := start(t, postgres.ListenerConfig{}, bad, good)
		conn := f.connect("acme", "orders")
		_, err := conn.Exec(t.Context(), "insert 1")
		requireState(t, port.UnknownOutcome, err)
		require.Len(t, append(bad.statements(), good.statements()...), 1)
	})
	t.Run("open transaction ends the connection", func(t *testing.T) {
		f, server := startOne(t)
		conn := f.connect("acme", "orders")
		tx := begin(t, conn)
		server.closeConns()
		_, err := tx.Exec(t.Context(), "insert 1")
		require.Error(t, err)
		require.Equal(t, []string{"1 acme begin"}, server.statements())
	})
	t.Run("refused bind is not run", func(t *testing.T) {
		server := startFake(t)
		server.set(func(b *behaviour) { b.refused = "fenced" })
		f := start(t, postgres.ListenerConfig{}, server)
		conn := f.connect("acme", "orders")
		defer f.keepTimeMoving()()
		requireState(t, port.NoConnection, <-execute(conn, "insert 1"))
		require.Empty(t, server.statements())
	})
}

// Guards against a confirmation that goes out before a majority has the write, and against a wrong outcome after it.
func TestAcknowledgment(t *testing.T) {
	f, server := startOne(t)
	t.Run("confirmation is held", func(t *testing.T) {
		asked, allow := make(chan group.Position, 1), make(chan struct{})
		f.director.acknowledgeWith(func(_ context.Context, p group.Position) error {
			asked <- p
			<-allow
			return nil
		})
		conn := f.connect("acme", "orders")
		done := execute(conn, "insert 1")
		require.Equal(t, group.Position{Term: 1, Offset: 1}, <-asked)
		require.Empty(t, done)
		close(allow)
		require.NoError(t, <-done)
	})
	for _, kind := range []port.Kind{port.NotKept, port.UnknownOutcome, port.Timeout} {
		t.Run("failed with "+string(kind), func(t *testing.T) {
			f.director.acknowledgeWith(func(context.Context, group.Position) error { return port.Errorf(kind, "replaced") })
			conn := f.connect("acme", "orders")
			_, err := conn.Exec(t.Context(), "insert 1")
			if kind == port.Timeout {
				kind = port.UnknownOutcome
			}
			requireState(t, kind, err)
			require.Empty(t, conn.PgConn().ParameterStatus("rhubarbwick.session"))
			requireRow(t, conn, "select 1")
		})
	}
	t.Run("held bytes are bounded", func(t *testing.T) {
		server.answer(func(c *fakeConn, _ string) {
			c.complete("INSERT 0 1")
			c.row(strings.Repeat("x", postgres.DefaultMaxHeldBytes))
			c.complete("SELECT 1")
		})
		conn := f.connect("acme", "orders")
		requireState(t, port.UnknownOutcome, <-execute(conn, "insert 1"))
	})
}

// Guards against a planned stop that cuts a statement or an open transaction.
func TestStop(t *testing.T) {
	t.Run("statement in flight finishes", func(t *testing.T) {
		server := startFake(t)
		running, finish := make(chan struct{}), make(chan struct{})
		server.answer(func(c *fakeConn, sql string) {
			close(running)
			<-finish
			c.run(sql)
		})
		f := start(t, postgres.ListenerConfig{}, server)
		busy, idle := f.connect("acme", "orders"), f.connect("acme", "orders")
		done := execute(busy, "insert 1")
		<-running
		stopped := f.stop()
		_, err := idle.WaitForNotification(t.Context())
		requireState(t, port.Stopping, err)
		require.Empty(t, stopped)
		close(finish)
		require.NoError(t, <-done)
		defer f.keepTimeMoving()()
		require.NoError(t, <-stopped)
		require.Len(t, server.statements(), 1)
	})
	t.Run("open transaction finishes", func(t *testing.T) {
		f, _ := startOne(t)
		conn := f.connect("acme", "orders")
		tx := begin(t, conn)
		stopped := f.stop()
		_, err := tx.Exec(t.Context(), "insert 1", pgx.QueryExecModeSimpleProtocol)
		require.NoError(t, err)
		require.NoError(t, tx.Commit(t.Context()))
		defer f.keepTimeMoving()()
		require.NoError(t, <-stopped)
	})
	t.Run("idle transaction is closed at the limit", func(t *testing.T) {
		f, _ := startOne(t)
		tx, err := f.connect("acme", "orders").Begin(t.Context())
		require.NoError(t, err)
		stopped := f.stop()
		defer f.keepTimeMoving()()
		require.NoError(t, <-stopped)
		require.GreaterOrEqual(t, f.clock.Now(), postgres.DefaultDrainIdleTimeout)
		require.Error(t, tx.Commit(t.Context()))
	})
}

// keepTimeMoving advances the clock until the returned function is called.
func (f *fixture) keepTimeMoving() func() {
	ended, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-ended:
				return
			case <-time.After(time.Millisecond):
				f.clock.Advance(100 * time.Millisecond)
			}
		}
	}()
	return func() {
		close(ended)
		<-stopped
	}
}

// advanceTo moves the clock on to an instant, so that what waits for it on a server ends.
func (f *fixture) advanceTo(instant time.Duration) { f.clock.Advance(max(0, instant-f.clock.Now())) }

func (f *fixture) stop() <-chan error {
	stopped := make(chan error, 1)
	go func() { stopped <- f.listener.Stop(context.Background()) }()
	return stopped
}

// startOver places the next transaction on the first server.
func (d *fakeDirector) startOver() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placed = 0
}

func (d *fakeDirector) acknowledgeWith(f func(context.Context, group.Position) error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.acknowledge = f
}
