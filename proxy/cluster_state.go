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

// ClusterState is the instance's copy of the platform's state: the configuration document, the servers and the records. It
// is read from the store or from a relay. It is safe for concurrent use.
type ClusterState struct {
	self  Member
	timer port.Timer
	views *PrimaryViews
	// maxDocumentAge is the age above which the document is no longer relied on; zero means no limit.
	maxDocumentAge time.Duration
	onServers      func(map[string]dispatch.Listing)

	mu                  sync.Mutex
	index               document.Index
	hasDocument         bool
	documentConfirmedAt time.Duration
	servers             map[string]dispatch.Listing
	// serversVersion is the store version at which the list last changed; serversReadVersion is the newest version at
	// which it was read.
	serversVersion     port.Version
	serversReadVersion port.Version
	records            Snapshot
	hasRecords         bool
	changed            chan struct{}
	selfDelisted       *ring.Ring[struct{}]
	history            *MembershipHistory
}

// NewClusterState returns an empty state.
func NewClusterState(self Member, timer port.Timer, views *PrimaryViews, staleAfter time.Duration) *ClusterState {
	return &ClusterState{
		self: self, timer: timer, views: views, maxDocumentAge: staleAfter, changed: make(chan struct{}),
		selfDelisted: ring.New[struct{}](1), history: NewMembershipHistory(),
	}
}

// OnServersChanged registers a function that is called with each changed list of servers. It must be called before the state
// is used.
func (k *ClusterState) OnServersChanged(deliver func(map[string]dispatch.Listing)) {
	k.onServers = deliver
}

// CurrentDocument returns the document in force and whether it may be relied on.
func (k *ClusterState) CurrentDocument() (document.Index, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	isFresh := k.hasDocument && (k.maxDocumentAge == 0 || k.timer.Now()-k.documentConfirmedAt <= k.maxDocumentAge)
	return k.index, isFresh
}

// DocumentAge returns the time since the document was last known to be the newest.
func (k *ClusterState) DocumentAge() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.timer.Now() - k.documentConfirmedAt
}

// ConnectionLimit returns how many connections all instances together may hold to each server of the group.
func (k *ClusterState) ConnectionLimit(groupName string) int {
	index, _ := k.CurrentDocument()
	g, _ := index.FindGroup(groupName)
	return g.Connections
}

// OrganisationNames returns the names of the organisations in descending order of their rates.
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

// Servers returns the listed servers by name and the store version of the list. The map is nil until the list is known
// and must not be modified.
func (k *ClusterState) Servers() (map[string]dispatch.Listing, port.Version) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.servers, k.serversVersion
}

// Records returns the newest records, or false if none have been read.
func (k *ClusterState) Records() (Snapshot, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.records, k.hasRecords
}

// InstanceCount returns the number of registered instances that are not leaving, at least one.
func (k *ClusterState) InstanceCount() int {
	s, _ := k.Records()
	return max(s.instances, 1)
}

// MembershipHistory returns the history of recently registered instances.
func (k *ClusterState) MembershipHistory() *MembershipHistory { return k.history }

// SelfDelisted returns a ring that receives a token whenever this instance is missing from the records.
func (k *ClusterState) SelfDelisted() *ring.Ring[struct{}] { return k.selfDelisted }

// IsComplete reports whether enough state is known to serve clients.
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

// SetDocument updates the document to one that was the newest at the given time. An older revision is ignored: the
// document in force never reverts.
func (k *ClusterState) SetDocument(d document.Document, at time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.hasDocument && d.Revision < k.index.Document().Revision {
		return
	}
	k.documentConfirmedAt = max(k.documentConfirmedAt, at)
	if !k.hasDocument || d.Revision > k.index.Document().Revision {
		k.index, k.hasDocument = document.NewIndex(d), true
		k.notifyChanged()
	}
}

// ConfirmDocument records that no document newer than the revision existed at the given time.
func (k *ClusterState) ConfirmDocument(r document.Revision, at time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r >= k.index.Document().Revision {
		k.documentConfirmedAt = max(k.documentConfirmedAt, at)
	}
}

// SetServers updates the list of servers as of a store version, unless a newer list is known.
func (k *ClusterState) SetServers(servers map[string]dispatch.Listing, at port.Version) {
	k.mu.Lock()
	changed := k.setServers(servers, at)
	k.mu.Unlock()
	if changed && k.onServers != nil {
		k.onServers(servers)
	}
}

// ApplyServerChanges applies changes up to a store version, unless a newer list is known.
func (k *ClusterState) ApplyServerChanges(changes []ListingChange, at port.Version) {
	if len(changes) == 0 {
		return
	}
	k.mu.Lock()
	servers := applyChanges(k.servers, changes)
	changed := k.setServers(servers, at)
	k.mu.Unlock()
	if changed && k.onServers != nil {
		k.onServers(servers)
	}
}

// setServers reports whether the list changed. mu must be held.
func (k *ClusterState) setServers(servers map[string]dispatch.Listing, at port.Version) bool {
	if at < k.serversReadVersion {
		return false
	}
	k.serversReadVersion = at
	if k.servers != nil && maps.Equal(k.servers, servers) {
		return false
	}
	k.servers, k.serversVersion = servers, at
	k.notifyChanged()
	return true
}

func applyChanges(servers map[string]dispatch.Listing, changes []ListingChange) map[string]dispatch.Listing {
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

// SetRecords updates the records, unless a later read is known.
func (k *ClusterState) SetRecords(s Snapshot) {
	if !s.HasMember(k.self) {
		// Promoters do not wait for an unregistered instance, so its leases must not be extended.
		for _, p := range s.Primacies {
			k.views.Update(p, 0, 0)
		}
		k.selfDelisted.TryPut(struct{}{})
	} else {
		for _, p := range s.Primacies {
			k.views.Update(p, s.RequestedAt, s.ReadAt)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.hasRecords && s.RequestedAt <= k.records.RequestedAt {
		return
	}
	k.history.Record(s, k.timer.Now())
	changed := !k.hasRecords || s.Version() != k.records.Version()
	k.records, k.hasRecords = s, true
	if changed {
		k.notifyChanged()
	}
}

// notifyChanged wakes the goroutines that wait for a change. mu must be held.
func (k *ClusterState) notifyChanged() {
	close(k.changed)
	k.changed = make(chan struct{})
}
