package port

import (
	"fmt"

	"github.com/rhubarbwick/rhubarbwick/group"
)

// Refusal is the cause of an error of kind Conflict with which a Server refuses a fence, a promotion or a follow.
type Refusal struct {
	// Promised is the term that the server has promised.
	Promised group.Term
}

// Error returns the message.
func (r *Refusal) Error() string { return fmt.Sprintf("term %d is promised", r.Promised) }
