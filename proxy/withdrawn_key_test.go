package proxy_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/organisation"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

const testKey = "secret"

// authorizeKey gives the organisation a key and returns its authorization at an instance, for a route whose statements
// wait behind those of the route "orders".
func (w *cluster) authorizeKey(name string) organisation.Allowed {
	w.changeDocument(func(d *document.Document) {
		keys := []document.Key{{ID: "first", SHA256: organisation.HashKey(testKey).String()}}
		d.Organisations = []document.Organisation{{Name: testOrganisation, Rate: 1e6, Burst: 1e6, Keys: keys}, {Name: "bakery", Rate: 1e6, Burst: 1e6}}
		d.Routes[0].TimeoutMS, d.Routes[0].TargetLatencyMS = 20000, 16000
		later := d.Routes[0]
		later.Name, later.Open, later.Priority = "reports", false, 5
		d.Routes, d.TransactionIdleMS = []document.Route{d.Routes[0], later}, 60000
	})
	allowed, err := w.instance(name).manager.Authorize(w.t.Context(), "reports", testKey)
	require.NoError(w.t, err)
	return allowed
}

// keyChanges are the changes of the document after which a key may not be used for its organisation any more.
var keyChanges = map[string]func(w *cluster){
	"the key is withdrawn": (*cluster).withdrawKeys,
	"the organisation is removed": func(w *cluster) {
		w.changeDocument(func(d *document.Document) { d.Organisations = d.Organisations[1:] })
	},
	"the key moves to another organisation": func(w *cluster) {
		w.changeDocument(func(d *document.Document) {
			d.Organisations[1].Keys = append(slices.Clone(d.Organisations[1].Keys), d.Organisations[0].Keys...)
			d.Organisations[0].Keys = nil
		})
	},
}

// occupySlots makes the primary slow and sends it n writes of clients without a key. It returns a group that
// is done when they have ended, and the end of the log before them.
func (w *cluster) occupySlots(n int) (running *sync.WaitGroup, logEnd uint64) {
	// The organisation's reserves fill from their first use on.
	w.runWrites("front-0")
	sleep(time.Second)
	w.setFault("s1", slow)
	running, logEnd = &sync.WaitGroup{}, w.logEnd("s1")
	for range n {
		c := &fakeClient{requests: []statement.Request{request(statement.Write{Text: "WRITE a 1"})}}
		running.Go(func() { w.instance("front-0").serve(c) })
	}
	return running, logEnd
}

// Guards against a statement that is sent to a server with a withdrawn key, because it was authorized before it waited.
// Instance front-0 owns the server's pool and front-1 borrows from it.
func TestWithdrawnKeyStopsWaitingStatement(t *testing.T) {
	const otherWrites = 40
	write := statement.Write{Text: "WRITE a 1"}
	for _, name := range []string{"front-0", "front-1"} {
		for change, apply := range keyChanges {
			for kind, statements := range map[string][]statement.Statement{
				"a write": {write}, "the first statement of a transaction": {statement.Begin{}, write},
			} {
				t.Run(change+", "+kind+" at "+name, func(t *testing.T) {
					withCluster(t, 2, func(w *cluster) {
						allowed := w.authorizeKey(name)
						ended, before := w.occupySlots(otherWrites)
						sleep(50 * time.Millisecond)
						c := &fakeClient{}
						for _, stmt := range statements {
							c.requests = append(c.requests, request(stmt))
						}
						done := make(chan struct{})
						go func() {
							w.instance(name).manager.Serve(context.Background(), c, allowed, nil)
							close(done)
						}()
						sleep(50 * time.Millisecond)
						apply(w)
						<-done
						requireKind(t, port.KeyRefused, c.answers[len(c.answers)-1])
						ended.Wait()
						require.Equal(t, uint64(otherWrites), w.logEnd("s1")-before, "only the writes of clients without a key run")
						sleep(2 * time.Second)
						require.Zero(t, w.instance("front-0").dispatcher.Outstanding("s1"))
					})
				})
			}
		}
	}
}

// waitingClient sends a transaction's statements and then waits with it open. After it was told to go on, it sends the
// rest.
type waitingClient struct {
	fakeClient
	rest   []statement.Request
	goOn   chan struct{}
	waited bool
}

// Receive returns the next request, or ctx's error while the client waits.
func (c *waitingClient) Receive(ctx context.Context) (statement.Request, error) {
	if len(c.requests) > 0 || c.waited {
		return c.fakeClient.Receive(ctx)
	}
	select {
	case <-c.goOn:
		c.waited, c.requests = true, c.rest
		return c.fakeClient.Receive(ctx)
	case <-ctx.Done():
		return statement.Request{}, ctx.Err()
	}
}

// Guards against an idle transaction with a withdrawn key that keeps its locks and its connection until its client sends
// something, and against one that goes on when the key is granted again.
func TestIdleTransactionEndsWithItsKey(t *testing.T) {
	write := statement.Write{Text: "WRITE a 1"}
	for _, name := range []string{"front-0", "front-1"} {
		for change, apply := range keyChanges {
			t.Run(change+" at "+name, func(t *testing.T) {
				withCluster(t, 2, func(w *cluster) {
					allowed := w.authorizeKey(name)
					c := &waitingClient{goOn: make(chan struct{}), rest: []statement.Request{request(write), request(write), request(statement.Commit{})}}
					c.requests = []statement.Request{request(statement.Begin{}), request(write)}
					done := make(chan struct{})
					go func() {
						w.instance(name).manager.Serve(context.Background(), c, allowed, nil)
						close(done)
					}()
					sleep(time.Second)
					require.Equal(t, 1, w.instance("front-0").dispatcher.Outstanding("s1"))
					apply(w)
					w.waitFor(func() bool { return w.instance("front-0").dispatcher.Outstanding("s1") == 0 })
					w.authorizeKey(name)
					close(c.goOn)
					<-done
					requireKind(t, port.KeyRefused, c.answers[2])
					require.Equal(t, statement.Failed, c.answers[2].State)
					requireKind(t, port.Protocol, c.answers[3])
					requireKind(t, port.NotKept, c.answers[4])
				})
			})
		}
	}
}
