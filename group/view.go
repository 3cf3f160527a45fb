package group

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Observation is a status with the instants, on the observer's monotonic clock, between which it was true.
type Observation struct {
	Status Status
	// RequestedAt is when the question was sent: the status is no older.
	RequestedAt time.Duration
	// ReceivedAt is when the answer came.
	ReceivedAt time.Duration

	// since is when the server was first asked in the state that the status shows: its role and its terms.
	since time.Duration
}

// MaxObservationAge is how old the answer of a server may be to count against the primary. An observer that was cut off
// must not act on what it knew before.
const MaxObservationAge = 2 * time.Second

// fenced reports whether the server has promised a term that it does not follow, so that it takes no entries.
func (o Observation) fenced() bool { return o.Status.Promised > o.Status.Followed }

// lasted returns for how long the server has been seen in its state.
func (o Observation) lasted() time.Duration { return o.RequestedAt - o.since }

// compareProgress orders two statuses of one server by what only grows while it runs.
func compareProgress(a, b Status) int {
	return cmp.Or(
		cmp.Compare(a.Promised, b.Promised),
		cmp.Compare(a.Followed, b.Followed),
		a.Last().Compare(b.Last()),
	)
}

// after returns what is known of a server when o follows known. Of two answers that were outstanding at the same time
// the one that shows more progress is the later one, whichever was asked first.
func (o Observation) after(known Observation) Observation {
	switch {
	case o.RequestedAt >= known.ReceivedAt:
	case known.RequestedAt >= o.ReceivedAt:
		return known
	default:
		progress := compareProgress(o.Status, known.Status)
		if progress < 0 || progress == 0 && o.RequestedAt < known.RequestedAt {
			known.RequestedAt = max(known.RequestedAt, o.RequestedAt)
			return known
		}
		o.RequestedAt = max(known.RequestedAt, o.RequestedAt)
	}
	o.since = o.RequestedAt
	a, b := o.Status, known.Status
	if a.Role == b.Role && a.Promised == b.Promised && a.Followed == b.Followed {
		o.since = known.since
	}
	return o
}

