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

// statementLimit bounds one statement of a caller. It is above the 15 s for which an instance looks for a primary and
// the 15 s for which it settles an outcome.
const statementLimit = 40 * time.Second

// login is what a caller gives at start-up.
type login struct {
	organisation, key, route, session string
}

func (f *fleet) writer(g int) login {
	return login{organisation: "clinic", key: f.secrets.key, route: routeName("write", g)}
}

func (f *fleet) reader(g int) login {
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

// caller is a connection of a caller.
type caller struct{ conn *pgconn.PgConn }

// dial connects a caller to an address.
func dial(address string, l login) (*caller, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statementLimit)
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
	return &caller{conn: conn}, nil
}

// mustDial connects a caller and closes it at the end of the test.
func mustDial(t testing.TB, address string, l login) *caller {
	t.Helper()
	c, err := dial(address, l)
	require.NoError(t, err)
	t.Cleanup(c.close)
	return c
}

func (c *caller) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = c.conn.Close(ctx)
}

// token returns the session's token as reported last.
func (c *caller) token() string { return c.conn.ParameterStatus("rhubarbwick.session") }

// exec runs statements and returns the first column of all rows.
func (c *caller) exec(sql string) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statementLimit)
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

func (c *caller) mustExec(t testing.TB, sql string) []string {
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

// outcome is what a caller was told about a request.
type outcome string

const (
	done      outcome = "done"
	notRun    outcome = "not run"
	discarded outcome = "discarded"
	unknown   outcome = "unknown"
	// unstated means that the caller lost its connection without an answer.
	unstated outcome = "unstated"
)

// outcomeOf reads the outcome from the answer.
func outcomeOf(err error) outcome {
	if err == nil {
		return done
	}
	var told *pgconn.PgError
	if !errors.As(err, &told) {
		return unstated
	}
	switch {
	case strings.HasSuffix(told.Message, "; not run"):
		return notRun
	case strings.HasSuffix(told.Message, "; the write was not kept"):
		return discarded
	case strings.HasSuffix(told.Message, "; the outcome is unknown"):
		return unknown
	case told.Code == "25006", told.Code == "40001":
		// The server refused the statement or rolled it back, and the instance passed the refusal on.
		return notRun
	}
	return unstated
}

func requireCode(t testing.TB, code string, err error) {
	t.Helper()
	var told *pgconn.PgError
	require.ErrorAs(t, err, &told)
	require.Equal(t, code, told.Code, told.Message)
}
