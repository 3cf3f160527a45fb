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

// trio is a group of three servers on a clock that moves only through its tests.
type trio struct {
	clock   *clock.Fake
	a, b, c *server.Server
}

func newTrio(t *testing.T) trio {
	t.Helper()
	timer := &clock.Fake{}
	directory := &server.Directory{}
	servers := make([]*server.Server, 0, 3)
	for _, name := range []string{"a", "b", "c"} {
		s := server.New(name, timer, directory.Dial)
		directory.Add(s)
		servers = append(servers, s)
	}
	runAll(t, servers)
	return trio{clock: timer, a: servers[0], b: servers[1], c: servers[2]}
}

func runAll(t *testing.T, servers []*server.Server) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var duties sync.WaitGroup
	for _, s := range servers {
		duties.Go(func() { s.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		duties.Wait()
	})
}

// elect makes a server primary of a term, fences the voters and makes the followers follow it.
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

// fence makes servers promise a term and returns the one with the furthest log.
func fence(t *testing.T, term group.Term, voters ...*server.Server) *server.Server {
	t.Helper()
	furthest := voters[0]
	var last group.Position
	for _, s := range voters {
		status, err := s.Fence(t.Context(), term, "candidate")
		require.NoError(t, err)
		if status.Last().Compare(last) > 0 {
			furthest, last = s, status.Last()
		}
	}
	return furthest
}

// bound returns a connection that works for an organisation.
func bound(t *testing.T, s *server.Server) *server.Connection {
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

// write writes a row on a primary and returns the commit's position.
func write(t *testing.T, s *server.Server, key, value string) group.Position {
	t.Helper()
	return execute(t, bound(t, s), server.Upsert{Key: key, Value: value}).Position
}

// await waits until a server's log contains a position.
func (g trio) await(t *testing.T, s *server.Server, p group.Position) {
	t.Helper()
	g.eventually(t, func() bool { return statusOf(t, s).History.Contains(p) })
}

// eventually moves the clock until a condition holds. Its limit is real time, because the servers' duties run as the
// machine lets them.
func (g trio) eventually(t *testing.T, holds func() bool) {
	t.Helper()
	for start := time.Now(); time.Since(start) < 20*second; {
		if holds() {
			return
		}
		g.clock.Advance(server.HeartbeatPeriod)
	}
	t.Fatal("condition did not come to hold")
}

func statusOf(t *testing.T, s *server.Server) group.Status {
	t.Helper()
	status, err := s.Status(t.Context(), group.Position{}, 0)
	require.NoError(t, err)
	return status
}

func requireRefused(t *testing.T, promised group.Term, err error) {
	t.Helper()
	require.Equal(t, port.Conflict, port.KindOf(err))
	var refusal *port.TermConflictError
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, promised, refusal.Promised)
}

func requireCode(t *testing.T, code string, err error) {
	t.Helper()
	var failure *server.Failure
	require.ErrorAs(t, err, &failure)
	require.Equal(t, code, failure.Code)
}

func requireValue(t *testing.T, s *server.Server, key string, want ...string) {
	t.Helper()
	var got []string
	for _, row := range execute(t, bound(t, s), server.Select{Key: key}).Rows {
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
