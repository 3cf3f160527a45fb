package server_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/adapter/clock"
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/standin/server"
)

// testGroup is a group of three servers with a fake clock.
type testGroup struct {
	timer   *clock.Fake
	a, b, c *server.Server
}

func newTestGroup(t *testing.T) testGroup {
	t.Helper()
	timer := &clock.Fake{}
	directory := &server.Directory{}
	servers := make([]*server.Server, 0, 3)
	for _, name := range []string{"a", "b", "c"} {
		s := server.New(name, timer, directory.Dial)
		directory.Add(s)
		servers = append(servers, s)
	}
	runServers(t, servers)
	return testGroup{timer: timer, a: servers[0], b: servers[1], c: servers[2]}
}

func runServers(t *testing.T, servers []*server.Server) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, s := range servers {
		running.Go(func() { s.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
}

// elect fences the voters, promotes a server to primary of a term and makes the followers follow it.
func elect(t *testing.T, primary *server.Server, term group.Term, voters, followers []*server.Server) {
	t.Helper()
	for _, s := range voters {
		_, err := s.Fence(t.Context(), term, "candidate")
		require.NoError(t, err)
	}
	_, err := primary.Promote(t.Context(), term, "candidate")
	require.NoError(t, err)
	for _, s := range followers {
		_, err := s.Follow(t.Context(), term, primary.Name())
		require.NoError(t, err)
	}
}

// fenceVoters fences servers in a term and returns the one with the latest log.
func fenceVoters(t *testing.T, term group.Term, voters ...*server.Server) *server.Server {
	t.Helper()
	latest := voters[0]
	var last group.Position
	for _, s := range voters {
		status, err := s.Fence(t.Context(), term, "candidate")
		require.NoError(t, err)
		if status.Last().Compare(last) > 0 {
			latest, last = s, status.Last()
		}
	}
	return latest
}

// connectBound returns a connection that is bound to an organisation.
func connectBound(t *testing.T, s *server.Server) *server.Connection {
	t.Helper()
	c := s.Connect("slot")
	execute(t, c, server.Bind{Organisation: "org", Nonce: "nonce"})
	return c
}

func execute(t *testing.T, c *server.Connection, statement server.Statement) server.Result {
	t.Helper()
	result, err := c.Execute(t.Context(), statement)
	require.NoError(t, err)
	return result
}

// write writes a row on a primary and returns the position of the commit.
func write(t *testing.T, s *server.Server, key, value string) group.Position {
	t.Helper()
	return execute(t, connectBound(t, s), server.Upsert{Key: key, Value: value}).Position
}

// await waits until the log of a server contains a position.
func (g testGroup) await(t *testing.T, s *server.Server, p group.Position) {
	t.Helper()
	g.eventually(t, func() bool { return statusOf(t, s).History.Contains(p) })
}

// eventually advances the clock until a condition is true. Its timeout is in real time, because the scheduling of the
// servers' goroutines does not depend on the fake clock.
func (g testGroup) eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for start := time.Now(); time.Since(start) < 20*second; {
		if condition() {
			return
		}
		g.timer.Advance(server.HeartbeatPeriod)
	}
	t.Fatal("condition was not met within 20 s")
}

func statusOf(t *testing.T, s *server.Server) group.Status {
	t.Helper()
	status, err := s.Status(t.Context(), group.Position{}, 0)
	require.NoError(t, err)
	return status
}

func requireTermConflict(t *testing.T, promised group.Term, err error) {
	t.Helper()
	require.Equal(t, port.Conflict, port.KindOf(err))
	var conflict *port.TermConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, promised, conflict.Promised)
}

func requireCode(t *testing.T, code string, err error) {
	t.Helper()
	var statementErr *server.StatementError
	require.ErrorAs(t, err, &statementErr)
	require.Equal(t, code, statementErr.Code)
}

func requireValue(t *testing.T, s *server.Server, key string, want ...string) {
	t.Helper()
	var got []string
	for _, row := range execute(t, connectBound(t, s), server.Select{Key: key}).Rows {
		got = append(got, row[0])
	}
	require.Equal(t, want, got)
}

func requireRole(t *testing.T, s *server.Server, role group.Role, followed group.Term) {
	t.Helper()
	status := statusOf(t, s)
	require.Equal(t, role, status.Role)
	require.Equal(t, followed, status.Followed)
}

const second = time.Second
