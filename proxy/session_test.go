package proxy_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/organisation"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

func request(stmt statement.Statement) statement.Request {
	return statement.Request{ID: "1", Statement: stmt}
}

// send runs the statements on one session of an instance and returns the answers.
func (w *cluster) send(name string, statements ...statement.Statement) []statement.Result {
	c := &fakeClient{}
	for _, stmt := range statements {
		c.requests = append(c.requests, request(stmt))
	}
	w.instance(name).serve(c)
	require.Len(w.t, c.answers, len(statements))
	return c.answers
}

func requireKind(t *testing.T, want port.Kind, a statement.Result) {
	t.Helper()
	require.Equal(t, want, a.Failure.Kind, a.Failure.Text)
}

func requireSuccess(t *testing.T, a statement.Result) {
	t.Helper()
	require.True(t, a.Failure.IsZero(), a.Failure.Text)
}

// Guards against a false report of a statement's outcome: a statement that may have run must not be reported as not
// kept.
func TestSessionOutcomes(t *testing.T) {
	write, read := statement.Write{Text: "WRITE a 1"}, statement.Read{Text: "READ a"}
	t.Run("a write whose answer is lost has an unknown outcome", func(t *testing.T) {
		withCluster(t, 2, func(w *cluster) {
			w.setFault("s1", dropAnswers)
			requireKind(t, port.UnknownOutcome, w.send("front-0", write)[0])
		})
	})
	t.Run("a read whose answer is lost is retried or reported as not kept", func(t *testing.T) {
		withCluster(t, 2, func(w *cluster) {
			w.setFault("s1", dropAnswers)
			require.NotEqual(t, port.UnknownOutcome, w.send("front-0", read)[0].Failure.Kind)
		})
	})
	t.Run("a commit whose answer is lost has an unknown outcome", func(t *testing.T) {
		withCluster(t, 2, func(w *cluster) {
			w.setFault("s1", dropCommitAnswers)
			answers := w.send("front-0", statement.Begin{}, write, statement.Commit{})
			requireSuccess(t, answers[1])
			requireKind(t, port.UnknownOutcome, answers[2])
		})
	})
	t.Run("a read-only commit whose answer is lost is reported as not kept", func(t *testing.T) {
		withCluster(t, 2, func(w *cluster) {
			w.setFault("s1", dropCommitAnswers)
			requireKind(t, port.NotKept, w.send("front-0", statement.Begin{}, read, statement.Commit{})[2])
		})
	})
	t.Run("a transaction whose connection is lost before the commit is not kept", func(t *testing.T) {
		withCluster(t, 2, func(w *cluster) {
			w.setFault("s1", dropAnswers)
			answers := w.send("front-0", statement.Begin{}, write, statement.Commit{})
			requireKind(t, port.NotKept, answers[1])
			require.Equal(t, statement.Failed, answers[1].State)
			requireKind(t, port.NotKept, answers[2])
		})
	})
	t.Run("a write refused by a busy server did not run", func(t *testing.T) {
		withCluster(t, 2, func(w *cluster) {
			w.setFault("s1", busy)
			before := w.logEnd("s1")
			requireKind(t, port.Busy, w.send("front-0", write)[0])
			require.Equal(t, before, w.logEnd("s1"))
		})
	})
	t.Run("a write is not confirmed if the primary was replaced while it ran", func(t *testing.T) {
		withCluster(t, 2, func(w *cluster) {
			w.setFault("s1", slow)
			go w.replaceDuring("front-0")
			requireKind(t, port.UnknownOutcome, w.send("front-0", write)[0])
		})
	})
	t.Run("a write does not run without its session values or its prepared statement", func(t *testing.T) {
		withCluster(t, 2, func(w *cluster) {
			w.setFault("s1", refuseSessionState)
			before := w.logEnd("s1")
			set := statement.SetValue{Name: "tz", Value: "kigali"}
			prepare := statement.Prepare{Name: "p", Shape: statement.Shape{Writes: true, Text: "q"}}
			require.NotZero(t, w.send("front-0", set, write)[1].Failure.Kind)
			require.NotZero(t, w.send("front-1", set, write)[1].Failure.Kind)
			require.NotZero(t, w.send("front-0", prepare, statement.Execute{Name: "p"})[1].Failure.Kind)
			require.NotZero(t, w.send("front-0", set, statement.Begin{}, write)[2].Failure.Kind)
			require.Equal(t, before, w.logEnd("s1"))
		})
	})
	t.Run("a partitioned instance does not use its expired leases", func(t *testing.T) {
		withCluster(t, 2, func(w *cluster) {
			w.setPartitioned(true, "front-0", "front-1")
			sleep(15 * time.Second)
			requireKind(t, port.NoPrimary, w.send("front-0", write)[0])
			w.setPartitioned(false, "front-0", "front-1")
		})
	})
}

