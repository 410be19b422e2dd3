package steer

import (
	"math"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// newPacedCore returns a balancer whose agents A and B answer in 13 ms, and C in 26 ms.
func newPacedCore() *Core {
	c := newCore(agentA, agentB, agentC)
	c.options.Pace = true
	for i, a := range []netip.AddrPort{agentA, agentB, agentC} {
		paced(c, i, a, 1, 13_000+13_000*int64(i/2))
	}
	return c
}

// paced sends a report with a service time of the class 7, or none if it is 0.
func paced(c *Core, at int, from netip.AddrPort, seq uint64, micros int64) {
	r := steerwire.Report{Incarnation: 1, Sequence: seq + uint64(at)*10, State: steerwire.TargetReady, DataCentre: "dc-1", MeasuresPace: true}
	if micros > 0 {
		r.ServiceTimes = []steerwire.ServiceTime{{Class: 7, Micros: micros, Samples: 20}}
	}
	report(c, ms(at*300), from, r)
}

// flowsPlaced returns how many of n flows each agent gets.
func flowsPlaced(c *Core, at, n int) map[netip.AddrPort]int {
	out := map[netip.AddrPort]int{}
	for i := range n {
		out[forwardedTo(c.Packet(ms(at), syn(uint16(at%1000*50+i)), raw))[0]]++
	}
	return out
}

// Guards against a target at half the speed that gets as many flows as the others, and
// against a restarted agent that keeps the speed of its predecessor.
func TestFlowsArePlacedByMeasuredSpeed(t *testing.T) {
	is := is.New(t)
	c := newPacedCore()
	paced(c, 3, agentA, 1, 13_000)
	a, b, slow := c.targets[agentA].pace.speed, c.targets[agentB].pace.speed, c.targets[agentC].pace.speed
	t.Logf("speeds %.2f, %.2f and %.2f", a, b, slow)
	is.True(a > 0.8 && b > 0.8 && slow > 0.4 && slow < 0.6)
	is.Equal(c.CapacityCenti(ms(900)), int64(math.Round(300*(a+b+slow))))
	n := flowsPlaced(c, 900, 50)
	is.True(n[agentC] < n[agentA]*2/3 && n[agentC] < n[agentB]*2/3 && n[agentC] > 0)

	paced(c, 4, agentA, 1, 0) // the agent has restarted and knows nothing yet
	is.Equal(c.targets[agentA].pace.speed, 0.5)
	paced(c, 5, agentA, 1, 13_000)
	is.True(c.targets[agentA].pace.speed > 0.8)
}

// Guards against a late report that brings back an earlier speed.
func TestLateReportDoesNotChangeTheSpeed(t *testing.T) {
	is := is.New(t)
	c := newPacedCore()
	paced(c, 4, agentA, 1, 130_000)
	slow := c.targets[agentA].pace.speed
	is.True(slow < 0.3)
	paced(c, 3, agentA, 1, 13_000)
	is.Equal(c.targets[agentA].pace.speed, slow)
}

// Guards against targets that are treated as slow because their agents are of an earlier
// build and measure nothing, and against speeds that apply while the setting is off.
func TestSpeedIsUnknownWithoutMeasurement(t *testing.T) {
	is := is.New(t)
	c := newPacedCore()
	report(c, ms(1000), agentB, steerwire.Report{Incarnation: 1, Sequence: 99, State: steerwire.TargetReady, ColdMillis: 500})
	k := c.targets[agentB].candidate(ms(1000), "dc-1")
	is.True(k.Speed == 0 && k.Cold)
	c.options.Pace = false
	paced(c, 4, agentC, 1, 26_000)
	k = c.targets[agentC].candidate(ms(1200), "dc-1")
	is.Equal(k.Speed, 0.0)
}

// Guards against a target that rejects all requests at once and so looks fast.
func TestRejectingTargetFails(t *testing.T) {
	is := is.New(t)
	c := newPacedCore()
	paced(c, 4, agentA, 1, 300)
	k := c.targets[agentA].candidate(ms(1200), "dc-1")
	is.True(k.FailureRate == 1 && k.Speed == 1)
}

// Measures a report with the speeds of a service of 50 targets.
func BenchmarkPacedReport(b *testing.B) {
	agents := make([]netip.AddrPort, 50)
	for i := range agents {
		agents[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}), 7000)
	}
	c := newCore(agents...)
	c.options.Pace = true
	for i := range b.N {
		now := ms(i * 7) // 50 reports in 350 ms
		report(c, now, agents[i%50], steerwire.Report{
			Incarnation: 1, Sequence: uint64(i + 1), State: steerwire.TargetReady, DataCentre: "dc-1", MeasuresPace: true,
			ServiceTimes: []steerwire.ServiceTime{{Class: 7, Micros: 13_000, Samples: 20}, {Class: 8, Micros: 17_000, Samples: 20}},
		})
	}
}
