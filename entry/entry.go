// Package entry implements the goroutines of an entry instance. They communicate with the outside only through
// interfaces, mostly those of package port, so that another front end can use them without sockets.
package entry

import (
	"context"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/organisation"
	"github.com/rhubarbwick/rhubarbwick/session"
)

// Credentials are the start-up parameters of a client.
type Credentials struct {
	Organisation string
	// Key is the client's secret key. It is used only for authorization and is not kept.
	Key   string
	Route string
	// Token is the client's session token: empty, "new", or a token issued by an instance.
	Token string
	// ReadOnly is true if the client requested read-only transactions.
	ReadOnly bool
}

// Client is an authorized client. It is immutable.
type Client struct {
	Organisation string
	// KeyID is the ID of the key by which the client is authorized. It is empty on an open route.
	KeyID   string
	Route   document.Route
	Read    bool
	Session session.Session

	// claim is what the client presented, also on an open route.
	claim    organisation.Claim
	readOnly bool
}

// WithSession returns the client with another session state.
func (c Client) WithSession(s session.Session) Client {
	c.Session = s
	return c
}

// WithRoute returns the client with the current definition of its route.
func (c Client) WithRoute(r document.Route) Client {
	c.Route = r
	return c
}

// Target is the server selected for a transaction.
type Target struct {
	Group   string
	Server  string
	Address string
	// Replica is true if the server is a replica that serves a read.
	Replica bool
	// Term is the term of the primary selected for a write.
	Term group.Term
}

// Authorizer authorizes clients and applies their rate limits.
type Authorizer interface {
	// Authorize authorizes a client at start-up. Errors are of kind KeyRefused, UnknownRoute, BadToken or NotFresh.
	Authorize(ctx context.Context, c Credentials) (Client, error)
	// AuthorizeStatement is called before each statement. It checks that the client's key is still valid, takes one
	// statement from the rate limit, and returns the client with the current definition of its route. Errors are of kind
	// KeyRefused, UnknownRoute, NotFresh, OverRate or ShareUnavailable; the statement must not run then.
	AuthorizeStatement(ctx context.Context, c Client) (Client, error)
	// Token returns the signed token of the session.
	Token(s session.Session) string
}

// ServerSelector selects servers for transactions and decides when their writes may be acknowledged.
type ServerSelector interface {
	// SelectServer waits for a suitable server and returns the one for the client's next transaction. Errors are of kind
	// NoPrimary.
	SelectServer(ctx context.Context, c Client) (Target, error)
	// AwaitDurable waits until a write at position p may be acknowledged. Errors are of kind NotKept if the write was
	// discarded, and otherwise of kind UnknownOutcome.
	AwaitDurable(ctx context.Context, groupName string, p group.Position) error
}

// RateLimit limits the statement rate across all instances.
type RateLimit interface {
	// Take takes one statement from the limit, after a short wait if necessary. Errors are of kind OverRate if the rate is
	// known to be exhausted, and otherwise of kind ShareUnavailable. The limit of an organisation is named
	// "rate/<organisation>", that of an open route "rate_open/<route>".
	Take(ctx context.Context, limit string) error
}

// BatchIssuer issues batches from this instance's share of a limit to other instances.
type BatchIssuer interface {
	// IssueBatch returns a batch of statements, after a short wait if necessary. Errors are as for RateLimit.Take.
	IssueBatch(ctx context.Context, r BatchRequest) (allotment.Statements, error)
}

// ConnectionLimit limits the connections to each server across all instances.
type ConnectionLimit interface {
	// MaxConnections returns the number of connections that this instance may currently have to the server.
	MaxConnections(server string) int
	// SetDemand reports how many connections this instance could use, including the open ones.
	SetDemand(server string, n int)
	// SetOpen reports how many connections this instance has open, so that none of them is allotted to another instance
	// before it is closed.
	SetOpen(server string, n int)
}
