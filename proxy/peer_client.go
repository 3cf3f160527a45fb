package proxy

import (
	"context"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// PeerClient calls other instances. Its errors are of kind Unavailable.
type PeerClient interface {
	// Exchange asks a relay for state that is newer than the requester's.
	Exchange(ctx context.Context, address string, req ExchangeRequest) (ExchangeResponse, error)
	// Suspend makes the instance stop using the primary of the record's term. It returns the instance's
	// MembershipHistory.SettledVersion.
	Suspend(ctx context.Context, address string, record StoredPrimacy) (port.Version, error)
	// Notify makes the instance fetch the newest records from member m.
	Notify(ctx context.Context, address string, m Member) error
	// Extend reports whether the instance knows of no newer record of any group than the given versions.
	Extend(ctx context.Context, address string, versions map[string]port.Version) (bool, error)
	// Survey asks when the instance last had a response from a server.
	Survey(ctx context.Context, address string, req SurveyRequest) (SurveyResponse, error)
}

// SurveyRequest asks an instance about a server.
type SurveyRequest struct {
	Server string
	// Probe makes the instance connect to the server if it had no recent response from it.
	Probe bool
	// Suspect makes the instance find out whether the server has failed.
	Suspect bool
	// WantsLoad asks for the load of the server.
	WantsLoad bool
}

// SurveyResponse describes an instance's contact with a server.
type SurveyResponse struct {
	Incarnation string
	// Age is the time since the server's last response, if HasAnswered is true.
	Age         time.Duration
	HasAnswered bool
	// Load is the load of the server, if it was asked for and the instance owns the server's pool.
	Load dispatch.PoolLoad
}

// ExchangeRequest is an instance's request to a relay.
type ExchangeRequest struct {
	From          Member
	KnownRevision document.Revision
	// KnownRecords and KnownServers are the versions that the requesting instance has.
	KnownRecords uint64
	KnownServers port.Version
	// KnownMaintenance is the version of the requester's list of data centres in maintenance; nil if it does not use the
	// list.
	KnownMaintenance *port.Version
	// Wait is how long the relay may wait for newer state.
	Wait time.Duration
}

// ExchangeResponse is a relay's response. Its ages are relative to the time at which it was sent.
type ExchangeResponse struct {
	Held time.Duration
	// Document is nil if the requesting instance has the newest one.
	Document    *document.Document
	DocumentAge time.Duration
	// Records is nil if the requesting instance has the newest ones.
	Records        []port.Object
	RecordsVersion uint64
	RecordsAge     time.Duration
	// ReadAge is the time from the request to the store that read the records until the response.
	ReadAge time.Duration
	// Servers is nil if the requesting instance has the newest ones.
	Servers        map[string]dispatch.Listing
	ServersVersion port.Version
	// ServersAge is the time from the request to the store that read the servers until the response.
	ServersAge time.Duration
	// Maintenance is nil if the relay does not know which data centres are in maintenance. MaintenanceAge is like
	// ServersAge.
	Maintenance    *MaintenanceList
	MaintenanceAge time.Duration
	// Fresh is false if a part of the relay's own state is outdated, or if the relay has no source.
	Fresh bool
	// Path holds the names of the instances through which the state came, from the one that reads the store to the relay.
	Path []string
}
