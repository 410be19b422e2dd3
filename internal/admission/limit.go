package admission

import (
	"slices"
	"time"
)

const (
	// holdBase is the first pause after a target shed repeatedly; it doubles up
	// to holdMax with each further shed answer.
	holdBase = 100 * time.Millisecond
	holdMax  = 2 * time.Second
	// sheddingStreak is the number of shed answers in a row from which requests
	// are refused without asking the target, but for one probe after each pause.
	sheddingStreak = 3
	// shedFactor shrinks the limit on a shed answer. A smaller factor cost a
	// target that sheds now and then too much of its goodput.
	shedFactor = 0.7
	// growPerSuccess raises the limit by one after 2 x limit good answers.
	growPerSuccess = 0.5
	// coldShare is the share of the slots that a cold target starts with.
	coldShare = 4

	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// limiter bounds the requests sent to the target at once: it ramps up at a cold
// start, shrinks when the target sheds and pauses when it sheds repeatedly.
type limiter struct {
	slots     int
	warmup    time.Duration
	started   time.Time
	current   float64
	everShed  bool
	streak    int
	holdUntil time.Time
}

func newLimiter(slots int, warmup time.Duration) limiter {
	l := limiter{slots: slots, warmup: warmup, current: float64(slots)}
	if warmup > 0 {
		l.current = float64(max(1, slots/coldShare))
	}
	return l
}

// begin notes the first time seen as the start of the ramp.
func (l *limiter) begin(now time.Time) {
	if l.started.IsZero() {
		l.started = now
	}
}

func (l *limiter) limit(now time.Time) int {
	switch {
	case now.Before(l.holdUntil):
		return 0
	case l.streak >= 2:
		return 1 // a probe
	}
	current := l.current
	if l.warmup > 0 && !l.everShed {
		ramp := float64(l.slots) * float64(now.Sub(l.started)) / float64(l.warmup)
		current = min(max(current, ramp), float64(l.slots))
	}
	return max(1, int(current))
}

func (l *limiter) shedding() bool { return l.streak >= sheddingStreak }

func (l *limiter) shed(now time.Time) {
	l.current = max(1, float64(l.limit(now))*shedFactor)
	l.everShed = true
	l.streak = min(l.streak+1, 16)
	if l.streak >= 2 {
		l.holdUntil = now.Add(min(holdBase<<(l.streak-2), holdMax))
	}
}

func (l *limiter) succeeded() {
	l.streak = 0
	l.holdUntil = time.Time{}
	l.current = min(l.current+growPerSuccess/l.current, float64(l.slots))
}

// estimate holds the agent's own observations of service times.
type estimate struct {
	mean   time.Duration // exponentially weighted
	median time.Duration // of the last observations
	last   [32]time.Duration
	n      int
}

// meanWeight is the weight of a new observation in the mean.
const meanWeight = 0.05

func (s *estimate) add(d time.Duration) {
	if s.n == 0 {
		s.mean = d
	}
	s.mean += time.Duration(meanWeight * float64(d-s.mean))
	s.last[s.n%len(s.last)] = d
	s.n++
	if s.n > len(s.last) && s.n%8 != 0 {
		return
	}
	sorted := s.last
	known := sorted[:min(s.n, len(sorted))]
	slices.Sort(known)
	s.median = known[len(known)/2]
}

// retryAfter returns when the queue is expected to have drained.
func (c *Core) retryAfter() time.Duration {
	d := time.Duration(float64(c.service.mean) * float64(len(c.queue)) / float64(max(1, c.target.limit(c.now))))
	if hold := c.target.holdUntil.Sub(c.now); hold > d {
		d = hold
	}
	return min(max(d, minRetryAfter), maxRetryAfter)
}
