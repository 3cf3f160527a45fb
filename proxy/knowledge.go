package proxy

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// ClusterState is what an instance knows of the platform: the document, the servers and the records. It comes from the
// store or from a relay. Knowledge is safe for concurrent use.
type ClusterState struct {
	self  Member
	timer port.Timer
	views *PrimaryViews
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

// NewClusterState returns the knowledge of an instance that has just started.
func NewClusterState(self Member, timer port.Timer, views *PrimaryViews, staleAfter time.Duration) *ClusterState {
	return &ClusterState{
		self: self, timer: timer, views: views, staleAfter: staleAfter, changed: make(chan struct{}),
		delisted: ring.New[struct{}](1), history: NewMembershipHistory(),
	}
}

// OnServersChanged has deliver called with each changed list of servers. It is to be called before the knowledge is used.
func (k *ClusterState) OnServersChanged(deliver func(map[string]dispatch.Listing)) {
	k.onServers = deliver
}

// CurrentDocument returns the document in force and whether it may be relied on.
func (k *ClusterState) CurrentDocument() (document.Index, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	fresh := k.hasDocument && (k.staleAfter == 0 || k.timer.Now()-k.confirmedAt <= k.staleAfter)
	return k.index, fresh
}

// DocumentAge returns how long ago the document was known to be the newest.
func (k *ClusterState) DocumentAge() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.timer.Now() - k.confirmedAt
}

// ConnectionLimit returns how many connections the fleet may hold to each server of the group.
func (k *ClusterState) ConnectionLimit(groupName string) int {
	index, _ := k.CurrentDocument()
	g, _ := index.FindGroup(groupName)
	return g.Connections
}

// OrganisationNames returns the names of the organisations, those with the greatest rates first.
func (k *ClusterState) OrganisationNames() []string {
	index, _ := k.CurrentDocument()
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
func (k *ClusterState) Servers() (map[string]dispatch.Listing, port.Version) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.servers, k.serversAt
}

// Records returns the newest records, and false while none were read.
func (k *ClusterState) Records() (Snapshot, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.records, k.hasRecords
}

// InstanceCount returns the number of instances that are listed and not about to be removed, at least one.
func (k *ClusterState) InstanceCount() int {
	s, _ := k.Records()
	return max(s.instances, 1)
}

// MembershipHistory tells which instances were listed of late.
func (k *ClusterState) MembershipHistory() *MembershipHistory { return k.history }

// Delisted takes a token whenever this instance is found missing from the records.
func (k *ClusterState) Delisted() *ring.Ring[struct{}] { return k.delisted }

// IsComplete reports whether callers can be served by what is known.
func (k *ClusterState) IsComplete() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.hasDocument && k.servers != nil && k.hasRecords
}

// Changed returns a channel that is closed at the next change.
func (k *ClusterState) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// TakeDocument takes over a document that was the newest at the instant. The document in force never goes back.
func (k *ClusterState) TakeDocument(d document.Document, at time.Duration) {
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
func (k *ClusterState) ConfirmDocument(r document.Revision, at time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r >= k.index.Document().Revision {
		k.confirmedAt = max(k.confirmedAt, at)
	}
}

// TakeServers takes over the list of servers at a version of the store, unless a newer one is known.
func (k *ClusterState) TakeServers(servers map[string]dispatch.Listing, at port.Version) {
	k.mu.Lock()
	differs := k.takeServers(servers, at)
	k.mu.Unlock()
	if differs && k.onServers != nil {
		k.onServers(servers)
	}
}

// ChangeServers takes over changes that were made up to a version of the store, unless a newer list is known.
func (k *ClusterState) ChangeServers(changes []ListingChange, at port.Version) {
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
func (k *ClusterState) takeServers(servers map[string]dispatch.Listing, at port.Version) bool {
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
		case ListingUpdated:
			changed[c.Listing.Name] = c.Listing
		case ListingRemoved:
			delete(changed, c.Name)
		}
	}
	return changed
}

// TakeRecords takes over what a read of the records gave, unless a newer read is known.
func (k *ClusterState) TakeRecords(s Snapshot) {
	if !s.Lists(k.self) {
		// A promoter does not wait for an instance that is not listed.
		for _, p := range s.Primacies {
			k.views.Take(p, 0, 0)
		}
		k.delisted.TryPut(struct{}{})
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
func (k *ClusterState) announce() {
	close(k.changed)
	k.changed = make(chan struct{})
}
