package telemetry

import (
	"bytes"
	"io"
	stdlog "log"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
)

const (
	// maxQueuedBytes is the size of the lines that wait for the reader of the log: about
	// eight seconds at the rate to which packet decisions are limited.
	maxQueuedBytes = 256 << 10
	// flushTimeout limits the wait for the reader of the log when a process ends.
	flushTimeout = 200 * time.Millisecond
	// atomicWriteBytes is the size up to which writes to a pipe do not mix with those of
	// other processes (PIPE_BUF).
	atomicWriteBytes = 4096
)

// CounterLogDropped counts lines that are not in the log, by reason.
const CounterLogDropped = "log_lines_dropped"

// Reasons of CounterLogDropped.
const (
	DropQueueFull   = "queue_full"   // the reader of the log is slow or has stopped
	DropWriteFailed = "write_failed" // the reader of the log is gone
	DropRateLimited = "rate_limited" // more lines than packet decisions may write
)

// LogQueue is an io.Writer that never blocks: lines are queued and written by a goroutine of
// its own. Lines that do not fit are dropped and counted.
type LogQueue struct {
	to io.Writer
	// onDrop is called for lines that were dropped, and onResume with their number once the
	// writer takes lines again. Both may be nil.
	onDrop   func(reason string, lines int)
	onResume func(dropped int)
	done     chan struct{} // closed when the queue is closed and empty

	mu      sync.Mutex
	wake    *sync.Cond
	queued  []byte
	dropped int // lines dropped since onResume was called
	closed  bool
}

// NewLogQueue returns a queue in front of a writer that may block.
func NewLogQueue(to io.Writer, onDrop func(reason string, lines int)) *LogQueue {
	q := &LogQueue{to: to, onDrop: onDrop, done: make(chan struct{})}
	q.wake = sync.NewCond(&q.mu)
	go q.run()
	return q
}

// Write implements io.Writer and never fails. p holds whole lines.
func (q *LogQueue) Write(p []byte) (int, error) {
	q.mu.Lock()
	fits := !q.closed && len(q.queued)+len(p) <= maxQueuedBytes
	if fits {
		q.queued = append(q.queued, p...)
		q.wake.Signal()
	} else {
		q.dropped += countLines(p)
	}
	q.mu.Unlock()
	if !fits && q.onDrop != nil {
		q.onDrop(DropQueueFull, countLines(p))
	}
	return len(p), nil
}

// Close waits for the queued lines to be written, for flushTimeout at most. Later lines are
// dropped.
func (q *LogQueue) Close() {
	q.mu.Lock()
	q.closed = true
	q.wake.Signal()
	q.mu.Unlock()
	select {
	case <-q.done:
	case <-time.After(flushTimeout):
	}
}

// run writes the queued lines until the queue is closed. It blocks for as long as the writer
// does, also after Close.
func (q *LogQueue) run() {
	defer close(q.done)
	var writing []byte
	written := true // the last lines were
	for {
		q.mu.Lock()
		for len(q.queued) == 0 && !q.closed {
			q.wake.Wait()
		}
		if len(q.queued) == 0 {
			q.mu.Unlock()
			return
		}
		writing, q.queued = q.queued, writing[:0]
		dropped := 0
		if written && !q.closed {
			dropped, q.dropped = q.dropped, 0
		}
		q.mu.Unlock()
		if dropped > 0 && q.onResume != nil {
			q.onResume(dropped) // the queue is empty, so that its line fits
		}
		written = q.write(writing)
	}
}

// write writes lines, in writes that do not mix with those of other processes.
func (q *LogQueue) write(lines []byte) bool {
	for len(lines) > 0 {
		n := wholeLines(lines)
		if _, err := q.to.Write(lines[:n]); err != nil {
			failed := countLines(lines)
			q.mu.Lock()
			q.dropped += failed
			q.mu.Unlock()
			if q.onDrop != nil {
				q.onDrop(DropWriteFailed, failed)
			}
			return false
		}
		lines = lines[n:]
	}
	return true
}

// wholeLines returns the length of as many lines as one write may hold, at least of one.
func wholeLines(p []byte) int {
	if len(p) <= atomicWriteBytes {
		return len(p)
	}
	if n := bytes.LastIndexByte(p[:atomicWriteBytes], '\n'); n >= 0 {
		return n + 1
	}
	if n := bytes.IndexByte(p, '\n'); n >= 0 {
		return n + 1
	}
	return len(p)
}

func countLines(p []byte) int { return bytes.Count(p, []byte{'\n'}) }

// NewProcessLogger returns the logger of a process, which writes JSON lines to w without
// ever blocking, and a function that flushes it before the process ends. Messages of the
// standard library go to the same log. Dropped lines are counted and logged. The process
// outlives the reader of its log: a write to a closed pipe fails in place of ending it.
func NewProcessLogger(w io.Writer, level, process, node string, metrics *Metrics) (*log.Logger, func(), error) {
	signal.Ignore(syscall.SIGPIPE)
	q := NewLogQueue(w, func(reason string, lines int) { metrics.Count(CounterLogDropped, reason, int64(lines)) })
	logger, err := NewLogger(q, level, process, node)
	if err != nil {
		q.Close()
		return nil, nil, trace.Wrap(err)
	}
	q.mu.Lock()
	q.onResume = func(dropped int) { logger.Warn("log_lines_dropped", "lines", dropped) }
	q.mu.Unlock()
	stdlog.SetFlags(0)
	stdlog.SetOutput(logger.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel}).Writer())
	return logger, q.Close, nil
}
