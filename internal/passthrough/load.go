package passthrough

import (
	"math"
	"time"
)

// loadWindow is the time constant of the average: longer than a report interval,
// so that every burst shows in a report, and short against the time in which
// load moves between targets.
const loadWindow = 400 * time.Millisecond

// load averages the number of requests in progress over time.
type load struct {
	busy int
	mean float64
	at   time.Time // of mean
}

// average brings the mean up to now and returns it.
func (l *load) average(now time.Time) float64 {
	if dt := now.Sub(l.at); dt > 0 {
		keep := math.Exp(-float64(dt) / float64(loadWindow))
		l.mean = l.mean*keep + float64(l.busy)*(1-keep)
		l.at = now
	}
	return l.mean
}

func (l *load) add(now time.Time, n int) {
	l.average(now)
	l.busy += n
}

func (l *load) reset(now time.Time) { *l = load{at: now} }
