package proxy

import (
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/primacy"
)

// PrimaryViews holds this instance's view of each group's primary. It is safe for concurrent use.
type PrimaryViews struct {
	timer    port.Timer
	recorder Recorder

	mu    sync.Mutex
	views map[string]primacy.View
}

// NewPrimaryViews returns empty views. recorder may be nil.
func NewPrimaryViews(timer port.Timer, recorder Recorder) *PrimaryViews {
	return &PrimaryViews{timer: timer, recorder: recorderOrNop(recorder), views: make(map[string]primacy.View)}
}

// Update applies a record. requestedAt is when the latest request that confirmed it as current was sent, and readAt
// when it was requested from the store. Both are zero for a record that renews no lease.
func (v *PrimaryViews) Update(p StoredPrimacy, requestedAt, readAt time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.views[p.Record.Group]
	after := before.WithRecord(p.Record, uint64(p.Version), requestedAt, readAt)
	v.views[p.Record.Group] = after
	if after.Version == before.Version {
		return
	}
	change := PrimaryChanged{
		Group: p.Record.Group, Primary: p.Record.Primary, Term: p.Record.Term, Replacing: p.Record.Replacement != nil,
	}
	if requestedAt > 0 {
		change.Age = v.timer.Now() - requestedAt
	}
	v.recorder.Record(change)
}

// Versions returns the version of each group's newest record.
func (v *PrimaryViews) Versions() map[string]port.Version {
	v.mu.Lock()
	defer v.mu.Unlock()
	versions := make(map[string]port.Version, len(v.views))
	for name, view := range v.views {
		versions[name] = port.Version(view.Version)
	}
	return versions
}

// Release records that this instance no longer uses the primary that the record replaces, unless a newer record is known.
func (v *PrimaryViews) Release(p StoredPrimacy) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.views[p.Record.Group] = v.views[p.Record.Group].WithRelease(uint64(p.Version))
}

// View returns the view of the group; it is the zero value for an unknown group.
func (v *PrimaryViews) View(groupName string) primacy.View {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.views[groupName]
}

// Primary returns the server that may currently be treated as the group's primary, and its term.
func (v *PrimaryViews) Primary(groupName string) (string, group.Term, bool) {
	return v.View(groupName).PrimaryAt(v.timer.Now())
}

// IsPrimary reports whether the server is currently the group's primary in the given term.
func (v *PrimaryViews) IsPrimary(groupName, server string, term group.Term) bool {
	return v.View(groupName).IsPrimaryAt(server, term, v.timer.Now())
}