// Member is a server of the group as the document names it.
type Member struct {
	Name       string
	Address    string
	DataCentre string
	Draining   bool
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

// WithMembers returns the view with other members. It keeps what is known of members that stay at their address; at
// another address there may be another log.
func (v View) WithMembers(members ...Member) View {
	seen := make(map[string]Observation, len(members))
	for _, member := range members {
		known, _ := v.Member(member.Name)
		if o, ok := v.seen[member.Name]; ok && known.Address == member.Address {
			seen[member.Name] = o
		}
	}
	return View{members: slices.Clone(members), seen: seen}
}

// WithObservation returns the view after an observation. Answers can arrive crossed; one that is earlier than the known
// one of the same server changes nothing.
func (v View) WithObservation(o Observation) View {
	if !slices.ContainsFunc(v.members, func(m Member) bool { return m.Name == o.Status.Server }) {
		return v
	}
	seen := maps.Clone(v.seen)
	if seen == nil {
		seen = make(map[string]Observation, len(v.members))
	}
	if known, ok := seen[o.Status.Server]; ok {
		seen[o.Status.Server] = o.after(known)
	} else {
		o.since = o.RequestedAt
		seen[o.Status.Server] = o
	}
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

// Primary returns the primary of the highest term that a known server leads. It reports false when there is none, when
// the primary itself has promised a later term, when a server follows a later term, or when a majority has promised
// one. A promise of fewer servers does not stop the primary.
func (v View) Primary() (Member, bool) {
	var primary Member
	var leader Observation
	for _, member := range v.members {
		o, ok := v.seen[member.Name]
		if ok && o.Status.Role == Primary && o.Status.Followed > leader.Status.Followed {
			primary, leader = member, o
		}
	}
	term := leader.Status.Followed
	if term == 0 || leader.fenced() || v.followed() > term || v.promisedAfter(term) >= v.Majority() {
		return Member{}, false
	}
	return primary, true
}

// followed returns the highest term that a known server follows. A majority has promised it at some time.
func (v View) followed() Term {
	var term Term
	for _, o := range v.seen {
		term = max(term, o.Status.Followed)
	}
	return term
}

// lastPrimary returns the server that led the highest term that a known server follows. It is empty when none does.
func (v View) lastPrimary() string {
	top := v.followed()
	for name, o := range v.seen {
		if o.Status.Role == Primary && o.Status.Followed == top {
			return name
		}
	}
	return ""
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

// WriteOutcome is what became of a write.
type WriteOutcome string

// The settlements of a write.
const (
	// Undetermined means that the write may yet be kept or discarded.
	Undetermined WriteOutcome = ""
	// Kept means that the write is in the log of every later primary.
	Kept WriteOutcome = "kept"
	// Lost means that no later log contains the write.
	Lost WriteOutcome = "lost"
)

// OutcomeOf reports what became of a write at p. When the first entry of a later term is held by a majority, every later
// log contains the log up to that entry, so its history settles whether the write was kept.
func (v View) OutcomeOf(p Position) WriteOutcome {
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
	return Undetermined
}

// ReadPosition returns a position that lies at or after every write that was acknowledged before instant since, so that each
// log that holds the position holds those writes. It reports false until a majority of the servers was asked at since or
// later.
//
// An acknowledged write is in the logs of a majority, so when n of the servers were asked, at least majority - (members -
// n) of them hold it. The log that is as many places from the furthest holds it too: logs of one term are prefixes of
// each other, and a log of a later term begins with all that was acknowledged in earlier ones. With one server missing of
// three that is the furthest log, with none missing the second. A server with an empty log may have lost the write; then
// the furthest log is taken, and the empty one counts only when every server was asked.
func (v View) ReadPosition(since time.Duration) (Position, bool) {
	var lasts []Position
	empty := 0
	for _, member := range v.members {
		o, ok := v.seen[member.Name]
		if !ok || o.RequestedAt < since {
			continue
		}
		last := o.Status.Last()
		if last.IsZero() {
			empty++
		}
		lasts = append(lasts, last)
	}
	asked, holding := len(lasts), len(lasts)-empty
	if asked == 0 || holding < v.Majority() && asked < len(v.members) {
		return Position{}, false
	}
	slices.SortFunc(lasts, func(a, b Position) int { return b.Compare(a) })
	place := v.Majority() - (len(v.members) - asked)
	if empty > 0 || place < 1 {
		place = 1
	}
	return lasts[place-1], true
}

// AllRequestedSince reports whether every server that has answered at recent or later was asked at since or later.
func (v View) AllRequestedSince(since, recent time.Duration) bool {
	for _, member := range v.members {
		o, ok := v.seen[member.Name]
		if ok && o.ReceivedAt >= recent && o.RequestedAt < since {
			return false
		}
	}
	return true
}

// AgeAt bounds how old a server's data is at instant now. It reports false when the server cannot tell. A primary
// that was replaced without its knowledge reports the age zero, so the age of a primary counts from the latest instant
// at which a majority had not promised a later term.
func (v View) AgeAt(server string, now time.Duration) (time.Duration, bool) {
	o, ok := v.seen[server]
	if !ok || !o.Status.AgeKnown {
		return 0, false
	}
	if o.Status.Role != Primary {
		return o.Status.Age + now - o.RequestedAt, true
	}
	confirmed, ok := v.confirmed(o.Status.Followed)
	if !ok || o.fenced() {
		return 0, false
	}
	return now - min(confirmed, o.RequestedAt), true
}

// confirmed returns the latest instant at which a majority was asked and had not promised a term after term. A server
// with an empty log may have lost its promise.
func (v View) confirmed(term Term) (time.Duration, bool) {
	var asked []time.Duration
	for _, o := range v.seen {
		if o.Status.Promised <= term && !o.Status.Last().IsZero() {
			asked = append(asked, o.RequestedAt)
		}
	}
	if len(v.members) == 0 || len(asked) < v.Majority() {
		return 0, false
	}
	slices.Sort(asked)
	return asked[len(asked)-v.Majority()], true
}
