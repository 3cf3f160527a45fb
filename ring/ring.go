// Package ring provides the bounded queue between two goroutines.
package ring

import (
	"context"
	"errors"
	"sync"
)

// ErrClosed is returned when a ring is empty and its producer has finished.
var ErrClosed = errors.New("ring is closed")

// DefaultCapacity is the number of items that a zero Ring holds.
const DefaultCapacity = 64

// Ring is a bounded first-in, first-out queue, safe for concurrent use. The zero value is ready and holds
// DefaultCapacity items. A waiting goroutine blocks; it never spins.
type Ring[T any] struct {
	once  sync.Once
	items chan T
}

// New returns a Ring that holds capacity items. A capacity below one means DefaultCapacity.
func New[T any](capacity int) *Ring[T] {
	if capacity < 1 {
		capacity = DefaultCapacity
	}
	return &Ring[T]{items: make(chan T, capacity)}
}

// Put adds v and blocks while the ring is full. It returns the context's error when ctx ends first.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case r.queue() <- v:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// TryPut adds v and reports false, without waiting, when the ring is full.
func (r *Ring[T]) TryPut(v T) bool {
	select {
	case r.queue() <- v:
		return true
	default:
		return false
	}
}

// PutDroppingOldest adds v without waiting. While the ring is full it drops the oldest item. It returns the number of
// dropped items.
func (r *Ring[T]) PutDroppingOldest(v T) int {
	dropped := 0
	for !r.TryPut(v) {
		select {
		case <-r.queue():
			dropped++
		default:
		}
	}
	return dropped
}

// Take removes the oldest item and blocks while the ring is empty. It returns the context's error when ctx ends first.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case v := <-r.queue():
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, context.Cause(ctx)
	}
}

// TakeUntil is like Take, but it returns ErrClosed when ended is closed and the ring is empty.
func (r *Ring[T]) TakeUntil(ctx context.Context, ended <-chan struct{}) (T, error) {
	select {
	case v := <-r.queue():
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, context.Cause(ctx)
	case <-ended:
		if v, ok := r.TryTake(); ok {
			return v, nil
		}
		var zero T
		return zero, ErrClosed
	}
}

// TryTake removes the oldest item and reports false, without waiting, when the ring is empty.
func (r *Ring[T]) TryTake() (T, bool) {
	select {
	case v := <-r.queue():
		return v, true
	default:
		var zero T
		return zero, false
	}
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.queue()) }

func (r *Ring[T]) queue() chan T {
	r.once.Do(func() {
		if r.items == nil {
			r.items = make(chan T, DefaultCapacity)
		}
	})
	return r.items
}
