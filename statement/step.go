package statement

import "maps"

// Step is an order for a lent connection. Whoever holds the connection first gives it the values of the session's context
// and, if Shape is not nil, a prepared name for the shape.
type Step struct {
	// Command is one of Forward, Open and Abandon.
	Command Command
	// Shape is what a Forward of an Execute runs; nil otherwise.
	Shape *Shape
}

// RollsBackOnClose reports whether steps that run on a connection in the state leave nothing behind when the connection is
// closed before their answers come: all but commits, and writes outside a transaction.
func RollsBackOnClose(state TransactionState, steps []Step) bool {
	inTransaction := state != Idle
	for _, s := range steps {
		switch o := s.Command.(type) {
		case OpenTransaction:
			inTransaction = true
		case Forward:
			if o.commits() || !inTransaction && !s.reads() {
				return false
			}
		}
	}
	return true
}

func (o Forward) commits() bool {
	_, commits := o.Request.Statement.(Commit)
	return commits
}

// reads reports whether the step only reads.
func (s Step) reads() bool {
	o, isForward := s.Command.(Forward)
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

// NewSessionState returns a context with the values and without prepared names, as it arrives from another instance.
func NewSessionState(values map[string]string) SessionState {
	return SessionState{values: maps.Clone(values)}
}

// Values returns the values of the session.
func (c SessionState) Values() map[string]string { return maps.Clone(c.values) }
