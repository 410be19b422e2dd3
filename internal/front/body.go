package front

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// replayLimit is the part of a request body that is kept, so that a request
// that the target shed can be sent to another agent. Larger uploads stream.
const replayLimit = 64 << 10

var (
	errBodyClosed    = errors.New("request body read after close")
	errNotReplayable = errors.New("request body is too large to be sent again")
)

// replayBody reads a caller's body once and keeps its start for a second send.
type replayBody struct {
	now    func() time.Time
	length int64 // announced, or -1

	mu   sync.Mutex // held while a read of src blocks
	src  io.Reader
	kept []byte
	read int64 // bytes read from src
	err  error // from src

	lost    atomic.Bool // the start is not kept any more
	touched atomic.Bool // a byte was read
	ended   atomic.Bool
	last    atomic.Int64 // time of the last progress, Unix nanoseconds
}

func newReplayBody(src io.Reader, length int64, now func() time.Time) *replayBody {
	b := &replayBody{src: src, length: length, now: now}
	b.last.Store(now().UnixNano())
	return b
}

// idle returns how long ago the caller sent a part of the body, and whether
// more is to come.
func (b *replayBody) idle(now time.Time) (time.Duration, bool) {
	return now.Sub(time.Unix(0, b.last.Load())), !b.ended.Load()
}

// forget drops the kept start: the request is not sent again. It does not wait
// for a read that is blocked on the caller.
func (b *replayBody) forget() {
	b.lost.Store(true)
	if b.mu.TryLock() {
		b.kept = nil
		b.mu.Unlock()
	}
}

// reader returns the body from its first byte. A reader of an earlier send may
// still be blocked in Read; what it gets is kept for the new one.
func (b *replayBody) reader() *bodyReader { return &bodyReader{body: b} }

// replayable reports whether a new reader returns the whole body.
func (b *replayBody) replayable() bool {
	return !b.lost.Load() && (!b.touched.Load() || b.length >= 0 && b.length <= replayLimit)
}

// bodyReader implements io.ReadCloser and deliberately no more: net/http sets
// GetBody for types that it knows how to rewind and would resend them itself.
type bodyReader struct {
	body   *replayBody
	pos    int64
	closed atomic.Bool
}

func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.closed.Load() {
		return 0, errBodyClosed
	}
	if r.pos < int64(len(b.kept)) {
		n := copy(p, b.kept[r.pos:])
		r.pos += int64(n)
		return n, nil
	}
	if r.pos < b.read {
		return 0, errNotReplayable
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.src.Read(p)
	if !b.lost.Load() && len(b.kept)+n <= replayLimit {
		b.kept = append(b.kept, p[:n]...)
	} else if n > 0 {
		b.kept = nil
		b.lost.Store(true)
	}
	b.read += int64(n)
	b.err = err
	b.touched.Store(true)
	b.ended.Store(err != nil)
	b.last.Store(b.now().UnixNano())
	r.pos += int64(n)
	return n, err
}

func (r *bodyReader) Close() error {
	r.closed.Store(true)
	return nil
}
