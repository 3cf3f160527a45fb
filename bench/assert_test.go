package bench

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func requireValue(t testing.TB, c *client, key, value string) {
	t.Helper()
	require.Equal(t, []string{value}, c.mustExec(t, getSQL(key)), "value of %s", key)
}
