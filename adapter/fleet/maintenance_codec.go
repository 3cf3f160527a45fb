package fleet

import (
	fleetv1 "github.com/rhubarbwick/rhubarbwick/gen/rhubarbwick/fleet/v1"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/proxy"
)

func encodeVersion(v *port.Version) *uint64 {
	if v == nil {
		return nil
	}
	n := uint64(*v)
	return &n
}

func decodeVersion(n *uint64) *port.Version {
	if n == nil {
		return nil
	}
	v := port.Version(*n)
	return &v
}

func encodeMaintenance(l *proxy.MaintenanceList) *fleetv1.Maintenance {
	if l == nil {
		return nil
	}
	return &fleetv1.Maintenance{DataCentres: l.DataCentres, Version: uint64(l.Version)}
}

func decodeMaintenance(m *fleetv1.Maintenance) *proxy.MaintenanceList {
	if m == nil {
		return nil
	}
	return &proxy.MaintenanceList{DataCentres: m.GetDataCentres(), Version: port.Version(m.GetVersion())}
}
