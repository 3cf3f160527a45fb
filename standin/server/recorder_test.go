package server_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/standin/server"
)

// Guards against a recording that misses bytes or is silently truncated, so that a test that searches it for a secret
// would pass, and against recording without a request.
func TestRecording(t *testing.T) {
	p := startPrimary(t)
	before := connect(t, p, "slot")
	t.Run("nothing is recorded without a request", func(t *testing.T) {
		code, _ := get(t, p, "/recording")
		require.Equal(t, http.StatusBadRequest, code)
	})
	post(t, p, "/record?bytes=4096")
	t.Run("a connection that was opened before the recording", func(t *testing.T) {
		exec(t, before, "SELECT rhubarbwick_bind('org', 'n', false)")
		requireRecorded(t, p, "rhubarbwick_bind('org', 'n', false)")
	})
	t.Run("start-up and password of a new connection", func(t *testing.T) {
		connect(t, p, "other-slot")
		requireRecorded(t, p, "other-slot")
		requireRecorded(t, p, login.Password)
	})
	t.Run("parameters of a prepared statement", func(t *testing.T) {
		exec(t, before, "INSERT INTO kv (key, value) VALUES ($1, $2)", "tin", "parameter-value")
		requireRecorded(t, p, "parameter-value")
	})
	t.Run("a recording that exceeds its limit is refused", func(t *testing.T) {
		exec(t, before, "INSERT INTO kv (key, value) VALUES ('tin', '"+strings.Repeat("x", 4096)+"')")
		code, _ := get(t, p, "/recording")
		require.Equal(t, http.StatusBadRequest, code)
	})
}

// Guards against counters that include maintenance statements or miss a client's statements, so that a test of a
// departing server would fail or pass by mistake.
func TestCounters(t *testing.T) {
	p := startPrimary(t)
	maintenance := connect(t, p, server.MaintenanceDatabase)
	exec(t, maintenance, "SELECT rhubarbwick_status('0:0', 0)")
	requireCounters(t, p, server.Counters{})
	conn := connect(t, p, "slot")
	requireCounters(t, p, server.Counters{Connections: 1})
	exec(t, conn, "SELECT rhubarbwick_bind('org', 'n', false)")
	exec(t, conn, "BEGIN; INSERT INTO kv (key, value) VALUES ('tin', '1'); COMMIT")
	requireCounters(t, p, server.Counters{Connections: 1, Bindings: 1, Statements: 4})
}

// get returns the response of the fault injection API to a GET request.
func get(t *testing.T, p *server.Process, path string) (code int, body string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+p.AdminAddress()+path, http.NoBody)
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(data)
}

func requireRecorded(t *testing.T, p *server.Process, text string) {
	t.Helper()
	code, recorded := get(t, p, "/recording")
	require.Equal(t, http.StatusOK, code)
	require.Contains(t, recorded, text)
}

func requireCounters(t *testing.T, p *server.Process, want server.Counters) {
	t.Helper()
	_, body := get(t, p, "/counters")
	var got server.Counters
	require.NoError(t, json.Unmarshal([]byte(body), &got))
	require.Equal(t, want, got)
}
