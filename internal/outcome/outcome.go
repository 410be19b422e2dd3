// Package outcome judges a target by how its requests end. It answers the load of
// targets that fail part or all of their requests while they say that they are
// healthy: such a target looks idle, and placing by load alone sends it most flows.
package outcome

import (
	"math"
	"time"
)

const (
	// eventWeight is the weight of one request: a target that fails all of them has
	// a share above one half after seven, and one failure among many counts little.
	eventWeight = 0.1
	// trustTime is the time constant in which a share without new requests fades, so
	// that a target which gets no more flows is tried again after some seconds.
	trustTime = 3 * time.Second
)

// Tracker holds the share of a target's requests that failed lately.
type Tracker struct {
	share float64
	at    time.Time // of share
}

// Failing returns the share of failed requests, from 0 to 1.
func (t *Tracker) Failing(now time.Time) float64 {
	if dt := now.Sub(t.at); dt > 0 && t.share > 0 {
		t.share *= math.Exp(-float64(dt) / float64(trustTime))
	}
	t.at = now
	return t.share
}

// Ended takes the end of a request.
func (t *Tracker) Ended(now time.Time, failed bool) {
	result := 0.0
	if failed {
		result = 1
	}
	share := t.Failing(now)
	t.share = share + eventWeight*(result-share)
}
