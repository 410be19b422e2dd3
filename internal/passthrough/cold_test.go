package passthrough

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// openings opens a flow each 5 ms for a time and returns how many the target gets in each
// second.
func openings(c *Core, lasts time.Duration) map[int]int {
	out, port := map[int]int{}, uint16(2000)
	for at := time.Duration(0); at < lasts; at += 5 * time.Millisecond {
		port++
		if delivered(forward(c, start.Add(at), syn(port))) > 0 {
			out[int(at/time.Second)]++
			c.FromTarget(start.Add(at), synAck(port), nil)
		}
	}
	return out
}

func newColdCore(firstStart bool, rate *float64) *Core {
	c := newCore(firstStart)
	c.opts.Cold = ColdLimit{Factor: 1.5, Slack: 5}
	h := heartbeat(1)
	h.ColdRemaining = 2500 * time.Millisecond
	c.HandleHeartbeat(start, h)
	c.Message(start, balancer, steerwire.Message{Kind: steerwire.KindHello, Hello: steerwire.Hello{Node: "b1", ConfigVersion: 1, ColdFlowsPerSecond: rate}}, segment.Segment{})
	return c
}

// Guards against a cold target that gets more new flows in a second than it bears, from a
// process that has just started too, and against a bound that outlasts the cold start.
func TestColdTargetGetsNoMoreThanItBears(t *testing.T) {
	is := is.New(t)
	rate := 10.0
	got := openings(newColdCore(true, &rate), 4*time.Second)
	is.Equal(got[0], 20)
	is.True(got[1] >= 18 && got[1] <= 20)
	is.Equal(got[3], 200)

	restarted := newColdCore(false, &rate)
	is.Equal(refusal(forward(restarted, ms(900), syn(1))), steerwire.ReasonCold)
	is.Equal(delivered(forward(restarted, ms(1100), syn(1))), 1)
}

// Guards against a bound for services that have none, and in hellos of an earlier release.
func TestColdTargetWithoutABound(t *testing.T) {
	is := is.New(t)
	zero := 0.0
	for _, rate := range []*float64{nil, &zero} {
		is.Equal(openings(newColdCore(true, rate), time.Second)[0], 200)
	}
}
