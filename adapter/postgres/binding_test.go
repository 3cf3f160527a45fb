package postgres_test

import (
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// startBoundFixture returns a fixture whose only connection is bound for the next read transaction of acme, the server,
// and a client of acme.
func startBoundFixture(t *testing.T) (*fixture, *fakeServer, *pgx.Conn) {
	t.Helper()
	f, server := startOneServer(t)
	f.limit.setAllowed(1)
	conn := f.connect("acme", "stock")
	for range 3 {
		requireRow(t, conn, "select 1", pgx.QueryExecModeSimpleProtocol)
	}
	server.awaitBinds(4)
	server.clearStatements()
	return f, server, conn
}

// Guards against an early binding that is used for another organisation, another kind of transaction, a withdrawn key,
// a departed server, or a server that has stopped responding.
func TestEarlyBinding(t *testing.T) {
	t.Run("next transaction needs no further bind", func(t *testing.T) {
		_, server, conn := startBoundFixture(t)
		requireRow(t, conn, "select 2", pgx.QueryExecModeSimpleProtocol)
		require.Equal(t, []string{"1 acme/read select 2"}, server.statements())
	})
	for _, other := range []struct{ organisation, route, bound string }{
		{"rival", "stock", "rival/read"}, {"acme", "orders", "acme"},
	} {
		t.Run("other transaction on route "+other.route, func(t *testing.T) {
			f, server, _ := startBoundFixture(t)
			requireRow(t, f.connect(other.organisation, other.route), "select 2", pgx.QueryExecModeSimpleProtocol)
			require.Equal(t, []string{"1 " + other.bound + " select 2"}, server.statements())
		})
	}
	t.Run("withdrawn key", func(t *testing.T) {
		f, server, conn := startBoundFixture(t)
		f.authorizer.setError(port.Errorf(port.KeyRefused, "the key was withdrawn"))
		requireKind(t, port.KeyRefused, <-execute(conn, "select 2"))
		require.Empty(t, server.statements())
	})
	t.Run("departing server", func(t *testing.T) {
		f, server, conn := startBoundFixture(t)
		f.pool.SetDocument(document.Document{})
		server.awaitClosed()
		defer f.runClock()()
		requireKind(t, port.NoConnection, <-execute(conn, "select 2"))
		require.Empty(t, server.statements())
	})
	t.Run("rejected bind", func(t *testing.T) {
		f, server, conn := startBoundFixture(t)
		server.configure(func(b *behaviour) { b.bindError = "fenced" })
		requireRow(t, conn, "select 2", pgx.QueryExecModeSimpleProtocol)
		defer f.runClock()()
		requireKind(t, port.NoConnection, <-execute(conn, "select 3"))
		server.configure(func(b *behaviour) { b.bindError = "" })
		requireRow(t, conn, "select 4", pgx.QueryExecModeSimpleProtocol)
		require.Len(t, server.statements(), 2)
		require.NotContains(t, strings.Join(server.statements(), "\n"), "select 3")
	})
	t.Run("old binding is confirmed before use", func(t *testing.T) {
		f, server, conn := startBoundFixture(t)
		stopClock := f.runClock()
		f.limit.awaitDemand(0)
		stopClock()
		gate := make(chan struct{})
		defer close(gate)
		server.configure(func(b *behaviour) { b.bindGate = gate })
		f.clock.Advance(6 * time.Millisecond)
		defer f.runClock()()
		requireKind(t, port.NoConnection, <-execute(conn, "select 2"))
		require.Empty(t, server.statements())
	})
}

// Guards against a late response that is mistaken for the response to the bind command sent together with a release.
func TestLateResponseBeforeEarlyBinding(t *testing.T) {
	for name, release := range map[string]func(*fakeConn){
		"release without a response": func(*fakeConn) {},
		"late row after the release": func(c *fakeConn) {
			c.row("released")
			c.complete("SELECT 1")
			c.ready()
			c.row("late")
		},
		"rejected release": func(c *fakeConn) { c.fail("42501", "nonce is not that of the binding") },
	} {
		t.Run(name, func(t *testing.T) {
			f, server := startOneServer(t)
			f.limit.setAllowed(1)
			server.setScript(func(c *fakeConn, sql string) {
				if sql == "select late" {
					c.release = release
				}
				c.run(sql)
			})
			conn := f.connect("acme", "stock")
			for _, sql := range []string{"select 1", "select 2", "select late"} {
				requireRow(t, conn, sql, pgx.QueryExecModeSimpleProtocol)
			}
			defer f.runClock()()
			requireRow(t, conn, "select 3", pgx.QueryExecModeSimpleProtocol)
			opened, _ := server.counts()
			require.Equal(t, 2, opened)
		})
	}
}