// Guards against a withdrawn key that goes on reading and writing for as long as its transaction lasts.
func TestWithdrawnKeyEndsTransaction(t *testing.T) {
	write, read := statement.Write{Text: "WRITE a 1"}, statement.Read{Text: "READ a"}
	prepare := statement.Prepare{Name: "p", Shape: statement.Shape{Writes: true, Text: "q"}}
	for name, c := range map[string]struct {
		before []statement.Statement
		next   statement.Statement
	}{
		"first statement":    {[]statement.Statement{statement.Begin{}}, write},
		"write":              {[]statement.Statement{statement.Begin{}, read}, write},
		"read":               {[]statement.Statement{statement.Begin{ReadOnly: true}, read}, read},
		"prepared statement": {[]statement.Statement{prepare, statement.Begin{}, read}, statement.Execute{Name: "p"}},
		"session value":      {[]statement.Statement{statement.Begin{}, read}, statement.SetValue{Name: "tz", Value: "kigali"}},
	} {
		t.Run(name, func(t *testing.T) {
			withKeyedClient(t, c.before, []statement.Statement{c.next, statement.Commit{}}, (*cluster).withdrawKeys, func(answers []statement.Result) {
				requireKind(t, port.KeyRefused, answers[0])
				require.Equal(t, statement.Failed, answers[0].State)
				requireKind(t, port.NotKept, answers[1])
			})
		})
	}
	t.Run("commit", func(t *testing.T) {
		before := []statement.Statement{statement.Begin{}, write}
		withKeyedClient(t, before, []statement.Statement{statement.Commit{}, read}, (*cluster).withdrawKeys, func(answers []statement.Result) {
			requireKind(t, port.KeyRefused, answers[0])
			require.Equal(t, statement.Idle, answers[0].State)
			requireKind(t, port.KeyRefused, answers[1])
		})
	})
	t.Run("rollback", func(t *testing.T) {
		before := []statement.Statement{statement.Begin{}, write}
		withKeyedClient(t, before, []statement.Statement{statement.Rollback{}}, (*cluster).withdrawKeys, func(answers []statement.Result) {
			requireSuccess(t, answers[0])
		})
	})
	t.Run("a transaction goes on after its route is removed", func(t *testing.T) {
		before := []statement.Statement{statement.Begin{}, write}
		withKeyedClient(t, before, []statement.Statement{write, statement.Commit{}, read}, (*cluster).removeRoutes, func(answers []statement.Result) {
			requireSuccess(t, answers[0])
			requireSuccess(t, answers[1])
			requireKind(t, port.UnknownRoute, answers[2])
		})
	})
}

// withKeyedClient runs the statements of a client with a key, applies the change to the cluster, and checks the answers to
// the statements after it. No connection may remain in use.
func withKeyedClient(t *testing.T, before, after []statement.Statement, change func(w *cluster), check func(answers []statement.Result)) {
	t.Helper()
	withCluster(t, 2, func(w *cluster) {
		const key = "secret"
		w.changeDocument(func(d *document.Document) {
			d.Organisations[0].Keys = []document.Key{{ID: "first", SHA256: organisation.HashKey(key).String()}}
			d.Routes[0].Open = false
		})
		i := w.instance("front-0")
		allowed, err := i.manager.Authorize(w.t.Context(), "orders", key)
		require.NoError(t, err)
		c := &fakeClient{beforeReceive: func(answered int) {
			if answered == len(before) {
				change(w)
			}
		}}
		for _, stmt := range slices.Concat(before, after) {
			c.requests = append(c.requests, request(stmt))
		}
		i.manager.Serve(w.t.Context(), c, allowed, nil)
		require.Len(t, c.answers, len(before)+len(after))
		for _, a := range c.answers[:len(before)] {
			requireSuccess(t, a)
		}
		check(c.answers[len(before):])
		i.manager.Drain(w.t.Context(), time.Second)
		require.Zero(t, i.dispatcher.Outstanding("s1"))
	})
}

// eagerClient sends each request right after the answer to the one before, also when its session should end.
type eagerClient struct {
	next    statement.Statement
	answers []statement.Result
	closed  bool
}

// Receive returns the next request, whether or not ctx has ended.
func (c *eagerClient) Receive(context.Context) (statement.Request, error) {
	sleep(5 * time.Millisecond)
	return request(c.next), nil
}

// HasBufferedRequest returns false.
func (c *eagerClient) HasBufferedRequest() bool { return false }

// Reply records an answer.
func (c *eagerClient) Reply(a statement.Result) error {
	c.answers = append(c.answers, a)
	return nil
}

// Close records that the session has ended.
func (c *eagerClient) Close() { c.closed = true }

