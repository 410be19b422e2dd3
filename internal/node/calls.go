package node

import "context"

// calls carries functions that read a core to the goroutine that owns it.
type calls chan func()

// do runs f on the owner's goroutine. It returns false, and f may not have run,
// when ctx ended first or stopped was closed.
func (c calls) do(ctx context.Context, stopped <-chan struct{}, f func()) bool {
	done := make(chan struct{})
	select {
	case c <- func() { defer close(done); f() }:
	case <-stopped:
		return false
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}
