package spec

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/instance"
	"github.com/rhubarbwick/rhubarbwick/organisation"
)

// ConfigurationBounds limits the exploration of the configuration model. A store that is down and a data centre that is
// cut off are ones to which no message arrives, so neither has a bound of its own.
type ConfigurationBounds struct {
	// Changes is the number of operators' changes that are begun. The first of them withdraws the key.
	Changes int
	// Ticks is the number of times that pass. Three are longer than the freshness limit.
	Ticks int
	// Reports is the number of questions to the store and to relays.
	Reports int
	// Restarts is the number of restarts of a follower.
	Restarts int
}

// ConfigurationFaults takes guards out of the store and of the instances, to show that the invariants need them.
type ConfigurationFaults struct {
	// IgnoreVersion lets the store take an update that was built on another version.
	IgnoreVersion bool
	// TakeAny puts every document in force that arrives.
	TakeAny bool
	// AcceptUnstored tells an operator "accepted" when the answer of the store is lost.
	AcceptUnstored bool
	// AcceptAlone tells an operator "accepted" before the relays of a data centre know the change.
	AcceptAlone bool
	// ServeStale serves keyed requests without a fresh document.
	ServeStale bool
	// VouchAlone lets the instances rely on the vouch of one data centre while the store is down.
	VouchAlone bool
}

const (
	// configurationTick is less than half of the freshness limit, and three of it are more.
	configurationTick = 4 * time.Second
	tenant            = "tenant"
	tenantKey         = "secret"
	route             = "route"
)

// configInstance is an instance that follows the document. The first two are relays, one in each data centre.
type configInstance struct {
	knowledge document.LocalCopy
	// highest is the greatest revision that was in force since the start.
	highest document.Revision
}

// configChange is an operator's change at an instance.
type configChange struct {
	at   int
	base document.Document
	next document.Document
	// stored is true from the answer of the store on.
	stored   bool
	accepted bool
	refused  bool
}

// configReport is an answer that is on its way to an instance. The document is empty when the instance had it.
type configReport struct {
	to       int
	from     int
	document document.Document
	at       time.Duration
	// confirmed is when the revision was known to be the newest, if it was.
	confirmed   time.Duration
	isConfirmed bool
	vouches     map[string]time.Duration
}

// configurationState is the document in the store, the instances and the changes under way.
type configurationState struct {
	bounds    ConfigurationBounds
	faults    ConfigurationFaults
	list      instance.List
	members   []instance.Instance
	stored    []document.Document
	instances []configInstance
	changes   []configChange
	reports   []configReport
	ticks     int
	asked     int
	restarts  int
	// withdrawn is the instant at which the withdrawal of the key was accepted.
	withdrawn   time.Duration
	isWithdrawn bool
	broken      string
}

