package schedule

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
)

var start = time.Unix(1_700_000_000, 0)

func flow(i int) model.Flow {
	return model.Flow{Src: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), 1024)}
}

func atMillis(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against late requests that start before those that can still meet their
// objective, and against an order that ignores priority and age.
func TestNextOrder(t *testing.T) {
	const objective = 150 * time.Millisecond
	tests := []struct {
		name    string
		waiting []Request
		want    []int
	}{
		{"in time before late", []Request{
			{Flow: flow(0), Arrived: atMillis(0), Objective: objective},
			{Flow: flow(1), Arrived: atMillis(900), Objective: objective},
		}, []int{1, 0}},
		{"urgent first", []Request{
			{Flow: flow(0), Arrived: atMillis(990), Objective: objective, Priority: 2},
			{Flow: flow(1), Arrived: atMillis(950), Objective: objective, Priority: 1},
		}, []int{1, 0}},
		{"newest first", []Request{
			{Flow: flow(0), Arrived: atMillis(950), Objective: objective},
			{Flow: flow(1), Arrived: atMillis(990), Objective: objective},
		}, []int{1, 0}},
		{"no objective is never late", []Request{
			{Flow: flow(0), Arrived: atMillis(0), Objective: objective},
			{Flow: flow(1), Arrived: atMillis(0)},
		}, []int{1, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			q := new(Queue)
			for _, r := range tt.waiting {
				q.Add(r)
			}
			for _, want := range tt.want {
				r, ok := q.Next(atMillis(1000), 25*time.Millisecond)
				is.True(ok)
				is.Equal(r.Flow, flow(want))
			}
			_, ok := q.Next(atMillis(1000), 0)
			is.True(!ok)
		})
	}
}

// Guards against running requests whose callers have given up.
func TestExpire(t *testing.T) {
	is := is.New(t)
	q := new(Queue)
	q.Add(Request{Flow: flow(0), Arrived: atMillis(0), Deadline: time.Second})
	q.Add(Request{Flow: flow(1), Arrived: atMillis(500), Deadline: time.Second})
	q.Add(Request{Flow: flow(2), Arrived: atMillis(0)})
	is.Equal(len(q.Expire(atMillis(1000))), 1)
	q.Remove(flow(2))
	is.Equal(q.Len(), 1)
}

// simulateLoad runs a load of rate requests a second for 2 s on a target of 3 slots,
// with the order that next implements, and returns the share of requests answered
// within their objective.
func simulateLoad(rate float64, next func(q *Queue, now time.Time) (Request, bool)) float64 {
	const objective, serviceTime = 150 * time.Millisecond, 38 * time.Millisecond
	rnd := rand.New(rand.NewPCG(1, 2))
	q := new(Queue)
	freeAt := [3]time.Time{start, start, start}
	now, n, served := start, 0, 0
	arrive := start
	for now.Before(start.Add(2 * time.Second)) {
		for !arrive.After(now) {
			q.Add(Request{Flow: flow(n), Arrived: arrive, Objective: objective, Deadline: 1200 * time.Millisecond})
			n++
			arrive = arrive.Add(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
		}
		q.Expire(now)
		for i := range freeAt {
			if freeAt[i].After(now) {
				continue
			}
			if r, ok := next(q, now); ok {
				freeAt[i] = now.Add(time.Duration((0.5 + rnd.Float64()) * float64(serviceTime)))
				if freeAt[i].Sub(r.Arrived) <= objective {
					served++
				}
			}
		}
		now = now.Add(100 * time.Microsecond) // steps of 1 ms would leave slots idle for 1% of the time
	}
	return float64(served) / float64(n)
}

func nextInArrivalOrder(q *Queue, now time.Time) (Request, bool) {
	if q.Len() == 0 {
		return Request{}, false
	}
	r := q.waiting[0]
	q.waiting = q.waiting[1:]
	return r, true
}

func nextScheduled(q *Queue, now time.Time) (Request, bool) { return q.Next(now, 38*time.Millisecond) }

// Guards against an order that, like the order of arrival, makes nearly all requests late
// at 1.5 times the capacity, the load after an outage. In the queue's order, requests that
// meet their objective use at least nine tenths of the capacity.
func TestOverloadServesInTime(t *testing.T) {
	is := is.New(t)
	const capacity = 3 / 0.038 // requests a second in 3 slots at 38 ms each
	fifo, queue := simulateLoad(1.5*capacity, nextInArrivalOrder), simulateLoad(1.5*capacity, nextScheduled)
	t.Logf("in time: %.2f in order of arrival, %.2f scheduled", fifo, queue)
	is.True(queue >= 0.9/1.5)
	is.True(fifo < queue/2)
}

// Guards against a regression at normal load, where both orders serve all requests in time.
func TestNormalLoadIsNotHarmed(t *testing.T) {
	is := is.New(t)
	const capacity = 3 / 0.038 // as in TestOverloadServesInTime
	is.True(simulateLoad(0.5*capacity, nextScheduled) >= simulateLoad(0.5*capacity, nextInArrivalOrder)-0.005)
}
