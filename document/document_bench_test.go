package document_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/adapter/peer"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/entry"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/organisation"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/session"
)

var organisationCounts = []int{10, 100, 1000}

// Measures the decoding and validation of a document, which every instance does for each revision.
func BenchmarkParse(b *testing.B) {
	for _, n := range organisationCounts {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			data, violations := document.Encode(documentOfSize(n))
			require.Empty(b, violations)
			for b.Loop() {
				if _, violations := document.Parse(data); len(violations) > 0 {
					b.Fatal(violations)
				}
			}
			b.ReportMetric(float64(len(data)), "document-B")
		})
	}
}

// Measures making and applying a patch of one change.
func BenchmarkPatch(b *testing.B) {
	for _, n := range organisationCounts {
		d := documentOfSize(n)
		next, violations := d.WithEdit(document.PutOrganisation{Name: "o7", Rate: 5, Burst: 5}, document.Change{ID: "c2", Author: "ana"})
		require.Empty(b, violations)
		patch, ok := d.PatchTo(next)
		require.True(b, ok)
		b.Run(fmt.Sprintf("organisations=%d/make", n), func(b *testing.B) {
			for b.Loop() {
				_, _ = d.PatchTo(next)
			}
		})
		b.Run(fmt.Sprintf("organisations=%d/apply", n), func(b *testing.B) {
			for b.Loop() {
				_, _ = d.WithPatch(patch)
			}
		})
	}
}

// Measures the cost of reauthorization per statement, without the rate limit.
func BenchmarkStatementRecheck(b *testing.B) {
	for _, n := range organisationCounts {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			follower := startFollower(b, documentOfSize(n))
			signer, err := session.NewSigner(make([]byte, session.MinSecretSize))
			require.NoError(b, err)
			authorizer := entry.NewDocumentAuthorizer(follower, signer, unlimited{})
			client, err := authorizer.Authorize(b.Context(), entry.Credentials{Organisation: "o7", Key: "key-7", Route: "r7"})
			require.NoError(b, err)
			for b.Loop() {
				if _, err := authorizer.AuthorizeStatement(b.Context(), client); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Measures the bytes on the wire of one poll, in both directions, with and without a newer document.
func BenchmarkRelayPoll(b *testing.B) {
	for _, n := range organisationCounts {
		for name, known := range map[string]document.Revision{"unchanged": 2, "patch": 1, "whole": 0} {
			b.Run(fmt.Sprintf("organisations=%d/%s", n, name), func(b *testing.B) {
				follower := startFollower(b, documentOfSize(n))
				next, violations := documentOfSize(n).WithEdit(
					document.PutOrganisation{Name: "o7", Rate: 5, Burst: 5}, document.Change{ID: "c2", Author: "ana"})
				require.Empty(b, violations)
				_, err := follower.Install(b.Context(), next)
				require.NoError(b, err)
				server, err := peer.NewServer(follower, nil, make([]byte, peer.MinSecretSize))
				require.NoError(b, err)
				counted := &countingListener{}
				listener := httptest.NewUnstartedServer(nil)
				listener.Config = server.HTTPServer()
				counted.Listener, listener.Listener = listener.Listener, counted
				listener.Start()
				b.Cleanup(listener.Close)
				client, err := peer.NewClient(make([]byte, peer.MinSecretSize))
				require.NoError(b, err)
				b.Cleanup(client.Close)
				polls := 0
				for b.Loop() {
					polls++
					_, err := client.Follow(b.Context(), listener.Listener.Addr().String(), entry.FollowRequest{KnownRevision: known})
					if err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(counted.bytes.Load())/float64(polls), "wire-B/poll")
			})
		}
	}
}

// documentOfSize returns a valid document with n organisations, each with two keys, one route and one slot.
func documentOfSize(n int) document.Document {
	g := document.Group{Name: "g", Servers: []document.Server{
		{Name: "a", Address: "10.0.0.1:5432", DataCentre: "dc1", Connections: 50},
		{Name: "b", Address: "10.0.0.2:5432", DataCentre: "dc2", Connections: 50},
		{Name: "c", Address: "10.0.0.3:5432", DataCentre: "dc3", Connections: 50},
	}}
	d := document.Document{Revision: 1, MaxFallbackHolders: document.DefaultMaxFallbackHolders}
	for i := range n {
		g.Slots = append(g.Slots, fmt.Sprintf("s%d", i))
		d.Organisations = append(d.Organisations, document.Organisation{
			Name: fmt.Sprintf("o%d", i), Rate: 100, Burst: 200, Keys: []document.Key{
				{ID: "k1", SHA256: organisation.HashKey(fmt.Sprintf("key-%d", i)).String()},
				{ID: "k2", SHA256: organisation.HashKey(fmt.Sprintf("other-%d", i)).String()},
			},
		})
		d.Routes = append(d.Routes, document.Route{
			Name: fmt.Sprintf("r%d", i), Group: "g", Slot: fmt.Sprintf("s%d", i), Kind: document.Write,
		})
	}
	d.Groups = []document.Group{g}
	return d
}

// startFollower returns a running follower that has received and confirmed the document.
func startFollower(b *testing.B, d document.Document) *entry.Follower {
	b.Helper()
	data, violations := document.Encode(d)
	require.Empty(b, violations)
	ctx, cancel := context.WithCancel(b.Context())
	follower := entry.NewFollower(entry.FollowerConfig{Self: relayInstance, Store: singleObjectStore{data: data}, Timer: &clock.Fake{}})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		follower.Run(ctx)
	}()
	b.Cleanup(func() {
		cancel()
		<-stopped
	})
	_, err := follower.WaitForRevision(ctx, 1)
	require.NoError(b, err)
	listed := make(chan struct{})
	var once sync.Once
	require.NoError(b, follower.SubscribeList(ctx, func(l instance.List) {
		if l.IsRelay(relayInstance) {
			once.Do(func() { close(listed) })
		}
	}))
	<-listed
	return follower
}

// singleObjectStore is a store whose first Watch returns the data and whose later ones wait until their context ends.
type singleObjectStore struct {
	port.Store
	data []byte
}

func (s singleObjectStore) Watch(ctx context.Context, name string, seen port.Version, _ time.Duration) (port.Object, bool, error) {
	if seen == 0 {
		return port.Object{Name: name, Version: 1, Data: s.data}, true, nil
	}
	<-ctx.Done()
	return port.Object{}, false, port.Wrapf(context.Cause(ctx), port.Unavailable, "no response")
}

// relayInstance is the measured instance. It is a relay, because only relays make patches.
var relayInstance = instance.Instance{Incarnation: "i", Address: "i", DataCentre: "dc", State: instance.Live}

func (s singleObjectStore) Instances(context.Context) ([]instance.Instance, error) {
	return []instance.Instance{relayInstance}, nil
}

// unlimited is a rate limit that allows every statement.
type unlimited struct{}

func (unlimited) Take(context.Context, string) error { return nil }

// countingListener counts the bytes sent and received on its connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{Conn: conn, bytes: &l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
