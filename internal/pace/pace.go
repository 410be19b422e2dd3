// Package pace measures how much work a target does per slot, from the times and outcomes
// of its answers. It is designed for targets that have just started or recovered, that
// turn slow for a while, or that are slower than others of their service for good:
// placement by slots alone floods them, and a fixed warm-up leaves them idle.
package pace

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleWeight is the minimum weight of one answer in the average: some twenty answers
	// replace it.
	sampleWeight = 0.05
	// idleDecay is the time constant with which an average without answers loses its weight.
	idleDecay = 10 * time.Second
	// stallFactor is the number of usual service times after which a request that runs
	// shows that the target has slowed down. Heavy-tailed work stays below it.
	stallFactor = 8
	// minStall bounds stalls from below, so that a lost and repeated packet is none.
	minStall = 100 * time.Millisecond
	// quickShare is the share of the usual service time below which an answer is taken for
	// a rejection: no work was done.
	quickShare = 1.0 / 16
	// minSamples is the number of answers from which an average is usual.
	minSamples = 10
	// maxClasses bounds the classes of one target.
	maxClasses = 8
)

// Class identifies requests of the same terms, whose service times are comparable.
type Class uint64

// Outcome is how a request ended.
type Outcome uint8

// The outcomes. Quick is an answer that came too early for the work to have been done.
const (
	Answered Outcome = iota + 1
	Quick
	Abandoned
)

// ClassTime is the average service time of a class.
type ClassTime struct {
	Class   Class
	Time    time.Duration // geometric mean, which a heavy tail hardly moves
	Samples float64       // answers behind it, which fade while there are none
}

// job is a request at the target.
type job struct {
	id    uint64
	class Class
	start time.Time // when it got a slot, zero while it is queued at the target
}

// average is the average logarithm of the service times of a class, in seconds.
type average struct {
	log     float64
	samples float64
	updated time.Time
}

func (a *average) weight(now time.Time) float64 {
	return a.samples * math.Exp(-float64(max(now.Sub(a.updated), 0))/float64(idleDecay))
}

func (a *average) add(now time.Time, d time.Duration) {
	n := a.weight(now) + 1
	a.log += (math.Log(d.Seconds()) - a.log) * max(1/n, sampleWeight)
	a.samples, a.updated = n, now
}

// Tracker holds the service times of one target. The zero value has none.
type Tracker struct {
	jobs    []job // in the order of delivery
	slots   int
	lastID  uint64
	classes map[Class]*average
}

// Start records the delivery of a request to a target with this number of slots, and
// returns its ID for End.
func (t *Tracker) Start(now time.Time, c Class, slots int) uint64 {
	t.lastID++
	t.slots = max(slots, 1)
	t.jobs = append(t.jobs, job{id: t.lastID, class: c})
	t.occupy(now)
	return t.lastID
}

// occupy gives free slots to the requests that have waited longest. Targets run requests
// in the order of their arrival.
func (t *Tracker) occupy(now time.Time) {
	for i := range min(t.slots, len(t.jobs)) {
		if t.jobs[i].start.IsZero() {
			t.jobs[i].start = now
		}
	}
}

// End records the end of a request and returns for how long it had a slot, and its outcome:
// an answer may be too early to be one. An unknown ID is Abandoned.
func (t *Tracker) End(now time.Time, id uint64, o Outcome) (time.Duration, Outcome) {
	i := slices.IndexFunc(t.jobs, func(j job) bool { return j.id == id })
	if i < 0 {
		return 0, Abandoned
	}
	j := t.jobs[i]
	t.jobs = slices.Delete(t.jobs, i, i+1)
	t.occupy(now)
	d := now.Sub(j.start)
	if o != Answered || j.start.IsZero() || d <= 0 {
		return 0, o
	}
	a := t.classes[j.class]
	switch {
	case a != nil && a.weight(now) >= minSamples && d.Seconds() < quickShare*math.Exp(a.log):
		return d, Quick
	case a == nil && len(t.classes) >= maxClasses:
		return d, o
	case a == nil:
		a = &average{}
		if t.classes == nil {
			t.classes = map[Class]*average{}
		}
		t.classes[j.class] = a
	}
	a.add(now, d)
	return d, o
}

// Reset returns a tracker that has measured nothing. Requests of the former one that are
// still in progress are unknown to it.
func (t *Tracker) Reset() Tracker { return Tracker{lastID: t.lastID, slots: t.slots} }

// Times returns the service times, ordered by class. While a request runs for longer than
// usual, they are as long as its age suggests.
func (t *Tracker) Times(now time.Time) []ClassTime {
	stall := t.Stall(now)
	out := make([]ClassTime, 0, len(t.classes))
	for c, a := range t.classes {
		if w := a.weight(now); w >= 1 {
			out = append(out, ClassTime{c, time.Duration(stall * math.Exp(a.log) * float64(time.Second)), w})
		}
	}
	slices.SortFunc(out, func(a, b ClassTime) int {
		if a.Class < b.Class {
			return -1
		}
		return 1
	})
	return out
}

// Oldest returns how long the oldest request has had a slot.
func (t *Tracker) Oldest(now time.Time) time.Duration {
	var out time.Duration
	for _, j := range t.jobs[:min(t.slots, len(t.jobs))] {
		out = max(out, now.Sub(j.start))
	}
	return out
}

// Stall returns the factor by which the oldest running request shows the target to be
// slower than usual, 1 if it does not.
func (t *Tracker) Stall(now time.Time) float64 {
	out := 1.0
	for _, j := range t.jobs[:min(t.slots, len(t.jobs))] {
		a, age := t.classes[j.class], now.Sub(j.start)
		if a == nil || a.samples < minSamples || age < minStall {
			continue
		}
		out = max(out, age.Seconds()/math.Exp(a.log)/stallFactor)
	}
	return out
}
