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

// Guards against a report that loses something on its way, or that looks fresher than it was.
func TestFollow(t *testing.T) {
	t.Run("whole report", func(t *testing.T) {
		r := &fakeRelay{report: entry.FollowResponse{
			Revision: 2, Document: numbered(2), Confirmed: true, Age: 1500*time.Microsecond + 1, WaitTime: 1500 * time.Microsecond,
			Attestations: []entry.Attestation{{DataCentre: "dc1", Age: time.Second}},
		}}
		got, err := connect(t, r).follow(t, entry.FollowRequest{KnownRevision: 1, MaxWait: 700 * time.Millisecond})
		require.NoError(t, err)
		require.Equal(t, entry.FollowRequest{KnownRevision: 1, MaxWait: 700 * time.Millisecond}, r.poll)
		require.Empty(t, document.Diff(r.report.Document, got.Document))
		require.Equal(t, r.report.Attestations, got.Attestations)
		require.Equal(t, 2*time.Millisecond, got.Age)
		require.Equal(t, time.Millisecond, got.WaitTime)
	})
	t.Run("patch", func(t *testing.T) {
		patch := document.Patch{Base: 1, BaseID: "1", Revision: 2, MaxFallbackHolders: 4, RemovedRoutes: []string{"w"}}
		got, err := connect(t, &fakeRelay{report: entry.FollowResponse{Revision: 2, Patch: patch}}).follow(t, entry.FollowRequest{KnownRevision: 1})
		require.NoError(t, err)
		require.Equal(t, patch, got.Patch)
	})
	t.Run("never confirmed", func(t *testing.T) {
		got, err := connect(t, &fakeRelay{}).follow(t, entry.FollowRequest{})
		require.NoError(t, err)
		require.False(t, got.Confirmed)
	})
	t.Run("each revision is sent as it is", func(t *testing.T) {
		r := &fakeRelay{}
		l := connect(t, r)
		for n := document.Revision(1); n < 4; n++ {
			r.report = entry.FollowResponse{Revision: n, Document: numbered(n)}
			got, err := l.follow(t, entry.FollowRequest{})
			require.NoError(t, err)
			require.Equal(t, n, got.Document.Revision)
		}
	})
	t.Run("faulty documents are not taken", func(t *testing.T) {
		for _, d := range []document.Document{{Revision: 2}, numbered(1)} {
			_, err := connect(t, &fakeRelay{report: entry.FollowResponse{Revision: 2, Document: d}}).follow(t, entry.FollowRequest{})
			requireKind(t, port.Unavailable, err)
		}
	})
	t.Run("too many vouches", func(t *testing.T) {
		r := &fakeRelay{report: entry.FollowResponse{Attestations: make([]entry.Attestation, peer.MaxAttestations+1)}}
		_, err := connect(t, r).follow(t, entry.FollowRequest{})
		requireKind(t, port.Unavailable, err)
	})
}

