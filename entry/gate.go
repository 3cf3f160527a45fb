package entry

import (
	"context"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/organisation"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/session"
)

// DocumentGate decides by the document in force who gets in and how often.
type DocumentGate struct {
	follower *Follower
	signer   session.Signer
	limit    RateLimit
}

var _ Gate = (*DocumentGate)(nil)

// NewDocumentGate returns a gate over the follower's document.
func NewDocumentGate(follower *Follower, signer session.Signer, limit RateLimit) *DocumentGate {
	return &DocumentGate{follower: follower, signer: signer, limit: limit}
}

// Admit checks a caller at start-up.
func (g *DocumentGate) Admit(_ context.Context, c Credentials) (Caller, error) {
	rules, fresh := g.follower.Rules()
	presented := organisation.Credentials{Organisation: c.Organisation, Key: c.Key, Route: c.Route}
	switch a := organisation.Admit(rules, presented, fresh).(type) {
	case organisation.Admitted:
		return g.newClient(a, c)
	case organisation.Refused:
		return Caller{}, a.Err()
	default:
		return Caller{}, port.Failf(port.Internal, "admission has an unknown outcome %T", a)
	}
}

// Spend checks the caller's key again and takes one statement from the rate.
func (g *DocumentGate) Spend(ctx context.Context, c Caller) (Caller, error) {
	rules, fresh := g.follower.Rules()
	switch a := organisation.Recheck(rules, authorizedAs(c), fresh).(type) {
	case organisation.Admitted:
		c.Route = a.Route
		c.Read = c.readOnly || a.Route.Kind == document.Read
	case organisation.Refused:
		return Caller{}, a.Err()
	}
	if err := g.limit.Take(ctx, rateLimitName(c)); err != nil {
		return Caller{}, err
	}
	return c, nil
}

// Token returns the text of the session's token.
func (g *DocumentGate) Token(s session.Session) string { return g.signer.Sign(s) }

func (g *DocumentGate) newClient(a organisation.Admitted, c Credentials) (Caller, error) {
	s, err := g.session(a, c.Token)
	if err != nil {
		return Caller{}, err
	}
	return Caller{
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
func (g *DocumentGate) session(a organisation.Admitted, token string) (session.Session, error) {
	if a.Route.Open && token == "" {
		return session.Fresh(a.Organisation), nil
	}
	return g.signer.Check(token, a.Organisation)
}

func authorizedAs(c Caller) organisation.Admitted {
	return organisation.Admitted{Organisation: c.Organisation, KeyID: c.KeyID, KeyHash: c.keyHash, Route: c.Route}
}

// rateLimitName returns the name of the limit that the caller's statements count for.
func rateLimitName(c Caller) string {
	if c.KeyID == "" {
		return openRatePrefix + c.Route.Name
	}
	return ratePrefix + c.Organisation
}
