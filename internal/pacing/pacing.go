// Package pacing orders the return of callers after an outage. It answers one
// load: many requests at once that are late already, beside the usual ones that
// can still be in time. Served together they fill the targets' queues and all
// become late; so late ones return newest first, no faster than slots are free,
// and none waits longer than a bound.
package pacing

import (
	"math"
	"slices"
	"time"
)

const (
	// slotTime is how long a request is taken to occupy a slot. Longer than the
	// mean of the users' requests, since the estimate of free slots is old.
	slotTime = 50 * time.Millisecond
	// fillTarget is the part of the slots that late work may fill up to, which
	// leaves room for the usual requests until the next report.
	fillTarget = 0.8
)

// Capacity is what a balancer knows of a service's targets.
type Capacity struct {
	Slots     float64 // requests that all targets run at once
	Busy      float64 // requests in progress
	Balancers int     // that share the free slots
}

// Rate returns how many late requests a second may return through one balancer.
func (c Capacity) Rate() float64 {
	free := fillTarget*c.Slots - c.Busy
	return max(free, 0) / slotTime.Seconds() / float64(max(c.Balancers, 1))
}

// Overloaded reports whether no slot is free for late work.
func (c Capacity) Overloaded() bool { return c.Busy >= fillTarget*c.Slots }

type item[K comparable] struct {
	key K
	at  time.Time
}

// Queue holds the late requests of one service.
type Queue[K comparable] struct {
	items  []item[K] // oldest first
	credit float64
	at     time.Time // of credit
}

// Len returns the number of waiting requests.
func (q *Queue[K]) Len() int { return len(q.items) }

// Add puts a request into the queue.
func (q *Queue[K]) Add(now time.Time, key K) {
	if len(q.items) == 0 {
		q.at, q.credit = now, 1
	}
	q.items = append(q.items, item[K]{key, now})
}

// Release returns the requests that may return now: those that waited for the
// bound, and the newest as far as the capacity allows.
func (q *Queue[K]) Release(now time.Time, c Capacity, bound time.Duration) []K {
	var out []K
	for len(q.items) > 0 && now.Sub(q.items[0].at) >= bound {
		out = append(out, q.items[0].key)
		q.items = q.items[1:]
	}
	q.credit += c.Rate() * now.Sub(q.at).Seconds()
	q.at = now
	n := min(int(math.Floor(q.credit)), len(q.items))
	q.credit -= float64(n)
	for _, it := range slices.Backward(q.items[len(q.items)-n:]) {
		out = append(out, it.key)
	}
	q.items = q.items[:len(q.items)-n]
	if len(q.items) == 0 {
		q.items, q.credit = nil, 0
	}
	return out
}
