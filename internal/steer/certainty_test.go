package steer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// newWaitingCore returns a core with n agents that expect to know all flows of their targets
// after a time, and answered that they may hold the flow of a packet sent at 20 ms. It also
// returns the agents that were probed.
func newWaitingCore(n int, in time.Duration) (*Core, []netip.AddrPort, []netip.AddrPort) {
	var agents []netip.AddrPort
	for i := range n {
		agents = append(agents, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 2, byte(i + 1)}), 7000))
	}
	c := newCore(agents...)
	for _, a := range agents {
		report(c, ms(1), a, steerwire.Report{Incarnation: 1, Sequence: 1, State: steerwire.TargetReady, DataCentre: "dc-1", CertainInMillis: int(in / time.Millisecond)})
	}
	c.Packet(ms(20), data(1), raw)
	var probed []netip.AddrPort
	for _, a := range agents {
		probed = append(probed, forwardedTo(answer(c, ms(21), a, flowOf(1), steerwire.Unsure))...)
	}
	return c, agents, probed
}

// Guards against probes of each flow at each target after a loss of power, and against lookups
// that wait although fewer probes answer them at once.
func TestLookupWaitsForManyUncertainAgents(t *testing.T) {
	is := is.New(t)
	_, agents, probed := newWaitingCore(maxProbeRounds, 500*time.Millisecond)
	is.Equal(probed, agents[:1])
	_, _, probed = newWaitingCore(maxProbeRounds+1, 0)
	is.Equal(len(probed), 2)

	c, agents, probed := newWaitingCore(maxProbeRounds+1, 500*time.Millisecond)
	is.Equal(len(probed), 0)
	is.Equal(queryCount(c.Tick(ms(300))), 0)
	ready(c, ms(480), 2, agents[1:]...) // they are certain now
	is.Equal(queryCount(c.Tick(ms(490))), 0)
	ready(c, ms(500), 2, agents[0])
	is.Equal(queryCount(c.Tick(ms(510))), len(agents))
	for _, a := range agents {
		is.Equal(len(forwardedTo(answer(c, ms(512), a, flowOf(1), steerwire.NotHeld))), 0)
	}
	is.True(c.lookups[flowOf(1)].allNotHeld)
}

// Guards against callers of open flows that wait longer than agents expect to be uncertain.
func TestLookupWaitEnds(t *testing.T) {
	is := is.New(t)
	c, agents, _ := newWaitingCore(maxProbeRounds+1, 500*time.Millisecond)
	is.Equal(forwardedTo(answer(c, ms(30), agents[3], flowOf(1), steerwire.Held)), agents[3:4])

	c, agents, _ = newWaitingCore(maxProbeRounds+1, time.Hour)
	is.Equal(queryCount(c.Tick(ms(1480))), 0)
	is.Equal(queryCount(c.Tick(ms(1530))), len(agents))
	var probed []netip.AddrPort
	for _, a := range agents {
		probed = append(probed, forwardedTo(answer(c, ms(1532), a, flowOf(1), steerwire.Unsure))...)
	}
	is.Equal(len(probed), 2)
}
