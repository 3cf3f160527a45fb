package server_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/standin/server"
)

var login = server.Login{User: "system", Password: "secret"}

// startProcess runs a server with its listeners until the test ends.
func startProcess(t *testing.T, name string, maxConnections int) *server.Process {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	timer := clock.NewService()
	p, err := server.Open(ctx, server.Config{
		Name: name, Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Login: login, MaxConnections: maxConnections,
	}, timer)
	require.NoError(t, err)
	var running sync.WaitGroup
	running.Go(func() { timer.Run(ctx) })
	running.Go(func() { _ = p.Run(ctx) })
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		cancel()
		running.Wait()
	})
	return p
}

func connectAs(t *testing.T, p *server.Process, password, database string) (*pgx.Conn, error) {
	t.Helper()
	url := fmt.Sprintf("postgres://system:%s@%s/%s?sslmode=disable", password, p.Address(), database)
	return pgx.Connect(t.Context(), url)
}

func connect(t *testing.T, p *server.Process, database string) *pgx.Conn {
	t.Helper()
	conn, err := connectAs(t, p, login.Password, database)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// startPrimary runs a server that is the primary of term 1.
func startPrimary(t *testing.T) *server.Process {
	t.Helper()
	p := startProcess(t, "a", 5)
	elect(t, p.Server, 1, servers{p.Server}, nil)
	return p
}

func exec(t *testing.T, conn *pgx.Conn, sql string, arguments ...any) string {
	t.Helper()
	tag, err := conn.Exec(t.Context(), sql, arguments...)
	require.NoError(t, err)
	return tag.String()
}

func requireExecRefused(t *testing.T, conn *pgx.Conn, code, sql string) {
	t.Helper()
	_, err := conn.Exec(t.Context(), sql)
	requireSQLState(t, code, err)
}

func requireSQLState(t *testing.T, code string, err error) {
	t.Helper()
	var pgErr *pgconn.PgError
	require.ErrorAs(t, err, &pgErr)
	require.Equal(t, code, pgErr.Code)
}

func requireText(t *testing.T, conn *pgx.Conn, want, sql string, arguments ...any) {
	t.Helper()
	var got string
	require.NoError(t, conn.QueryRow(t.Context(), sql, arguments...).Scan(&got))
	require.Equal(t, want, got)
}

func post(t *testing.T, p *server.Process, path string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.AdminAddress()+path, http.NoBody)
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusNoContent, response.StatusCode)
}

