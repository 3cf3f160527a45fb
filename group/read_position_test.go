package group_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/group"
)

func logs(histories ...group.History) group.View {
	names := []string{"a", "b", "c"}
	v := group.NewView(group.Member{Name: "a"}, group.Member{Name: "b"}, group.Member{Name: "c"})
	for i, h := range histories {
		v = v.WithObservation(group.Observation{Status: group.Status{Server: names[i], History: h}, RequestedAt: 1})
	}
	return v
}

func requireReadPosition(t *testing.T, want group.Position, v group.View) {
	t.Helper()
	got, known := v.ReadPosition(1)
	require.True(t, known)
	require.Equal(t, want, got)
}

// Guards against a read position before an acknowledged write, which allows stale reads, and against one that is later
// than necessary, for which reads wait.
func TestReadPositionByNumberOfAnswers(t *testing.T) {
	first := group.TermStart{Term: 1, First: 1}
	short, long := group.NewHistory(5, first), group.NewHistory(9, first)
	later := group.NewHistory(6, first, group.TermStart{Term: 2, First: 6})
	t.Run("two answers: the most advanced log", func(t *testing.T) {
		requireReadPosition(t, group.Position{Term: 1, Offset: 9}, logs(long, short))
	})
	t.Run("three answers: the second most advanced log", func(t *testing.T) {
		requireReadPosition(t, group.Position{Term: 1, Offset: 5}, logs(long, short, short))
		requireReadPosition(t, group.Position{Term: 1, Offset: 9}, logs(long, later, short))
	})
	t.Run("an empty log may have lost the write", func(t *testing.T) {
		requireReadPosition(t, group.Position{Term: 1, Offset: 9}, logs(long, short, group.History{}))
	})
	t.Run("one answer is no majority", func(t *testing.T) {
		_, known := logs(long).ReadPosition(1)
		require.False(t, known)
	})
}
