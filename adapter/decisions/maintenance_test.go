package decisions_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/rhubarbwick/rhubarbwick/proxy"
)

// Guards against a maintenance that leaves no trace in the log.
func TestMaintenanceLines(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	r := startLog(t, zap.New(core))
	for _, e := range []proxy.Event{
		proxy.MaintenanceUpdated{DataCentre: "a", Begun: true, IsKnown: true},
		proxy.MaintenanceUpdated{DataCentre: "z", Begun: true},
		proxy.MaintenanceUpdated{DataCentre: "a", IsKnown: true},
		proxy.MaintenanceProgress{Status: proxy.MaintenanceStatus{DataCentre: "a"}, Cleared: true},
		proxy.MaintenanceProgress{Status: proxy.MaintenanceStatus{DataCentre: "a", Groups: []string{"core"}}},
	} {
		r.log.Record(e)
	}
	r.end()
	var messages []string
	for _, line := range lines.All() {
		messages = append(messages, line.Message)
	}
	require.Equal(t, []string{
		"maintenance: begun", "maintenance: data centre is unknown", "maintenance: ended", "maintenance: data centre is no longer used",
		"maintenance: data centre is still in use",
	}, messages)
}
