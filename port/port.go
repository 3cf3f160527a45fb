// Package port holds the interfaces through which the decisions reach the world, and the closed list of
// error kinds.
package port

import (
	"context"
	"time"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/instance"
)

// Timer is the timer service. Instants are durations since the start of the process on a monotonic clock;
// they mean nothing on another machine.
type Timer interface {
	// Now returns the current instant.
	Now() time.Duration
	// Every calls deliver once each period until the returned function is called. deliver must not block.
	Every(period time.Duration, deliver func(now time.Duration)) (stop func())
	// After calls deliver once when d has passed, unless the returned function is called first.
	After(d time.Duration, deliver func(now time.Duration)) (stop func())
}

// WallClock returns the wall time. It is for records that people read, never for decisions.
type WallClock func() time.Time

// Version is the version of a stored object. It grows with each update of the object; zero means that the
// object does not exist.
type Version uint64

// Object is a named value of the platform's store.
type Object struct {
	Name    string
	Version Version
	Data    []byte
}

// Store is the platform's object store. Errors are of kind NotFound, Conflict or Unavailable. After
// Unavailable an update may have taken effect.
type Store interface {
	// Get reads an object.
	Get(ctx context.Context, name string) (Object, error)
	// Put writes an object if its version is still expected, and returns the new version.
	Put(ctx context.Context, name string, data []byte, expected Version) (Version, error)
	// Delete removes an object if its version is still expected.
	Delete(ctx context.Context, name string, expected Version) error
	// Watch waits up to wait for a version other than seen. It reports false when there was none.
	Watch(ctx context.Context, name string, seen Version, wait time.Duration) (Object, bool, error)
	// List returns the objects whose names start with prefix, without their data.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Instances returns the platform's list of instances, which lags.
	Instances(ctx context.Context) ([]instance.Instance, error)
}

// Server is the maintenance side of one database server. Errors are of kind Unavailable, or Conflict when the
// server refused because of a later term.
type Server interface {
	// Status returns the server's status. When await is not zero the server answers as soon as its log contains
	// await or has followed a later term, and after maxWait at the latest.
	Status(ctx context.Context, await group.Position, maxWait time.Duration) (group.Status, error)
	// Fence makes the server promise term to candidate and returns its status.
	Fence(ctx context.Context, term group.Term, candidate string) (group.Status, error)
	// Promote makes the server primary if it still promises exactly term to candidate.
	Promote(ctx context.Context, term group.Term, candidate string) (group.Status, error)
	// Follow makes the server replicate from the primary of term at the address.
	Follow(ctx context.Context, term group.Term, primary string) (group.Status, error)
}

// WithTimeout returns a context that ends with an error of kind Timeout after d on the timer service.
func WithTimeout(ctx context.Context, timer Timer, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := timer.After(d, func(time.Duration) { cancel(Errorf(Timeout, "no answer within %s", d)) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// Sleep returns after d on the timer service, or with the cause of ctx when that ends first.
func Sleep(ctx context.Context, timer Timer, d time.Duration) error {
	over := make(chan struct{})
	stop := timer.After(d, func(time.Duration) { close(over) })
	defer stop()
	select {
	case <-over:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
