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

// Knowledge is what an instance knows of the platform: the document, the servers and the records. It comes from the
// store or from a relay. Knowledge is safe for concurrent use.
type Knowledge struct {
	self  Member
	timer port.Timer
	views *Views
	// maxDocumentAge is the age from which the document is not relied on; zero means that it always is.
	maxDocumentAge time.Duration
	onServers      func(map[string]dispatch.Listing)

	mu                  sync.Mutex
	index               document.Index
	hasDocument         bool
	documentConfirmedAt time.Duration
	servers             map[string]dispatch.Listing
	// serversVersion is the version of the store at which the list last changed, and serversSeen the newest one at which it was
	// read.
	serversVersion     port.Version
	serversReadVersion port.Version
	records            Snapshot
	hasRecords         bool
	changed            chan struct{}
	selfDelisted       *ring.Ring[struct{}]
	history            *MembershipHistory
}

// NewKnowledge returns the knowledge of an instance that has just started.
func NewKnowledge(self Member, timer port.Timer, views *Views, staleAfter time.Duration) *Knowledge {
	return &Knowledge{
		self: self, timer: timer, views: views, maxDocumentAge: staleAfter, changed: make(chan struct{}),
		selfDelisted: ring.New[struct{}](1), history: NewMembershipHistory(),
	}
}

// OnServers has deliver called with each changed list of servers. It is to be called before the knowledge is used.
func (k *Knowledge) OnServers(deliver func(map[string]dispatch.Listing)) { k.onServers = deliver }

// Rules returns the document in force and whether it may be relied on.
func (k *Knowledge) Rules() (document.Index, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	fresh := k.hasDocument && (k.maxDocumentAge == 0 || k.timer.Now()-k.documentConfirmedAt <= k.maxDocumentAge)
	return k.index, fresh
}

// DocumentAge returns how long ago the document was known to be the newest.
func (k *Knowledge) DocumentAge() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.timer.Now() - k.documentConfirmedAt
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
	return k.servers, k.serversVersion
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

// SelfDelisted takes a token whenever this instance is found missing from the records.
func (k *Knowledge) SelfDelisted() *ring.Ring[struct{}] { return k.selfDelisted }

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

// SetDocument takes over a document that was the newest at the instant. The document in force never goes back.
func (k *Knowledge) SetDocument(d document.Document, at time.Duration) {
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

// ConfirmDocument notes that no document newer than the revision was known at the instant.
func (k *Knowledge) ConfirmDocument(r document.Revision, at time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r >= k.index.Document().Revision {
		k.documentConfirmedAt = max(k.documentConfirmedAt, at)
	}
}

// SetServers takes over the list of servers at a version of the store, unless a newer one is known.
func (k *Knowledge) SetServers(servers map[string]dispatch.Listing, at port.Version) {
	k.mu.Lock()
	differs := k.setServers(servers, at)
	k.mu.Unlock()
	if differs && k.onServers != nil {
		k.onServers(servers)
	}
}

// ApplyServerChanges takes over changes that were made up to a version of the store, unless a newer list is known.
func (k *Knowledge) ApplyServerChanges(changes []ListingChange, at port.Version) {
	if len(changes) == 0 {
		return
	}
	k.mu.Lock()
	servers := applyChanges(k.servers, changes)
	differs := k.setServers(servers, at)
	k.mu.Unlock()
	if differs && k.onServers != nil {
		k.onServers(servers)
	}
}

// setServers reports whether the list differs from the known one. The lock is held.
func (k *Knowledge) setServers(servers map[string]dispatch.Listing, at port.Version) bool {
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
		case Listed:
			changed[c.Listing.Name] = c.Listing
		case Delisted:
			delete(changed, c.Name)
		}
	}
	return changed
}

// SetRecords takes over what a read of the records gave, unless a newer read is known.
func (k *Knowledge) SetRecords(s Snapshot) {
	if !s.HasMember(k.self) {
		// A promoter does not wait for an instance that is not listed.
		for _, p := range s.Primacies {
			k.views.Update(p, 0, 0)
		}
		k.selfDelisted.Offer(struct{}{})
	} else {
		for _, p := range s.Primacies {
			k.views.Update(p, s.AskedAt, s.ReadAt)
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.hasRecords && s.AskedAt <= k.records.AskedAt {
		return
	}
	k.history.Record(s, k.timer.Now())
	differs := !k.hasRecords || s.Version() != k.records.Version()
	k.records, k.hasRecords = s, true
	if differs {
		k.notifyChanged()
	}
}

// notifyChanged tells those who wait for a change. The lock is held.
func (k *Knowledge) notifyChanged() {
	close(k.changed)
	k.changed = make(chan struct{})
}
