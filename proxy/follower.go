package proxy

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/rhubarbwick/rhubarbwick/dispatch"
	"github.com/rhubarbwick/rhubarbwick/document"
	"github.com/rhubarbwick/rhubarbwick/port"
)

const (
	// awaitChange is how long one wait for a change lasts. Each is a priced call; a longer one notices a silent connection
	// later.
	awaitChange = 8 * time.Second
	// callLimit is how long a call to the store may take, apart from the time it was asked to wait.
	callLimit = 2 * time.Second
	// firstPause and lastPause bound the pause before a failed call is repeated.
	firstPause = 100 * time.Millisecond
	lastPause  = 800 * time.Millisecond
)

// pauses counts failures in a row. The zero value has seen none.
type pauses struct{ next time.Duration }

// wait waits after a failure, longer each time.
func (p *pauses) wait(ctx context.Context, timer port.Timer) {
	p.next = min(max(2*p.next, firstPause), lastPause)
	_ = port.Wait(ctx, timer, p.next)
}

func (p *pauses) reset() { p.next = 0 }

// DocumentFollower is the duty that keeps the document in force, which never goes back to an older revision.
type DocumentFollower struct {
	documents Documents
	timer     port.Timer
	// staleAfter is the age from which the document is not relied on; zero means that it always is.
	staleAfter time.Duration
	state      atomic.Pointer[documentState]
	onChange   func(document.Document)
	failed     pauses
}

type documentState struct {
	index     document.Index
	confirmed time.Duration
	known     bool
}

// NewDocumentFollower returns a follower that knows no document until Run. onChange may be nil; it must not block.
func NewDocumentFollower(docs Documents, timer port.Timer, staleAfter time.Duration, onChange func(document.Document)) *DocumentFollower {
	f := &DocumentFollower{documents: docs, timer: timer, staleAfter: staleAfter, onChange: onChange}
	f.state.Store(&documentState{})
	return f
}

// Run follows the document until ctx ends.
func (f *DocumentFollower) Run(ctx context.Context) { f.loop(ctx) }

// Rules returns the document in force and whether it may be relied on.
func (f *DocumentFollower) Rules() (document.Index, bool) {
	s := f.state.Load()
	fresh := s.known && (f.staleAfter == 0 || f.timer.Now()-s.confirmed <= f.staleAfter)
	return s.index, fresh
}

// IsKnown reports whether a document is in force.
func (f *DocumentFollower) IsKnown() bool { return f.state.Load().known }

// Connections returns how many connections the fleet may hold to each server of the group.
func (f *DocumentFollower) Connections(groupName string) int {
	index, _ := f.Rules()
	g, _ := index.FindGroup(groupName)
	return g.Connections
}

func (f *DocumentFollower) loop(ctx context.Context) {
	for ctx.Err() == nil {
		asked := f.timer.Now()
		limited, cancel := port.WithTimeout(ctx, f.timer, callLimit)
		d, version, err := f.documents.Read(limited)
		cancel()
		if err != nil {
			f.failed.wait(ctx, f.timer)
			continue
		}
		f.take(d, asked)
		f.await(ctx, version)
		f.failed.wait(ctx, f.timer)
	}
}

// await takes over changes until a wait fails.
func (f *DocumentFollower) await(ctx context.Context, version port.Version) {
	for ctx.Err() == nil {
		limited, cancel := port.WithTimeout(ctx, f.timer, awaitChange+callLimit)
		d, changed, next, err := f.documents.Await(limited, version, awaitChange)
		cancel()
		if err != nil {
			return
		}
		f.failed.reset()
		version = next
		if changed {
			f.take(d, f.timer.Now())
		}
	}
}

func (f *DocumentFollower) take(d document.Document, asked time.Duration) {
	s := *f.state.Load()
	s.confirmed = max(s.confirmed, asked)
	isNewer := !s.known || d.Revision > s.index.Document().Revision
	if isNewer {
		s.index, s.known = document.NewIndex(d), true
	}
	f.state.Store(&s)
	if isNewer && f.onChange != nil {
		f.onChange(d)
	}
}

// ListingFollower is the duty that keeps the list of servers.
type ListingFollower struct {
	listings Listings
	timer    port.Timer
	state    atomic.Pointer[map[string]dispatch.Listing]
	onChange func(map[string]dispatch.Listing)
	failed   pauses
}

// NewListingFollower returns a follower that knows no server until Run. onChange must not block for long.
func NewListingFollower(l Listings, timer port.Timer, onChange func(map[string]dispatch.Listing)) *ListingFollower {
	return &ListingFollower{listings: l, timer: timer, onChange: onChange}
}

// Run follows the list until ctx ends.
func (f *ListingFollower) Run(ctx context.Context) { f.loop(ctx) }

// All returns the servers by name. The map must not be changed. It is nil while none is known.
func (f *ListingFollower) All() map[string]dispatch.Listing {
	if m := f.state.Load(); m != nil {
		return *m
	}
	return nil
}

func (f *ListingFollower) loop(ctx context.Context) {
	for ctx.Err() == nil {
		limited, cancel := port.WithTimeout(ctx, f.timer, callLimit)
		all, version, err := f.listings.ReadAll(limited)
		cancel()
		if err != nil {
			f.failed.wait(ctx, f.timer)
			continue
		}
		f.take(all)
		f.await(ctx, version)
		f.failed.wait(ctx, f.timer)
	}
}

func (f *ListingFollower) await(ctx context.Context, version port.Version) {
	for ctx.Err() == nil {
		limited, cancel := port.WithTimeout(ctx, f.timer, awaitChange+callLimit)
		changes, next, err := f.listings.AwaitChanges(limited, version, awaitChange)
		cancel()
		if err != nil {
			return
		}
		f.failed.reset()
		version = next
		if len(changes) > 0 {
			f.apply(changes)
		}
	}
}

func (f *ListingFollower) take(all []dispatch.Listing) {
	m := make(map[string]dispatch.Listing, len(all))
	for _, l := range all {
		m[l.Name] = l
	}
	f.state.Store(&m)
	f.onChange(m)
}

func (f *ListingFollower) apply(changes []ListingChange) {
	m := maps.Clone(f.All())
	for _, c := range changes {
		switch c := c.(type) {
		case Listed:
			m[c.Listing.Name] = c.Listing
		case Delisted:
			delete(m, c.Name)
		}
	}
	f.state.Store(&m)
	f.onChange(m)
}
