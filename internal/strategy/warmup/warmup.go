// Package warmup computes the ranking weight of a target during its warm-up. All
// nodes must rank by this weight, or they select different homes for a flow.
package warmup

import (
	"math"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Steps is the number of weight changes during a warm-up. Each change gives some
// flows another home, so more steps would cause more lookups by agents.
const Steps = 8

// EffectiveWeight returns the ranking weight of m at the time now. It rises from
// 1/16 of m.Weight to the full weight over p.Warmup. A member without a start time
// has its full weight. A weight that is negative or not finite is treated as 0.
func EffectiveWeight(m model.Member, p model.ServicePolicy, now time.Time) float64 {
	if !(m.Weight > 0) || math.IsInf(m.Weight, 0) {
		return 0
	}
	k := stepsTaken(m.Started, p.Warmup, now)
	if k >= Steps {
		return m.Weight
	}
	return m.Weight * (float64(k) + 0.5) / Steps
}

// NextStep returns the time of the next change of m's effective weight, or the
// zero time if there is none.
func NextStep(m model.Member, p model.ServicePolicy, now time.Time) time.Time {
	k := stepsTaken(m.Started, p.Warmup, now)
	if k >= Steps {
		return time.Time{}
	}
	return m.Started.Add(stepStart(k+1, p.Warmup))
}

// stepsTaken returns the number of weight changes since the start, which is Steps
// after the warm-up. A start time in the future is treated as now.
func stepsTaken(started time.Time, warmup time.Duration, now time.Time) int {
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

// stepStart returns the member's age at which step k starts. Dividing before
// multiplying avoids an overflow with long warm-ups.
func stepStart(k int, warmup time.Duration) time.Duration {
	return warmup/Steps*time.Duration(k) + warmup%Steps*time.Duration(k)/Steps
}
