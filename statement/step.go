package statement

// Step is a command for a borrowed server connection. Before it runs, the connection is given the values of the session
// and, if Shape is not nil, a prepared statement of that shape.
type Step struct {
	// Command is a Forward, an OpenTransaction or a RollbackTransaction.
	Command Command
	// Shape is the shape that a forwarded Execute runs. It is nil for other commands.
	Shape *Shape
}

// Bytes returns the length of the texts of the step.
func (s Step) Bytes() int {
	forward, isForward := s.Command.(Forward)
	if !isForward {
		return 0
	}
	n := len(forward.Request.ID)
	if s.Shape != nil {
		n += len(s.Shape.Text)
	}
	switch stmt := forward.Request.Statement.(type) {
	case Read:
		return n + len(stmt.Text)
	case Write:
		return n + len(stmt.Text)
	case Execute:
		return n + len(stmt.Name) + len(stmt.Arguments)
	default:
		return n
	}
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
			if command.isCommit() || !inTransaction && !s.IsRead() {
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
// IsRead reports whether the step forwards a read, which can be run again without harm.
func (s Step) IsRead() bool {
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
	var s SessionState
	for name, value := range values {
		s = s.WithValue(name, value)
	}
	return s
}

// Values returns a copy of the session values.
func (s SessionState) Values() map[string]string {
	values := make(map[string]string, s.values.Len())
	for name, value := range s.values.All() {
		values[name] = value.text
	}
	return values
}
