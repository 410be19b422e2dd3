package passnode

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/ring"
)

// Bounds of the log.
const (
	// logBuffer holds the lines of one burst, as when all flows move.
	logBuffer = 512
	// logRate bounds the lines per second: 100 lines of 300 bytes are 30 KB/s, and
	// 2 ms of processor time.
	logRate = 100
	// logBurst is how many lines may pass at once after a quiet second.
	logBurst = 300
)

// line is one line of the log.
type line struct {
	msg  string
	args []any
}

// logs writes lines from a goroutine of its own, so that a slow reader of the
// log never holds up packets. Lines over the bounds are dropped and counted.
type logs struct {
	ring   *ring.Ring[line]
	logger *log.Logger
	tokens float64
	at     time.Time
	over   uint64 // lines over the rate, not yet told
}

func newLogs(l *log.Logger) *logs {
	return &logs{ring: ring.New[line](logBuffer, nil), logger: l, tokens: logBurst}
}

// put is called from the loop's goroutine only.
func (l *logs) put(now time.Time, msg string, args ...any) {
	l.tokens = min(logBurst, l.tokens+now.Sub(l.at).Seconds()*logRate)
	l.at = now
	if l.tokens < 1 {
		l.over++
		return
	}
	l.tokens--
	if l.over > 0 {
		args = append(args, "dropped_before", l.over)
	}
	if l.ring.Put(line{msg, args}) {
		l.over = 0
	} else {
		l.over++
	}
}

// run writes lines until ctx is done, then those that wait.
func (l *logs) run(ctx context.Context) error {
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

// fields collects the fields of a line, leaving out what says nothing.
type fields []any

func (f *fields) add(key string, value any) { *f = append(*f, key, value) }

func (f *fields) flow(flow model.Flow) {
	if flow.Src.IsValid() {
		f.add("flow", flow.Src.String()+">"+flow.Dst.String())
	}
}

func (f *fields) text(key, value string) {
	if value != "" {
		f.add(key, value)
	}
}

// age adds an age; one of an hour or more is of something that never was.
func (f *fields) age(d time.Duration) {
	if d > 0 && d < time.Hour {
		f.add("age_ms", d.Milliseconds())
	}
}
