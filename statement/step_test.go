package statement_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/statement"
)

func forward(st statement.Statement) statement.Step {
	return statement.Step{Command: statement.Forward{Request: statement.Request{ID: "1", Statement: st}}}
}

// Guards against steps that are reported as rolled back after their connection was closed, although a commit or a write
// among them may have taken effect.
func TestRollsBackOnClose(t *testing.T) {
	open, read := statement.Step{Command: statement.OpenTransaction{}}, forward(statement.Read{})
	write, commit := forward(statement.Write{}), forward(statement.Commit{})
	executeRead, executeWrite := forward(statement.Execute{}), forward(statement.Execute{})
	executeRead.Shape, executeWrite.Shape = &statement.Shape{}, &statement.Shape{Writes: true}
	for name, c := range map[string]struct {
		state statement.TransactionState
		steps []statement.Step
		want  bool
	}{
		"read":                           {statement.Idle, []statement.Step{read}, true},
		"write outside a transaction":    {statement.Idle, []statement.Step{write}, false},
		"prepared read":                  {statement.Idle, []statement.Step{executeRead}, true},
		"prepared write":                 {statement.Idle, []statement.Step{executeWrite}, false},
		"execute without a shape":        {statement.Idle, []statement.Step{forward(statement.Execute{})}, false},
		"start of a transaction":         {statement.Idle, []statement.Step{open, write}, true},
		"write in a transaction":         {statement.InTransaction, []statement.Step{write}, true},
		"commit":                         {statement.InTransaction, []statement.Step{commit}, false},
		"commit of an empty transaction": {statement.Idle, []statement.Step{open, commit}, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, statement.RollsBackOnClose(c.state, c.steps))
		})
	}
}
