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

// ConfigurationBounds limits the exploration of the configuration model. A store that is down or a data centre that is
// partitioned is modelled by messages that never arrive, so neither has a bound.
type ConfigurationBounds struct {
	// Changes is the number of changes that operators begin. The first one revokes the key.
	Changes int
	// Ticks is the number of times that configurationTick passes. Three ticks exceed the maximum staleness.
	Ticks int
	// Queries is the number of queries to the store and to relays.
	Queries int
	// Restarts is the number of restarts of a follower.
	Restarts int
}

// ConfigurationFaults disables guards of the store and of the instances, to show that the invariants depend on them.
type ConfigurationFaults struct {
	// IgnoreVersion lets the store accept an update that is based on an outdated version.
	IgnoreVersion bool
	// InstallAny lets an instance install every document that arrives, also an older one.
	InstallAny bool
	// AcknowledgeUnstored acknowledges a change to the operator although the response of the store was lost.
	AcknowledgeUnstored bool
	// AcknowledgeBeforeRelays acknowledges a change to the operator before the relays of a data centre have it.
	AcknowledgeBeforeRelays bool
	// ServeStale serves requests with a key although the document is stale.
	ServeStale bool
	// SingleAttestation lets the instances rely on the attestation of one data centre while the store is down.
	SingleAttestation bool
}

const (
	// configurationTick is less than half of the maximum staleness, and three ticks exceed it.
	configurationTick = 4 * time.Second
	organisationName  = "tenant"
	organisationKey   = "secret"
	routeName         = "route"
)

// configInstance is an instance that follows the document. The first two instances are relays, one in each data centre.
type configInstance struct {
	localCopy document.LocalCopy
	// highestRevision is the highest revision that the instance has installed since it started.
	highestRevision document.Revision
}

// configChange is a change that an operator makes at an instance.
type configChange struct {
	instance int
	base     document.Document
	updated  document.Document
	// stored is true once the instance has received the response of the store.
	stored       bool
	acknowledged bool
	refused      bool
}

// configResponse is a response in flight to an instance.
type configResponse struct {
	to       int
	from     int
	document document.Document
	sentAt   time.Duration
	// confirmedAt is when the revision was known to be the newest; it is set if isConfirmed is true.
	confirmedAt  time.Duration
	isConfirmed  bool
	attestations map[string]time.Duration
}

// configurationState is the history of the document in the store, the instances, and the changes in progress.
type configurationState struct {
	bounds    ConfigurationBounds
	faults    ConfigurationFaults
	list      instance.List
	members   []instance.Instance
	stored    []document.Document
	instances []configInstance
	changes   []configChange
	responses []configResponse
	ticks     int
	queries   int
	restarts  int
	// revokedAt is when the revocation of the key was acknowledged.
	revokedAt time.Duration
	isRevoked bool
	violation string
}

