// Package outcome tracks the failure rate of a target's requests. It is designed
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
	// decayTime is the time constant of the exponential decay of the rate. With it, a
	// target that gets no more flows is tried again after a few seconds.
	decayTime = 3 * time.Second
)

// Tracker holds an exponentially weighted failure rate of requests.
type Tracker struct {
	rate    float64
	updated time.Time // last update of rate
}

// FailureRate returns the recent share of failed requests, from 0 to 1.
func (t *Tracker) FailureRate(now time.Time) float64 {
	if dt := now.Sub(t.updated); dt > 0 && t.rate > 0 {
		t.rate *= math.Exp(-float64(dt) / float64(decayTime))
	}
	t.updated = now
	return t.rate
}

// Record adds the outcome of a request.
func (t *Tracker) Record(now time.Time, failed bool) {
	result := 0.0
	if failed {
		result = 1
	}
	rate := t.FailureRate(now)
	t.rate = rate + sampleWeight*(result-rate)
}
