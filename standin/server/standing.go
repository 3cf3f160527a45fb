package server

import (
	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// Standing is what a server has promised and what it does in its group. A Standing is never changed in place. The
// zero value is a replica that has promised nothing.
type Standing struct {
	primary   bool
	promised  group.Term
	candidate string
	followed  group.Term
}

// Role returns what the server does.
func (s Standing) Role() group.Role {
	if s.primary {
		return group.Primary
	}
	return group.Replica
}

// IsPrimary reports whether the server takes writes.
func (s Standing) IsPrimary() bool { return s.primary }

// Takes reports whether the server takes entries from the primary of term.
func (s Standing) Takes(term group.Term) bool { return !s.primary && term == s.promised }

// WithFence returns the standing after the server promised term to candidate. A repeated fence changes nothing.
func (s Standing) WithFence(term group.Term, candidate string) (Standing, error) {
	if term == s.promised && candidate == s.candidate && candidate != "" {
		return s, nil
	}
	if term <= s.promised || candidate == "" {
		return s, refuse(term, s.promised)
	}
	return Standing{promised: term, candidate: candidate, followed: s.followed}, nil
}

// WithPromotion returns the standing of the primary of term. It is refused unless the promise is exactly term and
// candidate and no other primary of term is followed.
func (s Standing) WithPromotion(term group.Term, candidate string) (Standing, error) {
	if term != s.promised || candidate == "" || candidate != s.candidate {
		return s, refuse(term, s.promised)
	}
	s.primary = true
	s.followed = term
	return s, nil
}

// WithFollow returns the standing of a server that was told to follow the primary of term. It follows an earlier
// term until the logs were compared.
func (s Standing) WithFollow(term group.Term) (Standing, error) {
	if term < s.promised || s.primary && term == s.promised {
		return s, refuse(term, s.promised)
	}
	return Standing{promised: term, followed: s.followed}, nil
}

// WithSynced returns the standing after the log was cut to the common history with the primary of term.
func (s Standing) WithSynced(term group.Term) Standing {
	s.followed = term
	return s
}

func refuse(term, promised group.Term) error {
	return port.Wrapf(&port.TermConflictError{Promised: promised}, port.Conflict, "order of term %d was refused", term)
}
