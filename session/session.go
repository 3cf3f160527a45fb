// Package session implements read-your-writes consistency: it tracks the position of a client's last write in each
// group, carries it between connections in a signed token, and selects a server that has it.
package session

import (
	"maps"

	"github.com/rhubarbwick/rhubarbwick/group"
)

// Session holds the positions of a client's acknowledged writes. It is immutable. The zero value belongs to no
// organisation, and its earlier writes are unknown.
type Session struct {
	organisation   string
	hasKnownWrites bool
	fresh          bool
	// floors holds the position that reads in each group have to see.
	floors map[string]group.Position
}

// New returns the session of a client without a token. The client may have written on other connections, so its reads
// see the newest data for as long as the connection lasts.
func New(organisation string) Session { return Session{organisation: organisation} }

// Fresh returns the session of a client that declares that it has no earlier writes.
func Fresh(organisation string) Session {
	return Session{organisation: organisation, hasKnownWrites: true, fresh: true}
}

// Resume returns the session of a client whose token has these positions from another connection.
func Resume(organisation string, floors map[string]group.Position) Session {
	return Session{organisation: organisation, hasKnownWrites: true, floors: maps.Clone(floors)}
}

// Organisation returns the name of the session's organisation.
func (s Session) Organisation() string { return s.organisation }

// Floor returns the position that the session's reads in the group have to see. It returns false if the session's
// earlier writes in the group are unknown, so that its reads need the newest data.
func (s Session) Floor(groupName string) (group.Position, bool) {
	p, ok := s.floors[groupName]
	return p, s.hasKnownWrites && (ok || s.fresh)
}

// HasKnownWrites reports whether the session's earlier writes on other connections are known.
func (s Session) HasKnownWrites() bool { return s.hasKnownWrites }

// WithUnknownWrites returns the session as one whose earlier writes are unknown. Its floors are kept for its token.
func (s Session) WithUnknownWrites() Session {
	s.hasKnownWrites, s.fresh = false, false
	return s
}

// Floors returns a copy of the positions that the session's token contains, by group.
func (s Session) Floors() map[string]group.Position { return maps.Clone(s.floors) }

// IsFresh reports whether the session has written nothing in groups without a floor.
func (s Session) IsFresh() bool { return s.fresh }

// WithFloor returns the session after its write at p was acknowledged. A floor never decreases. p must be acknowledged:
// a failover may discard any other position, and no server would contain it again.
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
