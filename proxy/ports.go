// Package proxy holds the duties of an entry instance on a platform that lists the servers, keeps the document and
// promotes on request. They reach the world only through interfaces, so that they run without a socket and for any
// message format.
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

// ClientConn is the connection of a caller. Its methods are for one goroutine.
type ClientConn interface {
	// Receive returns the caller's next request. An error of kind Protocol or TooLarge concerns that request alone when
	// it is a *BadRequest; after any other error nothing more comes.
	Receive(ctx context.Context) (statement.Request, error)
	// HasBufferedRequest reports whether bytes of another request have been read already.
	HasBufferedRequest() bool
	// Reply sends the answer to the last request.
	Reply(a statement.Result) error
	// Close ends the connection.
	Close()
}

// BadRequestError is a request that could not be read, after which the connection goes on.
type BadRequestError struct {
	Kind port.Kind
	Text string
}

// Error returns what is wrong.
func (b *BadRequestError) Error() string { return b.Text }

// ServerConn is a connection to a server. Its methods are for one goroutine at a time.
type ServerConn interface {
	// Do sends the orders in one write and returns their answers. After an error the outcome of the orders without an
	// answer is unknown, and the link has to be closed.
	Do(ctx context.Context, orders ...statement.Command) ([]statement.Result, error)
	// Lost is closed when the server has ended the connection.
	Lost() <-chan struct{}
	Close()
}

// Endpoint names a server to be connected to, and for whom.
type Endpoint struct {
	Group        string
	Server       string
	Address      string
	Organisation string
}

// Dialer opens connections to servers. Errors are of kind Unavailable, WrongServer, NoConnection or Busy.
type Dialer interface {
	Dial(ctx context.Context, e Endpoint) (ServerConn, statement.Result, error)
}

// Documents is where the platform keeps the document.
type Documents interface {
	// Read returns the newest document, and the version of the store from which changes can be waited for. It fails
	// with kind NotFound while there is none.
	Read(ctx context.Context) (document.Document, port.Version, error)
	// Await returns the newest document that came after since, or false when there was none within the wait. It fails
	// with kind Expired when the store has forgotten what came after since.
	Await(ctx context.Context, since port.Version, wait time.Duration) (document.Document, bool, port.Version, error)
}

// Listings is where the platform lists the servers. Its methods are like those of Documents.
type Listings interface {
	ReadAll(ctx context.Context) ([]dispatch.Listing, port.Version, error)
	AwaitChanges(ctx context.Context, since port.Version, wait time.Duration) ([]ListingChange, port.Version, error)
}

// ListingChange is one change of the list of servers. It is one of Listed and Delisted.
type ListingChange interface{ listingChange() }

// ListingUpdated says that a server was added or changed.
type ListingUpdated struct{ Listing dispatch.Listing }

// ListingRemoved says that a server was removed.
type ListingRemoved struct{ Name string }

func (ListingUpdated) listingChange() {}
func (ListingRemoved) listingChange() {}

// Records holds the project's own objects in the platform's store. Names consist of a kind and a name, joined by "/".
type Records interface {
	// All returns every object, as it was at some instant after the call began.
	All(ctx context.Context) ([]port.Object, error)
	// Put writes an object if its version is still expected; zero means that it must not exist. It fails with kind
	// Conflict when it is not, and with kind Unavailable when the outcome is unknown.
	Put(ctx context.Context, name string, data []byte, expected port.Version) (port.Version, error)
	// Delete removes an object if its version is still expected.
	Delete(ctx context.Context, name string, expected port.Version) error
}

// Promotions is the platform's call that names a new primary.
type Promotions interface {
	// Promote makes the server of the group its primary. Epoch grows with each holder of the duty. It fails with kind
	// Conflict when the server does not run, and with kind Unavailable when the outcome is unknown.
	Promote(ctx context.Context, groupName, server, holder string, epoch uint64) error
}

// Answered tells what an answer of a server said.
type Answered struct {
	Server   string
	Position group.Position
	// SentAt and At are when the statement was sent and when its answer came.
	SentAt time.Duration
	At     time.Duration
}
