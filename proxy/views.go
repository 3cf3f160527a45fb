package proxy

import (
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/primacy"
)

// PrimaryViews holds what this instance knows of the primaries of all groups. It is safe for concurrent use.
type PrimaryViews struct {
	timer    port.Timer
	recorder Recorder

	mu    sync.Mutex
	views map[string]primacy.View
}

// NewPrimaryViews returns views of no group. recorder may be nil.
func NewPrimaryViews(timer port.Timer, recorder Recorder) *PrimaryViews {
	return &PrimaryViews{timer: timer, recorder: orDiscard(recorder), views: make(map[string]primacy.View)}
}

// Take notes a record that was asked for at one instant and read from the store at another.
func (v *PrimaryViews) Take(p StoredPrimacy, askedAt, readAt time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.views[p.Record.Group]
	after := before.WithRecord(p.Record, uint64(p.Version), askedAt, readAt)
	v.views[p.Record.Group] = after
	if after.Version == before.Version {
		return
	}
	change := PrimaryChanged{
		Group: p.Record.Group, Primary: p.Record.Primary, Term: p.Record.Term, Replacing: p.Record.Replacement != nil,
	}
	if askedAt > 0 {
		change.Age = v.timer.Now() - askedAt
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

// Release confirms that this instance no longer uses the primary of the record's term.
func (v *PrimaryViews) Release(r primacy.Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.views[r.Group] = v.views[r.Group].WithRelease(r.Term)
}

// View returns the view of the group.
func (v *PrimaryViews) View(groupName string) primacy.View {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.views[groupName]
}

// Primary returns the server that may be treated as the group's primary now.
func (v *PrimaryViews) Primary(groupName string) (string, group.Term, bool) {
	return v.View(groupName).PrimaryAt(v.timer.Now())
}

// Leads reports whether the server is the group's primary of the term now.
func (v *PrimaryViews) Leads(groupName, server string, term group.Term) bool {
	return v.View(groupName).Leads(server, term, v.timer.Now())
}
