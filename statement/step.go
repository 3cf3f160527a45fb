package statement

import "maps"

// Step is a command for a borrowed server connection. Before it runs, the connection is given the values of the session
// and, if Shape is not nil, a prepared statement of that shape.
type Step struct {
	// Command is a Forward, an OpenTransaction or a RollbackTransaction.
	Command Command
	// Shape is the shape that a forwarded Execute runs. It is nil for other commands.
	Shape *Shape
}

// RollsBackOnClose reports whether closing the connection before the results of the steps arrive undoes all of them.
// This holds unless a step commits or writes outside a transaction. state is the transaction state before the first
// step.
func RollsBackOnClose(state TransactionState, steps []Step) bool {
	inTransaction := state != Idle
	for _, s := range steps {
		switch command := s.Command.(type) {
		case OpenTransaction:
			inTransaction = true
		case Forward:
			if command.isCommit() || !inTransaction && !s.isRead() {
				return false
			}
		}
	}
	return true
}

func (f Forward) isCommit() bool {
	_, commits := f.Request.Statement.(Commit)
	return commits
}

// IsRead reports whether the step forwards a read, which can be run again without harm.
func (s Step) IsRead() bool { return s.isRead() }

func (s Step) isRead() bool {
	forward, isForward := s.Command.(Forward)
	if !isForward {
		return false
	}
	switch forward.Request.Statement.(type) {
	case Read:
		return true
	case Execute:
		return s.Shape != nil && !s.Shape.Writes
	default:
		return false
	}
}

// NewSessionState returns a state with the given values and without prepared statements, as it is received from another
// instance.
func NewSessionState(values map[string]string) SessionState {
	return SessionState{values: maps.Clone(values)}
}

// Values returns a copy of the session values.
func (s SessionState) Values() map[string]string { return maps.Clone(s.values) }
