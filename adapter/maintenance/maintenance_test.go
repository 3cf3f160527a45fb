package maintenance_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/maintenance"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/proxy"
)

func serve(t *testing.T, status func() []proxy.MaintenanceStatus) (address string) {
	t.Helper()
	web := httptest.NewServer(maintenance.NewHandler(status))
	t.Cleanup(web.Close)
	return strings.TrimPrefix(web.URL, "http://")
}

// Guards against a progress that is reported wrongly, and against a deployment without maintenance that looks like one
// where no data centre is in maintenance.
func TestList(t *testing.T) {
	t.Run("progress", func(t *testing.T) {
		list, err := maintenance.List(t.Context(), serve(t, func() []proxy.MaintenanceStatus {
			return []proxy.MaintenanceStatus{{DataCentre: "a", Elapsed: time.Second, IsKnown: true, Groups: []string{"core"}, Running: 2}}
		}))
		require.NoError(t, err)
		require.Equal(t, []maintenance.DataCentre{{Name: "a", ElapsedMS: 1000, Known: true, Groups: []string{"core"}, Running: 2}}, list)
	})
	t.Run("no data centre", func(t *testing.T) {
		list, err := maintenance.List(t.Context(), serve(t, func() []proxy.MaintenanceStatus { return nil }))
		require.NoError(t, err)
		require.Empty(t, list)
	})
	t.Run("no maintenance in the deployment", func(t *testing.T) {
		_, err := maintenance.List(t.Context(), serve(t, nil))
		require.Equal(t, port.NotFound, port.KindOf(err))
	})
	t.Run("no instance", func(t *testing.T) {
		_, err := maintenance.List(t.Context(), "127.0.0.1:1")
		require.Equal(t, port.Unavailable, port.KindOf(err))
	})
}
