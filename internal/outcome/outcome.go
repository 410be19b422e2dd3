// Package outcome tracks the failure ratio of a target's requests. It is designed
// for targets that fail some or all requests while they report that they are healthy:
// such a target looks idle, and placement by load alone sends it most flows.
package outcome

import (
	"math"
	"time"
)

const (
	// sampleWeight is the weight of one request in the moving average. A target that
	// fails all requests exceeds one half after seven; a single failure has little effect.
	sampleWeight = 0.1
	// decayTime is the time constant of the exponential decay of the ratio. With it, a
	// target that gets no more flows is tried again after a few seconds.
	decayTime = 3 * time.Second
)

// Tracker holds an exponentially weighted ratio of failed requests.
type Tracker struct {
	ratio   float64
	updated time.Time // last update of ratio
}

// FailureRatio returns the recent ratio of failed requests, from 0 to 1.
func (t *Tracker) FailureRatio(now time.Time) float64 {
	if dt := now.Sub(t.updated); dt > 0 && t.ratio > 0 {
		t.ratio *= math.Exp(-float64(dt) / float64(decayTime))
	}
	t.updated = now
	return t.ratio
}

// Record adds the outcome of a request.
func (t *Tracker) Record(now time.Time, failed bool) {
	result := 0.0
	if failed {
		result = 1
	}
	ratio := t.FailureRatio(now)
	t.ratio = ratio + sampleWeight*(result-ratio)
}