// Guards against a server that a PostgreSQL client cannot use in its default mode.
func TestStatements(t *testing.T) {
	p := startPrimary(t)
	conn := connect(t, p, "slot")
	exec(t, conn, "SELECT rhubarbwick_bind('org', 'n', false)")
	t.Run("prepared statements with parameters", func(t *testing.T) {
		require.Equal(t, "INSERT 0 1", exec(t, conn, "INSERT INTO kv (key, value) VALUES ($1, $2)", "it's", "1"))
		require.Equal(t, "UPDATE 1", exec(t, conn, "UPDATE kv SET value = value + 1 WHERE key = $1", "it's"))
		requireText(t, conn, "2", "SELECT value FROM kv WHERE key = $1", "it's")
		requireText(t, conn, "2", "SELECT value FROM kv WHERE key = 'it''s'")
		require.Equal(t, "DELETE 1", exec(t, conn, "DELETE FROM kv WHERE key = $1", "it's"))
		require.Equal(t, "DELETE 0", exec(t, conn, "DELETE FROM kv WHERE key = $1", "it's"))
	})
	t.Run("a commit reports its position", func(t *testing.T) {
		before := conn.PgConn().ParameterStatus(server.PositionParameter)
		exec(t, conn, "BEGIN")
		exec(t, conn, "INSERT INTO kv (key, value) VALUES ('k', 'v')")
		requireText(t, conn, "v", "SELECT value FROM kv WHERE key = 'k'")
		require.Equal(t, before, conn.PgConn().ParameterStatus(server.PositionParameter))
		exec(t, conn, "COMMIT")
		require.Equal(t, statusOf(t, p.Server).Last().String(), conn.PgConn().ParameterStatus(server.PositionParameter))
	})
	t.Run("a failed transaction commits nothing", func(t *testing.T) {
		exec(t, conn, "BEGIN")
		exec(t, conn, "INSERT INTO kv (key, value) VALUES ('f', 'v')")
		requireExecRefused(t, conn, "42601", "SELECT nonsense")
		requireExecRefused(t, conn, "25P02", "SELECT 1")
		require.Equal(t, "ROLLBACK", exec(t, conn, "COMMIT"))
		require.ErrorIs(t, conn.QueryRow(t.Context(), "SELECT value FROM kv WHERE key = 'f'").Scan(new(string)), pgx.ErrNoRows)
	})
	t.Run("series, parameters and comments", func(t *testing.T) {
		require.Equal(t, "SELECT 2500", exec(t, conn, "SELECT generate_series(1, 2500)"))
		exec(t, conn, "SET application_name TO 'x y'")
		requireText(t, conn, "x y", "SHOW application_name")
		require.NoError(t, conn.Ping(t.Context()))
		requireExecRefused(t, conn, "42501", "SET rhubarbwick.position = '9:9'")
		_, err := conn.Prepare(t.Context(), "two", "SELECT 1; SELECT 1")
		requireSQLState(t, "42601", err)
	})
	t.Run("cancel ends a statement that waits", func(t *testing.T) {
		done := make(chan error, 1)
		go func() {
			_, err := conn.Exec(context.Background(), "SELECT pg_sleep(60)")
			done <- err
		}()
		// A cancel request that arrives before the statement has no effect, so requests are repeated until one takes effect.
		// Each request waits until the server closes its connection, so the loop does not spin.
		for len(done) == 0 {
			require.NoError(t, conn.PgConn().CancelRequest(t.Context()))
		}
		requireSQLState(t, "57014", <-done)
	})
}

// Guards against executing statements for the wrong organisation on a reused connection.
func TestBinding(t *testing.T) {
	p := startPrimary(t)
	conn := connect(t, p, "slot")
	t.Run("tables are refused before a bind", func(t *testing.T) {
		requireExecRefused(t, conn, "42501", "SELECT value FROM kv WHERE key = 'k'")
	})
	t.Run("a binding ends only with its nonce", func(t *testing.T) {
		exec(t, conn, "SELECT rhubarbwick_bind('one', 'n1', false)")
		requireExecRefused(t, conn, "55000", "SELECT rhubarbwick_bind('two', 'n2', false)")
		requireExecRefused(t, conn, "42501", "SELECT rhubarbwick_release('n2')")
		requireExecRefused(t, conn, "42501", "SELECT rhubarbwick_fence(9, 'caller')")
	})
	t.Run("release discards transaction, parameters and prepared statements", func(t *testing.T) {
		_, err := conn.Prepare(t.Context(), "mine", "SELECT 1")
		require.NoError(t, err)
		exec(t, conn, "SET application_name = 'one'")
		exec(t, conn, "BEGIN")
		exec(t, conn, "INSERT INTO kv (key, value) VALUES ('k', 'one')")
		exec(t, conn, "SELECT rhubarbwick_release('n1')")
		require.Equal(t, byte('I'), conn.PgConn().TxStatus())
		requireSQLState(t, "26000", conn.PgConn().ExecPrepared(t.Context(), "mine", nil, nil, nil).Read().Err)
		other := connect(t, p, "slot")
		exec(t, other, "SELECT rhubarbwick_bind('two', 'n2', true)")
		requireText(t, other, "", "SHOW application_name")
		requireExecRefused(t, other, "25006", "INSERT INTO kv (key, value) VALUES ('k', 'two')")
	})
	t.Run("organisations and databases have their own rows", func(t *testing.T) {
		write(t, p.Server, "k", "of org in slot")
		for _, place := range [][2]string{{"other", "org"}, {"slot", "two"}} {
			c := p.Server.Connect(place[0])
			execute(t, c, server.Bind{Organisation: place[1], Nonce: "n"})
			require.Empty(t, execute(t, c, server.Select{Key: "k"}).Rows)
		}
	})
}

