package statement_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rhubarbwick/rhubarbwick/statement"
)

func forwardOf(st statement.Statement) statement.Step {
	return statement.Step{Command: statement.Forward{Request: statement.Request{ID: "1", Statement: st}}}
}

// Guards against steps that are given up, and said to be not kept, although they may have been kept.
func TestLeavesNothing(t *testing.T) {
	open, read := statement.Step{Command: statement.OpenTransaction{}}, forwardOf(statement.Read{})
	write, commit := forwardOf(statement.Write{}), forwardOf(statement.Commit{})
	executeRead, executeWrite := forwardOf(statement.Execute{}), forwardOf(statement.Execute{})
	executeRead.Shape, executeWrite.Shape = &statement.Shape{}, &statement.Shape{Writes: true}
	for name, c := range map[string]struct {
		state statement.TransactionState
		steps []statement.Step
		want  bool
	}{
		"a read":                      {statement.Idle, []statement.Step{read}, true},
		"a write":                     {statement.Idle, []statement.Step{write}, false},
		"an execution that reads":     {statement.Idle, []statement.Step{executeRead}, true},
		"an execution that writes":    {statement.Idle, []statement.Step{executeWrite}, false},
		"an execution without shape":  {statement.Idle, []statement.Step{forwardOf(statement.Execute{})}, false},
		"the start of a transaction":  {statement.Idle, []statement.Step{open, write}, true},
		"a write in a transaction":    {statement.InTransaction, []statement.Step{write}, true},
		"a commit":                    {statement.InTransaction, []statement.Step{commit}, false},
		"a commit without statements": {statement.Idle, []statement.Step{open, commit}, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, statement.RollsBackOnClose(c.state, c.steps))
		})
	}
}
