package group

import (
	"maps"
	"slices"
	"time"
)

// Observation is a status with the instants, on the observer's monotonic clock, between which it was true.
type Observation struct {
	Status Status
	// Asked is when the question was sent: the status is no older.
	Asked time.Duration
	// Received is when the answer came.
	Received time.Duration
}

// Member is a server of the group as the document names it.
type Member struct {
	Name       string
	Address    string
	DataCentre string
	Departing  bool
}

// View is what one observer knows of a group. A View is never changed in place; the zero value knows no server.
type View struct {
	members []Member
	seen    map[string]Observation
}

// NewView returns a view of a group with these members, of which nothing is known yet.
func NewView(members ...Member) View {
	return View{members: slices.Clone(members)}
}

// WithMembers returns the view with other members. It keeps what is known of members that stay.
func (v View) WithMembers(members ...Member) View {
	seen := make(map[string]Observation, len(members))
	for _, member := range members {
		if o, ok := v.seen[member.Name]; ok {
			seen[member.Name] = o
		}
	}
	return View{members: slices.Clone(members), seen: seen}
}

// WithObservation returns the view after an observation. An observation that was asked earlier than the known
// one of the same server is ignored, because answers can arrive crossed.
func (v View) WithObservation(o Observation) View {
	if known, ok := v.seen[o.Status.Server]; ok && known.Asked > o.Asked {
		return v
	}
	if !slices.ContainsFunc(v.members, func(m Member) bool { return m.Name == o.Status.Server }) {
		return v
	}
	seen := maps.Clone(v.seen)
	if seen == nil {
		seen = make(map[string]Observation, len(v.members))
	}
	seen[o.Status.Server] = o
	return View{members: v.members, seen: seen}
}

// Members returns a copy of the members.
func (v View) Members() []Member { return slices.Clone(v.members) }

// Member returns the member of the name.
func (v View) Member(name string) (Member, bool) {
	if i := slices.IndexFunc(v.members, func(m Member) bool { return m.Name == name }); i >= 0 {
		return v.members[i], true
	}
	return Member{}, false
}

// Observation returns what is known of a server.
func (v View) Observation(server string) (Observation, bool) {
	o, ok := v.seen[server]
	return o, ok
}

// Majority returns the number of servers that is more than half of the group.
func (v View) Majority() int { return len(v.members)/2 + 1 }

// Term returns the highest term that any known server has promised or follows.
func (v View) Term() Term {
	var term Term
	for _, o := range v.seen {
		term = max(term, o.Status.Promised, o.Status.Followed)
	}
	return term
}

// Primary returns the primary of the highest term that a known server leads. It reports false when there is none, or
// when a majority has promised a later term. A promise of fewer servers does not stop the primary.
func (v View) Primary() (Member, bool) {
	var primary Member
	var term Term
	for _, member := range v.members {
		o, ok := v.seen[member.Name]
		if ok && o.Status.Role == Primary && o.Status.Followed > term {
			primary, term = member, o.Status.Followed
		}
	}
	if term == 0 || v.promisedAfter(term) >= v.Majority() {
		return Member{}, false
	}
	return primary, true
}

func (v View) promisedAfter(term Term) int {
	n := 0
	for _, o := range v.seen {
		if o.Status.Promised > term {
			n++
		}
	}
	return n
}

// Acknowledged reports whether a write at p may be confirmed: a majority of the servers holds p in a log that
// follows p's term. Every later primary is chosen after a majority was fenced, from the furthest log among
// them; the two majorities share a server, so every later log contains p.
func (v View) Acknowledged(p Position) bool {
	holders := 0
	for _, member := range v.members {
		o, ok := v.seen[member.Name]
		if ok && o.Status.Followed == p.Term && o.Status.History.Contains(p) {
			holders++
		}
	}
	return holders >= v.Majority()
}

// Settlement is what became of a write.
type Settlement string

// The settlements of a write.
const (
	// Unsettled means that the write may yet be kept or discarded.
	Unsettled Settlement = ""
	// Kept means that the write is in the log of every later primary.
	Kept Settlement = "kept"
	// Lost means that no later log contains the write.
	Lost Settlement = "lost"
)

// Settle reports what became of a write at p. When the first entry of a later term is held by a majority, every later
// log contains the log up to that entry, so its history settles whether the write was kept.
func (v View) Settle(p Position) Settlement {
	if v.Acknowledged(p) {
		return Kept
	}
	for _, member := range v.members {
		o, ok := v.seen[member.Name]
		if !ok || o.Status.Followed <= p.Term {
			continue
		}
		first, found := o.Status.History.FirstOf(o.Status.Followed)
		if !found || !v.Acknowledged(first) {
			continue
		}
		if o.Status.History.Contains(p) {
			return Kept
		}
		return Lost
	}
	return Unsettled
}

// Newest returns a position that lies at or after every write that was acknowledged before instant since. It
// reports false until a majority of the servers was asked at since or later. An acknowledged write is in the logs of
// a majority, so one of the asked servers holds it, and the furthest of their logs does.
func (v View) Newest(since time.Duration) (Position, bool) {
	asked := 0
	var newest Position
	for _, member := range v.members {
		o, ok := v.seen[member.Name]
		if !ok || o.Asked < since {
			continue
		}
		asked++
		if last := o.Status.Last(); last.Compare(newest) > 0 {
			newest = last
		}
	}
	return newest, asked >= v.Majority()
}

// AgeAt bounds how old a server's data is at instant now. It reports false when the server cannot tell.
func (v View) AgeAt(server string, now time.Duration) (time.Duration, bool) {
	o, ok := v.seen[server]
	if !ok || !o.Status.AgeKnown {
		return 0, false
	}
	return o.Status.Age + now - o.Asked, true
}

// PrimaryLost reports whether the primary has to be replaced: a majority of the servers said at their last answer
// that it has not heard from a current primary for SilenceLimit, or one server has been left with a promise of a later
// term for OrphanLimit and takes no entries until there is a primary of a later term still.
func (v View) PrimaryLost() bool {
	missing := 0
	for _, member := range v.members {
		o, ok := v.seen[member.Name]
		if !ok || o.Status.Role != Replica || o.Status.PrimarySilence < SilenceLimit {
			continue
		}
		missing++
		if o.Status.Promised > o.Status.Followed && o.Status.PrimarySilence >= OrphanLimit {
			return true
		}
	}
	return missing >= v.Majority()
}
