package proxy

import (
	"sync"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
	"github.com/rhubarbwick/rhubarbwick/primacy"
)

// Views holds what this instance knows of the primaries of all groups. It is safe for concurrent use.
type Views struct {
	timer port.Timer

	mu    sync.Mutex
	views map[string]primacy.View
	// changed is closed when a record changed.
	changed chan struct{}
	// notBefore is when the instance was registered. What was asked for earlier grants nothing: a promoter that does not
	// know the instance does not wait for it.
	notBefore time.Duration
}

// NewViews returns views of no group.
func NewViews(timer port.Timer) *Views {
	return &Views{timer: timer, views: make(map[string]primacy.View), changed: make(chan struct{})}
}

// Begin has the views rely only on records that were asked for from the instant on.
func (v *Views) Begin(at time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.notBefore = at
}

// Take notes a record that was asked for at the instant, and reports whether it is news.
func (v *Views) Take(p StoredPrimacy, askedAt time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.views[p.Record.Group]
	if askedAt < v.notBefore {
		// The record is noted, but grants nothing.
		askedAt = 0
	}
	after := before.WithRecord(p.Record, uint64(p.Version), askedAt)
	v.views[p.Record.Group] = after
	if after.Version == before.Version {
		return false
	}
	close(v.changed)
	v.changed = make(chan struct{})
	return true
}

// Release confirms that this instance no longer uses the primary of the record's term.
func (v *Views) Release(r primacy.Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.views[r.Group] = v.views[r.Group].WithRelease(r.Term)
}

// View returns the view of the group.
func (v *Views) View(groupName string) primacy.View {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.views[groupName]
}

// Changed returns a channel that is closed at the next change of a record.
func (v *Views) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Primary returns the server that may be treated as the group's primary now.
func (v *Views) Primary(groupName string) (string, group.Term, bool) {
	return v.View(groupName).PrimaryAt(v.timer.Now())
}

// Leads reports whether the server is the group's primary of the term now.
func (v *Views) Leads(groupName, server string, term group.Term) bool {
	return v.View(groupName).Leads(server, term, v.timer.Now())
}
