package pacing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against releasing more late requests than there are free slots.
func TestReleaseFollowsFreeSlots(t *testing.T) {
	is := is.New(t)
	q := new(Queue[int])
	for i := range 100 {
		q.Add(start, i)
	}
	c := Capacity{Slots: 20, Busy: 6, Balancers: 5} // 10 free, 2 for this balancer, 40 a second
	released := 0
	for ms := 0; ms <= 500; ms += 20 {
		released += len(q.Release(start.Add(time.Duration(ms)*time.Millisecond), c, time.Second))
	}
	is.Equal(released, 21) // one at once and 20 in half a second
}

// Guards against releasing the oldest request first, whose caller gives up soonest.
func TestReleaseNewestFirst(t *testing.T) {
	is := is.New(t)
	q := new(Queue[int])
	for i := range 3 {
		q.Add(start.Add(time.Duration(i)*time.Millisecond), i)
	}
	got := q.Release(start.Add(time.Second/4), Capacity{Slots: 10, Balancers: 20}, time.Second)
	is.Equal(got, []int{2, 1, 0})
}

// Guards against requests that stay queued until their deadline.
func TestReleaseAfterMaxWait(t *testing.T) {
	is := is.New(t)
	q := new(Queue[int])
	q.Add(start, 1)
	q.Add(start.Add(300*time.Millisecond), 2)
	full := Capacity{Slots: 10, Busy: 20, Balancers: 1}
	q.credit = 0
	is.Equal(len(q.Release(start.Add(399*time.Millisecond), full, 400*time.Millisecond)), 0)
	is.Equal(q.Release(start.Add(400*time.Millisecond), full, 400*time.Millisecond), []int{1})
	is.Equal(q.Len(), 1)
	is.True(full.Overloaded())
}
