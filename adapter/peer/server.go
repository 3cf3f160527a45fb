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

// Relay provides the document to other instances. entry.Follower implements it.
type Relay interface {
	HandleFollow(ctx context.Context, r entry.FollowRequest) entry.FollowResponse
	Install(ctx context.Context, d document.Document) (document.Revision, error)
}

// Server handles the calls of other instances. Use NewServer; a zero Server rejects every call.
type Server struct {
	relay          Relay
	limits         Limits
	forwardHandler ForwardHandler
	credential     string
	slots          chan struct{}
	encoded        atomic.Pointer[encodedDocument]
}

var _ peerv1connect.RelayServiceHandler = (*Server)(nil)

// encodedDocument caches the JSON of a document, because a relay sends each revision to all of its followers.
type encodedDocument struct {
	revision document.Revision
	data     []byte
}

// Limits provides this instance's share of each rate limit.
type Limits interface {
	entry.RateLimit
	entry.BatchIssuer
}

// NewServer returns a server that accepts calls from instances with the same secret. Take takes statements and batches
// from limits.
func NewServer(relay Relay, limits Limits, secret []byte) (*Server, error) {
	cred, err := credential(secret)
	if err != nil {
		return nil, err
	}
	return &Server{relay: relay, limits: limits, credential: cred, slots: make(chan struct{}, MaxConcurrentCalls)}, nil
}

// Handler returns the HTTP handler of the server. Calls above MaxConcurrentCalls are rejected immediately.
func (s *Server) Handler() http.Handler {
	_, rpc := peerv1connect.NewRelayServiceHandler(s,
		connect.WithReadMaxBytes(MaxMessageSize),
		connect.WithSendMaxBytes(MaxMessageSize),
		connect.WithCompressMinBytes(compressMinBytes),
	)
	return s.forwardRoutes(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.isAuthenticated(r) {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
			rpc.ServeHTTP(w, r)
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
}

// HTTPServer returns an HTTP server for the handler, with limits on headers and durations. The caller runs and closes it.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: entry.DocumentTimeout,
		ReadTimeout:       entry.EditCallTimeout,
		WriteTimeout:      entry.DocumentPollWait + entry.EditCallTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		// HTTP/1.1 is used by forwarding connections, which are upgraded, and by instances of an earlier version.
		Protocols: protocols((*http.Protocols).SetHTTP1, (*http.Protocols).SetUnencryptedHTTP2),
	}
}

// Follow returns the current document when its revision is greater than the known one, or else after a wait.
func (s *Server) Follow(
	ctx context.Context, req *connect.Request[peerv1.FollowRequest],
) (*connect.Response[peerv1.FollowResponse], error) {
	request := entry.FollowRequest{
		KnownRevision: document.Revision(req.Msg.GetKnownRevision()),
		MaxWait:       fromMillis(uint64(req.Msg.GetWaitMs())),
	}
	response := s.relay.HandleFollow(ctx, request)
	res := &peerv1.FollowResponse{
		Revision: uint64(response.Revision),
		HeldMs:   uint32(min(response.WaitTime, entry.DocumentPollWait).Milliseconds()),
	}
	if response.Document.Revision > 0 {
		data, err := s.encode(response.Document)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		res.Document = data
	}
	if response.Patch.Revision > 0 {
		data, violations := document.EncodePatch(response.Patch)
		if len(violations) > 0 {
			return nil, connect.NewError(connect.CodeInternal, entry.EditViolations(violations))
		}
		res.Patch = data
	}
	if response.Confirmed {
		age := ceilMillis(response.Age)
		res.AgeMs = &age
	}
	for _, v := range response.Attestations {
		res.Vouches = append(res.Vouches, &peerv1.Vouch{DataCentre: v.DataCentre, AgeMs: ceilMillis(v.Age)})
	}
	return connect.NewResponse(res), nil
}

// Offer installs a document and returns the resulting revision.
func (s *Server) Offer(
	ctx context.Context, req *connect.Request[peerv1.OfferRequest],
) (*connect.Response[peerv1.OfferResponse], error) {
	d, violations := document.Parse(req.Msg.GetDocument())
	if len(violations) > 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, entry.EditViolations(violations))
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

// encode returns the document's JSON. It is cached until another revision is encoded.
func (s *Server) encode(d document.Document) ([]byte, error) {
	if e := s.encoded.Load(); e != nil && e.revision == d.Revision {
		return e.data, nil
	}
	data, violations := document.Encode(d)
	if len(violations) > 0 {
		return nil, port.Wrapf(entry.EditViolations(violations), port.Internal, "cannot encode revision %d", d.Revision)
	}
	s.encoded.Store(&encodedDocument{revision: d.Revision, data: data})
	return data, nil
}
