package decisions

import (
	"go.uber.org/zap"

	"github.com/rhubarbwick/rhubarbwick/proxy"
)

// writeMaintenance writes an event about a data centre in maintenance.
func (l *Log) writeMaintenance(e proxy.Event) {
	switch e := e.(type) {
	case proxy.MaintenanceUpdated:
		switch {
		case e.Begun && !e.IsKnown:
			l.logger.Warn("maintenance: data centre is unknown", zap.String("data_centre", e.DataCentre))
		case e.Begun:
			l.logger.Info("maintenance: begun", zap.String("data_centre", e.DataCentre))
		default:
			l.logger.Info("maintenance: ended", zap.String("data_centre", e.DataCentre))
		}
	case proxy.MaintenanceProgress:
		write, message := l.logger.Warn, "maintenance: data centre is still in use"
		if e.Cleared {
			write, message = l.logger.Info, "maintenance: data centre is no longer used"
		}
		write(message, zap.String("data_centre", e.Status.DataCentre), zap.Duration("after", e.Status.Elapsed),
			zap.Strings("groups", e.Status.Groups), zap.Int("running", e.Status.Running))
	}
}
