package postgres_test

import (
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a driver whose default mode does not work with transaction pooling.
func TestQueries(t *testing.T) {
	f, _ := startOneServer(t)
	t.Run("simple", func(t *testing.T) {
		requireRow(t, f.connect("acme", "stock"), "select 1", pgx.QueryExecModeSimpleProtocol)
	})
	t.Run("extended", func(t *testing.T) {
		conn := f.connect("acme", "orders")
		requireRow(t, conn, "select 2")
		requireRow(t, conn, "select 2")
		_, err := conn.Exec(t.Context(), "insert 1")
		require.NoError(t, err)
		require.Equal(t, "acme@map[core:1:1]", conn.PgConn().ParameterStatus("rhubarbwick.session"))
	})
	t.Run("transaction", func(t *testing.T) {
		conn := f.connect("acme", "orders")
		tx := begin(t, conn)
		_, err := tx.Exec(t.Context(), "insert 1")
		require.NoError(t, err)
		require.NoError(t, tx.Commit(t.Context()))
		require.Equal(t, "acme@map[core:1:2]", conn.PgConn().ParameterStatus("rhubarbwick.session"))
	})
}
