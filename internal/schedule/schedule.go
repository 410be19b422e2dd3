// Package schedule orders the requests that wait for a slot of a target. It
// answers overload: a burst, or the return of all callers after an outage, when
// a queue served in order of arrival makes every request late. Requests that can
// still meet their latency objective go first, the more urgent kinds before
// others and the newest before older ones; late ones fill the slots that are left.
package schedule

import (
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

// Request is a request that waits.
type Request struct {
	Flow      model.Flow
	Arrived   time.Time
	Objective time.Duration // latency objective; 0 for none
	Deadline  time.Duration // after which its caller is gone; 0 for none
	Priority  uint8         // 0 is the most urgent
}

// inTime reports whether a request that starts now and takes work meets its objective.
func (r Request) inTime(now time.Time, work time.Duration) bool {
	return r.Objective == 0 || now.Sub(r.Arrived)+work <= r.Objective
}

func (r Request) expired(now time.Time) bool {
	return r.Deadline > 0 && now.Sub(r.Arrived) >= r.Deadline
}

// before reports whether r goes before o.
func (r Request) before(o Request, now time.Time, work time.Duration) bool {
	if a, b := r.inTime(now, work), o.inTime(now, work); a != b {
		return a
	}
	if r.Priority != o.Priority {
		return r.Priority < o.Priority
	}
	return r.Arrived.After(o.Arrived)
}

// Queue holds the requests of one target that wait for a slot.
type Queue struct {
	waiting []Request
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Add puts a request into the queue.
func (q *Queue) Add(r Request) { q.waiting = append(q.waiting, r) }

// Remove takes a flow's request out, as when its caller ends the flow.
func (q *Queue) Remove(f model.Flow) {
	for i, r := range q.waiting {
		if r.Flow == f {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// Next takes out the request to start now, if there is one. work is how long a
// request is expected to take.
func (q *Queue) Next(now time.Time, work time.Duration) (Request, bool) {
	best := -1
	for i, r := range q.waiting {
		if best < 0 || r.before(q.waiting[best], now, work) {
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

// Expire takes out the requests whose callers are gone.
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
