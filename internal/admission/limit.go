package admission

import (
	"slices"
	"time"
)

const (
	// basePause is the pause after the second consecutive shed answer. It doubles with each further
	// one, up to maxPause.
	basePause = 100 * time.Millisecond
	maxPause  = 2 * time.Second
	// sheddingStreak is the number of consecutive shed answers after which queued requests are
	// refused. After each pause one request still probes the target.
	sheddingStreak = 3
	// shedFactor is multiplied with the limit on a shed answer. With a smaller factor, targets that
	// shed occasionally lost too much goodput.
	shedFactor = 0.7
	// growthPerSuccess raises the limit by one after 2 x limit successful answers.
	growthPerSuccess = 0.5
	// coldStartDivisor divides the slots of a cold target to give the first limit.
	coldStartDivisor = 4

	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// limiter bounds the concurrent requests to the target. The limit ramps up at a cold start and
// shrinks when the target sheds; after repeated shedding, sending pauses.
type limiter struct {
	slots       int
	warmup      time.Duration
	startedAt   time.Time
	current     float64
	everShed    bool // ends the cold-start ramp
	shedStreak  int
	pausedUntil time.Time
}

func newLimiter(slots int, warmup time.Duration) limiter {
	l := limiter{slots: slots, warmup: warmup, current: float64(slots)}
	if warmup > 0 {
		l.current = float64(max(1, slots/coldStartDivisor))
	}
	return l
}

// startRamp starts the ramp at the time of the first call.
func (l *limiter) startRamp(now time.Time) {
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
}

// limit returns the number of requests that may run at once, 0 during a pause.
func (l *limiter) limit(now time.Time) int {
	switch {
	case now.Before(l.pausedUntil):
		return 0
	case l.shedStreak >= 2:
		return 1 // one probe
	}
	current := l.current
	if l.warmup > 0 && !l.everShed {
		ramp := float64(l.slots) * float64(now.Sub(l.startedAt)) / float64(l.warmup)
		current = min(max(current, ramp), float64(l.slots))
	}
	return max(1, int(current))
}

// shedding reports whether the target sheds persistently.
func (l *limiter) shedding() bool { return l.shedStreak >= sheddingStreak }

func (l *limiter) recordShed(now time.Time) {
	l.current = max(1, float64(l.limit(now))*shedFactor)
	l.everShed = true
	l.shedStreak = min(l.shedStreak+1, 16) // the shift below must not overflow
	if l.shedStreak >= 2 {
		l.pausedUntil = now.Add(min(basePause<<(l.shedStreak-2), maxPause))
	}
}

func (l *limiter) recordSuccess() {
	l.shedStreak = 0
	l.pausedUntil = time.Time{}
	l.current = min(l.current+growthPerSuccess/l.current, float64(l.slots))
}

// serviceTimeEstimate estimates service times from the requests that this agent ran.
type serviceTimeEstimate struct {
	mean   time.Duration     // exponentially weighted moving average
	median time.Duration     // of recent
	recent [32]time.Duration // ring buffer of the last observations
	total  int               // observations so far
}

// meanWeight is the weight of a new observation in the mean.
const meanWeight = 0.05

func (s *serviceTimeEstimate) observe(d time.Duration) {
	if s.total == 0 {
		s.mean = d
	}
	s.mean += time.Duration(meanWeight * float64(d-s.mean))
	s.recent[s.total%len(s.recent)] = d
	s.total++
	if s.total > len(s.recent) && s.total%8 != 0 {
		return
	}
	sorted := s.recent
	observed := sorted[:min(s.total, len(sorted))]
	slices.Sort(observed)
	s.median = observed[len(observed)/2]
}

// retryAfter estimates when the queue will have drained.
func (c *Core) retryAfter() time.Duration {
	d := time.Duration(float64(c.serviceTime.mean) * float64(len(c.queue)) / float64(max(1, c.targetLimiter.limit(c.now))))
	if pause := c.targetLimiter.pausedUntil.Sub(c.now); pause > d {
		d = pause
	}
	return min(max(d, minRetryAfter), maxRetryAfter)
}
