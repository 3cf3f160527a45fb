package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/group"
)

const ms = time.Millisecond

func server(name, dataCentre string) dispatch.Server {
	return dispatch.NewServer(dispatch.Listing{Name: name, Group: "g", Address: "10.0.0.1:1", DataCentre: dataCentre, Slots: 3, Incarnation: 1})
}

func free(s dispatch.Server) dispatch.Candidate { return dispatch.Candidate{Server: s, HasIdle: true} }

func at(offset uint64) group.Position { return group.Position{Term: 1, Offset: offset} }

// routingContext has server "p" as primary, and reads of every age need position 5.
func routingContext() dispatch.RoutingContext {
	return dispatch.RoutingContext{
		Now: time.Second, DataCentre: "a", Primary: "p",
		Floor: func(time.Duration) (group.Position, bool) { return at(5), true },
	}
}

// Guards against routing a statement to a server that must not or cannot run it.
func TestChoose(t *testing.T) {
	p, near, far := server("p", "a"), server("near", "a"), server("far", "b")
	all := []dispatch.Candidate{free(p), free(near), free(far)}
	reader := dispatch.NeedReader{Own: at(3), AcceptedAge: time.Second}
	t.Run("a write goes to the primary", func(t *testing.T) {
		requireServer(t, "p", group.Position{}, dispatch.Choose(dispatch.NeedPrimary{}, all, routingContext()))
	})
	t.Run("a write without a primary finds no server", func(t *testing.T) {
		in := routingContext()
		in.Primary = ""
		require.Equal(t, dispatch.NoServer{}, dispatch.Choose(dispatch.NeedPrimary{}, all, in))
	})
	t.Run("a write does not wait while the primary is being replaced", func(t *testing.T) {
		in := routingContext()
		in.Primary, in.Replacing = "", true
		require.Equal(t, dispatch.BeingReplaced{}, dispatch.Choose(dispatch.NeedPrimary{}, all, in))
		requireServer(t, "near", at(5), dispatch.Choose(reader, []dispatch.Candidate{free(near), free(far)}, in))
	})
	t.Run("a read goes to the replica in the local data centre", func(t *testing.T) {
		requireServer(t, "near", at(5), dispatch.Choose(reader, all, routingContext()))
	})
	t.Run("a read sees the session's own writes", func(t *testing.T) {
		own := dispatch.NeedReader{Own: at(8), AcceptedAge: time.Second}
		requireServer(t, "near", at(8), dispatch.Choose(own, all, routingContext()))
	})
	t.Run("a replica that lacked the position is skipped", func(t *testing.T) {
		lacking := free(near.WithMissingPosition(at(5), time.Second))
		requireServer(t, "far", at(5), dispatch.Choose(reader, []dispatch.Candidate{free(p), lacking, free(far)}, routingContext()))
	})
	t.Run("a replica that lacked a later position is not skipped", func(t *testing.T) {
		lacking := free(near.WithMissingPosition(at(6), time.Second))
		requireServer(t, "near", at(5), dispatch.Choose(reader, []dispatch.Candidate{free(p), lacking, free(far)}, routingContext()))
	})
	t.Run("a replica that has since applied the position is not skipped", func(t *testing.T) {
		caughtUp := free(near.WithMissingPosition(at(5), time.Second).WithAnswer(at(5), 20*ms))
		requireServer(t, "near", at(5), dispatch.Choose(reader, []dispatch.Candidate{free(p), caughtUp}, routingContext()))
	})
	t.Run("without a known position only the primary serves reads", func(t *testing.T) {
		in := routingContext()
		in.Floor = func(time.Duration) (group.Position, bool) { return group.Position{}, false }
		requireServer(t, "p", group.Position{}, dispatch.Choose(reader, all, in))
	})
	t.Run("departing, failing and excluded servers are skipped", func(t *testing.T) {
		departing := dispatch.Listing{Name: "near", Group: "g", Draining: true}
		requireServer(t, "p", group.Position{}, dispatch.Choose(reader, []dispatch.Candidate{
			free(p), free(dispatch.NewServer(departing)), free(far.WithFailure(time.Second)),
		}, routingContext()))
		in := routingContext()
		in.Excluded = []string{"p"}
		require.Equal(t, dispatch.NoServer{}, dispatch.Choose(dispatch.NeedPrimary{}, all, in))
	})
	t.Run("a server without a free connection is waited for", func(t *testing.T) {
		full := []dispatch.Candidate{{Server: p}}
		require.Equal(t, dispatch.NoConnection{}, dispatch.Choose(dispatch.NeedPrimary{}, full, routingContext()))
	})
	t.Run("outstanding statements move reads to another replica", func(t *testing.T) {
		loaded := free(near.WithOutstanding(2))
		requireServer(t, "far", at(5), dispatch.Choose(reader, []dispatch.Candidate{free(p), loaded, free(far)}, routingContext()))
	})
}

func requireServer(t *testing.T, want string, minPosition group.Position, got dispatch.Choice) {
	t.Helper()
	require.Equal(t, dispatch.ToServer{Server: want, MinPosition: minPosition}, got)
}

// Guards against observations of a server that are applied to its next process.
func TestServerRestart(t *testing.T) {
	s := server("p", "a").WithFailure(time.Second).WithOutstanding(2)
	choose := func() dispatch.Choice {
		return dispatch.Choose(dispatch.NeedPrimary{}, []dispatch.Candidate{free(s)}, routingContext())
	}
	require.Equal(t, dispatch.NoServer{}, choose())
	s = s.WithListing(s.Listing)
	require.Equal(t, dispatch.NoServer{}, choose(), "the same process is still failing")
	restarted := s.Listing
	restarted.Incarnation = 2
	s = s.WithListing(restarted)
	requireServer(t, "p", group.Position{}, choose())
	require.Equal(t, 2, s.Outstanding, "outstanding statements stay counted")
}
