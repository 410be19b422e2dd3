package route

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/standin/clock"
)

// Guards against a balancer that looks up every packet of a flow on a moved address, or uses an answer
// that is too old, because the time of day stepped after the move or after the answer.
func TestAnswersAboutMovedFlowsLastWhileTheClockSteps(t *testing.T) {
	for _, step := range []time.Duration{20 * time.Second, -20 * time.Second} {
		is := is.New(t)
		c := clock.New(start)
		s := session{r: New(Options{Self: "b1", MoveWindow: time.Hour})}
		do := func(line string) string { return s.apply(c.Now(), strings.Fields(line)) }
		do("view dispatch addr=10.80.0.1:80 member=d1")
		do("view intake member=i1")
		c.Advance(time.Minute)
		do("view dispatch member=d1")
		do("view intake addr=10.80.0.1:80 member=i1")
		c.Step(step)
		c.Advance(time.Millisecond)
		is.Equal(do("packet 5000 10.80.0.1:80 ack"), "lookup\nsend d1 query 1 of dispatch about 198.51.100.7:5000\n")
		is.Equal(do("answer d1 1 5000 10.80.0.1:80 d1"), "release 1 forward d1 (dispatch)\n")
		for _, next := range []time.Duration{0, -2 * step, 3 * step} {
			c.Step(next)
			c.Advance(time.Second)
			is.Equal(do("packet 5000 10.80.0.1:80 ack"), "forward d1 (dispatch)\n")
		}
		c.Step(-step)
		c.Advance(DefaultAnswerTTL)
		is.True(strings.HasPrefix(do("packet 5000 10.80.0.1:80 ack"), "lookup\n"))
	}
}