// Guards against a client without pauses between its requests that keeps a stopping instance from ending until it is
// killed.
func TestEagerClientDoesNotKeepInstance(t *testing.T) {
	withCluster(t, 2, func(w *cluster) {
		c := &eagerClient{next: statement.Write{Text: "WRITE a 1"}}
		i := w.instance("front-0")
		go i.serveClient(c, testOrganisation)
		sleep(time.Second)
		start := time.Now()
		i.manager.Drain(w.t.Context(), 3*time.Second)
		require.Less(t, time.Since(start), 2*time.Second)
		require.True(t, c.closed)
		last := len(c.answers) - 1
		requireKind(t, port.Stopping, c.answers[last])
		for _, a := range c.answers[:last] {
			requireSuccess(t, a)
		}
	})
}

// Guards against a client that cannot end a failed transaction, and against statements accepted in the wrong
// transaction state.
func TestSessionStates(t *testing.T) {
	withCluster(t, 2, func(w *cluster) {
		answers := w.send("front-0",
			statement.Rollback{}, statement.Commit{}, statement.Begin{}, statement.Begin{},
			statement.Read{Text: "READ a"}, statement.Rollback{}, statement.Execute{Name: "unknown"},
			statement.Begin{}, statement.Execute{Name: "unknown"}, statement.Read{Text: "READ a"}, statement.Rollback{},
			statement.Begin{ReadOnly: true}, statement.Commit{})
		want := []struct {
			kind  port.Kind
			state statement.TransactionState
		}{
			{port.Protocol, statement.Idle},
			{port.Protocol, statement.Idle},
			{"", statement.InTransaction},
			{port.Protocol, statement.InTransaction},
			{"", statement.InTransaction},
			{"", statement.Idle},
			{port.UnknownStatement, statement.Idle},
			{"", statement.InTransaction},
			{port.UnknownStatement, statement.Failed},
			{port.Protocol, statement.Failed},
			{"", statement.Idle},
			{"", statement.InTransaction},
			{"", statement.Idle},
		}
		for i, a := range answers {
			require.Equal(t, want[i].kind, a.Failure.Kind, "answer %d: %s", i, a.Failure.Text)
			require.Equal(t, want[i].state, a.State, "answer %d", i)
		}
		require.NotEmpty(t, answers[12].Proof, "a successful commit requires a server's proof")
	})
}

// Guards against exceeding a server's connection limit, and against one organisation that keeps all connections.
func TestDispatcherSharesConnections(t *testing.T) {
	withCluster(t, 2, func(w *cluster) {
		for _, organisation := range []string{"a", "b", "c", "d", "e"} {
			for range 6 {
				c := &fakeClient{requests: []statement.Request{request(statement.Write{Text: "WRITE a 1"})}}
				w.instance("front-0").serveFor(c, organisation)
				requireSuccess(t, c.answers[0])
			}
		}
		require.LessOrEqual(t, w.connections("s1"), 20, "half of the server's 40 connections for each of two instances")
	})
}

// Guards against first statements that wait for a connection, which served only 0.85 of the first four seconds of a
// quiet day in the grown Umubyeyi deployment, and against prewarmed connections that leave none for other statements.
func TestOwnersPrewarmConnections(t *testing.T) {
	withCluster(t, 4, func(w *cluster) {
		next := w.doc
		next.Revision, next.Organisations = 2, nil
		for i := range 50 {
			next.Organisations = append(next.Organisations, document.Organisation{Name: fmt.Sprintf("org-%d", i), Rate: 1e6, Burst: 1e6})
		}
		w.setDocument(next)
		sleep(15 * time.Second)
		for name := range w.servers {
			require.GreaterOrEqual(t, w.connections(name), 20, "of the 30 connections that an owner may hold")
			require.LessOrEqual(t, w.connections(name), 27, "the rest is reserved for concurrent statements")
		}
	})
}

// Guards against repeated attempts to connect to a server that refuses connections.
func TestDispatcherBacksOffFromFullServers(t *testing.T) {
	withCluster(t, 2, func(w *cluster) {
		w.mu.Lock()
		w.servers["s1"].refusesConnections = true
		w.mu.Unlock()
		// testOrganisation already has a prewarmed connection.
		c := &fakeClient{requests: []statement.Request{request(statement.Write{Text: "WRITE a 1"})}}
		w.instance("front-0").serveFor(c, "another")
		requireKind(t, port.NoPrimary, c.answers[0])
		require.Less(t, w.dials.Load(), int64(20))
	})
}

// Guards against treating a server as the primary after it has been replaced: its positions would then be taken as
// samples of the primary's.
func TestReplacedPrimaryIsNotPrimary(t *testing.T) {
	withCluster(t, 2, func(w *cluster) {
		w.setDown("s1", true)
		w.suspect("s1")
		w.waitFor(func() bool { return w.allUsePrimary("s2") })
		w.setDown("s1", false)
		views := w.instance("front-0").views
		require.False(t, views.IsPrimary(testGroup, "s1", 3))
		require.True(t, views.IsPrimary(testGroup, "s2", group.Term(4)))
	})
}

