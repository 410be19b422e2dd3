// Package ring provides the bounded queue that joins two goroutines. A full
// ring drops the new item and counts the drop, so that a slow consumer never
// holds up its producer and memory stays bounded.
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

// New returns a ring for size items. onDrop, which may be nil, is called for
// each dropped item.
func New[T any](size int, onDrop func()) *Ring[T] {
	return &Ring[T]{items: make(chan T, size), onDrop: onDrop}
}

// Put adds v and reports whether there was room.
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

// Get waits for the next item. It returns false when ctx is done.
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

// Len returns the number of waiting items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Dropped returns the number of items dropped so far.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
