package check_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/cmd/document/check"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const configuration = `{"version": 3, "routes": [{"host": "orders", "kind": "primary", "service": "core", "timeout_ms": 100, "target_latency_ms": 120}],
	"services": [{"name": "core", "connection_limit": 70}], "tenants": [{"name": "clinic", "api_keys": ["secret"], "rate_per_s": 50, "burst": 50}]}`

// run runs the command on the platform's configuration and returns its output.
func run(t *testing.T, text string, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	command := check.NewCommand(streams.Streams{In: strings.NewReader(text), Out: &out})
	err := command.Run(context.Background(), append([]string{"check", "--file", "-", "--format", "platform"}, args...))
	return out.String(), err
}

// Guards against exit codes and output that scripts cannot use.
func TestCheck(t *testing.T) {
	valid := strings.Replace(configuration, `"timeout_ms": 100`, `"timeout_ms": 1000`, 1)
	broken := strings.Replace(valid, `"service": "core"`, `"service": "none"`, 1)
	current := filepath.Join(t.TempDir(), "current.json")
	require.NoError(t, os.WriteFile(current, []byte(valid), 0o600))
	t.Run("without findings", func(t *testing.T) {
		out, err := run(t, valid)
		require.NoError(t, err)
		require.Equal(t, "document: no fault\n", out)
	})
	t.Run("a warning", func(t *testing.T) {
		const line = "warning\ttimeout_below_objective\troutes[0] \"orders\"\ttimeout_ms\t100\t120 or more, the target latency\n"
		out, err := run(t, configuration)
		require.NoError(t, err)
		require.Equal(t, line, out)
		_, err = run(t, configuration, "--strict")
		require.Equal(t, port.Invalid, port.KindOf(err))
	})
	t.Run("an error", func(t *testing.T) {
		out, err := run(t, broken, "--json")
		require.Equal(t, port.Invalid, port.KindOf(err))
		var findings []map[string]string
		require.NoError(t, json.Unmarshal([]byte(out), &findings))
		require.Equal(t, "routes[0].service", findings[1]["path"])
		require.Equal(t, `"none"`, findings[1]["given"])
	})
	t.Run("against the version in force", func(t *testing.T) {
		out, err := run(t, strings.Replace(valid, `["secret"]`, `["other"]`, 1), "--against", current)
		require.NoError(t, err)
		require.Contains(t, out, "removed\ttenant \"clinic\"\tkey ")
		require.Contains(t, out, "key_refused")
		require.NotContains(t, out, "secret")
		out, err = run(t, valid, "--against", current, "--json")
		require.NoError(t, err)
		require.JSONEq(t, `{"findings": [], "changes": []}`, out)
	})
	t.Run("facts of the deployment", func(t *testing.T) {
		out, err := run(t, valid, "--instances", "144", "--servers", "3", "--slots", "4", "--statement-ms", "500")
		require.NoError(t, err)
		require.Contains(t, out, "connections_below_instances")
		require.Contains(t, out, "rate_above_capacity")
	})
	t.Run("an unknown format", func(t *testing.T) {
		_, err := run(t, valid, "--format", "yaml")
		require.Equal(t, port.Invalid, port.KindOf(err))
	})
}
