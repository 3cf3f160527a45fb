package entry

import (
	"context"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/organisation"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/session"
)

// DocumentAuthorizer decides by the document in force who gets in and how often.
type DocumentAuthorizer struct {
	follower *Follower
	signer   session.Signer
	limit    RateLimit
}

var _ Authorizer = (*DocumentAuthorizer)(nil)

// NewDocumentAuthorizer returns a gate over the follower's document.
func NewDocumentAuthorizer(follower *Follower, signer session.Signer, limit RateLimit) *DocumentAuthorizer {
	return &DocumentAuthorizer{follower: follower, signer: signer, limit: limit}
}

// Authorize checks a caller at start-up.
func (g *DocumentAuthorizer) Authorize(_ context.Context, c Credentials) (Client, error) {
	rules, fresh := g.follower.CurrentDocument()
	presented := organisation.Credentials{Organisation: c.Organisation, Key: c.Key, Route: c.Route}
	switch a := organisation.Authorize(rules, presented, fresh).(type) {
	case organisation.Allowed:
		return g.newClient(a, c)
	case organisation.Denied:
		return Client{}, a.Err()
	default:
		return Client{}, port.Errorf(port.Internal, "admission has an unknown outcome %T", a)
	}
}

// AuthorizeStatement checks the caller's key again and takes one statement from the rate.
func (g *DocumentAuthorizer) AuthorizeStatement(ctx context.Context, c Client) (Client, error) {
	rules, fresh := g.follower.CurrentDocument()
	switch a := organisation.Reauthorize(rules, authorizedAs(c), fresh).(type) {
	case organisation.Allowed:
		c.Route = a.Route
		c.Read = c.readOnly || a.Route.Kind == document.Read
	case organisation.Denied:
		return Client{}, a.Err()
	}
	if err := g.limit.Take(ctx, rateLimitName(c)); err != nil {
		return Client{}, err
	}
	return c, nil
}

// Token returns the text of the session's token.
func (g *DocumentAuthorizer) Token(s session.Session) string { return g.signer.Sign(s) }

func (g *DocumentAuthorizer) newClient(a organisation.Allowed, c Credentials) (Client, error) {
	s, err := g.session(a, c.Token)
	if err != nil {
		return Client{}, err
	}
	return Client{
		Organisation: a.Organisation,
		KeyID:        a.KeyID,
		Route:        a.Route,
		Read:         c.ReadOnly || a.Route.Kind == document.Read,
		Session:      s,
		keyHash:      a.KeyHash,
		readOnly:     c.ReadOnly,
	}, nil
}

// session returns the caller's session. Nobody writes for the organisation "open", so its sessions have no earlier
// writes to see.
func (g *DocumentAuthorizer) session(a organisation.Allowed, token string) (session.Session, error) {
	if a.Route.Open && token == "" {
		return session.Fresh(a.Organisation), nil
	}
	return g.signer.Verify(token, a.Organisation)
}

func authorizedAs(c Client) organisation.Allowed {
	return organisation.Allowed{Organisation: c.Organisation, KeyID: c.KeyID, KeyHash: c.keyHash, Route: c.Route}
}

// rateLimitName returns the name of the limit that the caller's statements count for.
func rateLimitName(c Client) string {
	if c.KeyID == "" {
		return openRatePrefix + c.Route.Name
	}
	return ratePrefix + c.Organisation
}
