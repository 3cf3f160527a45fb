package gateway

import (
	"net/http"

	"github.com/rhubarbwick/rhubarbwick/adapter/maintenance"
	"github.com/rhubarbwick/rhubarbwick/proxy"
)

// useMaintenance makes the process read which data centres are in maintenance, if the deployment's settings state a bound
// for it. Otherwise it is not read, because each call to the store costs money.
func (p *process) useMaintenance(readers *proxy.StoreReaders) {
	if p.settings.MaintenanceBound == 0 {
		return
	}
	readers.Maintenances = p.store.Maintenances()
	p.state.UseMaintenance()
	p.maintenance = proxy.NewMaintenanceMonitor(proxy.MaintenanceMonitorConfig{
		Timer: p.timer, State: p.state, Views: p.views, Dispatcher: p.dispatcher, Bound: p.settings.MaintenanceBound, Recorder: p.metrics,
	})
	p.metrics.RegisterMaintenance(p.maintenance.Status)
}

// operatorHandler returns the handler of the port for operators: the metrics, and the progress of maintenances.
func (p *process) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.metrics.Handler())
	var status func() []proxy.MaintenanceStatus
	if p.maintenance != nil {
		status = p.maintenance.Status
	}
	mux.Handle("GET "+maintenance.Path, maintenance.NewHandler(status))
	return mux
}
