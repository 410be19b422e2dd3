package pacing

import (
	"slices"
	"time"
)

// Window counts events in a sliding span of time. It answers load that arrives in bursts: no
// span of its length contains more events than the limit.
type Window struct {
	length time.Duration
	events []time.Time // in order, at most one length old
}

// NewWindow returns an empty window.
func NewWindow(length time.Duration) *Window { return &Window{length: length} }

// Allow counts an event and returns true, unless the window then contains more than limit.
func (w *Window) Allow(now time.Time, limit int) bool {
	old := 0
	for old < len(w.events) && now.Sub(w.events[old]) >= w.length {
		old++
	}
	w.events = slices.Delete(w.events, 0, old)
	if len(w.events) >= limit {
		return false
	}
	w.events = append(w.events, now)
	return true
}
