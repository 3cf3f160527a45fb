package server

import (
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// TermState is the role of a server in its group with the terms that it has promised and follows. It is immutable. The
// zero value is a replica that has promised no term.
type TermState struct {
	primary   bool
	promised  group.Term
	candidate string
	followed  group.Term
}

// Role returns the role of the server.
func (s TermState) Role() group.Role {
	if s.primary {
		return group.Primary
	}
	return group.Replica
}

// IsPrimary reports whether the server is the primary, so that it accepts writes.
func (s TermState) IsPrimary() bool { return s.primary }

// AcceptsEntries reports whether the server accepts entries from the primary of term.
func (s TermState) AcceptsEntries(term group.Term) bool { return !s.primary && term == s.promised }

// WithFence returns the state after the server has promised term to candidate. A repeated fence changes nothing.
func (s TermState) WithFence(term group.Term, candidate string) (TermState, error) {
	if term == s.promised && candidate == s.candidate && candidate != "" {
		return s, nil
	}
	if term <= s.promised || candidate == "" {
		return s, termConflict(term, s.promised)
	}
	return TermState{promised: term, candidate: candidate, followed: s.followed}, nil
}

// WithPromotion returns the state as primary of term. It returns an error unless the server has promised exactly this
// term to this candidate and follows no other primary of the term.
func (s TermState) WithPromotion(term group.Term, candidate string) (TermState, error) {
	if term != s.promised || candidate == "" || candidate != s.candidate {
		return s, termConflict(term, s.promised)
	}
	s.primary = true
	s.followed = term
	return s, nil
}

// WithFollow returns the state of a replica of the primary of term. The followed term does not change before the logs
// have been compared.
func (s TermState) WithFollow(term group.Term) (TermState, error) {
	if term < s.promised || s.primary && term == s.promised {
		return s, termConflict(term, s.promised)
	}
	return TermState{promised: term, followed: s.followed}, nil
}

// WithSynced returns the state after the log was truncated to the common history with the primary of term.
func (s TermState) WithSynced(term group.Term) TermState {
	s.followed = term
	return s
}

func termConflict(term, promised group.Term) error {
	return port.Wrapf(&port.TermConflictError{Promised: promised}, port.Conflict, "order of term %d was refused", term)
}
