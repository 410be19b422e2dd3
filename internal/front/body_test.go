package front

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/standin/clock"
)

// Guards against an upload that is cut off in progress, or one that never times out, because the
// time of day stepped while it was received.
func TestIdleTimeOfAnUploadIgnoresClockSteps(t *testing.T) {
	is := is.New(t)
	c := clock.New(time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC))
	b := newReplayBody(strings.NewReader("0123456789"), 10, c.Now)
	r := b.reader()
	for _, step := range []time.Duration{20 * time.Second, -40 * time.Second, 30 * time.Second, -10 * time.Second} {
		_, err := r.Read(make([]byte, 1))
		is.NoErr(err)
		c.Advance(300 * time.Millisecond)
		c.Step(step)
		idle, uploading := b.idleTime(c.Now())
		is.True(uploading)
		is.Equal(idle, 300*time.Millisecond)
	}
}
