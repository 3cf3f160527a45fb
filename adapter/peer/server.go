package peer

import (
	"context"
	"net/http"
	"sync/atomic"

	"connectrpc.com/connect"

	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	peerv1 "github.com/rhubarbwick/rhubarbwick/gen/rhubarbwick/peer/v1"
	"github.com/rhubarbwick/rhubarbwick/gen/rhubarbwick/peer/v1/peerv1connect"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Relay answers other instances. entry.Follower implements it.
type Relay interface {
	HandleFollow(ctx context.Context, poll entry.FollowRequest) entry.FollowResponse
	Install(ctx context.Context, d document.Document) (document.Revision, error)
}

// Server answers other instances over HTTP. Use NewServer; a zero Server refuses every call.
type Server struct {
	relay      Relay
	limits     Limits
	receiver   Receiver
	credential string
	calls      chan struct{}
	encoded    atomic.Pointer[encodedDocument]
}

var _ peerv1connect.RelayServiceHandler = (*Server)(nil)

// encodedDocument is the JSON of the newest document that was sent, kept for the other followers.
type encodedDocument struct {
	revision document.Revision
	data     []byte
}

// Limits is this instance's part of the rate limits.
type Limits interface {
	entry.RateLimit
	entry.BatchIssuer
}

// NewServer returns a server for instances that know the fleet's secret. Statements and batches are taken
// from limits.
func NewServer(relay Relay, limits Limits, secret []byte) (*Server, error) {
	shown, err := credential(secret)
	if err != nil {
		return nil, err
	}
	return &Server{relay: relay, limits: limits, credential: shown, calls: make(chan struct{}, MaxCalls)}, nil
}

// Handler returns the handler of the server's calls. Calls beyond MaxCalls are refused at once.
func (s *Server) Handler() http.Handler {
	_, calls := peerv1connect.NewRelayServiceHandler(s,
		connect.WithReadMaxBytes(MaxMessage),
		connect.WithSendMaxBytes(MaxMessage),
		connect.WithCompressMinBytes(compressFrom),
	)
	return s.forwarding(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.shows(r) {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		select {
		case s.calls <- struct{}{}:
			defer func() { <-s.calls }()
			calls.ServeHTTP(w, r)
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
}

// HTTPServer returns a server for the handler with bounded headers and times. The caller serves and closes it.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: entry.DocumentTimeout,
		ReadTimeout:       entry.EditCallTimeout,
		WriteTimeout:      entry.DocumentPollWait + entry.EditCallTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		// HTTP/1.1 stays for connections that are upgraded and for instances of an earlier version.
		Protocols: protocols((*http.Protocols).SetHTTP1, (*http.Protocols).SetUnencryptedHTTP2),
	}
}

// Follow answers a poll.
func (s *Server) Follow(
	ctx context.Context, req *connect.Request[peerv1.FollowRequest],
) (*connect.Response[peerv1.FollowResponse], error) {
	poll := entry.FollowRequest{
		KnownRevision: document.Revision(req.Msg.GetKnownRevision()),
		MaxWait:       millis(uint64(req.Msg.GetWaitMs())),
	}
	report := s.relay.HandleFollow(ctx, poll)
	res := &peerv1.FollowResponse{
		Revision: uint64(report.Revision),
		HeldMs:   uint32(min(report.WaitTime, entry.DocumentPollWait).Milliseconds()),
	}
	if report.Document.Revision > 0 {
		data, err := s.encode(report.Document)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		res.Document = data
	}
	if report.Patch.Revision > 0 {
		data, faults := document.EncodePatch(report.Patch)
		if len(faults) > 0 {
			return nil, connect.NewError(connect.CodeInternal, entry.EditViolations(faults))
		}
		res.Patch = data
	}
	if report.Confirmed {
		age := ceilMillis(report.Age)
		res.AgeMs = &age
	}
	for _, v := range report.Attestations {
		res.Vouches = append(res.Vouches, &peerv1.Vouch{DataCentre: v.DataCentre, AgeMs: ceilMillis(v.Age)})
	}
	return connect.NewResponse(res), nil
}

// Offer takes a document.
func (s *Server) Offer(
	ctx context.Context, req *connect.Request[peerv1.OfferRequest],
) (*connect.Response[peerv1.OfferResponse], error) {
	d, faults := document.Parse(req.Msg.GetDocument())
	if len(faults) > 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, entry.EditViolations(faults))
	}
	revision, err := s.relay.Install(ctx, d)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peerv1.OfferResponse{Revision: uint64(revision)}), nil
}

// Take takes one statement or a batch from this instance's share.
func (s *Server) Take(
	ctx context.Context, req *connect.Request[peerv1.TakeRequest],
) (*connect.Response[peerv1.TakeResponse], error) {
	res := &peerv1.TakeResponse{}
	var err error
	if batch := req.Msg.GetBatch(); batch != nil {
		var n allotment.Statements
		n, err = s.limits.IssueBatch(ctx, entry.BatchRequest{
			Limit: req.Msg.GetLimit(), Borrower: batch.GetTaker(), Number: batch.GetNumber(), Finished: batch.GetFinished(),
			Statements: allotment.Statements(batch.GetStatements()) * allotment.Statement,
		})
		res.Statements = uint32(n / allotment.Statement)
	} else {
		err = s.limits.Take(ctx, req.Msg.GetLimit())
	}
	if err != nil && port.KindOf(err) != port.OverRate {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	res.Admitted = err == nil
	return connect.NewResponse(res), nil
}

// encode returns the document's JSON, which is made once for each revision.
func (s *Server) encode(d document.Document) ([]byte, error) {
	if e := s.encoded.Load(); e != nil && e.revision == d.Revision {
		return e.data, nil
	}
	data, faults := document.Encode(d)
	if len(faults) > 0 {
		return nil, port.Wrapf(entry.EditViolations(faults), port.Internal, "revision %d cannot be sent", d.Revision)
	}
	s.encoded.Store(&encodedDocument{revision: d.Revision, data: data})
	return data, nil
}