// NewConfiguration returns the initial state of the configuration model: the first document is in force at the relays
// and followers of two data centres.
func NewConfiguration(bounds ConfigurationBounds, faults ConfigurationFaults) State {
	s := configurationState{bounds: bounds, faults: faults}
	for i := range 4 {
		s.members = append(s.members, instance.Instance{
			Incarnation: fmt.Sprintf("i%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i+1), DataCentre: fmt.Sprintf("d%d", i%2),
			State: instance.Live,
		})
	}
	// Only the relays are listed: what a follower is asked does not count.
	s.list = instance.NewList(s.members[:2]...)
	first := firstDocument()
	s.stored = []document.Document{first}
	for _, member := range s.members {
		k := document.NewLocalCopy(0).WithDocument(first).WithConfirmation(1, 0)
		s.instances = append(s.instances, configInstance{knowledge: s.listed(k, member), highest: 1})
	}
	return s
}

// listed returns the knowledge of an instance that has read the list.
func (s configurationState) listed(k document.LocalCopy, member instance.Instance) document.LocalCopy {
	names := s.list.DataCentres()
	if s.faults.VouchAlone {
		names = []string{member.DataCentre}
	}
	return k.WithDataCentres(names, s.now()).WithRelay(s.list.IsRelay(member), member.DataCentre, s.now())
}

// firstDocument has one organisation with one key and one route.
func firstDocument() document.Document {
	edit := document.Replace{Document: document.Document{
		MaxFallbackHolders: 1,
		Organisations: []document.Organisation{{Name: tenant, Rate: 1, Burst: 1, Keys: []document.Key{
			{ID: "key", SHA256: organisation.HashKey(tenantKey).String()},
		}}},
		Groups: []document.Group{{Name: "group", Slots: []string{"slot"}, Servers: []document.Server{
			{Name: "server", Address: "10.0.1.1:1", DataCentre: "d0", Connections: 1},
		}}},
		Routes: []document.Route{{Name: route, Group: "group", Slot: "slot", Kind: document.Read}},
	}}
	// A document with faults would be empty, and admit nobody.
	d, _ := document.Document{}.WithEdit(edit, document.Change{ID: "first", Author: "operator"})
	return d
}

func (s configurationState) now() time.Duration { return time.Duration(s.ticks) * configurationTick }

func (s configurationState) current() document.Document { return s.stored[len(s.stored)-1] }

// Key identifies the state.
func (s configurationState) Key() string {
	b := fmt.Append(nil, s.ticks, s.asked, s.restarts, s.withdrawn, s.isWithdrawn, s.broken)
	for _, d := range s.stored {
		b = fmt.Append(b, d.Change.ID, ",")
	}
	for _, i := range s.instances {
		at, ok := i.knowledge.ConfirmedAt(s.now())
		b = fmt.Append(b, "|", i.knowledge.Document().Change.ID, i.highest, at, ok, i.knowledge.AttestationsAt(s.now()))
	}
	for _, c := range s.changes {
		b = fmt.Append(b, "|", c.at, c.base.Revision, c.next.Change.ID, c.stored, c.accepted, c.refused)
	}
	reports := make([]string, len(s.reports))
	for i, r := range s.reports {
		reports[i] = fmt.Sprint(r.to, r.from, r.document.Change.ID, r.at, r.confirmed, r.isConfirmed, r.vouches)
	}
	slices.Sort(reports)
	return string(b) + strings.Join(reports, "|")
}

// Violation describes the broken invariant.
func (s configurationState) Violation() string {
	if s.broken != "" {
		return s.broken
	}
	for _, i := range s.instances {
		if i.knowledge.Revision() < i.highest {
			return fmt.Sprintf("revision %d is in force after revision %d", i.knowledge.Revision(), i.highest)
		}
	}
	for _, c := range s.changes {
		if c.accepted && !hasChange(s.current(), c.next.Change) {
			return fmt.Sprintf("change %s was accepted and is not in revision %d", c.next.Change.ID, s.current().Revision)
		}
	}
	return s.withdrawnKey()
}

// withdrawnKey describes an instance that serves the key after its withdrawal was accepted and the limit has passed.
func (s configurationState) withdrawnKey() string {
	if !s.isWithdrawn || s.now()-s.withdrawn <= document.MaxStaleness {
		return ""
	}
	credentials := organisation.Credentials{Organisation: tenant, Key: tenantKey, Route: route}
	for n, i := range s.instances {
		fresh := i.knowledge.IsFreshAt(s.now()) || s.faults.ServeStale
		if _, ok := organisation.Authorize(i.knowledge.Index(), credentials, fresh).(organisation.Allowed); ok {
			return fmt.Sprintf("i%d serves the withdrawn key after %s", n, s.now()-s.withdrawn)
		}
	}
	return ""
}

func hasChange(d document.Document, c document.Change) bool {
	return slices.ContainsFunc(d.History, func(other document.Change) bool { return other.ID == c.ID })
}

// Next returns the states after one event.
func (s configurationState) Next() []Step {
	var steps []Step
	if s.ticks < s.bounds.Ticks {
		n := s.clone()
		n.ticks++
		steps = append(steps, Step{"4 s pass", n})
	}
	steps = append(steps, s.begins()...)
	for i := range s.changes {
		steps = append(steps, s.changeSteps(i)...)
	}
	steps = append(steps, s.questions()...)
	steps = append(steps, s.arrivals()...)
	return append(steps, s.restartSteps()...)
}

func (s configurationState) clone() configurationState {
	s.stored = slices.Clone(s.stored)
	s.instances = slices.Clone(s.instances)
	s.changes = slices.Clone(s.changes)
	s.reports = slices.Clone(s.reports)
	return s
}

// begins lets an operator read the document at a relay and edit it. The first change withdraws the key.
func (s configurationState) begins() []Step {
	number := len(s.changes)
	if number >= s.bounds.Changes {
		return nil
	}
	var edit document.Edit = document.WithdrawKey{Organisation: tenant, KeyID: "key"}
	if number > 0 {
		edit = document.SetMaxFallbackHolders{MaxFallbackHolders: number + 1}
	}
	change := document.Change{ID: fmt.Sprintf("c%d", number), Author: "operator"}
	next, faults := s.current().WithEdit(edit, change)
	n := s.clone()
	if len(faults) > 0 {
		n.broken = fmt.Sprint("the edit is not possible: ", faults)
	}
	// The operators work at different relays.
	n.changes = append(n.changes, configChange{at: number % 2, base: s.current(), next: next})
	return []Step{{fmt.Sprintf("operator %d reads revision %d and sends change %d", number, s.current().Revision, number), n}}
}

// changeSteps lets the store take an update or find another version, with its answer heard or lost, and lets the
// instance hand an accepted change to the relays. An update without an answer is sent again.
func (s configurationState) changeSteps(i int) []Step {
	c := s.changes[i]
	if c.accepted || c.refused {
		return nil
	}
	if c.stored {
		return s.accepts(i)
	}
	n := s.clone()
	fits := s.current().Revision == c.base.Revision
	if fits || s.faults.IgnoreVersion && !hasChange(s.current(), c.next.Change) {
		n.put(c.next)
		lost := n.clone()
		if s.faults.AcceptUnstored {
			lost.accept(i)
		}
		n.changes[i].stored = true
		return []Step{
			{fmt.Sprintf("the store takes change %d", i), n},
			{fmt.Sprintf("the store takes change %d, its answer is lost", i), lost},
		}
	}
	// The update meets another version: the document is read again and searched for the change.
	n.changes[i].stored = hasChange(s.current(), c.next.Change)
	n.changes[i].refused = !n.changes[i].stored
	steps := []Step{{fmt.Sprintf("change %d meets revision %d and is settled", i, s.current().Revision), n}}
	if s.faults.AcceptUnstored {
		lost := s.clone()
		lost.accept(i)
		steps = append(steps, Step{fmt.Sprintf("the answer to change %d is lost", i), lost})
	}
	return steps
}

// put stores a document. Each one has one change more than its predecessor, and a record of it.
func (s *configurationState) put(next document.Document) {
	before := s.current()
	s.stored = append(s.stored, next)
	history := append(slices.Clone(before.History), next.Change)
	same := func(a, b document.Change) bool { return a.ID == b.ID && a.Revision == b.Revision }
	if next.Revision != before.Revision+1 || !slices.EqualFunc(history, next.History, same) {
		s.broken = fmt.Sprintf("revision %d with change %s was stored after revision %d with change %s",
			next.Revision, next.Change.ID, before.Revision, before.Change.ID)
	}
}

// accepts lets the instance take the stored change and offer it to the relays of one data centre, its own or the other
// one. The list has one relay for each, so the instance itself is the relay of its own.
func (s configurationState) accepts(i int) []Step {
	n := s.clone()
	c := s.changes[i]
	if !s.faults.AcceptAlone {
		n.take(c.at, n.instances[c.at].knowledge.WithDocument(c.next))
	}
	n.accept(i)
	return []Step{{fmt.Sprintf("change %d is in force at i%d and accepted", i, c.at), n}}
}

func (s *configurationState) accept(i int) {
	s.changes[i].accepted = true
	if i == 0 {
		s.withdrawn, s.isWithdrawn = s.now(), true
	}
}

// take puts knowledge in force at an instance.
func (s *configurationState) take(i int, k document.LocalCopy) {
	s.instances[i].knowledge = k
	s.instances[i].highest = max(s.instances[i].highest, k.Revision())
}
