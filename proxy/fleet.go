package proxy

import (
	"context"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// PeerClient reaches other instances. Errors are of kind Unavailable.
type PeerClient interface {
	// Exchange asks a relay for what it knows.
	Exchange(ctx context.Context, address string, ask ExchangeRequest) (ExchangeResponse, error)
	// Suspend has the instance stop using the primary of the record's term. It returns its MembershipHistory.SettledVersion.
	Suspend(ctx context.Context, address string, p StoredPrimacy) (port.Version, error)
	// Notify has the instance ask the member for the newest records.
	Notify(ctx context.Context, address string, m Member) error
	// Extend asks whether the instance knows of no newer record of any group than those of the versions.
	Extend(ctx context.Context, address string, versions map[string]port.Version) (bool, error)
	// Survey asks how long ago the instance heard from a server.
	Survey(ctx context.Context, address string, q SurveyRequest) (SurveyResponse, error)
}

// SurveyRequest asks an instance about a server.
type SurveyRequest struct {
	Server string
	// Probe has the instance connect to the server if it has not heard from it of late.
	Probe bool
	// Suspect has the instance find out whether the server is gone.
	Suspect bool
}

// SurveyResponse is what an instance says of a server.
type SurveyResponse struct {
	Incarnation string
	// Age is how long ago the server answered it, if Heard is true.
	Age         time.Duration
	HasAnswered bool
}

// ExchangeRequest is an instance's question to a relay.
type ExchangeRequest struct {
	From          Member
	KnownRevision document.Revision
	// KnownRecords and Servers are the versions that the instance knows.
	KnownRecords uint64
	KnownServers port.Version
	// Wait is how long the relay may wait for something new.
	Wait time.Duration
}

// ExchangeResponse is a relay's answer. Its ages count back from the instant at which it left.
type ExchangeResponse struct {
	Held time.Duration
	// Document is nil when the asker has the newest.
	Document    *document.Document
	DocumentAge time.Duration
	// Records is nil when the asker has the newest.
	Records        []port.Object
	RecordsVersion uint64
	RecordsAge     time.Duration
	// ReadAge is how long before the answer the store was asked for the records.
	ReadAge time.Duration
	// Servers is nil when the asker has the newest.
	Servers        map[string]dispatch.Listing
	ServersVersion port.Version
	// Fresh is false when the relay's own knowledge is old.
	Fresh bool
}
