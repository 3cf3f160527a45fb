package session

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
)

// MaxObservationAge is how old the last answer of a server may be for a read to go there. A server that has stopped
// answering is not chosen.
const MaxObservationAge = 2500 * time.Millisecond

// MaxPrimaryObservationAge is how old the last answer of the primary may be for a write to go there. It is little more than the
// period of an instance that does not watch the group, so a write seldom waits for a primary that is well, and does not
// hang at one that is frozen.
const MaxPrimaryObservationAge = 1250 * time.Millisecond

// RefreshAge is how old the answer of a replica may be before a read that only the primary could serve has the servers
// asked again. One round of questions costs less than a read at the primary.
const RefreshAge = 5 * time.Millisecond

// Request is what the placement has to know of a statement. The zero value is a write.
type Request struct {
	// Group is the name of the group that the route leads to.
	Group string
	// Read is true when the request only reads.
	Read bool
	// AcceptedAge is the age of data that a read accepts; zero accepts none.
	AcceptedAge time.Duration
	// DataCentre is the data centre of the deciding instance; its servers are preferred.
	DataCentre string
	// TieBreaker chooses between servers that fit equally well.
	TieBreaker uint64

	newest      group.Position
	newestKnown bool
}

// WithReadPosition returns the request with a position that lies at or after every write that was acknowledged before the
// request began, as group.View.Newest gives it.
func (r Request) WithReadPosition(p group.Position) Request {
	r.newest = p
	r.newestKnown = true
	return r
}

// WithoutReadPosition returns the request without the position that WithNewest gave it.
func (r Request) WithoutReadPosition() Request {
	r.newest = group.Position{}
	r.newestKnown = false
	return r
}

// Selection is where a request goes. It is one of ToPrimary, ToServer, AwaitNewest, AwaitPrimary and AwaitServer.
type Selection interface{ placement() }

// ToPrimary sends the request to the primary of a term.
type ToPrimary struct {
	Server string
	Term   group.Term
}

// ToServer sends a read to a server that holds what the session has to see.
type ToServer struct {
	Server  string
	Replica bool
}

// AwaitReadPosition asks for the group's newest position, and so for fresh answers of its servers, before the request is
// placed again.
type AwaitReadPosition struct{}

// AwaitPrimary waits until the group has a primary.
type AwaitPrimary struct{}

// AwaitServer waits until a server fits.
type AwaitServer struct{}

func (ToPrimary) placement()         {}
func (ToServer) placement()          {}
func (AwaitReadPosition) placement() {}
func (AwaitPrimary) placement()      {}
func (AwaitServer) placement()       {}

// SelectServer decides where the session's request goes, given what is known of the group at instant now.
func SelectServer(r Request, s Session, v group.View, now time.Duration) Selection {
	floor, known := s.Floor(r.Group)
	if !known {
		if !r.newestKnown {
			return AwaitReadPosition{}
		}
		floor = r.newest
	}
	if r.Read {
		return placeRead(r, v, floor, now)
	}
	return placeWrite(v, floor, now)
}

// placeWrite waits rather than send a write to a primary that has stopped answering or has lost its replicas: a write
// that has not started can be refused "not run", while one that nobody acknowledges has an unknown outcome. The primary
// has to hold the floor as well, because a transaction that writes may read first, and a primary that was replaced
// without its knowledge would answer with old data.
func placeWrite(v group.View, floor group.Position, now time.Duration) Selection {
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

func placeRead(r Request, v group.View, floor group.Position, now time.Duration) Selection {
	fitting := slices.DeleteFunc(v.Members(), func(m group.Member) bool { return !fits(r, v, m, floor, now) })
	if len(fitting) == 0 {
		return AwaitServer{}
	}
	best := slices.MinFunc(fitting, func(a, b group.Member) int { return comparePreference(r, v, a, b) })
	if isPrimary(v, best) == 1 && !r.newestKnown && staleReplica(v, now) {
		return AwaitReadPosition{}
	}
	fitting = slices.DeleteFunc(fitting, func(m group.Member) bool { return comparePreference(r, v, m, best) != 0 })
	chosen := fitting[r.TieBreaker%uint64(len(fitting))]
	return ToServer{Server: chosen.Name, Replica: isPrimary(v, chosen) == 0}
}

// staleReplica reports whether a replica that answers may hold more by now than its last answer tells.
func staleReplica(v group.View, now time.Duration) bool {
	return slices.ContainsFunc(v.Members(), func(m group.Member) bool {
		o, ok := v.Observation(m.Name)
		age := now - o.RequestedAt
		return ok && !m.Draining && o.Status.Role == group.Replica && age > RefreshAge && age <= MaxObservationAge
	})
}

// fits reports whether the member may serve a read that has to see floor.
func fits(r Request, v group.View, m group.Member, floor group.Position, now time.Duration) bool {
	o, ok := v.Observation(m.Name)
	if !ok || m.Draining || now-o.RequestedAt > MaxObservationAge || !o.Status.History.Contains(floor) {
		return false
	}
	if r.newestKnown || r.AcceptedAge == 0 {
		return true
	}
	age, known := v.AgeAt(m.Name, now)
	return known && age <= r.AcceptedAge
}

// comparePreference orders members for a read: replicas before the primary, then the reader's own data centre.
func comparePreference(r Request, v group.View, a, b group.Member) int {
	return cmp.Or(
		cmp.Compare(isPrimary(v, a), isPrimary(v, b)),
		cmp.Compare(isElsewhere(r, a), isElsewhere(r, b)),
	)
}

func isPrimary(v group.View, m group.Member) int {
	if o, ok := v.Observation(m.Name); ok && o.Status.Role == group.Primary {
		return 1
	}
	return 0
}

func isElsewhere(r Request, m group.Member) int {
	if m.DataCentre == r.DataCentre {
		return 0
	}
	return 1
}
