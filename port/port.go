// Package port defines the interfaces to external systems (clock, object store, database servers) and the error kinds
// that all packages share.
package port

import (
	"context"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/instance"
)

// Timer is a monotonic clock with timers. An instant is the time since the start of the process and must not be
// compared with an instant of another process.
type Timer interface {
	Now() time.Duration
	// Every calls deliver once per period until stop is called. deliver must not block.
	Every(period time.Duration, deliver func(now time.Duration)) (stop func())
	// After calls deliver once d has elapsed, unless stop is called first.
	After(d time.Duration, deliver func(now time.Duration)) (stop func())
}

// WallClock returns the wall-clock time. Use it only for timestamps that people read: it can jump, so decisions must
// use Timer.
type WallClock func() time.Time

// Version is the version of a stored object. It increases with each update of the object. Zero means that the object
// does not exist.
type Version uint64

// Object is a named, versioned value in the platform's object store.
type Object struct {
	Name    string
	Version Version
	Data    []byte
}

// Store is the platform's object store. Errors are of kind NotFound, Conflict or Unavailable. An update that returned
// Unavailable may have taken effect.
type Store interface {
	Get(ctx context.Context, name string) (Object, error)
	// Put writes the object if its current version is expected, and returns the new version. An expected version of
	// zero creates the object.
	Put(ctx context.Context, name string, data []byte, expected Version) (Version, error)
	// Delete removes the object if its current version is expected.
	Delete(ctx context.Context, name string, expected Version) error
	// Watch waits up to wait for the object to have a version other than seen. It returns false if it timed out.
	Watch(ctx context.Context, name string, seen Version, wait time.Duration) (Object, bool, error)
	// List returns the objects whose names start with prefix, without data.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Instances returns the instances that the platform knows of. The list may be out of date.
	Instances(ctx context.Context) ([]instance.Instance, error)
}

// Server is the maintenance interface of one database server. Errors are of kind Unavailable, or Conflict if the server
// rejected the call because of the term that it has promised.
type Server interface {
	// Status returns the server's status. If await is not zero, the server responds once its log contains await or has
	// followed a later term, and after maxWait at the latest.
	Status(ctx context.Context, await group.Position, maxWait time.Duration) (group.Status, error)
	// Fence makes the server promise term to candidate: from then on it accepts no entries and no commits of earlier
	// terms. It returns the server's status.
	Fence(ctx context.Context, term group.Term, candidate string) (group.Status, error)
	// Promote makes the server primary if its latest promise is term to candidate.
	Promote(ctx context.Context, term group.Term, candidate string) (group.Status, error)
	// Follow makes the server replicate from the primary of term. primary is the primary's address.
	Follow(ctx context.Context, term group.Term, primary string) (group.Status, error)
}

// WithTimeout is context.WithTimeout on the given timer. The context's cause is then an error of kind Timeout.
func WithTimeout(ctx context.Context, timer Timer, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := timer.After(d, func(time.Duration) { cancel(Errorf(Timeout, "no response within %s", d)) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// Sleep pauses for d on the given timer. It returns early with the cause of ctx when ctx is done.
func Sleep(ctx context.Context, timer Timer, d time.Duration) error {
	elapsed := make(chan struct{})
	stop := timer.After(d, func(time.Duration) { close(elapsed) })
	defer stop()
	select {
	case <-elapsed:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
