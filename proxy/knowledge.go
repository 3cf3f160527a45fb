package proxy

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/primacy"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

const (
	instancePrefix = "instance/"
	primacyPrefix  = "primacy/"
	dutyName       = "duty/promotion"
	// mostObjects is above the number of the product's objects in the store.
	mostObjects = 1 << 16
)

// Member is an instance as its own record tells.
type Member struct {
	// Name is the same for all starts on one machine.
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	// Address is where other instances reach it.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Weight is the processor time that the instance has, in cores. It owns pools in proportion.
	Weight float64 `json:"weight,omitempty"`
	// Leaving is set by another instance when this one has been silent. An instance that lives lists itself anew; the
	// record of one that does not is removed later.
	Leaving bool `json:"leaving,omitempty"`
	// Stopped is set by an instance that stops as planned and relies on nothing any more. Its record stays for a while, so that
	// the lists of others are not shorter by turns while all machines are started anew.
	Stopped bool `json:"stopped,omitempty"`
	// First is a version of the store at which the name was listed before this start; zero if it was not. Listed is the
	// version at which this start was listed, once another instance has changed the record.
	First  port.Version `json:"first,omitempty"`
	Listed port.Version `json:"listed,omitempty"`
	// version is that of the record.
	version port.Version
}

// StoredPrimacy is a record with its version in the store.
type StoredPrimacy struct {
	Record  primacy.Record
	Version port.Version
}

// Duty says who may promote. The holder renews it before each promotion.
type Duty struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
	// Use grows with each use, so that others see that the holder is at work.
	Use uint64 `json:"use"`
}

// StoredDuty is the duty with its version in the store; version zero means that nobody has held it.
type StoredDuty struct {
	Duty    Duty
	Version port.Version
}

// Snapshot holds the product's objects in the store, as one read gave them. They must not be changed.
type Snapshot struct {
	// ReadAt is when the read began. AskedAt is later when a majority of the instances has said since that they know of
	// no newer record.
	ReadAt  time.Duration
	AskedAt time.Duration
	Objects []port.Object
	Members []Member
	// Stopped are the instances that have stopped and may be started again.
	Stopped   []Member
	Primacies map[string]StoredPrimacy
	Duty      StoredDuty
	// version and instances are derived from the objects once, because every exchange and statement asks for them.
	version   uint64
	instances int
}

// NewSnapshot sorts the objects. One that cannot be read names nothing.
func NewSnapshot(objects []port.Object, readAt time.Duration) Snapshot {
	s := Snapshot{AskedAt: readAt, ReadAt: readAt, Objects: objects, Primacies: make(map[string]StoredPrimacy)}
	for _, o := range objects {
		switch {
		case strings.HasPrefix(o.Name, instancePrefix):
			var m Member
			if json.Unmarshal(o.Data, &m) == nil && m.Incarnation != "" {
				m.version = o.Version
				if m.Stopped {
					s.Stopped = append(s.Stopped, m)
					continue
				}
				s.Members = append(s.Members, m)
			}
		case strings.HasPrefix(o.Name, primacyPrefix):
			if record, err := primacy.ParseRecord(o.Data); err == nil {
				s.Primacies[record.Group] = StoredPrimacy{Record: record, Version: o.Version}
			}
		case o.Name == dutyName:
			if json.Unmarshal(o.Data, &s.Duty.Duty) == nil {
				s.Duty.Version = o.Version
			}
		}
	}
	s.version, s.instances = versionOf(objects), instancesOf(s.Members)
	return s
}

// versionOf tells two states of the records apart: a write raises the greatest version, and a removal alone the count.
func versionOf(objects []port.Object) uint64 {
	newest := port.Version(0)
	for _, o := range objects {
		newest = max(newest, o.Version)
	}
	return uint64(newest)*mostObjects + uint64(len(objects))
}

// instancesOf returns the number of members that are not about to be removed.
func instancesOf(members []Member) int {
	n := 0
	for _, m := range members {
		if !m.Leaving {
			n++
		}
	}
	return n
}

// WithReadAt returns the same records as a later read gave them.
func (s Snapshot) WithReadAt(at time.Duration) Snapshot {
	s.ReadAt, s.AskedAt = at, at
	return s
}

