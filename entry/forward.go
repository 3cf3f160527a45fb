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
	// ConnectTimeout is how long a serving instance is looked for before an instance serves the caller itself.
	ConnectTimeout = 2 * time.Second
	// ForwardTimeout is how long one serving instance may take to answer an opening: RevisionWait and the way there and back.
	ForwardTimeout = RevisionWait + 500*time.Millisecond
)

// Opening is what a serving instance is told of a caller that another instance admitted.
type Opening struct {
	Organisation string
	// KeyID and KeyHash name the key that was presented; both are empty on an open route.
	KeyID    string
	KeyHash  string
	Route    string
	ReadOnly bool
	// Token is the newest session token. Carried is false when the session may have written anything elsewhere; its
	// reads then see the newest data whatever its token says.
	Token   string
	Carried bool
	// Revision is the one of the document by which the caller was admitted or rechecked.
	Revision document.Revision
}

// WithToken returns the opening with a newer session token.
func (o Opening) WithToken(token string) Opening {
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
	Forward(ctx context.Context, address string, o Opening) (ForwardConn, error)
	// Alive fails when the instance does not answer.
	Alive(ctx context.Context, address string) error
}

// ForwardGate admits callers that another instance admitted before.
type ForwardGate interface {
	// Opening returns what a serving instance has to be told of the caller.
	Opening(c Caller) Opening
	// Resume admits the caller of an opening by the document in force, which is at least of the opening's revision.
	// Errors are those of Gate.Admit, and NotFresh when the revision does not come in time.
	Resume(ctx context.Context, o Opening) (Caller, error)
}

var _ ForwardGate = (*DocumentGate)(nil)

// Opening returns what a serving instance has to be told of the caller.
func (g *DocumentGate) Opening(c Caller) Opening {
	o := Opening{
		Organisation: c.Organisation, KeyID: c.KeyID, Route: c.Route.Name, ReadOnly: c.readOnly,
		Token: g.signer.Sign(c.Session), Carried: c.Session.IsCarried(), Revision: g.follower.Document().Revision,
	}
	if c.KeyID != "" {
		o.KeyHash = c.keyHash.String()
	}
	return o
}

// Resume admits the caller of an opening.
func (g *DocumentGate) Resume(ctx context.Context, o Opening) (Caller, error) {
	limited, cancel := port.WithTimeout(ctx, g.follower.cfg.Timer, RevisionWait)
	defer cancel()
	if _, err := g.follower.Wait(limited, o.Revision); err != nil {
		return Caller{}, port.Wrapf(err, port.NotFresh, "revision %d did not come in time", o.Revision)
	}
	credentials := organisation.Admitted{Organisation: o.Organisation, KeyID: o.KeyID}
	credentials.Route.Name = o.Route
	if o.KeyID != "" {
		hash, err := organisation.ParseKeyHash(o.KeyHash)
		if err != nil {
			return Caller{}, port.Wrapf(err, port.KeyRefused, "the opening has an invalid key hash")
		}
		credentials.KeyHash = hash
	}
	rules, fresh := g.follower.Rules()
	switch a := organisation.Recheck(rules, credentials, fresh).(type) {
	case organisation.Admitted:
		return g.newForwardedClient(a, o)
	case organisation.Refused:
		return Caller{}, a.Err()
	default:
		return Caller{}, port.Failf(port.Internal, "admission has an unknown outcome %T", a)
	}
}

func (g *DocumentGate) newForwardedClient(a organisation.Admitted, o Opening) (Caller, error) {
	if a.KeyID == "" && a.Organisation != document.OpenOrganisation {
		return Caller{}, port.Failf(port.KeyRefused, "the opening names no key of organisation %s", a.Organisation)
	}
	c, err := g.newClient(a, Credentials{Token: o.Token, ReadOnly: o.ReadOnly})
	if err == nil && !o.Carried {
		c.Session = c.Session.WithoutOrigin()
	}
	return c, err
}
