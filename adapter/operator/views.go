package operator

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	operatorv1 "github.com/rhubarbwick/rhubarbwick/gen/rhubarbwick/operator/v1"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// History returns the latest changes.
func (s *Server) History(
	ctx context.Context, req *connect.Request[operatorv1.HistoryRequest],
) (*connect.Response[operatorv1.HistoryResponse], error) {
	limit := int(req.Msg.GetLimit())
	if limit == 0 {
		limit = document.MaxHistory
	}
	changes, err := s.cfg.Editor.Changes(ctx, limit)
	if err != nil {
		return nil, toConnectError(err)
	}
	res := &operatorv1.HistoryResponse{}
	for _, c := range changes {
		res.Changes = append(res.Changes, &operatorv1.Change{
			Revision: uint64(c.Revision), Author: c.Author, Summary: c.Summary, At: c.At.Format(time.RFC3339), Id: c.ID,
		})
	}
	return connect.NewResponse(res), nil
}

// Groups returns the state of one group or of all groups as this instance sees it.
func (s *Server) Groups(
	ctx context.Context, req *connect.Request[operatorv1.GroupsRequest],
) (*connect.Response[operatorv1.GroupsResponse], error) {
	d := s.cfg.Follower.Document()
	res := &operatorv1.GroupsResponse{}
	if name := req.Msg.GetName(); name != "" {
		g, found := d.FindGroup(name)
		if !found {
			return nil, toConnectError(port.Errorf(port.NotFound, "group %q does not exist", name))
		}
		res.Groups = append(res.Groups, encodeGroup(s.cfg.Groups.Overview(ctx, g)))
		return connect.NewResponse(res), nil
	}
	for _, o := range s.cfg.Groups.Overviews(d) {
		res.Groups = append(res.Groups, encodeGroup(o))
	}
	return connect.NewResponse(res), nil
}

// Instances returns the listed instances with their revisions.
func (s *Server) Instances(
	ctx context.Context, _ *connect.Request[operatorv1.InstancesRequest],
) (*connect.Response[operatorv1.InstancesResponse], error) {
	res := &operatorv1.InstancesResponse{}
	for _, status := range s.cfg.Survey.Statuses(ctx) {
		res.Instances = append(res.Instances, encodeInstance(status))
	}
	return connect.NewResponse(res), nil
}

// Explain returns where a request would currently be routed, and why.
func (s *Server) Explain(
	ctx context.Context, req *connect.Request[operatorv1.ExplainRequest],
) (*connect.Response[operatorv1.ExplainResponse], error) {
	explanation := s.cfg.Explainer.Explain(ctx, entry.ExplainRequest{
		Organisation: req.Msg.GetOrganisation(), Route: req.Msg.GetRoute(), Token: req.Msg.GetToken(),
	})
	res := &operatorv1.ExplainResponse{Reasons: explanation.Reasons}
	switch o := explanation.Outcome.(type) {
	case entry.ExpectServer:
		res.Server = o.Server
	case entry.ExpectRefusal:
		res.Kind = string(o.Kind)
	case entry.ExpectWait:
	}
	return connect.NewResponse(res), nil
}

func encodeGroup(o entry.GroupOverview) *operatorv1.Group {
	g := &operatorv1.Group{Name: o.Group, Monitored: o.Monitored, Primary: o.Primary, Term: uint64(o.Term)}
	for _, s := range o.Servers {
		g.Servers = append(g.Servers, encodeServer(s))
	}
	return g
}

func encodeServer(s entry.ServerOverview) *operatorv1.GroupServer {
	msg := &operatorv1.GroupServer{
		Name:       s.Server.Name,
		Address:    s.Server.Address,
		DataCentre: s.Server.DataCentre,
		Departing:  s.Server.Departing,
	}
	if !s.Answered {
		return msg
	}
	msg.Role = string(s.Role)
	msg.Term = uint64(s.Term)
	msg.Position = s.Position.String()
	msg.SeenMs = milliseconds(s.TimeSinceAnswer, true)
	msg.AgeMs = milliseconds(s.Age, s.AgeKnown)
	if s.LagKnown {
		msg.LagEntries = &s.Lag
	}
	return msg
}

func encodeInstance(s entry.InstanceStatus) *operatorv1.Instance {
	msg := &operatorv1.Instance{
		Id:         s.Instance.Incarnation,
		Address:    s.Instance.Address,
		DataCentre: s.Instance.DataCentre,
		State:      string(s.Instance.State),
		Asked:      s.Queried,
		AgeMs:      milliseconds(s.Age, s.AgeKnown),
	}
	if s.Answered {
		revision := uint64(s.Revision)
		msg.Revision = &revision
	}
	return msg
}

func milliseconds(d time.Duration, known bool) *uint64 {
	if !known {
		return nil
	}
	ms := uint64(max(d, 0) / time.Millisecond)
	return &ms
}
