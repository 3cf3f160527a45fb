package statement_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/statement"
)

// fakeServer applies commands as a database server does.
type fakeServer struct {
	values   map[string]string
	prepared map[string]statement.Shape
}

func (s *fakeServer) apply(commands []statement.Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case statement.ResetSession:
			s.values, s.prepared = map[string]string{}, map[string]statement.Shape{}
		case statement.AssignValue:
			s.values[command.Name] = command.Value
		case statement.PrepareShape:
			s.prepared[command.Name] = command.Shape
		}
	}
}

// Guards against a connection that keeps a value of another session, or that runs another shape than the one that the
// client prepared.
func TestConnectionMatchesSession(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sessions := make([]statement.SessionState, 3)
		wants := make([]map[string]string, 3)
		server := &fakeServer{values: map[string]string{}, prepared: map[string]statement.Shape{}}
		var conn statement.ConnectionState
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "session")
			if rapid.Bool().Draw(t, "sets") {
				name, value := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "name")), fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "value"))
				sessions[i] = sessions[i].WithValue(name, value)
				wants[i] = withValue(wants[i], name, value)
			}
			shape := statement.Shape{Text: fmt.Sprint(rapid.IntRange(0, 90).Draw(t, "shape"))}
			commands, name, next := conn.CommandsFor(sessions[i], &shape)
			server.apply(commands)
			conn = next
			requireValues(t, wants[i], server.values)
			require.Equal(t, shape, server.prepared[name])
		}
	})
}

func withValue(m map[string]string, name, value string) map[string]string {
	copied := map[string]string{name: value}
	for k, v := range m {
		if k != name {
			copied[k] = v
		}
	}
	return copied
}

func requireValues(t *rapid.T, want, got map[string]string) {
	require.Len(t, got, len(want))
	for name, value := range want {
		require.Equal(t, value, got[name])
	}
}

// Guards against a change to one copy of a session's state that is visible in another copy.
func TestSessionStateIsImmutable(t *testing.T) {
	before := statement.SessionState{}.WithValue("a", "1").WithShape("s", statement.Shape{Text: "x"})
	_ = before.WithValue("a", "2").WithoutShape("s")
	shape, found := before.Shape("s")
	require.True(t, found)
	require.Equal(t, "x", shape.Text)
	commands, _, _ := statement.ConnectionState{}.CommandsFor(before, nil)
	require.Equal(t, []statement.Command{statement.AssignValue{Name: "a", Value: "1"}}, commands)
}

// Guards against a session whose values and prepared statements grow without a limit.
func TestSessionLimits(t *testing.T) {
	limits := statement.SessionLimits{Entries: 3, Bytes: 2000}
	requireExceeds := func(t *testing.T, s statement.SessionState) {
		t.Helper()
		require.Equal(t, port.TooLarge, port.KindOf(limits.Check(s)))
	}
	small := statement.SessionState{}.WithValue("a", "1").WithValue("b", "2").WithShape("s", statement.Shape{Text: "x"})
	t.Run("within the limits", func(t *testing.T) { require.NoError(t, limits.Check(small.WithValue("a", "3"))) })
	t.Run("too many entries", func(t *testing.T) { requireExceeds(t, small.WithShape("t", statement.Shape{})) })
	t.Run("too long values", func(t *testing.T) { requireExceeds(t, small.WithValue("a", strings.Repeat("x", 2000))) })
	t.Run("too long names", func(t *testing.T) {
		requireExceeds(t, statement.SessionState{}.WithShape(strings.Repeat("x", 2000), statement.Shape{}))
	})
	t.Run("entries that are replaced or removed do not count", func(t *testing.T) {
		s := small
		for range 100 {
			s = s.WithValue("a", strings.Repeat("x", 1000)).WithShape("s", statement.Shape{Text: "y"})
		}
		s = s.WithValue("a", "1").WithShape("s", statement.Shape{Text: "x"})
		require.Equal(t, small.Bytes(), s.Bytes())
		require.NoError(t, limits.Check(s.WithoutShape("s").WithShape("t", statement.Shape{})))
	})
}

// Guards against a server connection that holds the texts of all sessions that it served, or prepared statements of more
// than the limit.
func TestConnectionResetsBeforeLongShapes(t *testing.T) {
	var conn statement.ConnectionState
	resets := 0
	for i := range 10 {
		shape := statement.Shape{Text: fmt.Sprint(i) + strings.Repeat("x", 900<<10)}
		commands, _, next := conn.CommandsFor(statement.SessionState{}, &shape)
		if commands[0] == (statement.ResetSession{}) {
			resets++
		}
		conn = next
	}
	require.Equal(t, 4, resets)
}
