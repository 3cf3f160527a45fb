package list

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/maintenance"
	"github.com/rhubarbwick/rhubarbwick/cmd/streams"
	"github.com/rhubarbwick/rhubarbwick/proxy"
)

// Guards against a data centre that is reported as unused although it is still used, and against a misspelt name that
// looks like a finished maintenance.
func TestList(t *testing.T) {
	web := httptest.NewServer(maintenance.NewHandler(func() []proxy.MaintenanceStatus {
		return []proxy.MaintenanceStatus{
			{DataCentre: "a", Elapsed: time.Minute, IsKnown: true, Groups: []string{"core", "stock"}},
			{DataCentre: "b", IsKnown: true, Running: 3},
			{DataCentre: "c", IsKnown: true},
			{DataCentre: "d"},
		}
	}))
	t.Cleanup(web.Close)
	for arguments, want := range map[string][]string{
		"":       {"a\t", "\tin use\tcore,stock\t0\n", "\tin use\t-\t3\n", "\tunused\t-\t0\n", "\tunknown\t-\t0\n"},
		"--json": {`"data_centre": "a"`, `"elapsed_ms": 60000`, `"since": "20`, `"known": false`, `"running": 3`},
	} {
		var out bytes.Buffer
		args := append([]string{"list", "--address", strings.TrimPrefix(web.URL, "http://")}, strings.Fields(arguments)...)
		require.NoError(t, NewCommand(streams.Streams{Out: &out}).Run(t.Context(), args))
		for _, text := range want {
			require.Contains(t, out.String(), text)
		}
	}
}
