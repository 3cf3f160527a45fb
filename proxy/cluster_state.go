package proxy

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/admission"
	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/ring"
)

// ClusterState is the instance's copy of the platform's state: the configuration document, the servers and the records.
// It is read from the store or from a relay. It is safe for concurrent use.
type ClusterState struct {
	self  Member
	timer port.Timer
	views *PrimaryViews
	// maxDocumentAge is the age above which the document is no longer relied on; zero means no limit.
	maxDocumentAge   time.Duration
	onServersChanged func(map[string]dispatch.Listing)
	startedAt        time.Duration

	mu                  sync.Mutex
	index               document.Index
	hasDocument         bool
	documentConfirmedAt time.Duration
	servers             map[string]dispatch.Listing
	// serversVersion is the store version at which the list last changed; serversReadVersion is the newest version at
	// which it was read.
	serversVersion     port.Version
	serversReadVersion port.Version
	// serversReadAt is when the list was last requested from the store, by this instance or for its relay.
	serversReadAt    time.Duration
	records          Snapshot
	hasRecords       bool
	changed          chan struct{}
	selfUnregistered *ring.Ring[struct{}]
	recordsOutdated  *ring.Ring[struct{}]
	history          *MembershipHistory
	maintenance      maintenanceState
	source           StateSource
}

// NewClusterState returns an empty state.
func NewClusterState(self Member, timer port.Timer, views *PrimaryViews, maxDocumentAge time.Duration) *ClusterState {
	return &ClusterState{
		self: self, timer: timer, views: views, maxDocumentAge: maxDocumentAge, startedAt: timer.Now(), changed: make(chan struct{}),
		selfUnregistered: ring.New[struct{}](1), recordsOutdated: ring.New[struct{}](1), history: NewMembershipHistory(),
	}
}

// OnServersChanged registers a function that is called with each changed list of servers. It must be called before the
// state is used.
func (c *ClusterState) OnServersChanged(fn func(map[string]dispatch.Listing)) {
	c.onServersChanged = fn
}

// CurrentDocument returns the document in force and whether it may be relied on.
func (c *ClusterState) CurrentDocument() (document.Index, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isFresh := c.hasDocument && (c.maxDocumentAge == 0 || c.timer.Now()-c.documentConfirmedAt <= c.maxDocumentAge)
	return c.index, isFresh
}

// DocumentAge returns the time since the document was last known to be the newest.
func (c *ClusterState) DocumentAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.timer.Now() - c.documentConfirmedAt
}

// Overdue returns by how much the most outdated part of the state exceeds its maximum age. It is zero or negative if all
// parts are recent.
func (c *ClusterState) Overdue() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	times := ReadTimes{Document: c.documentConfirmedAt, Servers: c.serversReadAt, Records: c.records.ReadAt, Maintenance: c.maintenance.readAt}
	return c.withUsedParts(times).WithStart(c.startedAt).Overdue(c.timer.Now())
}

// SourcePath returns the path of the state's source; see StateSource.Path.
func (c *ClusterState) SourcePath() ([]string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.source.WithReads(c.withUsedParts(c.source.reads)).Path(c.timer.Now())
}

// isSourceStarting reports whether the instance has just begun to read the store.
func (c *ClusterState) isSourceStarting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.source.isStarting(c.timer.Now())
}

// updateSource changes where the state comes from.
func (c *ClusterState) updateSource(update func(StateSource) StateSource) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.source = update(c.source)
}

// withUsedParts returns the times without the part that the deployment does not use. mu must be held.
func (c *ClusterState) withUsedParts(t ReadTimes) ReadTimes {
	if !c.maintenance.isUsed {
		return t.WithMaintenance(partNotUsed)
	}
	return t
}

// recordOwnRead records that this instance has read a part of the state from the store.
func (c *ClusterState) recordOwnRead(update func(ReadTimes) ReadTimes) {
	c.updateSource(func(s StateSource) StateSource { return s.WithReads(update(s.reads)) })
}

// ConnectionLimit returns how many connections all instances together may hold to each server of the group.
func (c *ClusterState) ConnectionLimit(groupName string) int {
	index, _ := c.CurrentDocument()
	g, _ := index.FindGroup(groupName)
	return g.Connections
}

// ColdRate returns the limit of the group's cold servers.
func (c *ClusterState) ColdRate(groupName string) admission.ColdRate {
	index, _ := c.CurrentDocument()
	g, _ := index.FindGroup(groupName)
	return admission.ColdRate{PerSecond: g.ColdRate, Duration: time.Duration(g.ColdStartMS) * time.Millisecond}
}

