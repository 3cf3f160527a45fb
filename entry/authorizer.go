package entry

import (
	"context"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/organisation"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/session"
)

// DocumentAuthorizer authorizes clients with the current document of a follower.
type DocumentAuthorizer struct {
	follower *Follower
	signer   session.Signer
	limit    RateLimit
}

var _ Authorizer = (*DocumentAuthorizer)(nil)

// NewDocumentAuthorizer returns a DocumentAuthorizer that uses the follower's document.
func NewDocumentAuthorizer(follower *Follower, signer session.Signer, limit RateLimit) *DocumentAuthorizer {
	return &DocumentAuthorizer{follower: follower, signer: signer, limit: limit}
}

// Authorize implements Authorizer.
func (d *DocumentAuthorizer) Authorize(_ context.Context, c Credentials) (Client, error) {
	index, fresh := d.follower.CurrentDocument()
	credentials := organisation.Credentials{Organisation: c.Organisation, Key: c.Key, Route: c.Route}
	switch a := organisation.Authorize(index, credentials, fresh).(type) {
	case organisation.Allowed:
		return d.newClient(a, c)
	case organisation.Denied:
		return Client{}, a.Err()
	default:
		return Client{}, port.Errorf(port.Internal, "unknown authorization decision %T", a)
	}
}

// AuthorizeStatement implements Authorizer.
func (d *DocumentAuthorizer) AuthorizeStatement(ctx context.Context, c Client) (Client, error) {
	a, err := d.reauthorize(authorizedAs(c))
	if err != nil {
		return Client{}, err
	}
	c.Route, c.KeyID = a.Route, a.KeyID
	c.Read = c.readOnly || a.Route.Kind == document.Read
	if err := d.limit.Take(ctx, rateLimitName(c)); err != nil {
		return Client{}, err
	}
	return c, nil
}

// reauthorize checks an authorized client by the document in force. A connection belongs to one organisation, as its token and
// its rate do: a client that may go on only for another one is refused and connects again.
func (d *DocumentAuthorizer) reauthorize(a organisation.Allowed) (organisation.Allowed, error) {
	index, fresh := d.follower.CurrentDocument()
	switch next := organisation.Reauthorize(index, a, fresh).(type) {
	case organisation.Allowed:
		if next.Organisation != a.Organisation {
			return organisation.Allowed{}, port.Errorf(port.KeyRefused,
				"the client may no longer use this connection for organisation %s; connect again", a.Organisation)
		}
		return next, nil
	case organisation.Denied:
		return organisation.Allowed{}, next.Err()
	default:
		return organisation.Allowed{}, port.Errorf(port.Internal, "unknown authorization decision %T", next)
	}
}

// Token implements Authorizer.
func (d *DocumentAuthorizer) Token(s session.Session) string { return d.signer.Sign(s) }

func (d *DocumentAuthorizer) newClient(a organisation.Allowed, c Credentials) (Client, error) {
	s, err := d.session(a, c.Token)
	if err != nil {
		return Client{}, err
	}
	return Client{
		Organisation: a.Organisation,
		KeyID:        a.KeyID,
		Route:        a.Route,
		Read:         c.ReadOnly || a.Route.Kind == document.Read,
		Session:      s,
		claim:        a.Claim,
		readOnly:     c.ReadOnly,
	}, nil
}

// session returns the client's session. The organisation "open" never writes, so its sessions have no earlier writes that
// their reads must see.
func (d *DocumentAuthorizer) session(a organisation.Allowed, token string) (session.Session, error) {
	if a.Route.Open && token == "" {
		return session.Fresh(a.Organisation), nil
	}
	return d.signer.Verify(token, a.Organisation)
}

func authorizedAs(c Client) organisation.Allowed {
	return organisation.Allowed{Organisation: c.Organisation, KeyID: c.KeyID, Claim: c.claim, Route: c.Route}
}

// rateLimitName returns the name of the rate limit to which the client's statements count.
func rateLimitName(c Client) string {
	if c.KeyID == "" {
		return openRatePrefix + c.Route.Name
	}
	return ratePrefix + c.Organisation
}
