package outcome

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a failing target that is detected late, one that never recovers, and
// a single failure that excludes a target.
func TestFailureRate(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	for _, test := range []struct {
		name      string
		ok, fail  int // in this order
		after     time.Duration
		low, high float64
	}{
		{"no requests", 0, 0, 0, 0, 0},
		{"seven failures", 0, 7, 0, 0.5, 0.6},
		{"fifty failures", 0, 50, 0, 0.99, 1},
		{"one failure", 50, 1, 0, 0.1, 0.1},
		{"decay after three seconds", 0, 50, decayTime, 0.36, 0.37},
		{"decay after ten seconds", 0, 50, 10 * time.Second, 0.03, 0.04},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var tr Tracker
			for range test.ok {
				tr.Record(start, false)
			}
			for range test.fail {
				tr.Record(start, true)
			}
			got := tr.FailureRate(start.Add(test.after))
			is.True(got >= test.low-1e-9)
			is.True(got <= test.high+1e-9)
		})
	}
}
