package session

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
)

// MaxReadStatusAge is the maximum age of a server's last status for it to be selected for reads. Servers that no
// longer respond are not selected.
const MaxReadStatusAge = 2500 * time.Millisecond

// MaxPrimaryObservationAge is the maximum age of the primary's last status for a write to be sent to it. It is slightly
// longer than the status period of an instance that does not watch the group, so that a write rarely waits for a
// healthy primary and does not hang on one that has stopped responding.
const MaxPrimaryObservationAge = 1250 * time.Millisecond

// RefreshAge is the maximum age of a replica's status for a read to go to the primary without a refresh. A status
// request to every server costs less than a read on the primary.
const RefreshAge = 5 * time.Millisecond

// Request holds the properties of a statement that determine where it may run. The zero value is a write.
type Request struct {
	// Group is the name of the route's group.
	Group string
	// Read is true if the request only reads.
	Read bool
	// AcceptedAge is the staleness that a read accepts; zero means that it accepts none.
	AcceptedAge time.Duration
	// DataCentre is the data centre of this instance. Its servers are preferred.
	DataCentre string
	// TieBreaker distributes requests over servers that are equally suitable.
	TieBreaker uint64

	readPosition    group.Position
	hasReadPosition bool
}

// WithReadPosition returns the request with a position at or after every write that was acknowledged before the request
// began, as returned by group.View.ReadPosition.
func (r Request) WithReadPosition(p group.Position) Request {
	r.readPosition = p
	r.hasReadPosition = true
	return r
}

// WithoutReadPosition returns the request without the position that WithReadPosition set.
func (r Request) WithoutReadPosition() Request {
	r.readPosition = group.Position{}
	r.hasReadPosition = false
	return r
}

// Selection is the result of SelectServer. It is one of ToPrimary, ToServer, AwaitReadPosition, AwaitPrimary and
// AwaitServer.
type Selection interface{ selection() }

// ToPrimary sends the request to the primary of Term.
type ToPrimary struct {
	Server string
	Term   group.Term
}

// ToServer sends a read to a server whose log contains the position that the session has to see.
type ToServer struct {
	Server  string
	Replica bool
}

// AwaitReadPosition waits for the group's read position, and so for a new status of its servers, before SelectServer is
// called again.
type AwaitReadPosition struct{}

// AwaitPrimary waits until the group has a primary.
type AwaitPrimary struct{}

// AwaitServer waits until a server is eligible.
type AwaitServer struct{}

func (ToPrimary) selection()         {}
func (ToServer) selection()          {}
func (AwaitReadPosition) selection() {}
func (AwaitPrimary) selection()      {}
func (AwaitServer) selection()       {}

// SelectServer selects the server for the session's request from the state of the group at instant now.
func SelectServer(r Request, s Session, v group.View, now time.Duration) Selection {
	floor, known := s.Floor(r.Group)
	if !known {
		if !r.hasReadPosition {
			return AwaitReadPosition{}
		}
		floor = r.readPosition
	}
	if r.Read {
		return selectForRead(r, v, floor, now)
	}
	return selectForWrite(v, floor, now)
}

// selectForWrite waits instead of sending a write to a primary that has stopped responding or has lost its replicas: a
// write that has not started can fail as "not run", while one that is never acknowledged has an unknown outcome. The
// primary's log must also contain the floor, because a transaction that writes may read first, and a former primary
// that does not know of its successor would return old data.
func selectForWrite(v group.View, floor group.Position, now time.Duration) Selection {
	primary, ok := v.Primary()
	if !ok || v.PrimaryLost(now) || v.PrimaryUnresponsive(now) {
		return AwaitPrimary{}
	}
	o, _ := v.Observation(primary.Name)
	if now-o.RequestedAt > MaxPrimaryObservationAge || !o.Status.History.Contains(floor) {
		return AwaitPrimary{}
	}
	return ToPrimary{Server: primary.Name, Term: o.Status.Followed}
}

func selectForRead(r Request, v group.View, floor group.Position, now time.Duration) Selection {
	eligible := slices.DeleteFunc(v.Members(), func(m group.Member) bool { return !isEligible(r, v, m, floor, now) })
	if len(eligible) == 0 {
		return AwaitServer{}
	}
	best := slices.MinFunc(eligible, func(a, b group.Member) int { return comparePreference(r, v, a, b) })
	if isPrimary(v, best) == 1 && !r.hasReadPosition && hasOutdatedReplica(v, now) {
		return AwaitReadPosition{}
	}
	eligible = slices.DeleteFunc(eligible, func(m group.Member) bool { return comparePreference(r, v, m, best) != 0 })
	selected := eligible[r.TieBreaker%uint64(len(eligible))]
	return ToServer{Server: selected.Name, Replica: isPrimary(v, selected) == 0}
}

// hasOutdatedReplica reports whether the status of a responding replica is so old that the replica may have caught up
// since.
func hasOutdatedReplica(v group.View, now time.Duration) bool {
	return slices.ContainsFunc(v.Members(), func(m group.Member) bool {
		o, ok := v.Observation(m.Name)
		age := now - o.RequestedAt
		return ok && !m.Draining && o.Status.Role == group.Replica && age > RefreshAge && age <= MaxReadStatusAge
	})
}

// isEligible reports whether the member can serve a read that has to see floor.
func isEligible(r Request, v group.View, m group.Member, floor group.Position, now time.Duration) bool {
	o, ok := v.Observation(m.Name)
	if !ok || m.Draining || now-o.RequestedAt > MaxReadStatusAge || !o.Status.History.Contains(floor) {
		return false
	}
	if r.hasReadPosition || r.AcceptedAge == 0 {
		return true
	}
	age, known := v.AgeAt(m.Name, now)
	return known && age <= r.AcceptedAge
}

// comparePreference orders members for a read: replicas before the primary, then members of the request's data centre.
func comparePreference(r Request, v group.View, a, b group.Member) int {
	return cmp.Or(
		cmp.Compare(isPrimary(v, a), isPrimary(v, b)),
		cmp.Compare(isRemote(r, a), isRemote(r, b)),
	)
}

func isPrimary(v group.View, m group.Member) int {
	if o, ok := v.Observation(m.Name); ok && o.Status.Role == group.Primary {
		return 1
	}
	return 0
}

func isRemote(r Request, m group.Member) int {
	if m.DataCentre == r.DataCentre {
		return 0
	}
	return 1
}
