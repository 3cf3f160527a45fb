package fleet

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	fleetv1 "github.com/rhubarbwick/rhubarbwick/gen/rhubarbwick/fleet/v1"
	"github.com/rhubarbwick/rhubarbwick/gen/rhubarbwick/fleet/v1/fleetv1connect"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/primacy"
	"github.com/rhubarbwick/rhubarbwick/proxy"
)

// headerTimeout is how long an instance may take to send the header of a call.
const headerTimeout = 2 * time.Second

// maxLoans bounds the loans of one borrower. It is far above the connections of any server.
const maxLoans = 2048

// Server answers other instances. Use NewServer, then call Run.
type Server struct {
	hub    *proxy.PeerService
	lender lender
	rates  rateLender
	socket net.Listener
	http   *http.Server
}

var _ fleetv1connect.FleetServiceHandler = (*Server)(nil)

// NewServer returns a server on the socket.
func NewServer(hub *proxy.PeerService, l lender, r rateLender, socket net.Listener) *Server {
	s := &Server{hub: hub, lender: l, rates: r, socket: socket}
	_, handler := fleetv1connect.NewFleetServiceHandler(s, connect.WithReadMaxBytes(maxMessage))
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.http = &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: 2 * idleTime, Protocols: &protocols,
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: maxLoans},
	}
	return s
}

// Run answers until Close.
func (s *Server) Run() { _ = s.http.Serve(s.socket) }

// Close ends the server and its connections.
func (s *Server) Close() { _ = s.http.Close() }

// Exchange answers an instance.
func (s *Server) Exchange(
	ctx context.Context, req *connect.Request[fleetv1.ExchangeRequest],
) (*connect.Response[fleetv1.ExchangeResponse], error) {
	m := req.Msg
	r := s.hub.Exchange(ctx, proxy.ExchangeRequest{
		From: decodeMember(m.GetFrom()), KnownRevision: document.Revision(m.GetKnownRevision()), KnownRecords: m.GetKnownRecords(),
		KnownServers: port.Version(m.GetKnownServers()), Wait: millis(uint64(m.GetWaitMs())),
	})
	res, err := encodeReport(r)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(res), nil
}

// Suspend stops using a group's primary.
func (s *Server) Suspend(
	ctx context.Context, req *connect.Request[fleetv1.SuspendRequest],
) (*connect.Response[fleetv1.SuspendResponse], error) {
	record, err := primacy.ParseRecord(req.Msg.GetRecord().GetData())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	settled := s.hub.Suspend(ctx, proxy.StoredPrimacy{
		Record: record, Version: port.Version(req.Msg.GetRecord().GetVersion()),
	})
	return connect.NewResponse(&fleetv1.SuspendResponse{SettledVersion: uint64(settled)}), nil
}

// Notify has the newest records asked for at a member.
func (s *Server) Notify(
	_ context.Context, req *connect.Request[fleetv1.NotifyRequest],
) (*connect.Response[fleetv1.NotifyResponse], error) {
	s.hub.Notify(decodeMember(req.Msg.GetFrom()))
	return connect.NewResponse(&fleetv1.NotifyResponse{}), nil
}

// Extend tells whether this instance knows of no newer record.
func (s *Server) Extend(
	_ context.Context, req *connect.Request[fleetv1.ExtendRequest],
) (*connect.Response[fleetv1.ExtendResponse], error) {
	versions := make(map[string]port.Version, len(req.Msg.GetVersions()))
	for name, version := range req.Msg.GetVersions() {
		versions[name] = port.Version(version)
	}
	return connect.NewResponse(&fleetv1.ExtendResponse{Agreed: s.hub.Extend(versions)}), nil
}

// Survey tells how long ago a server answered this instance.
func (s *Server) Survey(
	ctx context.Context, req *connect.Request[fleetv1.SurveyRequest],
) (*connect.Response[fleetv1.SurveyResponse], error) {
	h := s.hub.Survey(ctx, proxy.SurveyRequest{
		Server: req.Msg.GetServer(), Probe: req.Msg.GetProbe(), Suspect: req.Msg.GetDoubt(),
	})
	res := &fleetv1.SurveyResponse{Incarnation: h.Incarnation}
	if h.HasAnswered {
		age := roundUp(h.Age)
		res.HeardMs = &age
	}
	return connect.NewResponse(res), nil
}

// encodeReport rounds ages up and the time held down, so that nothing looks younger than it is.
func encodeReport(r proxy.ExchangeResponse) (*fleetv1.ExchangeResponse, error) {
	m := &fleetv1.ExchangeResponse{
		HeldMs: uint32(r.Held.Milliseconds()), DocumentAgeMs: roundUp(r.DocumentAge), RecordsVersion: r.RecordsVersion,
		RecordsAgeMs: roundUp(r.RecordsAge), ReadAgeMs: roundUp(r.ReadAge), ServersVersion: uint64(r.ServersVersion), Fresh: r.Fresh,
	}
	if r.Document != nil {
		data, err := json.Marshal(r.Document)
		if err != nil {
			return nil, port.Wrapf(err, port.Internal, "the document cannot be encoded")
		}
		m.Document = data
	}
	for _, o := range r.Records {
		m.Records = append(m.Records, &fleetv1.Record{Name: o.Name, Version: uint64(o.Version), Data: o.Data})
	}
	for _, l := range r.Servers {
		m.Servers = append(m.Servers, &fleetv1.Server{
			Name: l.Name, Group: l.Group, Address: l.Address, DataCentre: l.DataCentre, Primary: l.Role == dispatch.Primary,
			Slots: int32(l.Slots), Departing: l.Draining, Born: l.Incarnation,
		})
	}
	return m, nil
}
