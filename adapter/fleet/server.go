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

// readHeaderTimeout is how long an instance may take to send the headers of a call.
const readHeaderTimeout = 2 * time.Second

// maxLoanStreams is the maximum number of concurrent streams, and so of loans, of one borrower. It is far above the
// connection limit of any server.
const maxLoanStreams = 2048

// Server handles calls from other instances. Use NewServer, then call Run.
type Server struct {
	service *proxy.PeerService
	loans   loanService
	rates   rateReserve
	socket  net.Listener
	http    *http.Server
}

var _ fleetv1connect.FleetServiceHandler = (*Server)(nil)

// NewServer returns a server on the socket. A call that panics is recorded and ends with an error.
func NewServer(service *proxy.PeerService, l loanService, r rateReserve, socket net.Listener, recorder proxy.Recorder) *Server {
	s := &Server{service: service, loans: l, rates: r, socket: socket}
	_, handler := fleetv1connect.NewFleetServiceHandler(s, connect.WithReadMaxBytes(maxMessageSize),
		connect.WithRecover(func(_ context.Context, call connect.Spec, _ http.Header, reason any) error {
			recorder.Record(proxy.NewPeerPanicked("instance", reason))
			return connect.NewError(connect.CodeInternal, port.Errorf(port.Internal, "call %s panicked", call.Procedure))
		}))
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.http = &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: 2 * idleConnTimeout, Protocols: &protocols,
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: maxLoanStreams},
	}
	return s
}

// Run serves calls until Close.
func (s *Server) Run() { _ = s.http.Serve(s.socket) }

// Close closes the socket and all connections.
func (s *Server) Close() { _ = s.http.Close() }

// Exchange sends newer state to an instance.
func (s *Server) Exchange(
	ctx context.Context, req *connect.Request[fleetv1.ExchangeRequest],
) (*connect.Response[fleetv1.ExchangeResponse], error) {
	m := req.Msg
	response := s.service.Exchange(ctx, proxy.ExchangeRequest{
		From: decodeMember(m.GetFrom()), KnownRevision: document.Revision(m.GetKnownRevision()), KnownRecords: m.GetKnownRecords(),
		KnownServers: port.Version(m.GetKnownServers()), Wait: milliseconds(uint64(m.GetWaitMs())), KnownMaintenance: decodeVersion(m.KnownMaintenance),
	})
	res, err := encodeExchangeResponse(response)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(res), nil
}

// Suspend stops the use of a group's primary.
func (s *Server) Suspend(
	ctx context.Context, req *connect.Request[fleetv1.SuspendRequest],
) (*connect.Response[fleetv1.SuspendResponse], error) {
	record, err := primacy.ParseRecord(req.Msg.GetRecord().GetData())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	settled := s.service.Suspend(ctx, proxy.StoredPrimacy{
		Record: record, Version: port.Version(req.Msg.GetRecord().GetVersion()),
	})
	return connect.NewResponse(&fleetv1.SuspendResponse{SettledVersion: uint64(settled)}), nil
}

// Notify requests a fetch of the newest records from the calling member.
func (s *Server) Notify(
	_ context.Context, req *connect.Request[fleetv1.NotifyRequest],
) (*connect.Response[fleetv1.NotifyResponse], error) {
	s.service.Notify(decodeMember(req.Msg.GetFrom()))
	return connect.NewResponse(&fleetv1.NotifyResponse{}), nil
}

// Extend reports whether this instance knows of no newer record.
func (s *Server) Extend(
	_ context.Context, req *connect.Request[fleetv1.ExtendRequest],
) (*connect.Response[fleetv1.ExtendResponse], error) {
	versions := make(map[string]port.Version, len(req.Msg.GetVersions()))
	for name, version := range req.Msg.GetVersions() {
		versions[name] = port.Version(version)
	}
	return connect.NewResponse(&fleetv1.ExtendResponse{Agreed: s.service.Extend(versions)}), nil
}

// Survey reports when a server last answered this instance.
func (s *Server) Survey(
	ctx context.Context, req *connect.Request[fleetv1.SurveyRequest],
) (*connect.Response[fleetv1.SurveyResponse], error) {
	response := s.service.Survey(ctx, proxy.SurveyRequest{
		Server: req.Msg.GetServer(), Probe: req.Msg.GetProbe(), Suspect: req.Msg.GetDoubt(), WantsLoad: req.Msg.GetWantsLoad(),
	})
	res := &fleetv1.SurveyResponse{Incarnation: response.Incarnation, Load: encodePoolLoad(response.Load)}
	if response.HasAnswered {
		age := ceilMilliseconds(response.Age)
		res.HeardMs = &age
	}
	return connect.NewResponse(res), nil
}

// encodeExchangeResponse rounds ages up and the time held down, so that no state appears newer than it is.
func encodeExchangeResponse(r proxy.ExchangeResponse) (*fleetv1.ExchangeResponse, error) {
	m := &fleetv1.ExchangeResponse{
		HeldMs: uint32(r.Held.Milliseconds()), DocumentAgeMs: ceilMilliseconds(r.DocumentAge), RecordsVersion: r.RecordsVersion,
		RecordsAgeMs: ceilMilliseconds(r.RecordsAge), ReadAgeMs: ceilMilliseconds(r.ReadAge), ServersVersion: uint64(r.ServersVersion), Fresh: r.Fresh,
		Maintenance: encodeMaintenance(r.Maintenance), ServersAgeMs: ceilMilliseconds(r.ServersAge),
		MaintenanceAgeMs: ceilMilliseconds(r.MaintenanceAge), Path: r.Path,
	}
	if r.Document != nil {
		data, err := json.Marshal(r.Document)
		if err != nil {
			return nil, port.Wrapf(err, port.Internal, "cannot encode the document")
		}
		m.Document = data
	}
	for _, o := range r.Records {
		m.Records = append(m.Records, &fleetv1.Record{Name: o.Name, Version: uint64(o.Version), Data: o.Data})
	}
	for _, l := range r.Servers {
		m.Servers = append(m.Servers, encodeServer(l))
	}
	return m, nil
}

func encodeServer(l dispatch.Listing) *fleetv1.Server {
	s := &fleetv1.Server{
		Name: l.Name, Group: l.Group, Address: l.Address, DataCentre: l.DataCentre, Primary: l.Role == dispatch.Primary,
		Slots: int32(l.Slots), Departing: l.Draining, Born: l.Incarnation,
	}
	if l.Cold {
		s.Cold = &l.Cold
	}
	return s
}
