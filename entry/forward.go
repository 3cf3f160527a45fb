package entry

import (
	"context"
	"io"
	"time"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/organisation"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// RevisionWait is how long a serving instance waits for the revision that the forwarding one has.
	RevisionWait = 2 * time.Second
	// ReachTimeout is how long a serving instance is looked for before an instance serves the caller itself.
	ReachTimeout = 2 * time.Second
	// ForwardRequestTimeout is how long one serving instance may take to answer an opening: RevisionWait and the way there and back.
	ForwardRequestTimeout = RevisionWait + 500*time.Millisecond
)

// ForwardRequest is what a serving instance is told of a caller that another instance admitted.
type ForwardRequest struct {
	Organisation string
	// KeyID and KeyHash name the key that was presented; both are empty on an open route.
	KeyID    string
	KeyHash  string
	Route    string
	ReadOnly bool
	// Token is the newest session token. Carried is false when the session may have written anything elsewhere; its
	// reads then see the newest data whatever its token says.
	Token          string
	HasKnownWrites bool
	// Revision is the one of the document by which the caller was admitted or rechecked.
	Revision document.Revision
}

// WithToken returns the opening with a newer session token.
func (o ForwardRequest) WithToken(token string) ForwardRequest {
	o.Token = token
	return o
}

// ForwardConn is a connection to a serving instance that carries the messages of one caller.
type ForwardConn interface {
	io.ReadWriteCloser
	// Cancel asks the serving instance to cancel the caller's request.
	Cancel(ctx context.Context) error
}

// ForwardClient reaches serving instances. Errors of Forward are of the kind that the serving instance reported, or
// Unavailable.
type ForwardClient interface {
	Forward(ctx context.Context, address string, o ForwardRequest) (ForwardConn, error)
	// Ping fails when the instance does not answer.
	Ping(ctx context.Context, address string) error
}

// ForwardAuthorizer admits callers that another instance admitted before.
type ForwardAuthorizer interface {
	// ForwardRequest returns what a serving instance has to be told of the caller.
	ForwardRequest(c Client) ForwardRequest
	// AuthorizeForwarded admits the caller of an opening by the document in force, which is at least of the opening's revision.
	// Errors are those of Gate.Admit, and NotFresh when the revision does not come in time.
	AuthorizeForwarded(ctx context.Context, o ForwardRequest) (Client, error)
}

var _ ForwardAuthorizer = (*DocumentAuthorizer)(nil)

// ForwardRequest returns what a serving instance has to be told of the caller.
func (g *DocumentAuthorizer) ForwardRequest(c Client) ForwardRequest {
	o := ForwardRequest{
		Organisation: c.Organisation, KeyID: c.KeyID, Route: c.Route.Name, ReadOnly: c.readOnly,
		Token: g.signer.Sign(c.Session), HasKnownWrites: c.Session.HasKnownWrites(), Revision: g.follower.Document().Revision,
	}
	if c.KeyID != "" {
		o.KeyHash = c.keyHash.String()
	}
	return o
}

// AuthorizeForwarded admits the caller of an opening.
func (g *DocumentAuthorizer) AuthorizeForwarded(ctx context.Context, o ForwardRequest) (Client, error) {
	limited, cancel := port.WithTimeout(ctx, g.follower.cfg.Timer, RevisionWait)
	defer cancel()
	if _, err := g.follower.WaitForRevision(limited, o.Revision); err != nil {
		return Client{}, port.Wrapf(err, port.NotFresh, "revision %d did not come in time", o.Revision)
	}
	credentials := organisation.Allowed{Organisation: o.Organisation, KeyID: o.KeyID}
	credentials.Route.Name = o.Route
	if o.KeyID != "" {
		hash, err := organisation.ParseKeyHash(o.KeyHash)
		if err != nil {
			return Client{}, port.Wrapf(err, port.KeyRefused, "the opening has an invalid key hash")
		}
		credentials.KeyHash = hash
	}
	rules, fresh := g.follower.CurrentDocument()
	switch a := organisation.Reauthorize(rules, credentials, fresh).(type) {
	case organisation.Allowed:
		return g.newForwardedClient(a, o)
	case organisation.Denied:
		return Client{}, a.Err()
	default:
		return Client{}, port.Errorf(port.Internal, "admission has an unknown outcome %T", a)
	}
}

func (g *DocumentAuthorizer) newForwardedClient(a organisation.Allowed, o ForwardRequest) (Client, error) {
	if a.KeyID == "" && a.Organisation != document.OpenOrganisation {
		return Client{}, port.Errorf(port.KeyRefused, "the opening names no key of organisation %s", a.Organisation)
	}
	c, err := g.newClient(a, Credentials{Token: o.Token, ReadOnly: o.ReadOnly})
	if err == nil && !o.HasKnownWrites {
		c.Session = c.Session.WithUnknownWrites()
	}
	return c, err
}