// Guards against a document that another process than an instance puts in force, or that has faults.
func TestOffer(t *testing.T) {
	t.Run("is taken", func(t *testing.T) {
		l := connect(t, &fakeRelay{})
		revision, err := l.client.Offer(t.Context(), l.address, numbered(5))
		require.NoError(t, err)
		require.Equal(t, document.Revision(5), revision)
	})
	t.Run("with faults", func(t *testing.T) {
		r := &fakeRelay{}
		l := connect(t, r)
		_, err := l.client.Offer(t.Context(), l.address, document.Document{Revision: 5})
		requireKind(t, port.Unavailable, err)
		require.Zero(t, r.taken)
	})
	t.Run("with another secret", func(t *testing.T) {
		r := &fakeRelay{}
		l := connect(t, r)
		stranger, err := peer.NewClient([]byte(strings.Repeat("x", peer.MinSecretSize)))
		require.NoError(t, err)
		t.Cleanup(stranger.Close)
		_, err = stranger.Offer(t.Context(), l.address, numbered(5))
		requireKind(t, port.Unavailable, err)
		require.Zero(t, r.taken)
	})
	t.Run("zero values and short secrets", func(t *testing.T) {
		var c peer.Client
		_, err := c.Offer(t.Context(), "127.0.0.1:1", numbered(5))
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

// Guards against a refusal by the home that reads as an instance that does not answer, and the other way round.
func TestTakeAt(t *testing.T) {
	l := connect(t, &fakeRelay{})
	require.NoError(t, l.client.TakeAt(t.Context(), l.address, "rate/clinic"))
	requireKind(t, port.OverRate, l.client.TakeAt(t.Context(), l.address, "rate/kitchen"))
	requireKind(t, port.Unavailable, l.client.TakeAt(t.Context(), "127.0.0.1:1", "rate/clinic"))
}

// Guards against a batch of another size or under another number than the steward gave it.
func TestTakeBatch(t *testing.T) {
	l := connect(t, &fakeRelay{})
	ask := entry.BatchRequest{Limit: "rate/clinic", Borrower: "taker", Number: 7, Finished: 6, Statements: 5 * allotment.Statement}
	n, err := l.client.TakeBatch(t.Context(), l.address, ask)
	require.NoError(t, err)
	require.Equal(t, 4*allotment.Statement, n)
	ask.Limit = "rate/kitchen"
	_, err = l.client.TakeBatch(t.Context(), l.address, ask)
	requireKind(t, port.OverRate, err)
	_, err = l.client.TakeBatch(t.Context(), "127.0.0.1:1", ask)
	requireKind(t, port.Unavailable, err)
}

// Guards against an instance that answers more polls than it has room for.
func TestServerBound(t *testing.T) {
	r := &fakeRelay{arrived: make(chan struct{}), release: make(chan struct{})}
	server, err := peer.NewServer(r, limitStub{}, secret)
	require.NoError(t, err)
	handler := server.Handler()
	done := make(chan int)
	for range peer.MaxCalls {
		go func() { done <- post(handler) }()
		<-r.arrived
	}
	require.Equal(t, http.StatusServiceUnavailable, post(handler))
	close(r.release)
	for range peer.MaxCalls {
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

// fakeRelay answers with a prepared report.
type fakeRelay struct {
	report           entry.FollowResponse
	poll             entry.FollowRequest
	taken            document.Revision
	arrived, release chan struct{}
}

func (r *fakeRelay) HandleFollow(_ context.Context, poll entry.FollowRequest) entry.FollowResponse {
	if r.arrived != nil {
		r.arrived <- struct{}{}
		<-r.release
		return r.report
	}
	r.poll = poll
	return r.report
}

func (r *fakeRelay) Install(_ context.Context, d document.Document) (document.Revision, error) {
	r.taken = d.Revision
	return d.Revision, nil
}

type link struct {
	client  *peer.Client
	address string
}

func connect(t testing.TB, r peer.Relay) link {
	t.Helper()
	server, err := peer.NewServer(r, limitStub{}, secret)
	require.NoError(t, err)
	return serve(t, server)
}

func serve(t testing.TB, server *peer.Server) link {
	t.Helper()
	listener := httptest.NewUnstartedServer(nil)
	listener.Config = server.HTTPServer()
	listener.Start()
	t.Cleanup(listener.Close)
	client, err := peer.NewClient(secret)
	require.NoError(t, err)
	t.Cleanup(client.Close)
	return link{client: client, address: listener.Listener.Addr().String()}
}

func (l link) follow(t *testing.T, poll entry.FollowRequest) (entry.FollowResponse, error) {
	t.Helper()
	return l.client.Follow(t.Context(), l.address, poll)
}

func numbered(r document.Revision) document.Document {
	return document.Document{Revision: r, MaxFallbackHolders: int(r), Change: document.Change{ID: fmt.Sprint(r)}}
}

func requireKind(t *testing.T, want port.Kind, err error) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, want, port.KindOf(err), err)
}

// limitStub admits the limit "rate/clinic" and refuses every other. Its batches have one statement less than was asked.
type limitStub struct{}

func (s limitStub) IssueBatch(ctx context.Context, ask entry.BatchRequest) (allotment.Statements, error) {
	if ask.Borrower != "taker" || ask.Number != 7 || ask.Finished != 6 {
		return 0, port.Errorf(port.Internal, "ask is %+v", ask)
	}
	return ask.Statements - allotment.Statement, s.Take(ctx, ask.Limit)
}

func (limitStub) Take(_ context.Context, limit string) error {
	if limit == "rate/clinic" {
		return nil
	}
	return port.Errorf(port.OverRate, "limit %s: rate is used up", limit)
}
