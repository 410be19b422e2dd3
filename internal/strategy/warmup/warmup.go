// Package warmup gives the ranking weight of a target that started lately. All
// nodes must rank by this weight, or their view fingerprints differ.
package warmup

import (
	"math"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Steps is the number of weight changes over a warm-up. Each one changes the
// fingerprint of the view, so a smoother ramp would cost the agents more asks.
const Steps = 8

// EffectiveWeight returns the weight to rank m by at a time. It rises from 1/16
// of m.Weight to all of it over p.Warmup. A member without a start time has its
// full weight; a weight that is negative or not finite counts as 0.
func EffectiveWeight(m model.Member, p model.ServicePolicy, now time.Time) float64 {
	if !(m.Weight > 0) || math.IsInf(m.Weight, 0) {
		return 0
	}
	k := step(m.Started, p.Warmup, now)
	if k >= Steps {
		return m.Weight
	}
	return m.Weight * (float64(k) + 0.5) / Steps
}

// NextStep returns the time of the next change of m's effective weight, or the
// zero time if there is none.
func NextStep(m model.Member, p model.ServicePolicy, now time.Time) time.Time {
	k := step(m.Started, p.Warmup, now)
	if k >= Steps {
		return time.Time{}
	}
	return m.Started.Add(stepStart(k+1, p.Warmup))
}

// step returns the number of steps taken, Steps after the warm-up. A start in
// the future, as a clock that is ahead announces it, counts as just now.
func step(started time.Time, warmup time.Duration, now time.Time) int {
	if started.IsZero() || warmup <= 0 {
		return Steps
	}
	age := now.Sub(started)
	k := 0
	for k < Steps && age >= stepStart(k+1, warmup) {
		k++
	}
	return k
}

// stepStart returns the age at which step k starts. Dividing before the
// multiplication keeps long warm-ups from overflowing.
func stepStart(k int, warmup time.Duration) time.Duration {
	return warmup/Steps*time.Duration(k) + warmup%Steps*time.Duration(k)/Steps
}
