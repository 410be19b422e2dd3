// Package ring provides a bounded queue between goroutines. A full ring drops
// and counts new items, so that a slow consumer never blocks a producer and
// memory use stays bounded.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded queue for any number of producers and one consumer.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Uint64
	onDrop  func()
}

// New returns a ring with room for size items. onDrop is called for each dropped
// item; it may be nil.
func New[T any](size int, onDrop func()) *Ring[T] {
	return &Ring[T]{items: make(chan T, size), onDrop: onDrop}
}

// Put adds v without blocking. It returns false if the ring is full and v was dropped.
func (r *Ring[T]) Put(v T) bool {
	select {
	case r.items <- v:
		return true
	default:
		r.dropped.Add(1)
		if r.onDrop != nil {
			r.onDrop()
		}
		return false
	}
}

// Get waits for the next item. It returns false if ctx is done first.
func (r *Ring[T]) Get(ctx context.Context) (T, bool) {
	select {
	case v := <-r.items:
		return v, true
	case <-ctx.Done():
		var zero T
		return zero, false
	}
}

// Items returns the channel to receive from, for use in a select statement.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Dropped returns the number of items dropped so far.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
