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

func requireSelection(t *testing.T, want session.Selection, r session.Request, s session.Session, v group.View, now time.Duration) {
	t.Helper()
	require.Equal(t, want, session.SelectServer(r, s, v, now))
}

// Guards against writes that are sent although their outcome would be unknown, and against stale reads.
func TestSelectServer(t *testing.T) {
	const asked = 9 * time.Second
	newClient := session.Fresh("north")
	t.Run("write", func(t *testing.T) {
		requireSelection(t, session.ToPrimary{Server: "a", Term: 1}, session.Request{}, newClient, view(asked, 0), asked)
	})
	t.Run("write when replicas have lost the primary", func(t *testing.T) {
		requireSelection(t, session.AwaitPrimary{}, session.Request{}, newClient, view(asked, 2*time.Second), asked)
	})
	t.Run("write when replicas have not heard from the primary recently", func(t *testing.T) {
		requireSelection(t, session.AwaitPrimary{}, session.Request{}, newClient, view(asked, time.Second/2), asked)
	})
	t.Run("write when the primary does not respond", func(t *testing.T) {
		requireSelection(t, session.AwaitPrimary{}, session.Request{}, newClient, view(asked, 0), asked+1500*time.Millisecond)
	})
	t.Run("write without a floor", func(t *testing.T) {
		request := session.Request{}.WithReadPosition(group.Position{Term: 1, Offset: 9})
		requireSelection(t, session.AwaitReadPosition{}, session.Request{}, session.New("north"), view(asked, 0), asked)
		requireSelection(t, session.ToPrimary{Server: "a", Term: 1}, request, session.New("north"), view(asked, 0), asked)
	})
	t.Run("write on a former primary that does not know of its successor", func(t *testing.T) {
		later := group.Position{Term: 2, Offset: 11}
		request := session.Request{}.WithReadPosition(later)
		resumed := session.Resume("north", map[string]group.Position{"g": later})
		requireSelection(t, session.AwaitPrimary{}, request, session.New("north"), view(asked, 0), asked)
		requireSelection(t, session.AwaitPrimary{}, session.Request{Group: "g"}, resumed, view(asked, 0), asked)
	})
	read := session.Request{Read: true, AcceptedAge: time.Second}
	t.Run("bounded-staleness read without a floor", func(t *testing.T) {
		requireSelection(t, session.AwaitReadPosition{}, read, session.New("north"), view(asked, 0), asked)
	})
	t.Run("bounded-staleness read of a new session", func(t *testing.T) {
		requireSelection(t, session.ToServer{Server: "a"}, read, session.Fresh("north"), view(asked, 0), asked)
		requireSelection(t, session.AwaitServer{}, read, session.Fresh("north"), view(asked, 0), asked+2*time.Second)
	})
	t.Run("read position was discarded by a failover", func(t *testing.T) {
		discarded := session.Request{Read: true}.WithReadPosition(group.Position{Term: 1, Offset: 10})
		requireSelection(t, session.AwaitServer{}, discarded, session.New("north"), view(asked, 0), asked)
	})
}

// Guards against reads that are sent to the primary although a replica has caught up since its last status.
func TestSelectServerRefreshesStatus(t *testing.T) {
	const asked = 9 * time.Second
	v := view(asked, 0)
	p := group.Position{Term: 1, Offset: 10}
	o, _ := v.Observation("a")
	o.Status.History = group.NewHistory(10, group.TermStart{Term: 1, First: 1})
	v = v.WithObservation(o)
	resumed := session.Resume("north", map[string]group.Position{"g": p})
	read := session.Request{Group: "g", Read: true}
	requireSelection(t, session.ToServer{Server: "a"}, read, resumed, v, asked)
	requireSelection(t, session.AwaitReadPosition{}, read, resumed, v, asked+session.RefreshAge+1)
	requireSelection(t, session.ToServer{Server: "a"}, read.WithReadPosition(p), resumed, v, asked+session.RefreshAge+1)
}
