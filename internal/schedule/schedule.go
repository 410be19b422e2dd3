// Package schedule orders the requests that wait for a slot of a target. It is
// designed for overload: in a burst, or when all callers return after an outage,
// a queue in order of arrival makes every request late. Requests that can still
// meet their latency objective start first, by priority and then newest first;
// late requests use the remaining slots.
package schedule

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Request is a request that waits for a slot.
type Request struct {
	Flow      model.Flow
	Arrived   time.Time
	Objective time.Duration // latency objective, from Arrived; 0 for none
	Deadline  time.Duration // time after Arrived at which the caller gives up; 0 for none
	Priority  uint8         // 0 is the most urgent
}

// meetsObjective reports whether the request meets its latency objective if it
// starts now and runs for serviceTime.
func (r Request) meetsObjective(now time.Time, serviceTime time.Duration) bool {
	return r.Objective == 0 || now.Sub(r.Arrived)+serviceTime <= r.Objective
}

// expired reports whether the caller has given up.
func (r Request) expired(now time.Time) bool {
	return r.Deadline > 0 && now.Sub(r.Arrived) >= r.Deadline
}

// precedes reports whether r starts before o.
func (r Request) precedes(o Request, now time.Time, serviceTime time.Duration) bool {
	if a, b := r.meetsObjective(now, serviceTime), o.meetsObjective(now, serviceTime); a != b {
		return a
	}
	if r.Priority != o.Priority {
		return r.Priority < o.Priority
	}
	return r.Arrived.After(o.Arrived)
}

// Queue holds the waiting requests of one target.
type Queue struct {
	waiting []Request
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Add queues a request.
func (q *Queue) Add(r Request) { q.waiting = append(q.waiting, r) }

// Remove drops the request of a flow, for example when the caller closes the flow.
func (q *Queue) Remove(f model.Flow) {
	for i, r := range q.waiting {
		if r.Flow == f {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// Next removes and returns the request to start now, if there is one. serviceTime
// is the expected duration of a request at the target.
func (q *Queue) Next(now time.Time, serviceTime time.Duration) (Request, bool) {
	best := -1
	for i, r := range q.waiting {
		if best < 0 || r.precedes(q.waiting[best], now, serviceTime) {
			best = i
		}
	}
	if best < 0 {
		return Request{}, false
	}
	r := q.waiting[best]
	q.waiting = append(q.waiting[:best], q.waiting[best+1:]...)
	return r, true
}

// Expire removes and returns the requests whose deadline has passed.
func (q *Queue) Expire(now time.Time) []Request {
	var out []Request
	rest := q.waiting[:0]
	for _, r := range q.waiting {
		if r.expired(now) {
			out = append(out, r)
		} else {
			rest = append(rest, r)
		}
	}
	q.waiting = rest
	return out
}
