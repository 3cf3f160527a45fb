package port

import (
	"fmt"

	"github.com/rhubarbwick/rhubarbwick/group"
)

// TermConflictError is the cause of the Conflict error with which a Server rejects Fence, Promote or Follow because of
// the term that it has promised.
type TermConflictError struct {
	// Promised is the term that the server has promised.
	Promised group.Term
}

// Error returns the message. It is also the error detail on the wire, from which the term is parsed.
func (e *TermConflictError) Error() string { return fmt.Sprintf("term %d is promised", e.Promised) }
