package clock

import (
	"testing"
	"time"
	"unsafe"

	"github.com/matryer/is"
)

// Guards against a release of Go in which the layout of a time differs, so that tests of clock steps
// would test nothing.
func TestTimeOfDayStepsAloneAndTwice(t *testing.T) {
	is := is.New(t)
	is.Equal(unsafe.Sizeof(layout{}), unsafe.Sizeof(time.Time{}))
	start := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	c := New(start)
	first := c.Now()
	is.True(first.Equal(start))
	is.Equal(first.UnixNano(), start.UnixNano())
	for _, step := range []time.Duration{20 * time.Second, -time.Hour} {
		before := c.Now()
		c.Advance(time.Second)
		c.Step(step)
		after := c.Now()
		is.Equal(after.Sub(before), time.Second)
		is.True(after.After(before))
		is.Equal(after.Round(0).Sub(before.Round(0)), time.Second+step)
		is.Equal(after.UnixMilli()-before.UnixMilli(), (time.Second + step).Milliseconds())
	}
	is.Equal(c.Now().Sub(first), 2*time.Second)
	is.True(c.Now().Add(time.Second).After(first))
}