// WithAskedAt returns the records after they were confirmed at a later instant.
func (s Snapshot) WithAskedAt(at time.Duration) Snapshot {
	s.AskedAt = max(s.AskedAt, at)
	return s
}

// Version tells two states of the records apart.
func (s Snapshot) Version() uint64 { return s.version }

// Newest returns the greatest version of any record.
func (s Snapshot) Newest() port.Version { return port.Version(s.version / mostObjects) }

// Lists reports whether the instance is listed and not about to be removed.
func (s Snapshot) Lists(self Member) bool {
	return slices.ContainsFunc(s.Members, func(m Member) bool {
		return m.Name == self.Name && m.Incarnation == self.Incarnation && !m.Leaving
	})
}

// firstOf returns a version of the store at which the name was listed already; zero if it is not listed.
func (s Snapshot) firstOf(name string) port.Version {
	for _, m := range slices.Concat(s.Members, s.Stopped) {
		if m.Name == name {
			return m.firstListed()
		}
	}
	return 0
}

// HasIncarnation reports whether an instance of the incarnation is listed.
func (s Snapshot) HasIncarnation(incarnation string) bool {
	return slices.ContainsFunc(s.Members, func(m Member) bool { return m.Incarnation == incarnation })
}

// Find returns the object of the name.
func (s Snapshot) Find(name string) (port.Object, bool) {
	for _, o := range s.Objects {
		if o.Name == name {
			return o, true
		}
	}
	return port.Object{}, false
}

// Knowledge is what an instance knows of the platform: the document, the servers and the records. It comes from the
// store or from a relay. Knowledge is safe for concurrent use.
type Knowledge struct {
	self  Member
	timer port.Timer
	views *Views
	// staleAfter is the age from which the document is not relied on; zero means that it always is.
	staleAfter time.Duration
	onServers  func(map[string]dispatch.Listing)

	mu          sync.Mutex
	index       document.Index
	hasDocument bool
	confirmedAt time.Duration
	servers     map[string]dispatch.Listing
	// serversAt is the version of the store at which the list last changed, and serversSeen the newest one at which it was
	// read.
	serversAt   port.Version
	serversSeen port.Version
	records     Snapshot
	hasRecords  bool
	changed     chan struct{}
	delisted    *ring.Ring[struct{}]
	history     *MembershipHistory
}

// NewKnowledge returns the knowledge of an instance that has just started.
func NewKnowledge(self Member, timer port.Timer, views *Views, staleAfter time.Duration) *Knowledge {
	return &Knowledge{
		self: self, timer: timer, views: views, staleAfter: staleAfter, changed: make(chan struct{}),
		delisted: ring.New[struct{}](1), history: NewMembershipHistory(),
	}
}

// OnServers has deliver called with each changed list of servers. It is to be called before the knowledge is used.
func (k *Knowledge) OnServers(deliver func(map[string]dispatch.Listing)) { k.onServers = deliver }

// Rules returns the document in force and whether it may be relied on.
func (k *Knowledge) Rules() (document.Index, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	fresh := k.hasDocument && (k.staleAfter == 0 || k.timer.Now()-k.confirmedAt <= k.staleAfter)
	return k.index, fresh
}

// DocumentAge returns how long ago the document was known to be the newest.
func (k *Knowledge) DocumentAge() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.timer.Now() - k.confirmedAt
}

// Connections returns how many connections the fleet may hold to each server of the group.
func (k *Knowledge) Connections(groupName string) int {
	index, _ := k.Rules()
	g, _ := index.FindGroup(groupName)
	return g.Connections
}

// Organisations returns the names of the organisations, those with the greatest rates first.
func (k *Knowledge) Organisations() []string {
	index, _ := k.Rules()
	all := slices.Clone(index.Document().Organisations)
	slices.SortStableFunc(all, func(a, b document.Organisation) int { return cmp.Compare(b.Rate, a.Rate) })
	names := make([]string, 0, len(all))
	for _, o := range all {
		names = append(names, o.Name)
	}
	return names
}

// Servers returns the listed servers by name, and the version of the store at which they were listed. The map must not
// be changed. It is nil while none is known.
func (k *Knowledge) Servers() (map[string]dispatch.Listing, port.Version) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.servers, k.serversAt
}

