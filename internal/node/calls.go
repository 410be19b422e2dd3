package node

import "context"

// calls passes functions that read a core to the goroutine that owns the core.
type calls chan func()

// do runs f on the owner's goroutine. It returns false if ctx was done or stopped
// was closed first; f may or may not have run then.
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
