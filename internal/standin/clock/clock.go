// Package clock stands in for the clocks of a VM: the time of day may step at any moment, while the
// steady clock keeps running.
package clock

import (
	"time"
	"unsafe"
)

// Clock is a VM's clock in virtual time. Its times behave like those of time.Now: Sub, Before and
// After use the steady clock, all else the time of day.
type Clock struct {
	start     time.Time // has both readings
	steady    time.Duration
	timeOfDay time.Duration
}

// New returns a clock that starts at a time of day.
func New(timeOfDay time.Time) *Clock {
	now := time.Now()
	return &Clock{start: now.Add(timeOfDay.Sub(now.Round(0)))}
}

// Advance lets time pass on both clocks.
func (c *Clock) Advance(d time.Duration) {
	c.steady += d
	c.timeOfDay += d
}

// Step changes the time of day only.
func (c *Clock) Step(d time.Duration) { c.timeOfDay += d }

// Now returns the current time.
func (c *Clock) Now() time.Time {
	t, steady := c.start.Add(c.timeOfDay), c.start.Add(c.steady)
	(*layout)(unsafe.Pointer(&t)).ext = (*layout)(unsafe.Pointer(&steady)).ext
	return t
}

// layout is the layout of a time.Time, for which package time has no constructor with two readings.
// With a steady reading, ext holds that reading alone.
type layout struct {
	wall uint64
	ext  int64
	loc  *time.Location
}
