package bench

import (
	"context"
	"errors"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"
)

// statementTimeout is longer than the 15 s for which an instance waits for a primary plus the 15 s in which it determines
// the outcome of a write.
const statementTimeout = 40 * time.Second

// login holds the start-up parameters of a client.
type login struct {
	organisation, key, route, session string
}

func (f *fixture) writeLogin(g int) login {
	return login{organisation: "clinic", key: f.secrets.key, route: routeName("write", g)}
}

func (f *fixture) readLogin(g int) login {
	return login{organisation: "clinic", key: f.secrets.key, route: routeName("read", g)}
}

func (l login) withSession(token string) login {
	l.session = token
	return l
}

func (l login) withKey(key string) login {
	l.key = key
	return l
}

func (l login) withOrganisation(name string) login {
	l.organisation = name
	return l
}

// client is a client connection to an instance or a server.
type client struct{ conn *pgconn.PgConn }

// dial opens a client connection to an address.
func dial(address string, l login) (*client, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	target := url.URL{
		Scheme: "postgres", User: url.UserPassword(l.organisation, l.key), Host: address, Path: "/" + l.route,
		RawQuery: "sslmode=disable",
	}
	cfg, err := pgconn.ParseConfig(target.String())
	if err != nil {
		return nil, err
	}
	if l.session != "" {
		cfg.RuntimeParams["rhubarbwick.session"] = l.session
	}
	conn, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn}, nil
}

// mustDial opens a client connection that is closed at the end of the test.
func mustDial(t testing.TB, address string, l login) *client {
	t.Helper()
	c, err := dial(address, l)
	require.NoError(t, err)
	t.Cleanup(c.close)
	return c
}

func (c *client) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = c.conn.Close(ctx)
}

// token returns the session token that was reported last.
func (c *client) token() string { return c.conn.ParameterStatus("rhubarbwick.session") }

// exec runs SQL statements and returns the first column of all rows.
func (c *client) exec(sql string) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
	defer cancel()
	results, err := c.conn.Exec(ctx, sql).ReadAll()
	var values []string
	for _, r := range results {
		for _, row := range r.Rows {
			values = append(values, string(row[0]))
		}
	}
	return values, err
}

func (c *client) mustExec(t testing.TB, sql string) []string {
	t.Helper()
	values, err := c.exec(sql)
	require.NoError(t, err, sql)
	return values
}

func putSQL(key, value string) string {
	return "INSERT INTO kv (key, value) VALUES ('" + key + "', '" + value + "')"
}

func addSQL(key string) string { return "UPDATE kv SET value = value + 1 WHERE key = '" + key + "'" }
func getSQL(key string) string { return "SELECT value FROM kv WHERE key = '" + key + "'" }

// outcome is the outcome of a request that was reported to the client.
type outcome string

const (
	done      outcome = "done"
	notRun    outcome = "not run"
	discarded outcome = "discarded"
	unknown   outcome = "unknown"
	// noResponse means that the connection was lost before a response arrived.
	noResponse outcome = "no response"
)

// outcomeOf derives the outcome from the error of a statement.
func outcomeOf(err error) outcome {
	if err == nil {
		return done
	}
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) {
		return noResponse
	}
	switch {
	case strings.HasSuffix(pgErr.Message, "; not run"):
		return notRun
	case strings.HasSuffix(pgErr.Message, "; the write was not kept"):
		return discarded
	case strings.HasSuffix(pgErr.Message, "; the outcome is unknown"):
		return unknown
	case pgErr.Code == "25006", pgErr.Code == "40001":
		// The server rejected the statement or rolled it back, and the instance forwarded the error.
		return notRun
	}
	return noResponse
}

func requireCode(t testing.TB, code string, err error) {
	t.Helper()
	var pgErr *pgconn.PgError
	require.ErrorAs(t, err, &pgErr)
	require.Equal(t, code, pgErr.Code, pgErr.Message)
}