// Guards against a commit on a former primary, and against a fence that closes connections.
func TestFenceOverSockets(t *testing.T) {
	p := startPrimary(t)
	conn := connect(t, p, "slot")
	exec(t, conn, "SELECT rhubarbwick_bind('org', 'n', false)")
	exec(t, conn, "BEGIN")
	exec(t, conn, "INSERT INTO kv (key, value) VALUES ('k', 'v')")
	maintenance := connect(t, p, server.MaintenanceDatabase)
	require.Equal(t, "SELECT 1", exec(t, maintenance, "SELECT rhubarbwick_fence(2, 'other')"))
	_, err := maintenance.Exec(t.Context(), "SELECT rhubarbwick_promote(1, 'candidate')")
	requireSQLState(t, "55000", err)
	require.ErrorContains(t, err, "order of term 1 was refused")
	requireExecRefused(t, conn, "25006", "COMMIT")
	requireText(t, conn, "1", "SELECT 1")
	requireExecRefused(t, conn, "25006", "INSERT INTO kv (key, value) VALUES ('k', 'v')")
}

// Guards against a log-in with wrong credentials, and against more connections than the limit.
func TestLogin(t *testing.T) {
	p := startPrimary(t)
	t.Run("wrong password", func(t *testing.T) {
		_, err := connectAs(t, p, "wrong", "slot")
		requireSQLState(t, "28P01", err)
	})
	t.Run("connection limit does not apply to maintenance", func(t *testing.T) {
		for range 5 {
			connect(t, p, "slot")
		}
		_, err := connectAs(t, p, login.Password, "slot")
		requireSQLState(t, "53300", err)
		connect(t, p, server.MaintenanceDatabase)
	})
}

// Guards against faults that have a different effect over the network than in-process.
func TestNetworkFaults(t *testing.T) {
	a, b := startProcess(t, "a", 5), startProcess(t, "b", 5)
	elect(t, a.Server, 1, servers{a.Server, b.Server}, nil)
	_, err := b.Server.Follow(t.Context(), 1, a.Address())
	require.NoError(t, err)
	conn := connect(t, a, "slot")
	exec(t, conn, "SELECT rhubarbwick_bind('org', 'n', false)")
	awaitOn := func(t *testing.T, p *server.Process) {
		t.Helper()
		position, err := group.ParsePosition(conn.PgConn().ParameterStatus(server.PositionParameter))
		require.NoError(t, err)
		status, err := p.Server.Status(t.Context(), position, 10*second)
		require.NoError(t, err)
		require.True(t, status.History.Contains(position))
	}
	t.Run("entries are replicated", func(t *testing.T) {
		exec(t, conn, "INSERT INTO kv (key, value) VALUES ('k', 'v')")
		awaitOn(t, b)
		requireValue(t, b.Server, "k", "v")
	})
	t.Run("partition from peers", func(t *testing.T) {
		post(t, a, "/cut/peers")
		exec(t, conn, "INSERT INTO kv (key, value) VALUES ('k', 'cut')")
		post(t, a, "/heal/peers")
		awaitOn(t, b)
	})
	for name, paths := range map[string][2]string{
		"partition from clients": {"/cut/callers", "/heal/callers"},
		"pause":                  {"/freeze", "/thaw"},
	} {
		t.Run(name+" blocks responses until it ends", func(t *testing.T) {
			post(t, a, paths[0])
			done := make(chan error, 1)
			go func() {
				_, err := conn.Exec(context.Background(), "SELECT 1")
				done <- err
			}()
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			select {
			case err := <-done:
				t.Fatalf("response during the fault: %v", err)
			case <-ctx.Done():
			}
			post(t, a, paths[1])
			require.NoError(t, <-done)
		})
	}
}
