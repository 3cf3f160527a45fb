// Package proxy implements an entry instance on a platform that lists the servers, stores the configuration document
// and promotes primaries on request. All input and output goes through interfaces, so the package uses no sockets and
// works with any message format.
package proxy

import (
	"context"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// ClientConn is a client's connection. Its methods must be called from one goroutine.
type ClientConn interface {
	// Receive returns the client's next request. An error of kind Protocol or TooLarge that is a *BadRequestError
	// affects that request only; after any other error the connection is unusable.
	Receive(ctx context.Context) (statement.Request, error)
	// HasBufferedRequest reports whether part of another request has already been read.
	HasBufferedRequest() bool
	// Reply sends the answer to the last request.
	Reply(a statement.Result) error
	// Close closes the connection.
	Close()
}

// BadRequestError reports a malformed request. The connection remains usable.
type BadRequestError struct {
	Kind port.Kind
	Text string
}

func (b *BadRequestError) Error() string { return b.Text }

// ServerConn is a connection to a backend server. Its methods must be called from one goroutine at a time.
type ServerConn interface {
	// Do sends the commands in one write and returns their answers. After an error, the outcome of every command
	// without an answer is unknown and the connection must be closed.
	Do(ctx context.Context, commands ...statement.Command) ([]statement.Result, error)
	// Lost returns a channel that is closed when the server closes the connection.
	Lost() <-chan struct{}
	Close()
}

// Endpoint identifies the server to connect to and the organisation that the connection is for.
type Endpoint struct {
	Group        string
	Server       string
	Address      string
	DataCentre   string
	Organisation string
}

// Dialer opens connections to servers. Its errors are of kind Unavailable, WrongServer, NoConnection or Busy.
type Dialer interface {
	Dial(ctx context.Context, e Endpoint) (ServerConn, statement.Result, error)
}

// Documents reads the configuration document from the platform's store.
type Documents interface {
	// Read returns the newest document and the store version from which changes can be awaited. It fails with kind
	// NotFound if there is no document.
	Read(ctx context.Context) (document.Document, port.Version, error)
	// Await returns the newest document written after version since, or false if none appeared within the wait. It
	// fails with kind Expired if the store no longer has the history after since.
	Await(ctx context.Context, since port.Version, wait time.Duration) (document.Document, bool, port.Version, error)
}

// Listings reads the platform's list of servers. Its methods behave like those of Documents.
type Listings interface {
	ReadAll(ctx context.Context) ([]dispatch.Listing, port.Version, error)
	AwaitChanges(ctx context.Context, since port.Version, wait time.Duration) ([]ListingChange, port.Version, error)
}

// ListingChange is a change to the list of servers: ListingUpdated or ListingRemoved.
type ListingChange interface{ listingChange() }

// ListingUpdated reports an added or modified server.
type ListingUpdated struct{ Listing dispatch.Listing }

// ListingRemoved reports a removed server.
type ListingRemoved struct{ Name string }

func (ListingUpdated) listingChange() {}
func (ListingRemoved) listingChange() {}

// Maintenances reads the names of the data centres in maintenance. Its methods behave like those of Documents.
type Maintenances interface {
	ReadAll(ctx context.Context) ([]string, port.Version, error)
	AwaitChanges(ctx context.Context, since port.Version, wait time.Duration) ([]MaintenanceChange, port.Version, error)
}

// MaintenanceChange is a change to the list of data centres in maintenance: MaintenanceBegun or MaintenanceEnded.
type MaintenanceChange interface{ maintenanceChange() }

// MaintenanceBegun reports that a data centre is in maintenance.
type MaintenanceBegun struct{ DataCentre string }

// MaintenanceEnded reports that a data centre is no longer in maintenance.
type MaintenanceEnded struct{ DataCentre string }

func (MaintenanceBegun) maintenanceChange() {}
func (MaintenanceEnded) maintenanceChange() {}

// Records stores rhubarbwick's own objects in the platform's store. An object's name is its kind and its own name,
// joined by "/".
type Records interface {
	// All returns all objects as of some instant after the call began.
	All(ctx context.Context) ([]port.Object, error)
	// Put writes an object if it is still at the expected version; zero means that it must not exist. It fails with
	// kind Conflict on a version mismatch and with kind Unavailable if the outcome is unknown.
	Put(ctx context.Context, name string, data []byte, expected port.Version) (port.Version, error)
	// Delete removes an object if it is still at the expected version; zero accepts any version.
	Delete(ctx context.Context, name string, expected port.Version) error
}

// Promotions is the platform's API that promotes a server to primary.
type Promotions interface {
	// Promote makes the server the primary of the group. The epoch increases with each holder of the promoter lock. It
	// fails with kind Conflict if the server is not running and with kind Unavailable if the outcome is unknown.
	Promote(ctx context.Context, groupName, server, holder string, epoch uint64) error
}

// Observation is what the answer to a statement revealed about its server.
type Observation struct {
	Server   string
	Position group.Position
	// SentAt and ReceivedAt are the times of the statement and of its answer.
	SentAt     time.Duration
	ReceivedAt time.Duration
	// IsRead is true for the answer to a read, and IsFailed if the server failed it.
	IsRead   bool
	IsFailed bool
}
