// Package passnode runs the cores of steer and passthrough against sockets,
// timers and the store. Each process has one loop goroutine that owns its core;
// sockets, the log and the store have goroutines of their own, joined to the
// loop by bounded rings.
package passnode

import (
	"context"
	"runtime"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/ring"
	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
)

// callQueue is how many calls of other goroutines may wait for the loop.
const callQueue = 64

// batchLen is how many datagrams are handled between two looks at the timer.
const batchLen = 64

// loop runs everything that touches a core in one goroutine.
type loop struct {
	packets *ring.Ring[datagram]
	calls   chan func(now time.Time)
	metrics *telemetry.Metrics
	logs    *logs

	datagram func(now time.Time, d datagram)
	tick     func(now time.Time)
	next     func() time.Time
}

func newLoop(m *telemetry.Metrics, l *logs) *loop {
	lp := &loop{calls: make(chan func(time.Time), callQueue), metrics: m, logs: l}
	lp.packets = ring.New[datagram](queueLen, func() { m.Count(CounterQueue, "full", 1) })
	return lp
}

// CounterQueue counts datagrams that arrived faster than the loop handled them.
const CounterQueue = "passnode_datagrams_dropped"

// do runs f in the loop and waits for it. It fails only when ctx ends first.
func (l *loop) do(ctx context.Context, f func(now time.Time)) error {
	done := make(chan struct{})
	call := func(now time.Time) {
		defer close(done)
		f(now)
	}
	select {
	case l.calls <- call:
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

// run is the loop. It ends with ctx.
func (l *loop) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case d := <-l.packets.Items():
			l.batch(d)
		case f := <-l.calls:
			f(time.Now())
		case <-timer.C:
		}
		now := time.Now()
		if !now.Before(l.next()) {
			// Answers that arrived while the process had no processor come before the
			// timeouts of what they answer.
			runtime.Gosched()
			l.drain()
			now = time.Now()
			l.tick(now)
		}
		timer.Reset(max(l.next().Sub(now), minPause))
	}
}

// drain handles all datagrams that wait, within a bound.
func (l *loop) drain() {
	for range queueLen / batchLen {
		select {
		case d := <-l.packets.Items():
			l.batch(d)
		default:
			return
		}
	}
}

// minPause keeps a timer that is due at once from spinning the loop.
const minPause = time.Millisecond

// batch handles the datagrams that wait, so that one wake-up serves many.
func (l *loop) batch(d datagram) {
	for n := 1; ; n++ {
		l.datagram(time.Now(), d)
		d.release()
		if n >= batchLen {
			return
		}
		select {
		case d = <-l.packets.Items():
		default:
			return
		}
	}
}