// Guards against one unexpected answer that ends the process, or that leaves a connection acquired for good.
func TestPanicEndsOneSession(t *testing.T) {
	write, read := statement.Write{Text: "WRITE a 1"}, statement.Read{Text: "READ a"}
	for _, c := range []struct {
		name       string
		statements []statement.Statement
	}{
		{"single write", []statement.Statement{write}},
		{"first statement of a transaction", []statement.Statement{statement.Begin{}, write}},
		{"read", []statement.Statement{read}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withCluster(t, 2, func(w *cluster) {
				for _, server := range []string{"s1", "s2", "s3"} {
					w.setFault(server, panicking)
				}
				client := &fakeClient{}
				for _, stmt := range c.statements {
					client.requests = append(client.requests, request(stmt))
				}
				w.instance("front-0").serve(client)
				sleep(5 * time.Second)
				for _, server := range []string{"s1", "s2", "s3"} {
					w.setFault(server, 0)
					for _, name := range []string{"front-0", "front-1"} {
						require.Zero(t, w.instance(name).dispatcher.Outstanding(server), "%s at %s", server, name)
					}
				}
				requireSuccess(t, w.send("front-0", write)[0])
			})
		})
	}
}

// Guards against a planned stop that cuts off a statement of a transaction when the time for transactions is over, and
// against one that waits for a client which keeps its transaction open.
func TestDrainAnswersRunningStatements(t *testing.T) {
	const transactions = 100 * time.Millisecond
	write := statement.Write{Text: "WRITE a 1"}
	for _, instance := range []string{"front-0", "front-1"} {
		t.Run("transaction at "+instance, func(t *testing.T) {
			withCluster(t, 2, func(w *cluster) {
				w.setFault("s1", slow)
				client := &blockingClient{requests: make(chan statement.Request, 2), answers: make(chan statement.Result, 2)}
				ended := make(chan struct{})
				go client.run(w.instance(instance), ended)
				client.requests <- request(statement.Begin{})
				<-client.answers
				client.requests <- request(write)
				sleep(slowServerDelay / 3)
				start := time.Now()
				for _, name := range []string{"front-0", "front-1"} {
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					w.instance(name).manager.Drain(ctx, transactions)
					cancel()
				}
				requireSuccess(t, <-client.answers)
				<-ended
				require.Less(t, time.Since(start), time.Second)
				// The transaction is rolled back in the background.
				sleep(time.Second)
			})
		})
	}
}

// blockingClient sends the requests that it is given and waits for more until its session ends.
type blockingClient struct {
	requests chan statement.Request
	answers  chan statement.Result
}

func (c *blockingClient) run(i *testInstance, ended chan<- struct{}) {
	defer close(ended)
	i.serveClient(c, testOrganisation)
}

// Receive returns the next request.
func (c *blockingClient) Receive(ctx context.Context) (statement.Request, error) {
	select {
	case r := <-c.requests:
		return r, nil
	case <-ctx.Done():
		return statement.Request{}, context.Cause(ctx)
	}
}

// HasBufferedRequest reports that no request is buffered.
func (c *blockingClient) HasBufferedRequest() bool { return false }

// Reply delivers an answer.
func (c *blockingClient) Reply(a statement.Result) error {
	c.answers <- a
	return nil
}

// Close does nothing.
func (c *blockingClient) Close() {}

// Guards against an outage in which refused attempts use up the rate of an organisation: in the incident of tilehue-ops, a
// quarter of the refusals while a data centre was cut off were for exceeded rates.
func TestRefusedOperationsKeepTheRate(t *testing.T) {
	withCluster(t, 6, func(w *cluster) {
		const burst = 6
		limited := w.doc
		limited.Revision++
		limited.Organisations = []document.Organisation{{Name: testOrganisation, Rate: 0.1, Burst: burst}}
		w.setDocument(limited)
		w.waitFor(func() bool { return w.allHaveRevision(limited.Revision) })
		w.setPartitioned(true, "front-0")
		w.waitFor(func() bool { return !w.usesPrimary("front-0", "s1") })
		for _, stmt := range []statement.Statement{statement.Write{Text: "WRITE a 1"}, statement.Begin{}} {
			for range 2 * burst {
				requireKind(t, port.NoPrimary, w.send("front-0", stmt)[0])
			}
		}
		w.setPartitioned(false, "front-0")
		w.waitFor(func() bool { return w.usesPrimary("front-0", "s1") })
		requireSuccess(t, w.send("front-0", statement.Write{Text: "WRITE a 1"})[0])
	})
}
