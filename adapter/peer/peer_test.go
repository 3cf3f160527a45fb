package peer_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/rhubarbwick/rhubarbwick/adapter/peer"
	"github.com/rhubarbwick/rhubarbwick/allotment"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/port"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var secret = []byte(strings.Repeat("s", peer.MinSecretSize))

// Guards against a response that loses a field in transit, or whose age is rounded down so that it appears fresher.
func TestFollow(t *testing.T) {
	t.Run("all fields", func(t *testing.T) {
		r := &fakeRelay{response: entry.FollowResponse{
			Revision: 2, Document: documentWithRevision(2), Confirmed: true, Age: 1500*time.Microsecond + 1, WaitTime: 1500 * time.Microsecond,
			Attestations: []entry.Attestation{{DataCentre: "dc1", Age: time.Second}},
		}}
		got, err := connect(t, r).follow(t, entry.FollowRequest{KnownRevision: 1, MaxWait: 700 * time.Millisecond})
		require.NoError(t, err)
		require.Equal(t, entry.FollowRequest{KnownRevision: 1, MaxWait: 700 * time.Millisecond}, r.request)
		require.Empty(t, document.Diff(r.response.Document, got.Document))
		require.Equal(t, r.response.Attestations, got.Attestations)
		require.Equal(t, 2*time.Millisecond, got.Age)
		require.Equal(t, time.Millisecond, got.WaitTime)
	})
	t.Run("patch", func(t *testing.T) {
		patch := document.Patch{Base: 1, BaseID: "1", Revision: 2, MaxFallbackHolders: 4, RemovedRoutes: []string{"w"}}
		got, err := connect(t, &fakeRelay{response: entry.FollowResponse{Revision: 2, Patch: patch}}).follow(t, entry.FollowRequest{KnownRevision: 1})
		require.NoError(t, err)
		require.Equal(t, patch, got.Patch)
	})
	t.Run("never confirmed", func(t *testing.T) {
		got, err := connect(t, &fakeRelay{}).follow(t, entry.FollowRequest{})
		require.NoError(t, err)
		require.False(t, got.Confirmed)
	})
	t.Run("a new revision replaces the cached JSON", func(t *testing.T) {
		r := &fakeRelay{}
		s := connect(t, r)
		for n := document.Revision(1); n < 4; n++ {
			r.response = entry.FollowResponse{Revision: n, Document: documentWithRevision(n)}
			got, err := s.follow(t, entry.FollowRequest{})
			require.NoError(t, err)
			require.Equal(t, n, got.Document.Revision)
		}
	})
	t.Run("invalid documents are rejected", func(t *testing.T) {
		for _, d := range []document.Document{{Revision: 2}, documentWithRevision(1)} {
			_, err := connect(t, &fakeRelay{response: entry.FollowResponse{Revision: 2, Document: d}}).follow(t, entry.FollowRequest{})
			requireKind(t, port.Unavailable, err)
		}
	})
	t.Run("too many attestations", func(t *testing.T) {
		r := &fakeRelay{response: entry.FollowResponse{Attestations: make([]entry.Attestation, peer.MaxAttestations+1)}}
		_, err := connect(t, r).follow(t, entry.FollowRequest{})
		requireKind(t, port.Unavailable, err)
	})
}

// Guards against installing a document that is invalid or sent without the shared secret.
func TestOffer(t *testing.T) {
	t.Run("valid document", func(t *testing.T) {
		s := connect(t, &fakeRelay{})
		revision, err := s.client.Offer(t.Context(), s.address, documentWithRevision(5))
		require.NoError(t, err)
		require.Equal(t, document.Revision(5), revision)
	})
	t.Run("invalid document", func(t *testing.T) {
		r := &fakeRelay{}
		s := connect(t, r)
		_, err := s.client.Offer(t.Context(), s.address, document.Document{Revision: 5})
		requireKind(t, port.Unavailable, err)
		require.Zero(t, r.installed)
	})
	t.Run("wrong secret", func(t *testing.T) {
		r := &fakeRelay{}
		s := connect(t, r)
		other, err := peer.NewClient([]byte(strings.Repeat("x", peer.MinSecretSize)))
		require.NoError(t, err)
		t.Cleanup(other.Close)
		_, err = other.Offer(t.Context(), s.address, documentWithRevision(5))
		requireKind(t, port.Unavailable, err)
		require.Zero(t, r.installed)
	})
	t.Run("zero values and short secrets", func(t *testing.T) {
		var c peer.Client
		_, err := c.Offer(t.Context(), "127.0.0.1:1", documentWithRevision(5))
		requireKind(t, port.Unavailable, err)
		w := httptest.NewRecorder()
		(&peer.Server{}).Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", nil))
		require.Equal(t, http.StatusUnauthorized, w.Code)
		_, err = peer.NewClient(secret[1:])
		requireKind(t, port.Invalid, err)
		_, err = peer.NewServer(nil, nil, secret[1:])
		requireKind(t, port.Invalid, err)
	})
}

