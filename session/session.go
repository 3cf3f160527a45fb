// Package session decides where a caller's requests go so that the caller reads its own writes at every instance.
package session

import (
	"maps"

	"github.com/rhubarbwick/rhubarbwick/group"
)

// Session is what is known of a caller's session. A Session is never changed in place. The zero value belongs
// to no organisation and may have written anything elsewhere.
type Session struct {
	organisation string
	carried      bool
	fresh        bool
	floors       map[string]group.Position
}

// New returns the session of a caller that brought no token. It may have written anything on other connections,
// so its reads see the newest data for as long as the connection lasts.
func New(organisation string) Session { return Session{organisation: organisation} }

// Fresh returns the session of a caller that declares that it has no earlier writes to see.
func Fresh(organisation string) Session {
	return Session{organisation: organisation, carried: true, fresh: true}
}

// Resume returns the session of a caller that brought these positions from another connection.
func Resume(organisation string, floors map[string]group.Position) Session {
	return Session{organisation: organisation, carried: true, floors: maps.Clone(floors)}
}

// Organisation returns the name of the organisation that the session belongs to.
func (s Session) Organisation() string { return s.organisation }

// Floor returns the position that the session's next read in the group has to see. It reports false when the
// session may have written anything, so that only the newest data will do.
func (s Session) Floor(groupName string) (group.Position, bool) {
	p, ok := s.floors[groupName]
	return p, s.carried && (ok || s.fresh)
}

// HasKnownWrites reports whether the session's earlier writes are known.
func (s Session) HasKnownWrites() bool { return s.carried }

// WithUnknownWrites returns the session as one that may have written anything elsewhere. Its floors stay for its token.
func (s Session) WithUnknownWrites() Session {
	s.carried, s.fresh = false, false
	return s
}

// Floors returns a copy of the positions that the session's token carries.
func (s Session) Floors() map[string]group.Position { return maps.Clone(s.floors) }

// IsFresh reports whether groups without a position were never written by the session.
func (s Session) IsFresh() bool { return s.fresh }

// WithFloor returns the session after its write at p was acknowledged. A floor never falls. Only acknowledged
// positions are floors, because any other may be discarded and would never be contained again.
func (s Session) WithFloor(groupName string, p group.Position) Session {
	if known, ok := s.floors[groupName]; ok && known.Compare(p) >= 0 {
		return s
	}
	floors := make(map[string]group.Position, len(s.floors)+1)
	maps.Copy(floors, s.floors)
	floors[groupName] = p
	s.floors = floors
	return s
}
