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
	// RevisionWait is how long a serving instance waits until it has the document revision of the forwarding instance.
	RevisionWait = 2 * time.Second
	// ReachTimeout is how long an instance tries to reach a serving instance before it serves the client itself.
	ReachTimeout = 2 * time.Second
	// ForwardRequestTimeout limits a forward request to one serving instance. It is RevisionWait plus time for the network.
	ForwardRequestTimeout = RevisionWait + 500*time.Millisecond
)

// ForwardRequest describes a client to a serving instance. The client was authorized by the forwarding instance.
type ForwardRequest struct {
	Organisation string
	// KeyID and KeyHash identify the presented key. Both are empty on an open route.
	KeyID    string
	KeyHash  string
	Route    string
	ReadOnly bool
	// Token is the latest session token. HasKnownWrites is false if the session may have made writes that are not in its
	// token; its reads then require the newest data, whatever the token contains.
	Token          string
	HasKnownWrites bool
	// Revision is the revision of the document with which the client was last authorized.
	Revision document.Revision
}

// WithToken returns the request with a newer session token.
func (r ForwardRequest) WithToken(token string) ForwardRequest {
	r.Token = token
	return r
}

// ForwardConn is a connection to a serving instance that carries the messages of one client.
type ForwardConn interface {
	io.ReadWriteCloser
	// Cancel asks the serving instance to cancel the client's current request.
	Cancel(ctx context.Context) error
}

// ForwardClient connects to serving instances. Errors of Forward are of the kind that the serving instance reported, or
// of kind Unavailable.
type ForwardClient interface {
	Forward(ctx context.Context, address string, r ForwardRequest) (ForwardConn, error)
	// Ping returns an error if the instance does not answer.
	Ping(ctx context.Context, address string) error
}

// ForwardAuthorizer authorizes clients on both sides of a forwarding connection.
type ForwardAuthorizer interface {
	// ForwardRequest returns the request with which the client is forwarded.
	ForwardRequest(c Client) ForwardRequest
	// AuthorizeForwarded authorizes a forwarded client with the current document, after waiting for at least the revision of
	// the request. Errors are those of Authorizer.Authorize, and of kind NotFresh if the revision does not arrive in time.
	AuthorizeForwarded(ctx context.Context, r ForwardRequest) (Client, error)
}

var _ ForwardAuthorizer = (*DocumentAuthorizer)(nil)

// ForwardRequest implements ForwardAuthorizer.
func (d *DocumentAuthorizer) ForwardRequest(c Client) ForwardRequest {
	req := ForwardRequest{
		Organisation: c.Organisation, KeyID: c.KeyID, Route: c.Route.Name, ReadOnly: c.readOnly,
		Token: d.signer.Sign(c.Session), HasKnownWrites: c.Session.HasKnownWrites(), Revision: d.follower.Document().Revision,
	}
	if c.KeyID != "" {
		req.KeyHash = organisation.HashOf(c.claim).String()
	}
	return req
}

// AuthorizeForwarded implements ForwardAuthorizer.
func (d *DocumentAuthorizer) AuthorizeForwarded(ctx context.Context, req ForwardRequest) (Client, error) {
	limited, cancel := port.WithTimeout(ctx, d.follower.cfg.Timer, RevisionWait)
	defer cancel()
	if _, err := d.follower.WaitForRevision(limited, req.Revision); err != nil {
		return Client{}, port.Wrapf(err, port.NotFresh, "revision %d did not arrive in time", req.Revision)
	}
	credentials := organisation.Allowed{Organisation: req.Organisation, KeyID: req.KeyID}
	credentials.Route.Name = req.Route
	if req.KeyID != "" {
		hash, err := organisation.ParseKeyHash(req.KeyHash)
		if err != nil {
			return Client{}, port.Wrapf(err, port.KeyRefused, "the forward request has an invalid key hash")
		}
		credentials.Claim = organisation.NamedClaim{Organisation: req.Organisation, KeyHash: hash}
	}
	a, err := d.reauthorize(credentials)
	if err != nil {
		return Client{}, err
	}
	return d.newForwardedClient(a, req)
}

func (d *DocumentAuthorizer) newForwardedClient(a organisation.Allowed, req ForwardRequest) (Client, error) {
	if a.KeyID == "" && a.Organisation != document.OpenOrganisation {
		return Client{}, port.Errorf(port.KeyRefused, "the forward request has no key of organisation %s", a.Organisation)
	}
	c, err := d.newClient(a, Credentials{Token: req.Token, ReadOnly: req.ReadOnly})
	if err == nil && !req.HasKnownWrites {
		c.Session = c.Session.WithUnknownWrites()
	}
	return c, err
}
