package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/session"
)

// ExplainTimeout is how long an explanation waits for the answers of the servers of a group, whose monitor may only just
// have been started.
const ExplainTimeout = 2 * time.Second

// ExplainRequest describes the client whose next request is explained. It does not include the client's key.
type ExplainRequest struct {
	Organisation string
	Route        string
	// Token is empty, "new", or a session token.
	Token string
}

// Explanation is the expected outcome of the request.
type Explanation struct {
	Outcome ExpectedOutcome
	// Reasons are complete sentences for the operator.
	Reasons []string
}

// ExpectedOutcome is one of ExpectServer, ExpectWait and ExpectRefusal.
type ExpectedOutcome interface{ expected() }

// ExpectServer means that the request would be sent to the server.
type ExpectServer struct{ Server string }

// ExpectWait means that the request would wait up to ServerSelectionTimeout and then be refused as "not run".
type ExpectWait struct{}

// ExpectRefusal means that the request would be refused at once.
type ExpectRefusal struct{ Kind port.Kind }

func (ExpectServer) expected()  {}
func (ExpectWait) expected()    {}
func (ExpectRefusal) expected() {}

// ExplainerConfig configures an Explainer.
type ExplainerConfig struct {
	DataCentre string
	Follower   *Follower
	Signer     session.Signer
	Timer      port.Timer
	Monitor    func(ctx context.Context, groupName string) (*Monitor, bool)
	// Candidates returns the instances to which this one would forward a client of the group. It may be nil.
	Candidates func(groupName string) []instance.Instance
}

// Explainer explains to operators where requests are sent and why. It uses the same decisions as the request path.
type Explainer struct {
	cfg ExplainerConfig
}

// NewExplainer returns an Explainer.
func NewExplainer(cfg ExplainerConfig) *Explainer { return &Explainer{cfg: cfg} }

// Explain explains the expected outcome of the client's next request.
func (e *Explainer) Explain(ctx context.Context, r ExplainRequest) Explanation {
	index, fresh := e.cfg.Follower.CurrentDocument()
	route, found := index.FindRoute(r.Route)
	if !found {
		return refused(port.UnknownRoute, "There is no route %q in revision %d of the document.", r.Route, index.Document().Revision)
	}
	organisation := r.Organisation
	if route.Open {
		organisation = document.OpenOrganisation
	}
	if _, known := index.FindOrganisation(organisation); !known && !route.Open {
		return refused(port.KeyRefused, "There is no organisation %q, so the key cannot be valid.", organisation)
	}
	if !fresh && !route.Open {
		return refused(port.NotFresh, "This data centre can hear neither the platform nor the other data centres, "+
			"so it cannot know which keys were withdrawn.")
	}
	s, err := e.session(route, organisation, r.Token)
	if err != nil {
		return refused(port.KindOf(err), "The session token is not usable: %s.", err)
	}
	m, ok := e.cfg.Monitor(ctx, route.Group)
	if !ok {
		return refused(port.NoPrimary, "Group %q is not known at this instance.", route.Group)
	}
	return e.explainSelection(ctx, m, route, s)
}

func (e *Explainer) session(route document.Route, organisation, token string) (session.Session, error) {
	if route.Open && token == "" {
		return session.Fresh(organisation), nil
	}
	return e.cfg.Signer.Verify(token, organisation)
}

func (e *Explainer) explainSelection(ctx context.Context, m *Monitor, route document.Route, s session.Session) Explanation {
	ctx, cancel := port.WithTimeout(ctx, e.cfg.Timer, ExplainTimeout)
	defer cancel()
	r := session.Request{
		Group:       route.Group,
		Read:        route.Kind == document.Read,
		AcceptedAge: route.AcceptedAge(),
		DataCentre:  e.cfg.DataCentre,
	}
	reasons := append(e.describeForwarding(route.Group), describeRequest(r, s))
	if _, known := s.Floor(r.Group); r.Read && !known {
		position, err := m.ReadPosition(ctx, allServersWait(r))
		if err != nil {
			return Explanation{ExpectWait{}, append(reasons, "No majority of the group's servers answers, so the newest data is not known.")}
		}
		r = r.WithReadPosition(position)
	}
	canSelect := func(v group.View) bool { return isSelected(session.SelectServer(r, s, v, e.cfg.Timer.Now())) }
	v, err := m.Await(ctx, canSelect)
	if err != nil {
		v = m.View()
	}
	outcome, reason := describeSelection(session.SelectServer(r, s, v, e.cfg.Timer.Now()))
	return Explanation{outcome, append(reasons, reason)}
}

// describeForwarding describes to which instance the client would be forwarded. It returns nil if this instance serves the
// client.
func (e *Explainer) describeForwarding(groupName string) []string {
	if e.cfg.Candidates == nil {
		return nil
	}
	candidates := e.cfg.Candidates(groupName)
	if len(candidates) == 0 {
		return nil
	}
	reason := fmt.Sprintf("This instance does not serve group %s; it forwards the caller to instance %s", groupName,
		candidates[0].Incarnation)
	if others := len(candidates) - 1; others > 0 {
		reason += fmt.Sprintf(", or else to one of %d more", others)
	}
	return []string{reason + "."}
}

func isSelected(p session.Selection) bool {
	switch p.(type) {
	case session.ToPrimary, session.ToServer:
		return true
	}
	return false
}

func describeRequest(r session.Request, s session.Session) string {
	if !r.Read {
		return "This route writes, and a write always goes to the primary."
	}
	floor, known := s.Floor(r.Group)
	switch {
	case !known:
		return "The client has no session token for this group, so its earlier writes are unknown: its read needs the newest data."
	case r.AcceptedAge > 0:
		return fmt.Sprintf("The read needs a server that has the session's own writes (position %s) and whose data is at most %s old.",
			floor, r.AcceptedAge)
	default:
		return fmt.Sprintf("The read needs a server that has the session's own writes (position %s).", floor)
	}
}

func describeSelection(p session.Selection) (ExpectedOutcome, string) {
	switch p := p.(type) {
	case session.ToPrimary:
		return ExpectServer{p.Server}, fmt.Sprintf("Server %s is the primary of term %d.", p.Server, p.Term)
	case session.ToServer:
		if p.Replica {
			return ExpectServer{p.Server}, fmt.Sprintf("Replica %s has what the read needs, and replicas are preferred.", p.Server)
		}
		return ExpectServer{p.Server}, fmt.Sprintf("No replica has what the read needs, so the primary %s serves it.", p.Server)
	case session.AwaitPrimary:
		return ExpectWait{}, fmt.Sprintf("The group has no primary that answers; the write waits up to %s and is refused \"not run\" then.",
			ServerSelectionTimeout)
	default:
		return ExpectWait{}, fmt.Sprintf("No server has what the read needs; it waits up to %s and is refused \"not run\" then.",
			ServerSelectionTimeout)
	}
}

func refused(kind port.Kind, format string, args ...any) Explanation {
	return Explanation{ExpectRefusal{kind}, []string{fmt.Sprintf(format, args...)}}
}
