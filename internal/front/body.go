package front

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxReplayBytes is the size up to which a request body is buffered, so that a request that
// the target shed can be sent to another agent. Larger bodies are streamed.
const maxReplayBytes = 64 << 10

var (
	errBodyClosed    = errors.New("request body read after close")
	errNotReplayable = errors.New("request body is too large to be sent again")
)

// replayBody reads the body of a request once and buffers its start for another attempt.
type replayBody struct {
	now     func() time.Time
	started time.Time
	length  int64 // Content-Length, or -1 if unknown

	mu        sync.Mutex // held during a blocking read of src
	src       io.Reader
	prefix    []byte // buffered start of the body
	bytesRead int64  // bytes read from src
	err       error  // from src

	discarded    atomic.Bool  // prefix was dropped or is incomplete
	readStarted  atomic.Bool  // src was read
	sourceEnded  atomic.Bool  // src returned an error or io.EOF
	lastProgress atomic.Int64 // time.Duration from started to the last read
}

func newReplayBody(src io.Reader, length int64, now func() time.Time) *replayBody {
	return &replayBody{src: src, length: length, now: now, started: now()}
}

// idleTime returns the time since data was last received from the caller, and whether the
// body is still incomplete.
func (b *replayBody) idleTime(now time.Time) (time.Duration, bool) {
	return now.Sub(b.started) - time.Duration(b.lastProgress.Load()), !b.sourceEnded.Load()
}

// discard drops the buffered start; the request is not sent again. It does not wait for a
// read that blocks on the caller.
func (b *replayBody) discard() {
	b.discarded.Store(true)
	if b.mu.TryLock() {
		b.prefix = nil
		b.mu.Unlock()
	}
}

// reader returns a reader that starts at the first byte. The reader of an earlier attempt may
// still block in Read; the bytes that it reads are buffered for the new reader.
func (b *replayBody) reader() *bodyReader { return &bodyReader{body: b} }

// replayable reports whether a new reader can return the whole body.
func (b *replayBody) replayable() bool {
	return !b.discarded.Load() && (!b.readStarted.Load() || b.length >= 0 && b.length <= maxReplayBytes)
}

// bodyReader implements only io.ReadCloser. For types that net/http can rewind, it sets
// GetBody and may resend the request automatically.
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
	if r.pos < int64(len(b.prefix)) {
		n := copy(p, b.prefix[r.pos:])
		r.pos += int64(n)
		return n, nil
	}
	if r.pos < b.bytesRead {
		return 0, errNotReplayable
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.src.Read(p)
	if !b.discarded.Load() && len(b.prefix)+n <= maxReplayBytes {
		b.prefix = append(b.prefix, p[:n]...)
	} else if n > 0 {
		b.prefix = nil
		b.discarded.Store(true)
	}
	b.bytesRead += int64(n)
	b.err = err
	b.readStarted.Store(true)
	b.sourceEnded.Store(err != nil)
	b.lastProgress.Store(int64(b.now().Sub(b.started)))
	r.pos += int64(n)
	return n, err
}

func (r *bodyReader) Close() error {
	r.closed.Store(true)
	return nil
}
