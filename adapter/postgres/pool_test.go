package postgres_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/postgres"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Guards against two transactions that share a server connection, and against an organisation that uses the binding of
// another.
func TestTransactionsNeverMix(t *testing.T) {
	const clients, transactions = 12, 20
	f, server := startOneServer(t)
	var done sync.WaitGroup
	for i := range clients {
		organisation := fmt.Sprintf("org%d", i%3)
		conn := f.connect(organisation, "orders")
		done.Go(func() {
			for j := range transactions {
				runTransaction(t, conn, organisation, fmt.Sprintf("%d.%d", i, j))
			}
		})
	}
	done.Wait()
	opened, _ := server.counts()
	require.LessOrEqual(t, opened, f.limit.MaxConnections(""))
	requireSeparate(t, server.statements(), clients*transactions)
}

func runTransaction(t *testing.T, conn *pgx.Conn, organisation, id string) {
	tx, err := conn.Begin(context.Background())
	if err != nil {
		t.Error(err)
		return
	}
	for _, verb := range []string{"select first", "insert", "select last"} {
		sql := fmt.Sprintf("%s %s %s", verb, organisation, id)
		var got string
		if err := tx.QueryRow(context.Background(), sql).Scan(&got); verb != "insert" && (err != nil || got != sql) {
			t.Errorf("%s returned %q: %v", sql, got, err)
		}
	}
	if err := tx.Commit(context.Background()); err != nil {
		t.Error(err)
	}
}

// requireSeparate checks that the statements between begin and commit on each connection belong to one transaction, and
// to the organisation for which the connection was bound.
func requireSeparate(t *testing.T, statements []string, transactions int) {
	t.Helper()
	active := make(map[string]string)
	commits := 0
	for _, s := range statements {
		fields := strings.Fields(s)
		conn, bound, verb := fields[0], fields[1], fields[2]
		switch verb {
		case "begin":
			require.Empty(t, active[conn])
			active[conn] = "begun"
		case "commit":
			require.NotEmpty(t, active[conn])
			delete(active, conn)
			commits++
		default:
			organisation, id := fields[len(fields)-2], fields[len(fields)-1]
			require.Equal(t, bound, organisation)
			require.Contains(t, []string{"begun", id}, active[conn])
			active[conn] = id
		}
	}
	require.Equal(t, transactions, commits)
	require.Empty(t, active)
}

// Guards against responses that reach another request, and against connections that are reused in an unknown state.
func TestUnusableConnectionIsClosed(t *testing.T) {
	requireReplaced := func(name, route string, script func(*fakeConn, string), use func(*testing.T, *fixture)) {
		t.Run(name, func(t *testing.T) {
			server := startFakeServer(t)
			server.setScript(script)
			f := startFixture(t, postgres.ListenerConfig{}, server)
			f.limit.setAllowed(1)
			use(t, f)
			server.setScript(nil)
			defer f.runClock()()
			requireRow(t, f.connect("other", route), "select own", pgx.QueryExecModeSimpleProtocol)
			opened, _ := server.counts()
			require.Equal(t, 2, opened)
		})
	}
	query := func(t *testing.T, f *fixture) {
		_, _ = f.connect("acme", "stock").Exec(t.Context(), "select 1", pgx.QueryExecModeSimpleProtocol)
	}
	requireReplaced("second ready message", "stock", func(c *fakeConn, sql string) {
		c.run(sql)
		c.ready()
	}, query)
	requireReplaced("late row", "stock", func(c *fakeConn, sql string) {
		c.run(sql)
		c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		c.row("late")
	}, query)
	requireReplaced("release without a response", "stock", func(c *fakeConn, sql string) {
		c.run(sql)
		c.release = func(*fakeConn) {}
	}, query)
	requireReplaced("late row before the response to the release", "stock", func(c *fakeConn, sql string) {
		c.run(sql)
		c.release = func(c *fakeConn) {
			c.row("late")
			c.row("released")
			c.complete("SELECT 1")
		}
	}, query)
	requireReplaced("late row after the release", "stock", func(c *fakeConn, sql string) {
		c.run(sql)
		c.release = func(c *fakeConn) {
			c.row("released")
			c.complete("SELECT 1")
			c.ready()
			c.row("late")
		}
	}, query)
	requireReplaced("client leaves during a transaction", "orders", nil, func(t *testing.T, f *fixture) {
		conn := f.connect("acme", "orders")
		_, err := conn.Begin(t.Context())
		require.NoError(t, err)
		require.NoError(t, conn.Close(t.Context()))
	})
	running := make(chan struct{}, 1)
	finish := make(chan struct{})
	requireReplaced("cancel request", "stock", func(c *fakeConn, sql string) {
		running <- struct{}{}
		<-finish
		c.run(sql)
	}, func(t *testing.T, f *fixture) {
		conn := f.connect("acme", "stock")
		done := execute(conn, "select 1")
		<-running
		require.NoError(t, conn.PgConn().CancelRequest(t.Context()))
		f.servers[0].awaitCancel()
		close(finish)
		require.NoError(t, <-done)
	})
}

