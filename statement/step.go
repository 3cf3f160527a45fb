package statement

import "maps"

// Step is a command for a borrowed server connection. Before it runs, the instance that owns the connection applies the
// session's values to it and, if Shape is not nil, prepares a statement of that shape.
type Step struct {
	// Order is a Forward, an Open or an Abandon.
	Order Order
	// Shape is the shape that a forwarded Execute runs. It is nil for other commands.
	Shape *Shape
}

// LeavesNothing reports whether closing the connection before the results of the steps arrive undoes all of them. This
// holds unless a step commits or writes outside a transaction. state is the transaction state before the first step.
func LeavesNothing(state State, steps []Step) bool {
	inTransaction := state != Idle
	for _, s := range steps {
		switch o := s.Order.(type) {
		case Open:
			inTransaction = true
		case Forward:
			if o.isCommit() || !inTransaction && !s.isRead() {
				return false
			}
		}
	}
	return true
}

func (o Forward) isCommit() bool {
	_, commits := o.Request.Statement.(Commit)
	return commits
}

func (s Step) isRead() bool {
	o, isForward := s.Order.(Forward)
	if !isForward {
		return false
	}
	switch o.Request.Statement.(type) {
	case Read:
		return true
	case Execute:
		return s.Shape != nil && !s.Shape.Writes
	default:
		return false
	}
}

// ContextOf returns a state with the given values and without prepared statements, as it is received from another
// instance.
func ContextOf(values map[string]string) Context { return Context{values: maps.Clone(values)} }

// Values returns a copy of the session values.
func (c Context) Values() map[string]string { return maps.Clone(c.values) }
