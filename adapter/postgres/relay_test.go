package postgres_test

import (
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/postgres"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/request"
)

// Guards against prepared statements that are lost when the client's next transaction uses another server connection.
func TestPreparedStatements(t *testing.T) {
	first, second := startFakeServer(t), startFakeServer(t)
	f := startFixture(t, postgres.ListenerConfig{}, first, second)
	t.Run("used on another connection", func(t *testing.T) {
		_, frontend := f.login(t, "acme", "stock")
		parse := &pgproto3.Parse{Name: "s", Query: "select 1"}
		requireResponse(t, frontend, "1tTZ", parse, &pgproto3.Describe{ObjectType: 'S', Name: "s"}, &pgproto3.Sync{})
		execute := []pgproto3.FrontendMessage{
			&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Sync{},
		}
		requireResponse(t, frontend, "2TDCZ", execute...)
		requireResponse(t, frontend, "2TDCZ", execute...)
		requireResponse(t, frontend, "3Z", &pgproto3.Close{ObjectType: 'S', Name: "s"}, &pgproto3.Sync{})
		requireResponse(t, frontend, "EZ", execute...)
	})
	t.Run("closed and prepared again within a batch", func(t *testing.T) {
		_, frontend := f.login(t, "acme", "stock")
		parse := &pgproto3.Parse{Name: "s", Query: "select 1"}
		requireResponse(t, frontend, "1Z", parse, &pgproto3.Sync{})
		requireResponse(t, frontend, "312Z", &pgproto3.Close{ObjectType: 'S', Name: "s"}, parse,
			&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Sync{})
		requireResponse(t, frontend, "32Z", &pgproto3.Close{ObjectType: 'P', Name: "s"}, &pgproto3.Flush{},
			&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Sync{})
		requireResponse(t, frontend, "3EZ", &pgproto3.Close{ObjectType: 'S', Name: "s"},
			&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Sync{})
	})
	t.Run("portal with the name of a statement is closed", func(t *testing.T) {
		_, frontend := f.login(t, "acme", "stock")
		requireResponse(t, frontend, "1Z", &pgproto3.Parse{Name: "s", Query: "select 1"}, &pgproto3.Sync{})
		bind := &pgproto3.Bind{PreparedStatement: "s", DestinationPortal: "s"}
		frontend.Send(bind)
		frontend.Send(&pgproto3.Close{ObjectType: 'P', Name: "s"})
		frontend.Send(&pgproto3.Flush{})
		requireResponse(t, frontend, "232Z", bind, &pgproto3.Sync{})
	})
	t.Run("too many", func(t *testing.T) {
		_, frontend := f.login(t, "acme", "stock")
		text := strings.Repeat(" ", request.MaxStatementBytes/2)
		requireResponse(t, frontend, "1Z", &pgproto3.Parse{Name: "s1", Query: text}, &pgproto3.Sync{})
		requireResponse(t, frontend, "EZ", &pgproto3.Parse{Name: "s2", Query: text}, &pgproto3.Sync{})
		requireResponse(t, frontend, "1Z", &pgproto3.Parse{Name: "s2", Query: "select 1"}, &pgproto3.Sync{})
	})
}

// Guards against a client that waits in vain for the response to a Flush, and against a lost Sync.
func TestFlush(t *testing.T) {
	f, _ := startOneServer(t)
	t.Run("response is sent before Sync", func(t *testing.T) {
		_, frontend := f.login(t, "acme", "orders")
		requireResponse(t, frontend, "1", &pgproto3.Parse{Query: "insert 1"}, &pgproto3.Flush{})
		requireResponse(t, frontend, "2C", &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Flush{})
		requireResponse(t, frontend, "SZ", &pgproto3.Sync{})
	})
	t.Run("refused batch is skipped up to Sync", func(t *testing.T) {
		_, frontend := f.login(t, "acme", "orders")
		f.authorizer.setError(port.Errorf(port.OverRate, "over the rate"))
		requireResponse(t, frontend, "E", &pgproto3.Parse{Query: "insert 2"}, &pgproto3.Flush{})
		f.authorizer.setError(nil)
		requireResponse(t, frontend, "Z", &pgproto3.Execute{}, &pgproto3.Flush{}, &pgproto3.Sync{})
		requireResponse(t, frontend, "TDCZ", &pgproto3.Query{String: "select 1"})
	})
	t.Run("pipelined batches are answered in order", func(t *testing.T) {
		_, frontend := f.login(t, "acme", "stock")
		var messages []pgproto3.FrontendMessage
		want := ""
		for range 20 {
			messages = append(messages, &pgproto3.Query{String: "select 1"}, &pgproto3.Parse{Query: "select 2"}, &pgproto3.Sync{})
			want += "TDCZ1Z"
		}
		requireResponse(t, frontend, want, messages...)
	})
}

