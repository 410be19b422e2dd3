// Package passnode runs the cores of steer and passthrough with sockets, timers and
// the store. Each process has one loop goroutine that owns its core. Sockets, the log
// and the store have separate goroutines, connected to the loop by bounded queues.
package passnode

import (
	"context"
	"runtime"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/ring"
	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
)

// callQueue is the maximum number of queued calls from other goroutines to the loop.
const callQueue = 64

// maxBatch is the maximum number of datagrams handled between two checks of the timer.
const maxBatch = 64

// loop runs all code that uses a core in one goroutine.
type loop struct {
	datagrams *ring.Ring[datagram]
	calls     chan func(now time.Time)
	metrics   *telemetry.Metrics
	logWriter *logWriter

	handleDatagram func(now time.Time, d datagram)
	tick           func(now time.Time)
	next           func() time.Time
}

func newLoop(m *telemetry.Metrics, l *logWriter) *loop {
	lp := &loop{calls: make(chan func(time.Time), callQueue), metrics: m, logWriter: l}
	lp.datagrams = ring.New[datagram](maxQueuedDatagrams, func() { m.Count(CounterQueue, "full", 1) })
	return lp
}

// CounterQueue counts datagrams that were dropped because the loop's queue was full.
const CounterQueue = "passnode_datagrams_dropped"

// call runs f in the loop's goroutine and waits for it. It fails only if ctx is done first.
func (l *loop) call(ctx context.Context, f func(now time.Time)) error {
	done := make(chan struct{})
	task := func(now time.Time) {
		defer close(done)
		f(now)
	}
	select {
	case l.calls <- task:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run handles datagrams, calls and timers until ctx is done.
func (l *loop) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case d := <-l.datagrams.Items():
			l.handleBatch(d)
		case f := <-l.calls:
			f(time.Now())
		case <-timer.C:
		}
		now := time.Now()
		if !now.Before(l.next()) {
			// Answers may have arrived while the process was not scheduled. They are
			// handled first, so that their requests do not time out.
			runtime.Gosched()
			l.handleQueued()
			now = time.Now()
			l.tick(now)
		}
		timer.Reset(max(l.next().Sub(now), minTimerDelay))
	}
}

// handleQueued handles the queued datagrams, at most one full queue.
func (l *loop) handleQueued() {
	for range maxQueuedDatagrams / maxBatch {
		select {
		case d := <-l.datagrams.Items():
			l.handleBatch(d)
		default:
			return
		}
	}
}

// minTimerDelay prevents a busy loop when the next timer is already due.
const minTimerDelay = time.Millisecond

// handleBatch handles d and up to maxBatch-1 queued datagrams in one wake-up.
func (l *loop) handleBatch(d datagram) {
	for n := 1; ; n++ {
		l.handleDatagram(time.Now(), d)
		d.release()
		if n >= maxBatch {
			return
		}
		select {
		case d = <-l.datagrams.Items():
		default:
			return
		}
	}
}
