// Package warmup ramps up the ranking weight of a target that has just started.
package warmup

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Steps is the number of steps of the ramp. Each step moves flows between
// homes, so the ramp is coarse.
const Steps = 8

// EffectiveWeight returns the weight that m is ranked by at now. It rises from
// an eighth of m.Weight at m.Started to all of it at the end of p.Warmup. It is
// never 0 for a positive weight, so that a service whose targets have all just
// started has a home for each flow.
func EffectiveWeight(m model.Member, p model.ServicePolicy, now time.Time) float64 {
	age := now.Sub(m.Started)
	if p.Warmup <= 0 || age >= p.Warmup {
		return m.Weight
	}
	return m.Weight * float64(1+Step(age, p.Warmup)) / Steps
}

// Step returns the step of the ramp, 0 to Steps-1, at the given age.
func Step(age, warmup time.Duration) int {
	if age <= 0 {
		return 0
	}
	return min(int(float64(age)/float64(warmup)*Steps), Steps-1)
}