// NewConfiguration returns the initial state of the configuration model: the relays and followers of two data centres
// have installed the first document.
func NewConfiguration(bounds ConfigurationBounds, faults ConfigurationFaults) State {
	s := configurationState{bounds: bounds, faults: faults}
	for i := range 4 {
		s.members = append(s.members, instance.Instance{
			Incarnation: fmt.Sprintf("i%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i+1), DataCentre: fmt.Sprintf("d%d", i%2),
			State: instance.Live,
		})
	}
	// The list has the relays only, because followers don't attest freshness.
	s.list = instance.NewList(s.members[:2]...)
	first := firstDocument()
	s.stored = []document.Document{first}
	for _, member := range s.members {
		localCopy := document.NewLocalCopy(0).WithDocument(first).WithConfirmation(1, 0)
		s.instances = append(s.instances, configInstance{localCopy: s.withInstanceList(localCopy, member), highestRevision: 1})
	}
	return s
}

// withInstanceList returns the local copy of an instance after it has read the list of instances.
func (s configurationState) withInstanceList(localCopy document.LocalCopy, member instance.Instance) document.LocalCopy {
	names := s.list.DataCentres()
	if s.faults.SingleAttestation {
		names = []string{member.DataCentre}
	}
	return localCopy.WithDataCentres(names, s.now()).WithRelay(s.list.IsRelay(member), member.DataCentre, s.now())
}

// firstDocument has one organisation with one key and one route.
func firstDocument() document.Document {
	edit := document.Replace{Document: document.Document{
		MaxFallbackHolders: 1,
		Organisations: []document.Organisation{{Name: organisationName, Rate: 1, Burst: 1, Keys: []document.Key{
			{ID: "key", SHA256: organisation.HashKey(organisationKey).String()},
		}}},
		Groups: []document.Group{{Name: "group", Slots: []string{"slot"}, Servers: []document.Server{
			{Name: "server", Address: "10.0.1.1:1", DataCentre: "d0", Connections: 1},
		}}},
		Routes: []document.Route{{Name: routeName, Group: "group", Slot: "slot", Kind: document.Read}},
	}}
	// An edit with violations would return an empty document, which authorizes nobody.
	d, _ := document.Document{}.WithEdit(edit, document.Change{ID: "first", Author: "operator"})
	return d
}

func (s configurationState) now() time.Duration { return time.Duration(s.ticks) * configurationTick }

func (s configurationState) current() document.Document { return s.stored[len(s.stored)-1] }

func (s configurationState) Key() string {
	b := fmt.Append(nil, s.ticks, s.queries, s.restarts, s.revokedAt, s.isRevoked, s.violation)
	for _, d := range s.stored {
		b = fmt.Append(b, d.Change.ID, ",")
	}
	for _, i := range s.instances {
		at, ok := i.localCopy.ConfirmedAt(s.now())
		b = fmt.Append(b, "|", i.localCopy.Document().Change.ID, i.highestRevision, at, ok, i.localCopy.AttestationsAt(s.now()))
	}
	for _, c := range s.changes {
		b = fmt.Append(b, "|", c.instance, c.base.Revision, c.updated.Change.ID, c.stored, c.acknowledged, c.refused)
	}
	reports := make([]string, len(s.responses))
	for i, r := range s.responses {
		reports[i] = fmt.Sprint(r.to, r.from, r.document.Change.ID, r.sentAt, r.confirmedAt, r.isConfirmed, r.attestations)
	}
	slices.Sort(reports)
	return string(b) + strings.Join(reports, "|")
}

func (s configurationState) Violation() string {
	if s.violation != "" {
		return s.violation
	}
	for _, i := range s.instances {
		if i.localCopy.Revision() < i.highestRevision {
			return fmt.Sprintf("revision %d was installed after revision %d", i.localCopy.Revision(), i.highestRevision)
		}
	}
	for _, c := range s.changes {
		if c.acknowledged && !hasChange(s.current(), c.updated.Change) {
			return fmt.Sprintf("change %s was acknowledged and is not in revision %d", c.updated.Change.ID, s.current().Revision)
		}
	}
	return s.revokedKeyViolation()
}

// revokedKeyViolation describes an instance that still serves the key when the maximum staleness has passed since its
// revocation was acknowledged.
func (s configurationState) revokedKeyViolation() string {
	if !s.isRevoked || s.now()-s.revokedAt <= document.MaxStaleness {
		return ""
	}
	credentials := organisation.Credentials{Organisation: organisationName, Key: organisationKey, Route: routeName}
	for n, i := range s.instances {
		fresh := i.localCopy.IsFreshAt(s.now()) || s.faults.ServeStale
		if _, ok := organisation.Authorize(i.localCopy.Index(), credentials, fresh).(organisation.Allowed); ok {
			return fmt.Sprintf("i%d serves the revoked key after %s", n, s.now()-s.revokedAt)
		}
	}
	return ""
}

func hasChange(d document.Document, c document.Change) bool {
	return slices.ContainsFunc(d.History, func(other document.Change) bool { return other.ID == c.ID })
}

func (s configurationState) Next() []Step {
	var steps []Step
	if s.ticks < s.bounds.Ticks {
		n := s.clone()
		n.ticks++
		steps = append(steps, Step{"4 s pass", n})
	}
	steps = append(steps, s.beginSteps()...)
	for i := range s.changes {
		steps = append(steps, s.changeSteps(i)...)
	}
	steps = append(steps, s.querySteps()...)
	steps = append(steps, s.responseSteps()...)
	return append(steps, s.restartSteps()...)
}

func (s configurationState) clone() configurationState {
	s.stored = slices.Clone(s.stored)
	s.instances = slices.Clone(s.instances)
	s.changes = slices.Clone(s.changes)
	s.responses = slices.Clone(s.responses)
	return s
}

// beginSteps lets an operator read the document at a relay and edit it. The first change revokes the key.
func (s configurationState) beginSteps() []Step {
	number := len(s.changes)
	if number >= s.bounds.Changes {
		return nil
	}
	var edit document.Edit = document.WithdrawKey{Organisation: organisationName, KeyID: "key"}
	if number > 0 {
		edit = document.SetMaxFallbackHolders{MaxFallbackHolders: number + 1}
	}
	change := document.Change{ID: fmt.Sprintf("c%d", number), Author: "operator"}
	updated, violations := s.current().WithEdit(edit, change)
	n := s.clone()
	if len(violations) > 0 {
		n.violation = fmt.Sprint("the edit is invalid: ", violations)
	}
	// The operators use different relays.
	n.changes = append(n.changes, configChange{instance: number % 2, base: s.current(), updated: updated})
	return []Step{{fmt.Sprintf("operator %d reads revision %d and sends change %d", number, s.current().Revision, number), n}}
}

// changeSteps lets the store accept an update or reject it for its version, with the response received or lost, and
// lets the instance pass a stored change on to the relays. An update whose response was lost is sent again.
func (s configurationState) changeSteps(i int) []Step {
	c := s.changes[i]
	if c.acknowledged || c.refused {
		return nil
	}
	if c.stored {
		return s.acknowledgeSteps(i)
	}
	n := s.clone()
	isCurrent := s.current().Revision == c.base.Revision
	if isCurrent || s.faults.IgnoreVersion && !hasChange(s.current(), c.updated.Change) {
		n.storeDocument(c.updated)
		lost := n.clone()
		if s.faults.AcknowledgeUnstored {
			lost.acknowledge(i)
		}
		n.changes[i].stored = true
		return []Step{
			{fmt.Sprintf("the store accepts change %d", i), n},
			{fmt.Sprintf("the store accepts change %d, its response is lost", i), lost},
		}
	}
	// The version has changed: the instance reads the document again and looks for the change in it.
	n.changes[i].stored = hasChange(s.current(), c.updated.Change)
	n.changes[i].refused = !n.changes[i].stored
	steps := []Step{{fmt.Sprintf("change %d conflicts with revision %d and is resolved", i, s.current().Revision), n}}
	if s.faults.AcknowledgeUnstored {
		lost := s.clone()
		lost.acknowledge(i)
		steps = append(steps, Step{fmt.Sprintf("the response to change %d is lost", i), lost})
	}
	return steps
}

// storeDocument stores a document. Its history has to be that of its predecessor and one further change.
func (s *configurationState) storeDocument(updated document.Document) {
	before := s.current()
	s.stored = append(s.stored, updated)
	history := append(slices.Clone(before.History), updated.Change)
	same := func(a, b document.Change) bool { return a.ID == b.ID && a.Revision == b.Revision }
	if updated.Revision != before.Revision+1 || !slices.EqualFunc(history, updated.History, same) {
		s.violation = fmt.Sprintf("revision %d with change %s was stored after revision %d with change %s",
			updated.Revision, updated.Change.ID, before.Revision, before.Change.ID)
	}
}

// acknowledgeSteps lets the instance install the stored change and acknowledge it. A change has to be installed at the
// relays of one data centre first, and the instance is itself the only relay of its data centre.
func (s configurationState) acknowledgeSteps(i int) []Step {
	n := s.clone()
	c := s.changes[i]
	if !s.faults.AcknowledgeBeforeRelays {
		n.install(c.instance, n.instances[c.instance].localCopy.WithDocument(c.updated))
	}
	n.acknowledge(i)
	return []Step{{fmt.Sprintf("change %d is installed at i%d and acknowledged", i, c.instance), n}}
}

func (s *configurationState) acknowledge(i int) {
	s.changes[i].acknowledged = true
	if i == 0 {
		s.revokedAt, s.isRevoked = s.now(), true
	}
}

// install replaces the local copy of an instance.
func (s *configurationState) install(i int, localCopy document.LocalCopy) {
	s.instances[i].localCopy = localCopy
	s.instances[i].highestRevision = max(s.instances[i].highestRevision, localCopy.Revision())
}
