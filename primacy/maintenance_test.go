package primacy_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/primacy"
)

// reply is the answer of a replica of term 3 to a promoter.
func reply(server string, offset uint64) primacy.Answer {
	return primacy.Answer{HasAnswered: true, Status: primacy.Status{Server: server, Term: 3, Received: group.Position{Term: 3, Offset: offset}}}
}

func ineligible(a primacy.Answer) primacy.Answer {
	a.Status.Ineligible = true
	return a
}

func silent(a primacy.Answer) primacy.Answer {
	a.HasAnswered = false
	return a
}

func leading(a primacy.Answer) primacy.Answer {
	a.Status.IsPrimary = true
	return a
}

// Guards against the promotion of a server in maintenance, and of one that lacks a confirmed write which a server in
// maintenance holds.
func TestDecide(t *testing.T) {
	decide := func(synchronous int, a primacy.Attempt, answers ...primacy.Answer) primacy.PromotionDecision {
		return primacy.NewSuccession(announced(3, "a"), synchronous, answers).Decide(a)
	}
	switchover := primacy.Attempt{IsPlanned: true, IsSwitchover: true}
	ended := primacy.Attempt{IsSwitchover: true}
	old, lost := ineligible(leading(reply("a", 9))), ineligible(silent(reply("a", 0)))
	t.Run("a successor that has caught up", func(t *testing.T) {
		requirePromotes(t, "b", decide(0, switchover, old, reply("b", 9), reply("c", 8)))
	})
	t.Run("a successor that is behind is waited for, also at the end", func(t *testing.T) {
		last := switchover
		last.IsLast = true
		require.Equal(t, primacy.AwaitSuccessor{}, decide(0, switchover, old, reply("b", 8)))
		require.Equal(t, primacy.AwaitSuccessor{}, decide(0, last, old, reply("b", 8)))
	})
	t.Run("an old primary that does not answer is waited for until it is lost", func(t *testing.T) {
		isLost := switchover
		isLost.IsOldPrimaryLost = true
		require.Equal(t, primacy.AwaitSuccessor{}, decide(0, switchover, lost, reply("b", 8)))
		requirePromotes(t, "b", decide(0, isLost, lost, reply("b", 8)))
	})
	t.Run("an old primary that has stepped down is no candidate", func(t *testing.T) {
		require.Equal(t, primacy.AwaitSuccessor{}, decide(0, switchover, ineligible(reply("a", 9)), reply("b", 8)))
	})
	t.Run("a replica in maintenance that holds more is waited for, for ever with synchronous replicas", func(t *testing.T) {
		isLost := primacy.Attempt{IsOldPrimaryLost: true}
		isLast := primacy.Attempt{IsOldPrimaryLost: true, IsLast: true}
		answers := []primacy.Answer{silent(reply("a", 0)), ineligible(reply("b", 9)), reply("c", 8)}
		require.Equal(t, primacy.AwaitSuccessor{}, decide(0, isLost, answers...))
		requirePromotes(t, "c", decide(0, isLast, answers...))
		require.Equal(t, primacy.AwaitSuccessor{}, decide(1, isLast, answers...))
		requirePromotes(t, "c", decide(1, isLost, silent(reply("a", 0)), ineligible(reply("b", 8)), reply("c", 8)))
	})
	t.Run("the answer of a replica in maintenance counts", func(t *testing.T) {
		requirePromotes(t, "c", decide(1, switchover, old, ineligible(reply("b", 8)), reply("c", 9)))
		require.Equal(t, primacy.AwaitSuccessor{}, decide(1, primacy.Attempt{IsOldPrimaryLost: true}, lost, ineligible(silent(reply("b", 8))), reply("c", 9)))
	})
	t.Run("an old primary that answers holds every confirmed write", func(t *testing.T) {
		requirePromotes(t, "c", decide(1, switchover, old, ineligible(silent(reply("b", 8))), reply("c", 9)))
	})
	t.Run("after the end of the maintenance the old primary is kept", func(t *testing.T) {
		kept := leading(reply("a", 9))
		require.Equal(t, primacy.KeepPrimary{Primary: kept.Status}, decide(0, ended, kept, reply("b", 9)))
	})
	t.Run("another server's promotion that may still take effect is waited for", func(t *testing.T) {
		pending := switchover
		pending.Pending = "b"
		require.Equal(t, primacy.AwaitSuccessor{}, decide(0, pending, old, ineligible(reply("b", 9)), reply("c", 9)))
		requirePromotes(t, "b", decide(0, pending, old, reply("b", 9), reply("c", 9)))
		kept := ended
		kept.Pending = "b"
		require.Equal(t, primacy.AwaitSuccessor{}, decide(0, kept, leading(reply("a", 9)), reply("b", 9)))
	})
	t.Run("a group without a server elsewhere", func(t *testing.T) {
		require.Equal(t, primacy.AwaitSuccessor{}, decide(0, switchover, old, ineligible(reply("b", 9))))
	})
	t.Run("a server in maintenance that already leads is adopted", func(t *testing.T) {
		b := ineligible(leading(reply("b", 9)))
		b.Status.Term = 4
		leader, found := primacy.NewSuccession(announced(3, "a"), 0, []primacy.Answer{old, b, reply("c", 9)}).Leader()
		require.True(t, found)
		require.Equal(t, "b", leader.Server)
	})
}

func requirePromotes(t *testing.T, want string, d primacy.PromotionDecision) {
	t.Helper()
	promote, ok := d.(primacy.Promote)
	require.True(t, ok, "%#v", d)
	require.Equal(t, want, promote.Order[0].Server)
}

// Guards against a changed decision in deployments without maintenance.
func TestDecideWithoutMaintenance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var answers []primacy.Answer
		for _, server := range []string{"a", "b", "c"} {
			a := reply(server, rapid.Uint64Range(1, 3).Draw(t, server))
			a.HasAnswered, a.Status.IsPrimary = rapid.Bool().Draw(t, server+" answers"), server == "a" && rapid.Bool().Draw(t, "leads")
			a.Status.Draining = rapid.Bool().Draw(t, server+" draining")
			answers = append(answers, a)
		}
		a := primacy.Attempt{IsPlanned: rapid.Bool().Draw(t, "planned"), IsLast: rapid.Bool().Draw(t, "last")}
		s := primacy.NewSuccession(announced(3, "a"), rapid.IntRange(0, 1).Draw(t, "synchronous"), answers)
		order, isComplete := s.Order()
		oldPrimary, isIntact := s.IntactPrimary()
		var want primacy.PromotionDecision = primacy.AwaitSuccessor{}
		if isComplete {
			want = primacy.Promote{Order: order}
		} else if isIntact && (!a.IsPlanned || a.IsLast) {
			want = primacy.KeepPrimary{Primary: oldPrimary}
		}
		require.Equal(t, want, s.Decide(a))
	})
}
