package statement_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rhubarbwick/rhubarbwick/statement"
)

// server replays orders as a server would.
type server struct {
	values  map[string]string
	defined map[string]statement.Shape
}

func (s *server) run(orders []statement.Command) {
	for _, o := range orders {
		switch o := o.(type) {
		case statement.ResetSession:
			s.values, s.defined = map[string]string{}, map[string]statement.Shape{}
		case statement.AssignValue:
			s.values[o.Name] = o.Value
		case statement.PrepareShape:
			s.defined[o.Name] = o.Shape
		}
	}
}

// Guards against a connection that carries a value of another session, or runs another shape than the caller prepared.
func TestAppliedFollowsContexts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		contexts := make([]statement.SessionState, 3)
		wants := make([]map[string]string, 3)
		s := &server{values: map[string]string{}, defined: map[string]statement.Shape{}}
		var applied statement.ConnectionState
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "session")
			if rapid.Bool().Draw(t, "sets") {
				name, value := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "name")), fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "value"))
				contexts[i] = contexts[i].WithValue(name, value)
				wants[i] = withValue(wants[i], name, value)
			}
			shape := statement.Shape{Text: fmt.Sprint(rapid.IntRange(0, 90).Draw(t, "shape"))}
			orders, name, next := applied.CommandsFor(contexts[i], &shape)
			s.run(orders)
			applied = next
			requireValues(t, wants[i], s.values)
			require.Equal(t, shape, s.defined[name])
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

// Guards against a change of one session's context that shows in a copy of it.
func TestContextIsImmutable(t *testing.T) {
	before := statement.SessionState{}.WithValue("a", "1").WithShape("s", statement.Shape{Text: "x"})
	_ = before.WithValue("a", "2").WithoutShape("s")
	shape, found := before.Shape("s")
	require.True(t, found)
	require.Equal(t, "x", shape.Text)
	orders, _, _ := statement.ConnectionState{}.CommandsFor(before, nil)
	require.Equal(t, []statement.Command{statement.AssignValue{Name: "a", Value: "1"}}, orders)
}
