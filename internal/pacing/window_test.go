package pacing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against more events than the limit in any span of the window's length.
func TestWindowLimitsEachSpan(t *testing.T) {
	is := is.New(t)
	const limit, length = 7, time.Second
	w, r := NewWindow(length), rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1_700_000_000, 0)
	var allowed []time.Time
	for range 5000 {
		now = now.Add(time.Duration(r.ExpFloat64() * float64(50*time.Millisecond)))
		if w.Allow(now, limit) {
			allowed = append(allowed, now)
		}
	}
	for i := limit; i < len(allowed); i++ {
		is.True(allowed[i].Sub(allowed[i-limit]) >= length)
	}
	is.True(len(allowed) > limit*int(now.Sub(time.Unix(1_700_000_000, 0))/length)*9/10) // and the limit is used
}