// Guards against a COPY that is relayed, runs although it is rejected, or leaves the client waiting.
func TestCopy(t *testing.T) {
	f, server := startOneServer(t)
	for _, sql := range []string{"copy in", "copy out"} {
		t.Run(sql, func(t *testing.T) {
			conn := f.connect("acme", "orders")
			for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
				_, err := conn.Exec(t.Context(), sql, mode)
				requireKind(t, port.Unsupported, err)
				requireRow(t, conn, "select 1")
			}
		})
	}
	t.Run("output that was committed", func(t *testing.T) {
		server.setScript(func(c *fakeConn, sql string) {
			c.run(sql)
			c.reportPosition()
		})
		_, err := f.connect("acme", "orders").Exec(t.Context(), "copy out", pgx.QueryExecModeSimpleProtocol)
		requireKind(t, port.UnknownOutcome, err)
	})
}

// Guards against a client that gets an error while the instance does not know the new primary yet.
func TestWriteRefusedByReplica(t *testing.T) {
	old, next := startFakeServer(t), startFakeServer(t)
	old.setScript(func(c *fakeConn, _ string) { c.fail("25006", "the server is a replica") })
	t.Run("retried", func(t *testing.T) {
		f := startFixture(t, postgres.ListenerConfig{}, old, next)
		conn := f.connect("acme", "orders")
		defer f.runClock()()
		_, err := conn.Exec(t.Context(), "insert 1")
		require.NoError(t, err)
		require.Len(t, next.statements(), 1)
	})
	t.Run("refusal is reported in the end", func(t *testing.T) {
		f := startFixture(t, postgres.ListenerConfig{}, old)
		conn := f.connect("acme", "orders")
		defer f.runClock()()
		_, err := conn.Exec(t.Context(), "insert 1", pgx.QueryExecModeSimpleProtocol)
		require.ErrorContains(t, err, "the server is a replica (SQLSTATE 25006)")
		old.setScript(nil)
		requireRow(t, conn, "select 1")
	})
}

// Guards against a withdrawn key that remains usable, and against "not run" in the error of a statement that ran.
func TestRefusedStatement(t *testing.T) {
	t.Run("over the rate", func(t *testing.T) {
		f, server := startOneServer(t)
		conn := f.connect("acme", "orders")
		tx := begin(t, conn)
		f.authorizer.setError(port.Errorf(port.OverRate, "over the rate"))
		_, err := tx.Exec(t.Context(), "insert 1")
		requireKind(t, port.OverRate, err)
		f.authorizer.setError(nil)
		require.NoError(t, tx.Commit(t.Context()))
		require.Equal(t, []string{"1 acme begin", "1 acme commit"}, server.statements())
	})
	t.Run("withdrawn key ends the connection and the transaction", func(t *testing.T) {
		f, server := startOneServer(t)
		conn := f.connect("acme", "orders")
		tx := begin(t, conn)
		f.authorizer.setError(port.Errorf(port.KeyRefused, "the key was withdrawn"))
		defer f.authorizer.setError(nil)
		_, err := tx.Exec(t.Context(), "insert 1")
		requireKind(t, port.KeyRefused, err)
		require.True(t, conn.IsClosed())
		server.awaitClosed()
	})
}

