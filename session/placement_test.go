package session_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/session"
)

func view(asked, silence time.Duration) group.View {
	v := group.NewView(group.Member{Name: "a"}, group.Member{Name: "b"}, group.Member{Name: "c"})
	log := group.NewHistory(9, group.TermStart{Term: 1, First: 1})
	for _, name := range []string{"a", "b", "c"} {
		s := group.Status{Server: name, Role: group.Replica, Promised: 1, Followed: 1, History: log, PrimarySilence: silence}
		if name == "a" {
			s.Role, s.PrimarySilence, s.AgeKnown = group.Primary, 0, true
		}
		v = v.WithObservation(group.Observation{Status: s, RequestedAt: 0, ReceivedAt: 0})
		v = v.WithObservation(group.Observation{Status: s, RequestedAt: asked, ReceivedAt: asked})
	}
	return v
}

func requirePlacement(t *testing.T, want session.Selection, r session.Request, s session.Session, v group.View, now time.Duration) {
	t.Helper()
	require.Equal(t, want, session.SelectServer(r, s, v, now))
}

// Guards against writes that can only end with an unknown outcome, and against stale reads.
func TestPlace(t *testing.T) {
	const asked = 9 * time.Second
	fresh := session.Fresh("north")
	t.Run("write", func(t *testing.T) {
		requirePlacement(t, session.ToPrimary{Server: "a", Term: 1}, session.Request{}, fresh, view(asked, 0), asked)
	})
	t.Run("write while replicas miss the primary", func(t *testing.T) {
		requirePlacement(t, session.AwaitPrimary{}, session.Request{}, fresh, view(asked, 2*time.Second), asked)
	})
	t.Run("write while replicas have not heard from the primary of late", func(t *testing.T) {
		requirePlacement(t, session.AwaitPrimary{}, session.Request{}, fresh, view(asked, time.Second/2), asked)
	})
	t.Run("write while the primary does not answer", func(t *testing.T) {
		requirePlacement(t, session.AwaitPrimary{}, session.Request{}, fresh, view(asked, 0), asked+1500*time.Millisecond)
	})
	t.Run("write without a floor", func(t *testing.T) {
		newest := session.Request{}.WithReadPosition(group.Position{Term: 1, Offset: 9})
		requirePlacement(t, session.AwaitReadPosition{}, session.Request{}, session.New("north"), view(asked, 0), asked)
		requirePlacement(t, session.ToPrimary{Server: "a", Term: 1}, newest, session.New("north"), view(asked, 0), asked)
	})
	t.Run("write at a primary that was replaced without its knowledge", func(t *testing.T) {
		later := group.Position{Term: 2, Offset: 11}
		newest := session.Request{}.WithReadPosition(later)
		carried := session.Resume("north", map[string]group.Position{"g": later})
		requirePlacement(t, session.AwaitPrimary{}, newest, session.New("north"), view(asked, 0), asked)
		requirePlacement(t, session.AwaitPrimary{}, session.Request{Group: "g"}, carried, view(asked, 0), asked)
	})
	read := session.Request{Read: true, AcceptedAge: time.Second}
	t.Run("aged read without a floor", func(t *testing.T) {
		requirePlacement(t, session.AwaitReadPosition{}, read, session.New("north"), view(asked, 0), asked)
	})
	t.Run("aged read of a new session", func(t *testing.T) {
		requirePlacement(t, session.ToServer{Server: "a"}, read, session.Fresh("north"), view(asked, 0), asked)
		requirePlacement(t, session.AwaitServer{}, read, session.Fresh("north"), view(asked, 0), asked+2*time.Second)
	})
	t.Run("newest position that was discarded", func(t *testing.T) {
		gone := session.Request{Read: true}.WithReadPosition(group.Position{Term: 1, Offset: 10})
		requirePlacement(t, session.AwaitServer{}, gone, session.New("north"), view(asked, 0), asked)
	})
}

// Guards against reads that the primary serves although a replica has caught up since its last answer.
func TestPlaceAsksAgain(t *testing.T) {
	const asked = 9 * time.Second
	v := view(asked, 0)
	p := group.Position{Term: 1, Offset: 10}
	o, _ := v.Observation("a")
	o.Status.History = group.NewHistory(10, group.TermStart{Term: 1, First: 1})
	v = v.WithObservation(o)
	carried := session.Resume("north", map[string]group.Position{"g": p})
	read := session.Request{Group: "g", Read: true}
	requirePlacement(t, session.ToServer{Server: "a"}, read, carried, v, asked)
	requirePlacement(t, session.AwaitReadPosition{}, read, carried, v, asked+session.RefreshAge+1)
	requirePlacement(t, session.ToServer{Server: "a"}, read.WithReadPosition(p), carried, v, asked+session.RefreshAge+1)
}
