package group

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Observation is a status with the times, on the observer's monotonic clock, between which the server determined it.
type Observation struct {
	Status Status
	// RequestedAt is when the request was sent. The status is no older than that.
	RequestedAt time.Duration
	// ReceivedAt is when the answer was received.
	ReceivedAt time.Duration

	// stateSince is when the first request was sent that found the server with the status's role and terms.
	stateSince time.Duration
}

// MaxVoteAge is the maximum age of an answer that counts as a vote against the primary. An observer that was
// partitioned must not act on earlier observations.
const MaxVoteAge = 2 * time.Second

// fenced reports whether the server has promised a term that it does not follow yet, so that it accepts no entries.
func (o Observation) fenced() bool { return o.Status.Promised > o.Status.Followed }

// stateAge returns for how long the server has been observed in its state.
func (o Observation) stateAge() time.Duration { return o.RequestedAt - o.stateSince }

// compareProgress orders two statuses of one server by the values that only increase while it runs.
func compareProgress(a, b Status) int {
	return cmp.Or(
		cmp.Compare(a.Promised, b.Promised),
		cmp.Compare(a.Followed, b.Followed),
		a.Last().Compare(b.Last()),
	)
}

// merge returns what is known about a server after observation o was added to known. If the two requests were
// outstanding at the same time, the answer that shows more progress is the later one, whichever request was sent first.
func (o Observation) merge(known Observation) Observation {
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
	o.stateSince = o.RequestedAt
	a, b := o.Status, known.Status
	if a.Role == b.Role && a.Promised == b.Promised && a.Followed == b.Followed {
		o.stateSince = known.stateSince
	}
	return o
}

// Member is a server that the document lists for the group.
type Member struct {
	Name       string
	Address    string
	DataCentre string
	Draining   bool
}

// View is what one observer knows about a group. A View is immutable; the zero value has no members.
type View struct {
	members      []Member
	observations map[string]Observation
}

// NewView returns a view of a group with the members and without observations.
func NewView(members ...Member) View {
	return View{members: slices.Clone(members)}
}

// WithMembers returns the view with other members. It keeps the observations of members whose address is unchanged; at
// another address there may be another log.
func (v View) WithMembers(members ...Member) View {
	observations := make(map[string]Observation, len(members))
	for _, member := range members {
		known, _ := v.Member(member.Name)
		if o, ok := v.observations[member.Name]; ok && known.Address == member.Address {
			observations[member.Name] = o
		}
	}
	return View{members: slices.Clone(members), observations: observations}
}

// WithObservation returns the view with an observation added. Answers can arrive out of order; one that is earlier than
// the known one of the same server does not replace it.
func (v View) WithObservation(o Observation) View {
	if !slices.ContainsFunc(v.members, func(m Member) bool { return m.Name == o.Status.Server }) {
		return v
	}
	observations := maps.Clone(v.observations)
	if observations == nil {
		observations = make(map[string]Observation, len(v.members))
	}
	if known, ok := observations[o.Status.Server]; ok {
		observations[o.Status.Server] = o.merge(known)
	} else {
		o.stateSince = o.RequestedAt
		observations[o.Status.Server] = o
	}
	return View{members: v.members, observations: observations}
}

// Members returns a copy of the members.
func (v View) Members() []Member { return slices.Clone(v.members) }

// Member returns the member with the name.
func (v View) Member(name string) (Member, bool) {
	if i := slices.IndexFunc(v.members, func(m Member) bool { return m.Name == name }); i >= 0 {
		return v.members[i], true
	}
	return Member{}, false
}

// Observation returns the current observation of a server.
func (v View) Observation(server string) (Observation, bool) {
	o, ok := v.observations[server]
	return o, ok
}

// Majority returns the number of servers that is more than half of the group.
func (v View) Majority() int { return len(v.members)/2 + 1 }

// Term returns the highest term that any known server has promised or follows.
func (v View) Term() Term {
	var term Term
	for _, o := range v.observations {
		term = max(term, o.Status.Promised, o.Status.Followed)
	}
	return term
}

// Primary returns the observed primary of the highest term. It reports false when there is none, when the primary
// itself has promised a higher term, when a server follows a higher term, or when a majority has promised one. Promises
// of fewer servers do not stop the primary.
func (v View) Primary() (Member, bool) {
	var primary Member
	var leader Observation
	for _, member := range v.members {
		o, ok := v.observations[member.Name]
		if ok && o.Status.Role == Primary && o.Status.Followed > leader.Status.Followed {
			primary, leader = member, o
		}
	}
	term := leader.Status.Followed
	if term == 0 || leader.fenced() || v.highestFollowed() > term || v.promisedAfter(term) >= v.Majority() {
		return Member{}, false
	}
	return primary, true
}

// highestFollowed returns the highest term that an observed server follows. A majority has promised it at some time.
func (v View) highestFollowed() Term {
	var term Term
	for _, o := range v.observations {
		term = max(term, o.Status.Followed)
	}
	return term
}

