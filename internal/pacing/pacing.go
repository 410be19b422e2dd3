// Package pacing limits how fast late requests reach the targets after an outage.
// It is designed for one load: many requests that are already late arrive at once,
// beside the normal ones that can still be in time. Served together they fill the
// targets' queues and all become late. Late requests are therefore released newest
// first, no faster than slots become free, and none waits longer than a maximum.
package pacing

import (
	"math"
	"slices"
	"time"
)

const (
	// requestTime is the assumed time for which a request occupies a slot. It exceeds
	// the mean of the users' requests because the estimate of free slots is outdated.
	requestTime = 50 * time.Millisecond
	// utilisationLimit is the share of busy slots at which no more late requests are
	// released. The rest absorbs normal requests until the next report of the targets.
	utilisationLimit = 0.8
)

// Capacity is a balancer's estimate of the capacity and load of a service's targets.
type Capacity struct {
	Slots     float64 // total slots of all targets
	Busy      float64 // requests in progress
	Balancers int     // number of balancers that share the free slots
}

// ReleaseRate returns how many late requests one balancer may release per second.
func (c Capacity) ReleaseRate() float64 {
	free := utilisationLimit*c.Slots - c.Busy
	return max(free, 0) / requestTime.Seconds() / float64(max(c.Balancers, 1))
}

// Overloaded reports whether no slot is free for late requests.
func (c Capacity) Overloaded() bool { return c.Busy >= utilisationLimit*c.Slots }

// entry is a waiting request.
type entry[K comparable] struct {
	key   K
	added time.Time
}

// Queue holds the late requests of one service.
type Queue[K comparable] struct {
	entries  []entry[K] // oldest first
	credit   float64    // requests that may be released
	creditAt time.Time  // last update of credit
}

// Len returns the number of waiting requests.
func (q *Queue[K]) Len() int { return len(q.entries) }

// Add queues a request.
func (q *Queue[K]) Add(now time.Time, key K) {
	if len(q.entries) == 0 {
		q.creditAt, q.credit = now, 1
	}
	q.entries = append(q.entries, entry[K]{key, now})
}

// Release removes and returns the requests to forward now: those that have waited
// for maxWait, and the newest as far as the capacity allows.
func (q *Queue[K]) Release(now time.Time, c Capacity, maxWait time.Duration) []K {
	var out []K
	for len(q.entries) > 0 && now.Sub(q.entries[0].added) >= maxWait {
		out = append(out, q.entries[0].key)
		q.entries = q.entries[1:]
	}
	q.credit += c.ReleaseRate() * now.Sub(q.creditAt).Seconds()
	q.creditAt = now
	n := min(int(math.Floor(q.credit)), len(q.entries))
	q.credit -= float64(n)
	for _, e := range slices.Backward(q.entries[len(q.entries)-n:]) {
		out = append(out, e.key)
	}
	q.entries = q.entries[:len(q.entries)-n]
	if len(q.entries) == 0 {
		q.entries, q.credit = nil, 0
	}
	return out
}