// Guards against a late response that ends the client's own connection or remains on the server connection. The late
// row is sent during the wait for the acknowledgment, so it arrives before the connection is released.
func TestLateResponse(t *testing.T) {
	f, server := startOneServer(t)
	var late *fakeConn
	server.setScript(func(c *fakeConn, sql string) {
		late = c
		c.run(sql)
	})
	conn, other := f.connect("acme", "orders"), f.connect("acme", "stock")
	f.selector.setAwaitDurable(func(context.Context, group.Position) error {
		server.setScript(nil)
		_, err := late.conn.Write(encodeMessage(t, &pgproto3.DataRow{}))
		for range 10 {
			err = errors.Join(err, <-execute(other, "select 1"))
		}
		return err
	})
	require.NoError(t, <-execute(conn, "insert 1"))
	server.await(func() bool { _, open := server.conns[late]; return !open })
	defer f.runClock()()
	requireRow(t, conn, "select 1", pgx.QueryExecModeSimpleProtocol)
}

// Guards against more connections than permitted, and against clients that wait forever or out of turn.
func TestPoolLimit(t *testing.T) {
	t.Run("wait is limited", func(t *testing.T) {
		f, _ := startOneServer(t)
		f.limit.setAllowed(0)
		conn := f.connect("acme", "stock")
		defer f.runClock()()
		_, err := conn.Exec(t.Context(), "select 1")
		requireKind(t, port.NoConnection, err)
		require.GreaterOrEqual(t, f.clock.Now(), postgres.DefaultCheckoutTimeout)
	})
	t.Run("connection of another slot makes room", func(t *testing.T) {
		f, server := startOneServer(t)
		f.limit.setAllowed(1)
		requireRow(t, f.connect("acme", "stock"), "select 1")
		requireRow(t, f.connect("acme", "menus"), "select 2")
		requireRow(t, f.connect("acme", "stock"), "select 3")
		opened, _ := server.counts()
		require.Equal(t, 3, opened)
	})
	t.Run("idle connections above the limit are closed", func(t *testing.T) {
		f, server := startOneServer(t)
		requireRow(t, f.connect("acme", "stock"), "select 1", pgx.QueryExecModeSimpleProtocol)
		require.Equal(t, 1, <-f.limit.openCounts)
		f.limit.setAllowed(0)
		defer f.runClock()()
		server.awaitClosed()
		require.Equal(t, 0, <-f.limit.openCounts)
	})
	t.Run("departing server gets no new work", func(t *testing.T) {
		leaving, staying := startFakeServer(t), startFakeServer(t)
		f := startFixture(t, postgres.ListenerConfig{}, leaving, staying)
		conn := f.connect("acme", "orders")
		tx := begin(t, conn)
		f.pool.SetDocument(document.Document{}.WithGroup(document.Group{Name: "core", Servers: []document.Server{
			{Name: "db1", Address: leaving.address(), Departing: true}, {Name: "db2", Address: staying.address()},
		}}))
		defer f.runClock()()
		for range 4 {
			requireRow(t, f.connect("acme", "stock"), "select 1")
		}
		require.NoError(t, tx.Commit(t.Context()))
		leaving.awaitClosed()
		require.Equal(t, []string{"1 acme begin", "1 acme commit"}, leaving.statements())
	})
	t.Run("organisations take turns", func(t *testing.T) {
		f, server := startOneServer(t)
		f.limit.setAllowed(1)
		conn := f.connect("big", "orders")
		tx := begin(t, conn)
		var done []<-chan error
		for i, organisation := range []string{"big", "big", "big", "small"} {
			done = append(done, execute(f.connect(organisation, "orders"), "select 1"))
			f.limit.awaitDemand(i + 2)
		}
		require.NoError(t, tx.Commit(t.Context()))
		for _, d := range done {
			require.NoError(t, <-d)
		}
		order := server.statements()[2:]
		require.Equal(t, []string{"1 big select 1", "1 small select 1", "1 big select 1", "1 big select 1"}, order)
	})
}