// OrganisationNames returns the names of the organisations in descending order of their rates.
func (c *ClusterState) OrganisationNames() []string {
	index, _ := c.CurrentDocument()
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
func (c *ClusterState) Servers() (map[string]dispatch.Listing, port.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers, c.serversVersion
}

// Records returns the newest records, or false if none have been read.
func (c *ClusterState) Records() (Snapshot, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.records, c.hasRecords
}

// InstanceCount returns the number of registered instances that are not leaving, at least one.
func (c *ClusterState) InstanceCount() int {
	s, _ := c.Records()
	return max(s.instances, 1)
}

// MembershipHistory returns the history of recently registered instances.
func (c *ClusterState) MembershipHistory() *MembershipHistory { return c.history }

// SelfUnregistered returns a ring that receives a token whenever this instance is missing from the records.
func (c *ClusterState) SelfUnregistered() *ring.Ring[struct{}] { return c.selfUnregistered }

// RecordsOutdated returns a ring that receives a token when another instance shows that the records lack a member.
func (c *ClusterState) RecordsOutdated() *ring.Ring[struct{}] { return c.recordsOutdated }

// IsComplete reports whether enough state is known to serve clients.
func (c *ClusterState) IsComplete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasDocument && c.servers != nil && c.hasRecords && !c.awaitsMaintenance()
}

// awaitChange returns when changed is closed, when ctx ends, or after limit. A limit of zero is none.
func awaitChange(ctx context.Context, timer port.Timer, changed <-chan struct{}, limit time.Duration) {
	if limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = port.WithTimeout(ctx, timer, limit)
		defer cancel()
	}
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

// Changed returns a channel that is closed at the next change.
func (c *ClusterState) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// SetDocument updates the document to one that was the newest at the given time. An older revision is ignored: the
// document in force never reverts.
func (c *ClusterState) SetDocument(d document.Document, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasDocument && d.Revision < c.index.Document().Revision {
		return
	}
	c.documentConfirmedAt = max(c.documentConfirmedAt, at)
	if !c.hasDocument || d.Revision > c.index.Document().Revision {
		c.index, c.hasDocument = document.NewIndex(d), true
		c.notifyChanged()
	}
}

// ConfirmDocument records that no document newer than the revision existed at the given time.
func (c *ClusterState) ConfirmDocument(r document.Revision, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r >= c.index.Document().Revision {
		c.documentConfirmedAt = max(c.documentConfirmedAt, at)
	}
}

// ServersReadAt returns when the list of servers was last requested from the store, by this instance or for its relay.
func (c *ClusterState) ServersReadAt() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serversReadAt
}

// ConfirmServers records that the list of servers was requested from the store at the given time.
func (c *ClusterState) ConfirmServers(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serversReadAt = max(c.serversReadAt, at)
}

// SetServers updates the list of servers as of a store version, unless a newer list is known.
func (c *ClusterState) SetServers(servers map[string]dispatch.Listing, at port.Version) {
	c.updateServers(func() bool { return c.setServers(servers, at) }, servers)
}

// AdoptServers is SetServers for a list from a relay. If the list is the same, it adopts the relay's version of it. The
// two versions differ if both have read the list from the store, and the relay would then send it in every exchange.
func (c *ClusterState) AdoptServers(servers map[string]dispatch.Listing, at port.Version) {
	c.updateServers(func() bool {
		if c.servers != nil && maps.Equal(c.servers, servers) {
			c.serversVersion = at
			return false
		}
		return c.setServers(servers, at)
	}, servers)
}

// updateServers applies an update of the list, which reports whether it changed.
func (c *ClusterState) updateServers(update func() bool, servers map[string]dispatch.Listing) {
	c.mu.Lock()
	changed := update()
	c.mu.Unlock()
	if changed && c.onServersChanged != nil {
		c.onServersChanged(servers)
	}
}

// ApplyServerChanges applies changes up to a store version, unless a newer list is known.
func (c *ClusterState) ApplyServerChanges(changes []ListingChange, at port.Version) {
	if len(changes) == 0 {
		return
	}
	c.mu.Lock()
	servers := applyChanges(c.servers, changes)
	changed := c.setServers(servers, at)
	c.mu.Unlock()
	if changed && c.onServersChanged != nil {
		c.onServersChanged(servers)
	}
}

// setServers reports whether the list changed. mu must be held.
func (c *ClusterState) setServers(servers map[string]dispatch.Listing, at port.Version) bool {
	if at < c.serversReadVersion {
		return false
	}
	c.serversReadVersion = at
	if c.servers != nil && maps.Equal(c.servers, servers) {
		return false
	}
	c.servers, c.serversVersion = servers, at
	c.notifyChanged()
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
func (c *ClusterState) SetRecords(s Snapshot) {
	if !s.HasMember(c.self) {
		// Promoters do not wait for an unregistered instance, so its leases must not be extended.
		for _, p := range s.Primacies {
			c.views.Update(p, 0, 0)
		}
		c.selfUnregistered.TryPut(struct{}{})
	} else {
		for _, p := range s.Primacies {
			c.views.Update(p, s.RequestedAt, s.ReadAt)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasRecords && s.RequestedAt <= c.records.RequestedAt {
		return
	}
	c.history.Record(s, c.timer.Now())
	changed := !c.hasRecords || s.Version() != c.records.Version()
	c.records, c.hasRecords = s, true
	if changed {
		c.notifyChanged()
	}
}

// notifyChanged wakes the goroutines that wait for a change. mu must be held.
func (c *ClusterState) notifyChanged() {
	close(c.changed)
	c.changed = make(chan struct{})
}