// Records returns the newest records, and false while none were read.
func (k *Knowledge) Records() (Snapshot, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.records, k.hasRecords
}

// Instances returns the number of instances that are listed and not about to be removed, at least one.
func (k *Knowledge) Instances() int {
	s, _ := k.Records()
	return max(s.instances, 1)
}

// MembershipHistory tells which instances were listed of late.
func (k *Knowledge) MembershipHistory() *MembershipHistory { return k.history }

// Delisted takes a token whenever this instance is found missing from the records.
func (k *Knowledge) Delisted() *ring.Ring[struct{}] { return k.delisted }

// IsComplete reports whether callers can be served by what is known.
func (k *Knowledge) IsComplete() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.hasDocument && k.servers != nil && k.hasRecords
}

// Changed returns a channel that is closed at the next change.
func (k *Knowledge) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// TakeDocument takes over a document that was the newest at the instant. The document in force never goes back.
func (k *Knowledge) TakeDocument(d document.Document, at time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.hasDocument && d.Revision < k.index.Document().Revision {
		return
	}
	k.confirmedAt = max(k.confirmedAt, at)
	if !k.hasDocument || d.Revision > k.index.Document().Revision {
		k.index, k.hasDocument = document.NewIndex(d), true
		k.announce()
	}
}

// ConfirmDocument notes that no document newer than the revision was known at the instant.
func (k *Knowledge) ConfirmDocument(r document.Revision, at time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r >= k.index.Document().Revision {
		k.confirmedAt = max(k.confirmedAt, at)
	}
}

// TakeServers takes over the list of servers at a version of the store, unless a newer one is known.
func (k *Knowledge) TakeServers(servers map[string]dispatch.Listing, at port.Version) {
	k.mu.Lock()
	differs := k.takeServers(servers, at)
	k.mu.Unlock()
	if differs && k.onServers != nil {
		k.onServers(servers)
	}
}

// ChangeServers takes over changes that were made up to a version of the store, unless a newer list is known.
func (k *Knowledge) ChangeServers(changes []ListingChange, at port.Version) {
	if len(changes) == 0 {
		return
	}
	k.mu.Lock()
	servers := withChanges(k.servers, changes)
	differs := k.takeServers(servers, at)
	k.mu.Unlock()
	if differs && k.onServers != nil {
		k.onServers(servers)
	}
}

// takeServers reports whether the list differs from the known one. The lock is held.
func (k *Knowledge) takeServers(servers map[string]dispatch.Listing, at port.Version) bool {
	if at < k.serversSeen {
		return false
	}
	k.serversSeen = at
	if k.servers != nil && maps.Equal(k.servers, servers) {
		return false
	}
	k.servers, k.serversAt = servers, at
	k.announce()
	return true
}

func withChanges(servers map[string]dispatch.Listing, changes []ListingChange) map[string]dispatch.Listing {
	changed := make(map[string]dispatch.Listing, len(servers)+1)
	maps.Copy(changed, servers)
	for _, c := range changes {
		switch c := c.(type) {
		case Listed:
			changed[c.Listing.Name] = c.Listing
		case Delisted:
			delete(changed, c.Name)
		}
	}
	return changed
}

// TakeRecords takes over what a read of the records gave, unless a newer read is known.
func (k *Knowledge) TakeRecords(s Snapshot) {
	if !s.Lists(k.self) {
		// A promoter does not wait for an instance that is not listed.
		for _, p := range s.Primacies {
			k.views.Take(p, 0, 0)
		}
		k.delisted.Offer(struct{}{})
	} else {
		for _, p := range s.Primacies {
			k.views.Take(p, s.AskedAt, s.ReadAt)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.hasRecords && s.AskedAt <= k.records.AskedAt {
		return
	}
	k.history.Note(s, k.timer.Now())
	differs := !k.hasRecords || s.Version() != k.records.Version()
	k.records, k.hasRecords = s, true
	if differs {
		k.announce()
	}
}

// announce tells those who wait for a change. The lock is held.
func (k *Knowledge) announce() {
	close(k.changed)
	k.changed = make(chan struct{})
}
