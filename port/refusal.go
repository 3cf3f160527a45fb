package port

import (
	"fmt"

	"github.com/rhubarbwick/rhubarbwick/group"
)

// TermConflictError is the cause of an error of kind Conflict with which a Server refuses a fence, a promotion or a follow.
type TermConflictError struct {
	// Promised is the term that the server has promised.
	Promised group.Term
}

// Error returns the message.
func (r *TermConflictError) Error() string { return fmt.Sprintf("term %d is promised", r.Promised) }
