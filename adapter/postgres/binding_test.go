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

// startBound returns a fixture whose only connection is bound for the next reader of acme, which is returned too.
func startBound(t *testing.T) (*fixture, *fakeServer, *pgx.Conn) {
	t.Helper()
	f, server := startOne(t)
	f.limit.allow(1)
	conn := f.connect("acme", "stock")
	for range 3 {
		requireRow(t, conn, "select 1", pgx.QueryExecModeSimpleProtocol)
	}
	server.waitBinds(4)
	server.forget()
	return f, server, conn
}

// Guards against a binding that was made ahead and serves another organisation, another kind of transaction, a withdrawn
// key, a departed server, or a server that has stopped.
func TestBindingAhead(t *testing.T) {
	t.Run("the next transaction needs no bind of its own", func(t *testing.T) {
		_, server, conn := startBound(t)
		requireRow(t, conn, "select 2", pgx.QueryExecModeSimpleProtocol)
		require.Equal(t, []string{"1 acme/read select 2"}, server.statements())
	})
	for _, other := range []struct{ organisation, route, bound string }{
		{"rival", "stock", "rival/read"}, {"acme", "orders", "acme"},
	} {
		t.Run("other transaction on "+other.route, func(t *testing.T) {
			f, server, _ := startBound(t)
			requireRow(t, f.connect(other.organisation, other.route), "select 2", pgx.QueryExecModeSimpleProtocol)
			require.Equal(t, []string{"1 " + other.bound + " select 2"}, server.statements())
		})
	}
	t.Run("withdrawn key", func(t *testing.T) {
		f, server, conn := startBound(t)
		f.gate.refuseWith(port.Errorf(port.KeyRefused, "the key was withdrawn"))
		requireState(t, port.KeyRefused, <-execute(conn, "select 2"))
		require.Empty(t, server.statements())
	})
	t.Run("departing server", func(t *testing.T) {
		f, server, conn := startBound(t)
		f.pool.SetDocument(document.Document{})
		server.waitClosed()
		defer f.keepTimeMoving()()
		requireState(t, port.NoConnection, <-execute(conn, "select 2"))
		require.Empty(t, server.statements())
	})
	t.Run("refused bind", func(t *testing.T) {
		f, server, conn := startBound(t)
		server.set(func(b *behaviour) { b.refused = "fenced" })
		requireRow(t, conn, "select 2", pgx.QueryExecModeSimpleProtocol)
		defer f.keepTimeMoving()()
		requireState(t, port.NoConnection, <-execute(conn, "select 3"))
		server.set(func(b *behaviour) { b.refused = "" })
		requireRow(t, conn, "select 4", pgx.QueryExecModeSimpleProtocol)
		require.Len(t, server.statements(), 2)
		require.NotContains(t, strings.Join(server.statements(), "\n"), "select 3")
	})
	t.Run("old binding is confirmed first", func(t *testing.T) {
		f, server, conn := startBound(t)
		stopTime := f.keepTimeMoving()
		f.limit.waitWanted(0)
		stopTime()
		thaw := make(chan struct{})
		defer close(thaw)
		server.set(func(b *behaviour) { b.bindThaw = thaw })
		f.clock.Advance(6 * time.Millisecond)
		defer f.keepTimeMoving()()
		requireState(t, port.NoConnection, <-execute(conn, "select 2"))
		require.Empty(t, server.statements())
	})
}

// Guards against an answer that comes late and is taken for that of a bind that was sent ahead.
func TestLateAnswerBeforeBindingAhead(t *testing.T) {
	for name, release := range map[string]func(*fakeConn){
		"release without its own answer": func(*fakeConn) {},
		"late row after the release": func(c *fakeConn) {
			c.row("released")
			c.complete("SELECT 1")
			c.ready()
			c.row("late")
		},
		"refused release": func(c *fakeConn) { c.fail("42501", "nonce is not that of the binding") },
	} {
		t.Run(name, func(t *testing.T) {
			f, server := startOne(t)
			f.limit.allow(1)
			server.answer(func(c *fakeConn, sql string) {
				if sql == "select late" {
					c.release = release
				}
				c.run(sql)
			})
			conn := f.connect("acme", "stock")
			for _, sql := range []string{"select 1", "select 2", "select late"} {
				requireRow(t, conn, sql, pgx.QueryExecModeSimpleProtocol)
			}
			defer f.keepTimeMoving()()
			requireRow(t, conn, "select 3", pgx.QueryExecModeSimpleProtocol)
			opened, _ := server.counts()
			require.Equal(t, 2, opened)
		})
	}
}