// lastPrimary returns the primary of the highest followed term, or an empty string when it was not observed.
func (v View) lastPrimary() string {
	highest := v.highestFollowed()
	for name, o := range v.observations {
		if o.Status.Role == Primary && o.Status.Followed == highest {
			return name
		}
	}
	return ""
}

func (v View) promisedAfter(term Term) int {
	n := 0
	for _, o := range v.observations {
		if o.Status.Promised > term {
			n++
		}
	}
	return n
}

// Acknowledged reports whether a write at p may be confirmed, that is, whether a majority of the servers has p in its
// log and follows p's term. Every later primary is chosen after a majority was fenced, as the most advanced log of
// these. The two majorities share a server, so every later log contains p.
func (v View) Acknowledged(p Position) bool {
	holders := 0
	for _, member := range v.members {
		o, ok := v.observations[member.Name]
		if ok && o.Status.Followed == p.Term && o.Status.History.Contains(p) {
			holders++
		}
	}
	return holders >= v.Majority()
}

// WriteOutcome says whether the logs of later primaries contain a write.
type WriteOutcome string

// The outcomes of a write.
const (
	// Undetermined means that the write may still be kept or discarded.
	Undetermined WriteOutcome = ""
	// Kept means that the write is in the log of every later primary.
	Kept WriteOutcome = "kept"
	// Lost means that no later log contains the write.
	Lost WriteOutcome = "lost"
)

// OutcomeOf returns the outcome of a write at p. When a majority has the first entry of a later term, every later log
// contains the log up to that entry, so its history determines whether the write was kept.
func (v View) OutcomeOf(p Position) WriteOutcome {
	if v.Acknowledged(p) {
		return Kept
	}
	for _, member := range v.members {
		o, ok := v.observations[member.Name]
		if !ok || o.Status.Followed <= p.Term {
			continue
		}
		first, found := o.Status.History.FirstInTerm(o.Status.Followed)
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

// ReadPosition returns a position at or after every write that was acknowledged before since, so that each log that
// contains the position contains those writes. It reports false until a majority of the servers has answered a request
// that was sent at since or later.
//
// An acknowledged write is in the logs of a majority, so when n servers have answered, at least k = n - (members -
// majority) of them have it. The k-th most advanced log has it too: logs of one term are prefixes of each other, and a
// log of a later term begins with everything that was acknowledged in earlier ones. If one server of three has not
// answered, that is the most advanced log, and if all have, the second. A server with an empty log may have lost the
// write. In that case the most advanced log is used, and the empty one counts only when every server has answered.
func (v View) ReadPosition(since time.Duration) (Position, bool) {
	var lasts []Position
	empty := 0
	for _, member := range v.members {
		o, ok := v.observations[member.Name]
		if !ok || o.RequestedAt < since {
			continue
		}
		last := o.Status.Last()
		if last.IsZero() {
			empty++
		}
		lasts = append(lasts, last)
	}
	asked, withLog := len(lasts), len(lasts)-empty
	if asked == 0 || withLog < v.Majority() && asked < len(v.members) {
		return Position{}, false
	}
	slices.SortFunc(lasts, func(a, b Position) int { return b.Compare(a) })
	rank := v.Majority() - (len(v.members) - asked)
	if empty > 0 || rank < 1 {
		rank = 1
	}
	return lasts[rank-1], true
}

// AllRequestedSince reports whether each server whose last answer was received at recent or later has answered a
// request that was sent at since or later.
func (v View) AllRequestedSince(since, recent time.Duration) bool {
	for _, member := range v.members {
		o, ok := v.observations[member.Name]
		if ok && o.ReceivedAt >= recent && o.RequestedAt < since {
			return false
		}
	}
	return true
}

// AgeAt returns an upper bound on the staleness of a server's data at now. It reports false when none is known. A
// primary that does not know of its replacement reports the age zero, so the age of a primary counts from the latest
// time at which a majority had not promised a higher term.
func (v View) AgeAt(server string, now time.Duration) (time.Duration, bool) {
	o, ok := v.observations[server]
	if !ok || !o.Status.AgeKnown {
		return 0, false
	}
	if o.Status.Role != Primary {
		return o.Status.Age + now - o.RequestedAt, true
	}
	confirmedAt, ok := v.confirmedAt(o.Status.Followed)
	if !ok || o.fenced() {
		return 0, false
	}
	return now - min(confirmedAt, o.RequestedAt), true
}

// confirmedAt returns the latest time such that a majority answered requests sent at that time or later without a
// promise of a higher term. Servers with an empty log do not count, because they may have lost a promise.
func (v View) confirmedAt(term Term) (time.Duration, bool) {
	var requests []time.Duration
	for _, o := range v.observations {
		if o.Status.Promised <= term && !o.Status.Last().IsZero() {
			requests = append(requests, o.RequestedAt)
		}
	}
	if len(v.members) == 0 || len(requests) < v.Majority() {
		return 0, false
	}
	slices.Sort(requests)
	return requests[len(requests)-v.Majority()], true
}
