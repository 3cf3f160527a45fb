// Package entry holds the duties of an entry instance. They reach the world only through the interfaces of
// package port, so that another front end can use them without a socket.
package entry

import (
	"context"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/organisation"
	"github.com/rhubarbwick/rhubarbwick/session"
)

// Credentials is what a caller brings at start-up.
type Credentials struct {
	Organisation string
	// Key is the caller's secret. It goes no further than admission.
	Key   string
	Route string
	// Token is the text of the caller's session token: empty, "new", or a token issued by an instance.
	Token string
	// ReadOnly is true when the caller asked for read-only transactions only.
	ReadOnly bool
}

// Client is an admitted caller. A Caller is never changed in place.
type Client struct {
	Organisation string
	// KeyID names the key that was presented; it is empty on an open route.
	KeyID   string
	Route   document.Route
	Read    bool
	Session session.Session

	// keyHash tells the key that was presented from a later key of the same id.
	keyHash  organisation.KeyHash
	readOnly bool
}

// WithSession returns the caller with another state of its session.
func (c Client) WithSession(s session.Session) Client {
	c.Session = s
	return c
}

// WithRoute returns the caller with the route as the document now defines it.
func (c Client) WithRoute(r document.Route) Client {
	c.Route = r
	return c
}

// Target is the server to which a transaction goes.
type Target struct {
	Group   string
	Server  string
	Address string
	// Replica is true when a replica serves a read.
	Replica bool
	// Term is the term of the primary to which a write goes.
	Term group.Term
}

// Authorizer decides who gets in and how often.
type Authorizer interface {
	// Authorize checks a caller at start-up. Errors are of kind KeyRefused, UnknownRoute, BadToken or NotFresh.
	Authorize(ctx context.Context, c Credentials) (Client, error)
	// AuthorizeStatement is called before each statement. It checks that the caller's key is still in force, returns the caller
	// with the route as it is now, and takes one statement from the organisation's rate. Errors are of kind
	// KeyRefused, UnknownRoute, NotFresh, OverRate or ShareUnavailable, and the statement has not run.
	AuthorizeStatement(ctx context.Context, c Client) (Client, error)
	// Token returns the text of the session's token.
	Token(s session.Session) string
}

// ServerSelector decides where a transaction goes and when its write may be confirmed.
type ServerSelector interface {
	// SelectServer returns the server for the caller's next transaction. It waits for one and fails with kind NoPrimary.
	SelectServer(ctx context.Context, c Client) (Target, error)
	// AwaitDurable waits until a write of the caller at p may be confirmed. Errors are of kind NotKept when the
	// write was discarded, or UnknownOutcome.
	AwaitDurable(ctx context.Context, groupName string, p group.Position) error
}

// RateLimit limits statements over the whole fleet.
type RateLimit interface {
	// Take takes one statement from the limit, and waits a short time for a share. Errors are of kind OverRate
	// when the rate is known to be used up, and ShareUnavailable otherwise. The name of an organisation's limit is "rate/<organisation>", that of an open route "rate_open/<route>".
	Take(ctx context.Context, limit string) error
}

// BatchIssuer lends parts of this instance's share to others.
type BatchIssuer interface {
	// IssueBatch takes a batch, and waits a short time for a share. Errors are those of RateLimit.
	IssueBatch(ctx context.Context, ask BatchRequest) (allotment.Statements, error)
}

// ConnectionLimit limits connections to one server over the whole fleet.
type ConnectionLimit interface {
	// MaxConnections returns how many connections this instance may hold to the server now.
	MaxConnections(server string) int
	// SetDemand tells how many connections this instance could use now, those that it holds included.
	SetDemand(server string, n int)
	// SetOpen tells how many connections this instance has open, so that none of them is given to another instance before
	// it is closed.
	SetOpen(server string, n int)
}
