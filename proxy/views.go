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
func (v *Views) Take(r primacy.Record, askedAt time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if askedAt < v.notBefore {
		return false
	}
	before := v.views[r.Group]
	after := before.WithRecord(r, askedAt)
	v.views[r.Group] = after
	isNews := after.Record.Succeeds(before.Record)
	if isNews {
		close(v.changed)
		v.changed = make(chan struct{})
	}
	return isNews
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
