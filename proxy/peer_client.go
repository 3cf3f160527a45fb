package proxy

import (
	"context"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Fleet reaches other instances. Errors are of kind Unavailable.
type Fleet interface {
	// Exchange asks a relay for what it knows.
	Exchange(ctx context.Context, address string, ask Ask) (Report, error)
	// Suspend has the instance stop using the primary of the record's term. It returns its MembershipHistory.SettledVersion.
	Suspend(ctx context.Context, address string, p StoredPrimacy) (port.Version, error)
	// Notify has the instance ask the member for the newest records.
	Notify(ctx context.Context, address string, m Member) error
	// Extend asks whether the instance knows of no newer record of any group than those of the versions.
	Extend(ctx context.Context, address string, versions map[string]port.Version) (bool, error)
	// Survey asks how long ago the instance heard from a server.
	Survey(ctx context.Context, address string, q Question) (Hearing, error)
}

// Question asks an instance about a server.
type Question struct {
	Server string
	// Probe has the instance connect to the server if it has not heard from it of late.
	Probe bool
	// Doubt has the instance find out whether the server is gone.
	Doubt bool
}

// Hearing is what an instance says of a server.
type Hearing struct {
	Incarnation string
	// Age is how long ago the server answered it, if Heard is true.
	Age   time.Duration
	Heard bool
}

// Ask is an instance's question to a relay.
type Ask struct {
	From     Member
	Revision document.Revision
	// Records and Servers are the versions that the instance knows.
	Records uint64
	Servers port.Version
	// Wait is how long the relay may wait for something new.
	Wait time.Duration
}

// Report is a relay's answer. Its ages count back from the instant at which it left.
type Report struct {
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
