package passthrough

import (
	"math"
	"time"
)

// loadWindow is the time constant of the moving average. It is longer than a report
// interval, so that every burst shows in a report, and short compared with the time
// in which load moves between targets.
const loadWindow = 400 * time.Millisecond

// load tracks the number of requests in progress and its moving average.
type load struct {
	requests int
	mean     float64
	updated  time.Time // last update of mean
}

// average updates the mean to now and returns it.
func (l *load) average(now time.Time) float64 {
	if dt := now.Sub(l.updated); dt > 0 {
		decay := math.Exp(-float64(dt) / float64(loadWindow))
		l.mean = l.mean*decay + float64(l.requests)*(1-decay)
		l.updated = now
	}
	return l.mean
}

func (l *load) adjust(now time.Time, n int) {
	l.average(now)
	l.requests += n
}

func (l *load) reset(now time.Time) { *l = load{updated: now} }
