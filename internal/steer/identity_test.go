package steer

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/pacing"
	"github.com/bulrushshelf/bulrushshelf/internal/segment"
	"github.com/bulrushshelf/bulrushshelf/internal/steerwire"
)

// nextFlow returns a packet of the next flow from the same port.
func nextFlow(s segment.Segment) segment.Segment {
	s.Seq += 1 << 30
	s.Ack += 1 << 30
	return s
}

// Guards against openings that are lost because the target of the port's last flow drains.
func TestPortOpenedAgainIsPlacedAnew(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA, agentB)
	ready(c, start, 1, agentA, agentB)
	first := forwardedTo(c.Packet(start, syn(1), raw))
	c.Message(ms(1), first[0], steerwire.Message{Kind: steerwire.KindOpened, Opened: steerwire.Opened{Flow: flowOf(1)}}, segment.Segment{})
	is.Equal(forwardedTo(c.Packet(ms(2), syn(1), raw)), first) // a copy
	report(c, ms(900), first[0], steerwire.Report{Incarnation: 1, Sequence: 2, State: steerwire.TargetDraining})
	got := forwardedTo(c.Packet(ms(1000), nextFlow(syn(1)), raw))
	is.Equal(len(got), 1)
	is.True(got[0] != first[0])
}

// Guards against resets of an open flow by what a lookup of the port's last flow found.
func TestLookupOfAnEarlierFlowDoesNotResetThePortsNextOne(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA, agentB)
	ready(c, start, 1, agentA, agentB)
	c.Packet(start, data(1), raw)
	answer(c, ms(1), agentA, flowOf(1), steerwire.NotHeld)
	got := c.Packet(ms(2), nextFlow(data(1)), raw)
	is.Equal(queryCountWithBatch(c, ms(15), got), 2) // both are queried again
	answer(c, ms(16), agentB, flowOf(1), steerwire.NotHeld)
	is.Equal(forwardedTo(answer(c, ms(17), agentA, flowOf(1), steerwire.Held)), []netip.AddrPort{agentA})
}

// Guards against pending resets that reach the port's next flow.
func TestPendingResetEndsWithTheNextOpening(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA)
	ready(c, start, 1, agentA)
	q := new(pacing.Queue[model.Flow])
	q.Add(ms(1), flowOf(1))
	c.resetQueues["alpha"], c.pendingReset[flowOf(1)] = q, pendingReset{since: start}
	c.Packet(ms(5), syn(1), raw)
	is.True(!hasAction(c.Tick(ms(600)), ResetCaller))
}

// Guards against an entry that a late packet of an earlier flow removes, and against packets
// that stay at the target of a flow that its caller has abandoned.
func TestPacketsOfOtherFlowsOfAPort(t *testing.T) {
	is := is.New(t)
	c := newCore(agentA, agentB)
	ready(c, start, 1, agentA, agentB)
	c.Packet(start, data(1), raw)
	answer(c, ms(1), agentA, flowOf(1), steerwire.Held)
	got := refuse(c, ms(10), agentA, nextFlow(data(1)), steerwire.ReasonOtherFlow)
	is.Equal(queryCount(got)+queryCount(c.Tick(ms(20))), 2)
	is.Equal(forwardedTo(c.Packet(ms(21), data(1), raw)), []netip.AddrPort{agentA}) // the entry stays
	answer(c, ms(25), agentA, flowOf(1), steerwire.Unsure)
	is.Equal(forwardedTo(answer(c, ms(26), agentB, flowOf(1), steerwire.Held)), []netip.AddrPort{agentB})
	is.Equal(forwardedTo(c.Packet(ms(30), nextFlow(data(1)), raw)), []netip.AddrPort{agentB})
}