// Guards against a refusal by the home instance that is reported as an unreachable instance, and the reverse.
func TestTakeAt(t *testing.T) {
	s := connect(t, &fakeRelay{})
	require.NoError(t, s.client.TakeAt(t.Context(), s.address, "rate/clinic"))
	requireKind(t, port.OverRate, s.client.TakeAt(t.Context(), s.address, "rate/kitchen"))
	requireKind(t, port.Unavailable, s.client.TakeAt(t.Context(), "127.0.0.1:1", "rate/clinic"))
}

// Guards against a batch whose size or number differs from what the coordinator issued.
func TestTakeBatch(t *testing.T) {
	s := connect(t, &fakeRelay{})
	request := entry.BatchRequest{Limit: "rate/clinic", Borrower: "borrower", Number: 7, Finished: 6, Statements: 5 * allotment.Statement}
	n, err := s.client.TakeBatch(t.Context(), s.address, request)
	require.NoError(t, err)
	require.Equal(t, 4*allotment.Statement, n)
	request.Limit = "rate/kitchen"
	_, err = s.client.TakeBatch(t.Context(), s.address, request)
	requireKind(t, port.OverRate, err)
	_, err = s.client.TakeBatch(t.Context(), "127.0.0.1:1", request)
	requireKind(t, port.Unavailable, err)
}

// Guards against an instance that handles more calls at the same time than MaxConcurrentCalls.
func TestConcurrentCallLimit(t *testing.T) {
	r := &fakeRelay{arrived: make(chan struct{}), release: make(chan struct{})}
	server, err := peer.NewServer(r, fakeLimits{}, secret)
	require.NoError(t, err)
	handler := server.Handler()
	done := make(chan int)
	for range peer.MaxConcurrentCalls {
		go func() { done <- post(handler) }()
		<-r.arrived
	}
	require.Equal(t, http.StatusServiceUnavailable, post(handler))
	close(r.release)
	for range peer.MaxConcurrentCalls {
		require.Equal(t, http.StatusOK, <-done)
	}
}

func post(handler http.Handler) int {
	req := httptest.NewRequest(http.MethodPost, "/rhubarbwick.peer.v1.RelayService/Follow", strings.NewReader("{}"))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", peer.Credential(secret))
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, req)
	return w.Code
}

// fakeRelay answers with a prepared response. While arrived is set, each call signals it and waits for release.
type fakeRelay struct {
	response         entry.FollowResponse
	request          entry.FollowRequest
	installed        document.Revision
	arrived, release chan struct{}
}

func (r *fakeRelay) HandleFollow(_ context.Context, request entry.FollowRequest) entry.FollowResponse {
	if r.arrived != nil {
		r.arrived <- struct{}{}
		<-r.release
		return r.response
	}
	r.request = request
	return r.response
}

func (r *fakeRelay) Install(_ context.Context, d document.Document) (document.Revision, error) {
	r.installed = d.Revision
	return d.Revision, nil
}

type testServer struct {
	client  *peer.Client
	address string
}

func connect(t testing.TB, r peer.Relay) testServer {
	t.Helper()
	server, err := peer.NewServer(r, fakeLimits{}, secret)
	require.NoError(t, err)
	return serve(t, server)
}

func serve(t testing.TB, server *peer.Server) testServer {
	t.Helper()
	listener := httptest.NewUnstartedServer(nil)
	listener.Config = server.HTTPServer()
	listener.Start()
	t.Cleanup(listener.Close)
	client, err := peer.NewClient(secret)
	require.NoError(t, err)
	t.Cleanup(client.Close)
	return testServer{client: client, address: listener.Listener.Addr().String()}
}

func (s testServer) follow(t *testing.T, r entry.FollowRequest) (entry.FollowResponse, error) {
	t.Helper()
	return s.client.Follow(t.Context(), s.address, r)
}

func documentWithRevision(r document.Revision) document.Document {
	return document.Document{Revision: r, MaxFallbackHolders: int(r), Change: document.Change{ID: fmt.Sprint(r)}}
}

func requireKind(t *testing.T, want port.Kind, err error) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, want, port.KindOf(err), err)
}

// fakeLimits admits the limit "rate/clinic" and refuses all others. Its batches have one statement less than requested.
type fakeLimits struct{}

func (s fakeLimits) IssueBatch(ctx context.Context, r entry.BatchRequest) (allotment.Statements, error) {
	if r.Borrower != "borrower" || r.Number != 7 || r.Finished != 6 {
		return 0, port.Errorf(port.Internal, "unexpected request %+v", r)
	}
	return r.Statements - allotment.Statement, s.Take(ctx, r.Limit)
}

func (fakeLimits) Take(_ context.Context, limit string) error {
	if limit == "rate/clinic" {
		return nil
	}
	return port.Errorf(port.OverRate, "limit %s: rate is used up", limit)
}
