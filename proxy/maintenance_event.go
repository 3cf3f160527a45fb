package proxy

// MaintenanceUpdated reports that the instance learned that a data centre is in maintenance, or no longer is.
type MaintenanceUpdated struct {
	DataCentre string
	Begun      bool
	// IsKnown is false if no server and no instance is in the data centre. The name may be misspelt.
	IsKnown bool
}

// MaintenanceRefusal reports that a statement was not sent because the data centre of its server is in maintenance.
type MaintenanceRefusal struct {
	DataCentre string
	// InTransaction is true if the statement was part of a transaction, which has ended.
	InTransaction bool
}

// MaintenanceProgress reports that a data centre in maintenance is no longer used, or that it is still used after the
// bound.
type MaintenanceProgress struct {
	Status  MaintenanceStatus
	Cleared bool
}

func (MaintenanceUpdated) event()  {}
func (MaintenanceRefusal) event()  {}
func (MaintenanceProgress) event() {}
