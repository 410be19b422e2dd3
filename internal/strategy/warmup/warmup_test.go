package warmup

import (
	"math"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/matryer/is"
)

var started = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// Guards against a weight that is not monotonic, changes more than Steps times, or
// changes at a time other than that returned by NextStep.
func TestWeightRisesOnlyAtNextStep(t *testing.T) {
	is := is.New(t)
	m := model.Member{ID: "a", Weight: 2, Started: started}
	p := model.ServicePolicy{Warmup: 30 * time.Second}
	now, last, changes := started, EffectiveWeight(m, p, started), 0
	is.Equal(last, 2.0/16)
	for next := NextStep(m, p, now); !next.IsZero(); next = NextStep(m, p, now) {
		is.True(next.After(now))
		is.Equal(EffectiveWeight(m, p, next.Add(-1)), last)
		w := EffectiveWeight(m, p, next)
		is.True(w > last)
		now, last = next, w
		changes++
	}
	is.Equal(changes, Steps)
	is.Equal(last, 2.0)
	is.Equal(now, started.Add(p.Warmup))
}

// Guards against edge cases of the input that give a weight unusable for ranking.
func TestEffectiveWeightEdgeCases(t *testing.T) {
	p := model.ServicePolicy{Warmup: 30 * time.Second}
	for _, c := range []struct {
		name   string
		m      model.Member
		warmup time.Duration
		want   float64
	}{
		{"no start time", model.Member{Weight: 1}, p.Warmup, 1},
		{"no warm-up", model.Member{Weight: 1, Started: started}, 0, 1},
		{"clock ahead", model.Member{Weight: 1, Started: started.Add(time.Hour)}, p.Warmup, 1.0 / 16},
		{"negative", model.Member{Weight: -1}, p.Warmup, 0},
		{"not a number", model.Member{Weight: math.NaN()}, p.Warmup, 0},
		{"infinite", model.Member{Weight: math.Inf(1)}, p.Warmup, 0},
		{"shortest", model.Member{Weight: 1, Started: started}, Steps, 1.0 / 16},
		{"longest", model.Member{Weight: 1, Started: started}, math.MaxInt64, 1.0 / 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(EffectiveWeight(c.m, model.ServicePolicy{Warmup: c.warmup}, started), c.want)
		})
	}
}
