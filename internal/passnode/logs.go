package passnode

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/ring"
	"github.com/bulrushshelf/bulrushshelf/internal/telemetry"
)

// Limits of the log.
const (
	// logBuffer is the maximum number of buffered lines. A burst fits, as when all flows
	// move to other balancers.
	logBuffer = 512
	// logRate is the maximum number of lines per second: 100 lines of 300 bytes are
	// 30 KB/s and take 2 ms of processor time.
	logRate = 100
	// logBurst is the maximum number of lines at once, after three seconds without any.
	logBurst = 300
)

// logLine is one line of the log.
type logLine struct {
	msg  string
	args []any
}

// logWriter formats the log in a separate goroutine, so that it takes no time from packets.
// Lines above the limits are dropped and counted. The logger must not block, because the
// process waits for the queued lines when it stops.
type logWriter struct {
	ring     *ring.Ring[logLine]
	logger   *log.Logger
	tokens   float64
	tokensAt time.Time // when tokens were last added
	dropped  uint64    // lines dropped since the last one that was queued
	metrics  *telemetry.Metrics
}

func newLogWriter(l *log.Logger, m *telemetry.Metrics) *logWriter {
	return &logWriter{ring: ring.New[logLine](logBuffer, nil), logger: l, tokens: logBurst, metrics: m}
}

// enqueue queues a line. It must be called from the loop's goroutine only.
func (l *logWriter) enqueue(now time.Time, msg string, args ...any) {
	l.tokens = min(logBurst, l.tokens+now.Sub(l.tokensAt).Seconds()*logRate)
	l.tokensAt = now
	if l.tokens < 1 {
		l.drop(telemetry.DropRateLimited)
		return
	}
	l.tokens--
	if l.dropped > 0 {
		args = append(args, "dropped_before", l.dropped)
	}
	if l.ring.Put(logLine{msg, args}) {
		l.dropped = 0
	} else {
		l.drop(telemetry.DropQueueFull)
	}
}

func (l *logWriter) drop(reason string) {
	l.dropped++
	l.metrics.Count(telemetry.CounterLogDropped, reason, 1)
}

// run writes lines until ctx is done, then the queued ones.
func (l *logWriter) run(ctx context.Context) error {
	for {
		next, ok := l.ring.Get(ctx)
		if !ok {
			for l.ring.Len() > 0 {
				next := <-l.ring.Items()
				l.logger.Info(next.msg, next.args...)
			}
			return nil
		}
		l.logger.Info(next.msg, next.args...)
	}
}

// fields collects the fields of a line and omits empty ones.
type fields []any

func (f *fields) addField(key string, value any) { *f = append(*f, key, value) }

func (f *fields) addFlow(flow model.Flow) {
	if flow.Src.IsValid() {
		f.addField("flow", flow.Src.String()+">"+flow.Dst.String())
	}
}

func (f *fields) addText(key, value string) {
	if value != "" {
		f.addField(key, value)
	}
}

// addAge adds an age. An age of an hour or more comes from a zero time and is omitted.
func (f *fields) addAge(d time.Duration) {
	if d > 0 && d < time.Hour {
		f.addField("age_ms", d.Milliseconds())
	}
}
