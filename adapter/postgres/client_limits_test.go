package postgres_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/adapter/postgres"
	"github.com/rhubarbwick/rhubarbwick/clientlimit"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Guards against a client that keeps a server connection by opening a transaction and sending nothing, or only the
// beginning of its next message.
func TestIdleTransactionEnds(t *testing.T) {
	// The clock may advance before the listener has stopped the timers of the last message and of the last response.
	f := startFixture(t, postgres.ListenerConfig{MessageTimeout: time.Hour, WriteTimeout: time.Hour}, startFakeServer(t))
	t.Run("nothing is sent", func(t *testing.T) {
		conn := f.connect("acme", "orders")
		begin(t, conn)
		f.clock.Advance(postgres.DefaultIdleTransactionTimeout)
		_, err := conn.Exec(t.Context(), "insert 1", pgx.QueryExecModeSimpleProtocol)
		requireKind(t, port.NotKept, err)
	})
	t.Run("a client without a transaction is not limited", func(t *testing.T) {
		conn := f.connect("acme", "orders")
		requireRow(t, conn, "select 1")
		f.clock.Advance(2 * postgres.DefaultIdleTransactionTimeout)
		requireRow(t, conn, "select 1")
	})
}

// Guards against a client that sends a part of a message and keeps its memory and its place for good.
func TestUnfinishedMessageEndsConnection(t *testing.T) {
	// The clock may advance before the listener has stopped the start-up timer, which closes the connection as well. The
	// limit is beyond all steps of the clock below, so that only the limit of the message can end the connection.
	f := startFixture(t, postgres.ListenerConfig{StartupTimeout: 10_000 * time.Hour}, startFakeServer(t))
	hijacked, err := f.connect("acme", "orders").PgConn().Hijack()
	require.NoError(t, err)
	defer func() { _ = hijacked.Conn.Close() }()
	_, err = hijacked.Conn.Write([]byte{'Q', 0, 0, 0, 40, 's'})
	require.NoError(t, err)
	closed := make(chan error, 1)
	go func() {
		_, err := hijacked.Conn.Read(make([]byte, 1))
		closed <- err
	}()
	// The limit starts when the part of the message has arrived, which may be after the first step of the clock.
	require.Eventually(t, func() bool {
		f.clock.Advance(postgres.DefaultMessageTimeout)
		return len(closed) > 0
	}, time.Minute, time.Millisecond)
	require.ErrorIs(t, <-closed, io.EOF)
}

// Guards against messages of all clients that together exceed the memory for them, and against memory that is not given
// back after the answer.
func TestMessageMemoryIsLimited(t *testing.T) {
	guard := clientlimit.NewGuard(clientlimit.Plan{Places: 16, Starting: 8, Messages: 200 << 10, State: 1 << 20}, &clock.Fake{}, nil)
	f := startFixture(t, postgres.ListenerConfig{Guard: guard}, startFakeServer(t))
	t.Run("memory is given back with the answer", func(t *testing.T) {
		conn := f.connect("acme", "orders")
		for range 8 {
			requireRow(t, conn, "select 1"+strings.Repeat(" ", 100<<10), pgx.QueryExecModeSimpleProtocol)
		}
		require.Zero(t, guard.MessageBytes())
	})
	t.Run("a message beyond the memory is refused", func(t *testing.T) {
		conn := f.connect("acme", "orders")
		_, err := conn.Exec(t.Context(), "select 1"+strings.Repeat(" ", 300<<10), pgx.QueryExecModeSimpleProtocol)
		requireKind(t, port.Busy, err)
		require.Equal(t, uint64(1), guard.Total(clientlimit.MessageMemory))
	})
	t.Run("other clients are served", func(t *testing.T) {
		requireRow(t, f.connect("acme", "orders"), "select 1")
	})
}