// Guards against a client that waits forever for an unresponsive server, and against an interrupted long read.
func TestFrozenServer(t *testing.T) {
	test := func(name, route string, freeze func(*behaviour, chan struct{}), check func(*testing.T, *pgx.Conn, *fakeServer)) {
		t.Run(name, func(t *testing.T) {
			frozen, next := startFakeServer(t), startFakeServer(t)
			unfreeze := make(chan struct{})
			frozen.configure(func(b *behaviour) { freeze(b, unfreeze) })
			f := startFixture(t, postgres.ListenerConfig{}, frozen, next)
			conn := f.connect("acme", route)
			f.clock.After(time.Minute, func(time.Duration) { close(unfreeze) })
			defer f.advanceTo(time.Minute)
			defer f.runClock()()
			check(t, conn, next)
		})
	}
	statement := func(b *behaviour, unfreeze chan struct{}) {
		b.script = func(c *fakeConn, sql string) {
			<-unfreeze
			c.run(sql)
		}
	}
	requireServed := func(served int) func(*testing.T, *pgx.Conn, *fakeServer) {
		return func(t *testing.T, conn *pgx.Conn, next *fakeServer) {
			requireRow(t, conn, "select 1", pgx.QueryExecModeSimpleProtocol)
			require.Len(t, next.statements(), served)
		}
	}
	test("write in flight becomes unknown", "orders", statement, func(t *testing.T, conn *pgx.Conn, next *fakeServer) {
		requireKind(t, port.UnknownOutcome, <-execute(conn, "insert 1"))
		require.Empty(t, next.statements())
	})
	test("bind is retried on another server", "orders", func(b *behaviour, unfreeze chan struct{}) { b.bindGate = unfreeze }, requireServed(1))
	test("read in flight is retried on another server", "stock", func(b *behaviour, unfreeze chan struct{}) {
		statement(b, unfreeze)
		b.loginGate = unfreeze
	}, requireServed(1))
	test("slow read on a healthy server continues", "stock", statement, requireServed(0))
}

// Guards against a cancel request that has no effect on a client that waits for a connection.
func TestCancelDuringAcquire(t *testing.T) {
	f, _ := startOneServer(t)
	f.limit.setAllowed(0)
	conn := f.connect("acme", "orders")
	done := execute(conn, "insert 1")
	f.limit.awaitDemand(1)
	require.NoError(t, conn.PgConn().CancelRequest(t.Context()))
	requireKind(t, port.NoConnection, <-done)
}

// Guards against a limit of clients that also rejects the cancel requests of the clients that are connected.
func TestCancelAtClientLimit(t *testing.T) {
	f := startFixture(t, postgres.ListenerConfig{MaxClients: 1}, startFakeServer(t))
	f.limit.setAllowed(0)
	conn := f.connect("acme", "orders")
	done := execute(conn, "insert 1")
	f.limit.awaitDemand(1)
	require.NoError(t, conn.PgConn().CancelRequest(t.Context()))
	requireKind(t, port.NoConnection, <-done)
}

// Guards against a cancel request that takes effect with a wrong cancel key.
func TestCancel(t *testing.T) {
	server := startFakeServer(t)
	running, finish := make(chan struct{}, 1), make(chan struct{})
	server.setScript(func(c *fakeConn, sql string) {
		running <- struct{}{}
		<-finish
		c.run(sql)
	})
	f := startFixture(t, postgres.ListenerConfig{}, server)
	conn := f.connect("acme", "stock")
	done := execute(conn, "select 1")
	<-running
	forged := f.dial(t)
	frontend := pgproto3.NewFrontend(forged, forged)
	frontend.Send(&pgproto3.CancelRequest{ProcessID: conn.PgConn().PID(), SecretKey: []byte{0, 0, 0, 0}})
	require.NoError(t, frontend.Flush())
	_, err := frontend.Receive()
	require.Error(t, err)
	close(finish)
	require.NoError(t, <-done)
	_, cancels := server.counts()
	require.Zero(t, cancels)
}

// requireResponse sends the messages and checks the types of the messages in the response.
func requireResponse(t *testing.T, frontend *pgproto3.Frontend, want string, messages ...pgproto3.FrontendMessage) {
	t.Helper()
	for _, m := range messages {
		frontend.Send(m)
	}
	require.NoError(t, frontend.Flush())
	got := ""
	for len(got) < len(want) {
		got += requireMessages(t, frontend, want[len(got)])
	}
	require.Equal(t, want, got)
}
