package passnode

import (
	"context"
	"sync"
)

// readerRole is whether the balancer reads the store for others. The loop sets it, and
// the goroutines that call the store follow it.
type readerRole struct {
	gained chan struct{} // receives a value when the balancer has become a reader

	mu      sync.Mutex
	reader  bool
	changed chan struct{} // closed at the next change
}

func newReaderRole() *readerRole {
	return &readerRole{gained: make(chan struct{}, 1), changed: make(chan struct{})}
}

// set sets the role and reports whether it changed.
func (r *readerRole) set(reader bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reader == r.reader {
		return false
	}
	r.reader = reader
	close(r.changed)
	r.changed = make(chan struct{})
	if reader {
		select {
		case r.gained <- struct{}{}:
		default: // the last one has not been received yet
		}
	}
	return true
}

func (r *readerRole) get() (reader bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reader, r.changed
}

// is reports whether the balancer is a reader.
func (r *readerRole) is() bool {
	reader, _ := r.get()
	return reader
}

// whileReader waits until the balancer is a reader or ctx is done. It returns a context
// that ends when either is over.
func (r *readerRole) whileReader(ctx context.Context) (context.Context, context.CancelFunc) {
	reader, changed := r.get()
	for !reader && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-changed:
			reader, changed = r.get()
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
